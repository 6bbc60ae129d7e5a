package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that the journal format is unchanged since version 131520b, which wrote the recorded resources. This version reads a
 * journal of 131520b. It also writes the same bytes, apart from random salts and the checksums that cover them, so 131520b can
 * read its journals.
 */
class JournalCompatibilityTest {
    private static final int HEADER_BYTES = 48;
    private static final int FRAME_HEADER_BYTES = 20;
    private static final int FRAME_CHECKSUM_OFFSET = 16;

    @TempDir
    Path folder;

    private static Path recorded(String name) throws URISyntaxException {
        return Path.of(JournalCompatibilityTest.class
                .getResource("/compatibility/131520b/" + name)
                .toURI());
    }

    private static List<String> lines(String name) throws IOException, URISyntaxException {
        return Files.readAllLines(recorded(name));
    }

    private static TreeMap<String, Path> files(Path state) throws IOException {
        TreeMap<String, Path> filesByName = new TreeMap<>();
        try (var files = Files.list(state)) {
            files.forEach(file -> filesByName.put(file.getFileName().toString(), file));
        }
        return filesByName;
    }

    /** Returns the bytes of segments by number, without the checksums of records, which cover a random salt. */
    private static TreeMap<String, byte[]> segments(Path state) throws IOException {
        TreeMap<String, byte[]> bytesByNumber = new TreeMap<>();
        for (var entry : files(state).entrySet()) {
            if (SegmentLog.isSegmentFileName(entry.getKey())) {
                byte[] bytes = Files.readAllBytes(entry.getValue());
                ByteBuffer buffer = ByteBuffer.wrap(bytes);
                for (int offset = HEADER_BYTES;
                        offset < bytes.length;
                        offset += FRAME_HEADER_BYTES + buffer.getInt(offset + 4)) {
                    buffer.putInt(offset + FRAME_CHECKSUM_OFFSET, 0);
                }
                bytesByNumber.put(entry.getKey().substring(0, 16), bytes);
            }
        }
        return bytesByNumber;
    }

    private Path copyOfRecorded() throws IOException, URISyntaxException {
        Path copy = Files.createDirectories(folder.resolve("copy"));
        for (var entry : files(recorded("journal")).entrySet()) {
            Files.copy(entry.getValue(), copy.resolve(entry.getKey()));
        }
        return copy;
    }

    @Test
    void recordedJournalOpenedReadOnlyHasItsContentsAndIsUnchanged() throws Exception {
        Path copy = copyOfRecorded();
        try (Journal journal = Journal.openReadOnly(copy)) {
            assertEquals(lines("content.txt"), CompatibilityScenario.describe(journal));
        }
        for (var entry : files(recorded("journal")).entrySet()) {
            assertArrayEquals(Files.readAllBytes(entry.getValue()), Files.readAllBytes(copy.resolve(entry.getKey())));
        }
    }

    @Test
    void recordedJournalOpenedForWritingKeepsItsContents() throws Exception {
        Path copy = copyOfRecorded();
        for (int restart = 0; restart < 2; restart++) {
            try (Journal journal = Journal.open(copy, CompatibilityScenario.BUDGET_BYTES)) {
                assertEquals(lines("content.txt"), CompatibilityScenario.describe(journal));
            }
        }
    }

    @Test
    void fixedOperationsOnNewJournalWriteRecordedBytes() throws Exception {
        Path state = folder.resolve("state");
        assertEquals(lines("replicated.txt"), CompatibilityScenario.write(state));
        TreeMap<String, byte[]> expected = segments(recorded("journal"));
        TreeMap<String, byte[]> written = segments(state);
        assertEquals(expected.keySet(), written.keySet());
        assertTrue(expected.size() > 2, "the recorded journal must have more than 2 segments");
        for (String number : expected.keySet()) {
            assertArrayEquals(expected.get(number), written.get(number), "segment " + number);
        }
        for (String name : List.of("journal", "reserve")) {
            assertArrayEquals(
                    Files.readAllBytes(recorded("journal").resolve(name)),
                    Files.readAllBytes(state.resolve(name)),
                    name);
        }
        assertEquals(files(recorded("journal")).size(), files(state).size());
    }
}
