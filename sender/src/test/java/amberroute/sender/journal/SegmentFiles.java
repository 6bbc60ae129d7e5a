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

/** Segments of a state folder as bytes, for tests that truncate them. */
public final class SegmentFiles {
    private static final int HEAD = 48;
    private static final int FRAME = 20;

    private SegmentFiles() {}

    static List<Path> of(Path state) throws IOException {
        try (var files = Files.list(state)) {
            return files.filter(f -> SegmentLog.isSegment(f.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    /** The bytes of the first segment, which has all that one process of a test has written. */
    public static byte[] first(Path state) throws IOException {
        return Files.readAllBytes(of(state).get(0));
    }

    /** Lengths of a segment at which a whole record ends; the first record is the one that begins it. */
    public static List<Integer> recordEnds(byte[] segment) {
        List<Integer> out = new ArrayList<>();
        for (int at = HEAD; at < segment.length; ) {
            at += FRAME + ByteBuffer.wrap(segment).getInt(at + 4);
            out.add(at);
        }
        return out;
    }

    /** Each record's content as text. */
    public static List<String> records(byte[] segment) {
        List<String> out = new ArrayList<>();
        int at = HEAD;
        for (int end : recordEnds(segment)) {
            out.add(new String(segment, at + FRAME, end - at - FRAME, StandardCharsets.ISO_8859_1));
            at = end;
        }
        return out;
    }

    /** Replaces all segments of the folder by the first bytes of one. */
    public static void truncate(Path state, byte[] segment, int length) throws IOException {
        List<Path> there = of(state);
        Path first = there.isEmpty() ? state.resolve("0000000000000001-0000000000000001.seg") : there.get(0);
        for (Path file : there) {
            Files.delete(file);
        }
        Files.write(first, Arrays.copyOf(segment, length));
    }
}
