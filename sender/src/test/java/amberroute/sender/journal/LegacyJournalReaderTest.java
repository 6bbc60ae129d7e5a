package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Upgrade from, and downgrade to, the version that kept one file; {@code journal-0.2.bin} was written by it. */
class LegacyJournalReaderTest {
    private static final long BUDGET = 3_000_000;
    private static final long SOON = 4_000_000_000_000L;

    @TempDir
    Path folder;

    private byte[] recordedFile() throws IOException {
        try (InputStream in = LegacyJournalReaderTest.class.getResourceAsStream("/journal-0.2.bin")) {
            return in.readAllBytes();
        }
    }

    private List<Path> segments() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> SegmentLog.isSegment(f.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    /** Compares with what {@link #write} wrote. */
    private static void assertRecordedContents(Journal journal) {
        List<AcceptedMessage> live = List.copyOf(journal.pendingMessages());
        assertEquals(
                List.of("first", "doubt", "ended", "offered", "behind"),
                live.stream().map(m -> m.id).toList());
        AcceptedMessage first = live.get(0);
        assertEquals(
                List.of(1, 120, 7L, 3, "idem-first", SOON),
                List.of(
                        first.classNumber,
                        first.body.length,
                        first.key,
                        first.destination,
                        first.idempotencyKey,
                        first.deadlineMillis));
        AcceptedMessage doubt = live.get(1);
        assertEquals(
                List.of(2, 77L, "uid-a", true, 99L, "uid-b"),
                List.of(
                        doubt.attempts,
                        doubt.unknownOutcomeSinceMillis,
                        doubt.unknownOutcomeEndpoint,
                        doubt.attemptInFlight,
                        doubt.attemptSentAtMillis,
                        doubt.attemptEndpoint));
        assertEquals(live.get(2).failed(), live.get(2).pendingNotification);
        assertTrue(live.get(3).offeredToPeer);
        assertEquals("heir", journal.handoffBatches().get("lot").ownership().peer());
        assertTrue(journal.knows("over") && journal.differs("over", 5));
        assertEquals(1, journal.healthRecords().size());
        assertEquals(
                DeliveryScheduler.UpstreamStatus.UNAVAILABLE,
                journal.healthRecords().iterator().next().health());
        assertEquals("policy-order", journal.classes().get(1).name());
        assertTrue(journal.keyHolds().isHeld(31) && !journal.keyHolds().isHeld(32));
        assertTrue(journal.nextNumber()
                > live.stream().mapToLong(m -> m.number).max().orElse(0));
    }

    @Test
    void anEarlierVersionsFileIsMovedWhole() throws IOException {
        Files.write(folder.resolve("journal"), recordedFile());
        assertEquals(5, JournalView.read(folder).pendingCount(), "looking does not move it");
        assertArrayEquals(recordedFile(), Files.readAllBytes(folder.resolve("journal")));
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertRecordedContents(journal);
        }
        for (int i = 0; i < 2; i++) {
            assertEquals(5, JournalView.read(folder).pendingCount());
            try (Journal journal = Journal.open(folder, BUDGET)) {
                assertRecordedContents(journal);
            }
        }
        assertArrayEquals(LegacyJournalReader.mark(), Files.readAllBytes(folder.resolve("journal")));
    }

