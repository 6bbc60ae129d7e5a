package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
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

/** Upgrade from, and downgrade to, version 0.2, which used a single file and wrote {@code journal-0.2.bin}. */
class LegacyJournalReaderTest {
    private static final long BUDGET_BYTES = 3_000_000;
    private static final long DEADLINE_MILLIS = 4_000_000_000_000L;

    @TempDir
    Path folder;

    private byte[] recordedFile() throws IOException {
        try (InputStream in = LegacyJournalReaderTest.class.getResourceAsStream("/journal-0.2.bin")) {
            return in.readAllBytes();
        }
    }

    private List<Path> segments() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file ->
                            SegmentLog.isSegmentFileName(file.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    /** Compares with the contents that {@link #writeRecordedFile} wrote. */
    private static void assertRecordedContents(Journal journal) {
        List<AcceptedMessage> pending = List.copyOf(journal.pendingMessages());
        assertEquals(
                List.of("first", "doubt", "ended", "offered", "behind"),
                pending.stream().map(message -> message.id).toList());
        AcceptedMessage first = pending.get(0);
        assertEquals(
                List.of(1, 120, 7L, 3, "idem-first", DEADLINE_MILLIS),
                List.of(
                        first.classNumber,
                        first.body.length,
                        first.key,
                        first.destination,
                        first.idempotencyKey,
                        first.deadlineMillis));
        AcceptedMessage unknownOutcome = pending.get(1);
        assertEquals(
                List.of(2, 77L, "uid-a", true, 99L, "uid-b"),
                List.of(
                        unknownOutcome.attempts,
                        unknownOutcome.unknownOutcomeSinceMillis,
                        unknownOutcome.unknownOutcomeEndpoint,
                        unknownOutcome.attemptInFlight,
                        unknownOutcome.attemptSentAtMillis,
                        unknownOutcome.attemptEndpoint));
        assertEquals(pending.get(2).failed(), pending.get(2).pendingNotification);
        assertTrue(pending.get(3).offeredToPeer);
        assertEquals("heir", journal.handoffBatches().get("lot").ownership().peer());
        assertTrue(journal.containsId("over") && journal.hasDifferentContent("over", 5));
        assertEquals(1, journal.healthRecords().size());
        assertEquals(
                UpstreamStatus.UNAVAILABLE,
                journal.healthRecords().iterator().next().status());
        assertEquals("policy-order", journal.classes().get(1).name());
        assertTrue(journal.keyHolds().isHeld(31) && !journal.keyHolds().isHeld(32));
        assertTrue(journal.nextNumber()
                > pending.stream().mapToLong(message -> message.number).max().orElse(0));
    }

    @Test
    void legacyFileOpenedForWritingIsMigratedCompletely() throws IOException {
        Files.write(folder.resolve("journal"), recordedFile());
        assertEquals(5, JournalView.read(folder).pendingCount(), "reading must not migrate the file");
        assertArrayEquals(recordedFile(), Files.readAllBytes(folder.resolve("journal")));
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertRecordedContents(journal);
        }
        for (int i = 0; i < 2; i++) {
            assertEquals(5, JournalView.read(folder).pendingCount());
            try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
                assertRecordedContents(journal);
            }
        }
        assertArrayEquals(LegacyJournalReader.migrationMarker(), Files.readAllBytes(folder.resolve("journal")));
    }

    /** An interrupted migration is repeated: the old file is complete until it is replaced atomically. */
    @Test
    void interruptedMigrationIsRepeated() throws IOException {
        Files.write(folder.resolve("journal"), recordedFile());
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertRecordedContents(journal);
        }
        byte[] segment = Files.readAllBytes(segments().get(0));
        for (int length = 0; length < segment.length; length += 37) {
            Files.write(folder.resolve("journal"), recordedFile());
            for (Path file : segments()) {
                Files.delete(file);
            }
            Files.write(
                    folder.resolve("0000000000000001-0000000000000002.seg"), java.util.Arrays.copyOf(segment, length));
            try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
                assertRecordedContents(journal);
            }
        }
    }

    /** The earlier version fails without a change, instead of creating an empty journal. */
    @Test
    void earlierVersionOpeningMigratedJournalFails() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertTrue(journal.accept(
                    new AcceptedMessage(journal.nextNumber(), "a", "", "c", 0, 1, DEADLINE_MILLIS, new byte[9])));
        }
        assertTrue(assertThrows(IOException.class, () -> SingleFileJournal.open(folder, BUDGET_BYTES))
                .getMessage()
                .contains("unknown record"));
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertEquals("a", journal.pendingMessages().iterator().next().id);
        }
    }

    @Test
    void damagedLegacyFileIsCopiedBeforeMigration() throws IOException {
        byte[] damaged = recordedFile();
        damaged[damaged.length - 3] ^= 1;
        Files.write(folder.resolve("journal"), damaged);
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertFalse(journal.pendingMessages().isEmpty());
        }
        assertArrayEquals(damaged, Files.readAllBytes(folder.resolve("journal.damaged")));
    }

    /** A segment of a later version: the error says so, and nothing is changed. */
    @Test
    void segmentOfLaterVersionIsRejectedUnchanged() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            assertTrue(journal.accept(
                    new AcceptedMessage(journal.nextNumber(), "a", "", "c", 0, 1, DEADLINE_MILLIS, new byte[9])));
        }
        Path segment = segments().get(0);
        byte[] bytes = Files.readAllBytes(segment);
        ByteBuffer header = ByteBuffer.wrap(bytes).putShort(8, (short) 9);
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, 44);
        header.putInt(44, (int) crc.getValue());
        Files.write(segment, bytes);
        assertTrue(assertThrows(IOException.class, () -> Journal.open(folder, BUDGET_BYTES))
                .getMessage()
                .contains("newer"));
        assertArrayEquals(bytes, Files.readAllBytes(segment));
        assertEquals(1, segments().size());
    }

    /** Wrote the resource {@code journal-0.2.bin}, with the code of version 0.2. */
    static void writeRecordedFile(Path folder) throws IOException {
        try (SingleFileJournal journal = SingleFileJournal.open(folder, BUDGET_BYTES)) {
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
            AcceptedMessage[] messages = new AcceptedMessage[ids.length];
            for (int i = 0; i < ids.length; i++) {
                messages[i] = new AcceptedMessage(
                        journal.nextNumber(),
                        ids[i],
                        "idem-" + ids[i],
                        "policy-order",
                        7,
                        3,
                        DEADLINE_MILLIS,
                        new byte[120]);
                messages[i].classNumber = 1;
                journal.accept(messages[i]);
            }
            journal.attempt(messages[1], "uid-a", 77);
            journal.outcome(messages[1], true);
            journal.attempt(messages[1], "uid-b", 99);
            journal.end(messages[3], messages[3].failed());
            journal.conclude(messages[4]);
            journal.hold("peer", List.of(31L, 32L), DEADLINE_MILLIS);
            journal.lot(
                    "lot", new Ownership(1, Ownership.Status.OFFERED, "heir"), DEADLINE_MILLIS, List.of(messages[5]));
            journal.lot(
                    "gone", new Ownership(2, Ownership.Status.GIVEN, "heir"), DEADLINE_MILLIS, List.of(messages[6]));
            AcceptedMessage accepted = new AcceptedMessage(
                    journal.nextNumber(), "ended2", "", "policy-order", 7, 3, DEADLINE_MILLIS, new byte[1]);
            journal.adopt(
                    "adopted",
                    new Ownership(1, Ownership.Status.OWNED, ""),
                    DEADLINE_MILLIS,
                    List.of(accepted),
                    "peer",
                    List.of(messages[2]));
            journal.conclude(accepted);
            journal.release("peer", List.of(32L));
            journal.remember(new SingleFileJournal.Memory(3, "uid-a", UpstreamStatus.UNAVAILABLE, 5, 1.5, 2.5));
        }
    }
}
