package amberroute.sender.journal;

import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The segments of a state folder as bytes, for tests that truncate them. */
public final class SegmentFiles {
    private static final int HEADER_BYTES = 48;
    private static final int FRAME_HEADER_BYTES = 20;

    private SegmentFiles() {}

    static List<Path> segments(Path state) throws IOException {
        try (var files = Files.list(state)) {
            return files.filter(file ->
                            SegmentLog.isSegmentFileName(file.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    /** Returns the bytes of the first segment, which has everything that one process of a test has written. */
    public static byte[] firstSegment(Path state) throws IOException {
        return Files.readAllBytes(segments(state).get(0));
    }

    /** Returns the lengths at which a whole record of a segment ends; the first record is the segment's first one. */
    public static List<Integer> recordEnds(byte[] segment) {
        List<Integer> ends = new ArrayList<>();
        for (int offset = HEADER_BYTES; offset < segment.length; ) {
            offset += FRAME_HEADER_BYTES + ByteBuffer.wrap(segment).getInt(offset + 4);
            ends.add(offset);
        }
        return ends;
    }

    /** Returns the content of each record as text. */
    public static List<String> recordContents(byte[] segment) {
        List<String> contents = new ArrayList<>();
        int offset = HEADER_BYTES;
        for (int end : recordEnds(segment)) {
            contents.add(new String(
                    segment,
                    offset + FRAME_HEADER_BYTES,
                    end - offset - FRAME_HEADER_BYTES,
                    StandardCharsets.ISO_8859_1));
            offset = end;
        }
        return contents;
    }

    /** Replaces all segments of the folder with a prefix of one. */
    public static void replaceWithPrefix(Path state, byte[] segment, int length) throws IOException {
        List<Path> segments = segments(state);
        Path first = segments.isEmpty() ? state.resolve("0000000000000001-0000000000000001.seg") : segments.get(0);
        for (Path file : segments) {
            Files.delete(file);
        }
        Files.write(first, Arrays.copyOf(segment, length));
    }
}