    /** An interrupted migration is repeated: the old file is whole until one step replaces it. */
    @Test
    void aMoveThatWasCutShortIsDoneAnew() throws IOException {
        Files.write(folder.resolve("journal"), recordedFile());
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertRecordedContents(journal);
        }
        byte[] segment = Files.readAllBytes(segments().get(0));
        for (int cut = 0; cut < segment.length; cut += 37) {
            Files.write(folder.resolve("journal"), recordedFile());
            for (Path file : segments()) {
                Files.delete(file);
            }
            Files.write(folder.resolve("0000000000000001-0000000000000002.seg"), java.util.Arrays.copyOf(segment, cut));
            try (Journal journal = Journal.open(folder, BUDGET)) {
                assertRecordedContents(journal);
            }
        }
    }

    /** The earlier version ends with an error, and changes nothing, instead of beginning an empty journal. */
    @Test
    void theEarlierVersionRefusesWhatIsInSegments() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertTrue(
                    journal.accept(new AcceptedMessage(journal.nextNumber(), "a", "", "c", 0, 1, SOON, new byte[9])));
        }
        assertTrue(assertThrows(IOException.class, () -> SingleFileJournal.open(folder, BUDGET))
                .getMessage()
                .contains("unknown record"));
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertEquals("a", journal.pendingMessages().iterator().next().id);
        }
    }

    @Test
    void aDamagedOldFileIsKeptAside() throws IOException {
        byte[] bad = recordedFile();
        bad[bad.length - 3] ^= 1;
        Files.write(folder.resolve("journal"), bad);
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertFalse(journal.pendingMessages().isEmpty());
        }
        assertArrayEquals(bad, Files.readAllBytes(folder.resolve("journal.damaged")));
    }

    /** A segment of a later version: nothing is changed, and the error says so. */
    @Test
    void aLaterVersionsSegmentIsRefused() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET)) {
            assertTrue(
                    journal.accept(new AcceptedMessage(journal.nextNumber(), "a", "", "c", 0, 1, SOON, new byte[9])));
        }
        Path segment = segments().get(0);
        byte[] bytes = Files.readAllBytes(segment);
        ByteBuffer later = ByteBuffer.wrap(bytes).putShort(8, (short) 9);
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, 44);
        later.putInt(44, (int) crc.getValue());
        Files.write(segment, bytes);
        assertTrue(assertThrows(IOException.class, () -> Journal.open(folder, BUDGET))
                .getMessage()
                .contains("newer"));
        assertArrayEquals(bytes, Files.readAllBytes(segment));
        assertEquals(1, segments().size());
    }

    /** How the resource was made, with the earlier version's own code: run once, kept as a file since. */
    static void write(Path folder) throws IOException {
        try (SingleFileJournal journal = SingleFileJournal.open(folder, BUDGET)) {
            journal.define(
                    1,
                    new MessageClassRegistry.Version(
                            "policy-order",
                            new DeliveryScheduler.MessageClass(
                                    1,
                                    0.5,
                                    1_500_000,
                                    6_000_000,
                                    DeliveryScheduler.Idempotency.KEYED,
                                    DeliveryScheduler.KeyScope.DESTINATION,
                                    60_000_000,
                                    true)));
            String[] ids = {"first", "doubt", "behind", "ended", "over", "offered", "given"};
            AcceptedMessage[] all = new AcceptedMessage[ids.length];
            for (int i = 0; i < ids.length; i++) {
                all[i] = new AcceptedMessage(
                        journal.nextNumber(), ids[i], "idem-" + ids[i], "policy-order", 7, 3, SOON, new byte[120]);
                all[i].classNumber = 1;
                journal.accept(all[i]);
            }
            journal.attempt(all[1], "uid-a", 77);
            journal.outcome(all[1], true);
            journal.attempt(all[1], "uid-b", 99);
            journal.end(all[3], all[3].failed());
            journal.conclude(all[4]);
            journal.hold("peer", List.of(31L, 32L), SOON);
            journal.lot("lot", new Ownership(1, Ownership.Status.OFFERED, "heir"), SOON, List.of(all[5]));
            journal.lot("gone", new Ownership(2, Ownership.Status.GIVEN, "heir"), SOON, List.of(all[6]));
            AcceptedMessage came =
                    new AcceptedMessage(journal.nextNumber(), "ended2", "", "policy-order", 7, 3, SOON, new byte[1]);
            journal.adopt(
                    "adopted",
                    new Ownership(1, Ownership.Status.OWNED, ""),
                    SOON,
                    List.of(came),
                    "peer",
                    List.of(all[2]));
            journal.conclude(came);
            journal.release("peer", List.of(32L));
            journal.remember(new SingleFileJournal.Memory(
                    3, "uid-a", DeliveryScheduler.UpstreamStatus.UNAVAILABLE, 5, 1.5, 2.5));
        }
    }
}
