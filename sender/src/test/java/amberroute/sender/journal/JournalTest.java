package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.Disk;
import amberroute.storage.SimulatedDisk;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Space in the journal: released in full, never exceeded, and sufficient for every accepted message. */
class JournalTest {
    private static final long BUDGET_BYTES = 600_000;
    private static final String ENDPOINT_UID = "u".repeat(128);

    @TempDir
    Path folder;

    /** Throws an unchecked exception, as a defect would, while it is broken and a file is opened to be written. */
    private record BreakableDisk(Disk disk, AtomicBoolean broken) implements Disk {
        @Override
        public List<String> list() throws IOException {
            return disk.list();
        }

        @Override
        public Handle openForWriting(String name) throws IOException {
            if (broken.get()) {
                throw new IllegalStateException("a defect");
            }
            return disk.openForWriting(name);
        }

        @Override
        public Handle openForReading(String name) throws IOException {
            return disk.openForReading(name);
        }

        @Override
        public void rename(String oldName, String newName) throws IOException {
            disk.rename(oldName, newName);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void forceFolder() throws IOException {
            disk.forceFolder();
        }
    }

    private AcceptedMessage numberedMessage(Journal journal) {
        long number = journal.nextNumber();
        String padded = String.format("%06d", number);
        return new AcceptedMessage(number, "id" + padded, "key" + padded, "unsafe", 7, 3, 1_000, new byte[200]);
    }

    private int acceptUntilFull(Journal journal) {
        int accepted = 0;
        while (journal.accept(numberedMessage(journal))) {
            accepted++;
        }
        return accepted;
    }

    private void assertWithinBudget() throws IOException {
        try (var files = Files.list(folder)) {
            assertTrue(files.mapToLong(file -> file.toFile().length()).sum() <= BUDGET_BYTES);
        }
    }

    /** Twelve attempts and a notice for each message, repeatedly: the files always stay within the budget. */
    @Test
    void spaceOfCompletedMessagesIsReleasedInFull() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            int firstAccepted = acceptUntilFull(journal);
            assertTrue(firstAccepted > 200, "accepted " + firstAccepted);
            for (int round = 0; round < 3; round++) {
                for (AcceptedMessage message : List.copyOf(journal.pendingMessages())) {
                    for (int i = 0; i < 12; i++) {
                        assertTrue(journal.recordAttempt(message, ENDPOINT_UID, 5, 0), "no space for an attempt");
                        journal.recordOutcome(message, true);
                    }
                    assertWithinBudget();
                }
                for (AcceptedMessage message : List.copyOf(journal.pendingMessages())) {
                    journal.endWithNotice(message, message.returned(1_000));
                    journal.complete(message);
                    assertWithinBudget();
                }
                assertEquals(firstAccepted, acceptUntilFull(journal));
            }
        }
    }

    /** Guards against holds in one batch that fit a segment of a large budget but not a record. */
    @Test
    void manyKeyHoldsAreWrittenInBatchesThatFitARecord() throws IOException {
        List<Long> keys = LongStream.rangeClosed(1, 10_000).boxed().toList();
        try (Journal journal = Journal.open(folder, 64 << 20)) {
            assertTrue(journal.holdKeys("origin", keys, 1_000));
        }
        try (Journal journal = Journal.open(folder, 64 << 20)) {
            assertTrue(keys.stream().allMatch(journal.keyHolds()::isHeld));
        }
    }

    /** Guards against unchecked errors of a write that leave callers in the middle: they count as failed, perhaps recorded. */
    @Test
    void uncheckedErrorOfAWriteIsAFailedWrite() throws IOException {
        AtomicBoolean broken = new AtomicBoolean();
        Disk disk = new BreakableDisk(new SimulatedDisk(), broken);
        try (Journal journal = Journal.open(folder, disk, BUDGET_BYTES)) {
            broken.set(true);
            assertFalse(journal.accept(numberedMessage(journal)));
            assertTrue(journal.lastWriteUncertain(), "the record may be there");
            broken.set(false);
            assertTrue(journal.accept(numberedMessage(journal)));
            assertFalse(journal.lastWriteUncertain());
        }
    }

    /** Compaction and a restart change nothing, including notices and ids of completed messages. */
    @Test
    void contentsAfterCompactionAndRestartAreUnchanged() throws IOException {
        String notice;
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            acceptUntilFull(journal);
            AcceptedMessage ended = journal.pendingMessages().iterator().next();
            notice = ended.failed();
            journal.endWithNotice(ended, notice);
            AcceptedMessage last = List.copyOf(journal.pendingMessages())
                    .get(journal.pendingMessages().size() - 1);
            journal.complete(List.copyOf(journal.pendingMessages()).get(1));
            for (int i = 0; i < 3_000; i++) {
                journal.recordAttempt(last, ENDPOINT_UID, 5 + i, 0);
                journal.recordOutcome(last, i > 0);
            }
            journal.recordAttempt(last, ENDPOINT_UID, 77, 0);
            assertWithinBudget();
        }
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            List<AcceptedMessage> pending = List.copyOf(journal.pendingMessages());
            assertEquals(notice, pending.get(0).pendingNotification);
            assertTrue(journal.containsId("id000002"), "the id of a completed message was lost");
            AcceptedMessage last = pending.get(pending.size() - 1);
            assertEquals(
                    List.of(3_001, 6L, ENDPOINT_UID, true, 77L),
                    List.of(
                            last.attempts,
                            last.unknownOutcomeSinceMillis,
                            last.unknownOutcomeEndpoint,
                            last.attemptInFlight,
                            last.attemptSentAtMillis));
            int pendingCount = pending.size();
            pending.forEach(journal::complete);
            assertTrue(acceptUntilFull(journal) >= pendingCount, "the restart lost space");
        }
    }

    private static Journal openOn(SimulatedDisk disk) throws IOException {
        return Journal.open(null, disk, BUDGET_BYTES);
    }

    private static AcceptedMessage newMessage(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "", "unsafe", 7, 3, 1_000, new byte[100]);
    }

    /**
     * While the disk is not writable, no message is accepted, no attempt made and no notice sent; all pending changes
     * are written when it recovers.
     */
    @Test
    void changesOnUnwritableDiskAreAppliedWhenItRecovers() throws IOException {
        for (SimulatedDisk.Fault fault : List.of(SimulatedDisk.Fault.FULL, SimulatedDisk.Fault.READ_ONLY)) {
            SimulatedDisk disk = new SimulatedDisk();
            Journal journal = openOn(disk);
            AcceptedMessage attempted = newMessage(journal, "attempted");
            AcceptedMessage ending = newMessage(journal, "ending");
            AcceptedMessage completing = newMessage(journal, "over");
            List.of(attempted, ending, completing).forEach(message -> assertTrue(journal.accept(message)));
            assertTrue(journal.recordAttempt(attempted, "uid", 5, 0) && journal.recordAttempt(completing, "uid", 5, 0));
            assertEquals(0, journal.retryAfterMillis());
            // The reserve does not help on a disk that accepts no write at all.
            disk.restart(4, fault, 1);
            List<String> effects = new ArrayList<>();
            assertFalse(journal.accept(newMessage(journal, "new")));
            assertTrue(journal.retryAfterMillis() > 0
                    && !journal.writeFailureReason().isEmpty());
            assertFalse(journal.recordAttempt(ending, "uid", 6, 0));
            assertEquals(0, ending.attempts, "an attempt that is not recorded must not be made");
            journal.recordOutcome(attempted, true);
            journal.endWithNotice(ending, ending.failed(), () -> effects.add("ending"));
            journal.complete(completing);
            for (int i = 0; i < 5; i++) {
                journal.retryFailedWrites();
                journal.compactStep();
            }
            assertEquals(List.of(), effects);
            assertEquals(3, journal.pendingWriteCount());
            assertTrue(disk.fileNames().size() < 6, disk.fileNames().toString());
            disk.restart(4, SimulatedDisk.Fault.NONE, 0);
            journal.retryFailedWrites();
            assertEquals(List.of("ending"), effects);
            assertEquals(0, journal.pendingWriteCount());
            assertEquals(0, journal.retryAfterMillis());
            assertTrue(journal.accept(newMessage(journal, "later")));
            Journal reopened = openOn(disk);
            assertEquals(
                    List.of("attempted", "ending", "later"),
                    reopened.pendingMessages().stream()
                            .map(message -> message.id)
                            .toList());
            assertEquals(5, reopened.pendingMessages().iterator().next().unknownOutcomeSinceMillis);
            assertTrue(reopened.containsId("over") && !reopened.containsId("new"));
        }
    }

    /** A full disk accepts no message, but accepted ones are ended from the reserve, also after a restart. */
    @Test
    void messagesOnFullDiskAreEndedFromTheReserve() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        Journal journal = openOn(disk);
        List<AcceptedMessage> messages = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            messages.add(newMessage(journal, "m" + i));
            assertTrue(journal.accept(messages.get(i)));
        }
        disk.setCapacity(disk.fileNames().stream()
                .mapToLong(name -> (disk.fileBytes(name).length + 511) / 512 * 512)
                .sum());
        int noticesSent = 0;
        for (AcceptedMessage message : messages.subList(0, 20)) {
            int[] effectRuns = new int[1];
            journal.endWithNotice(message, message.failed(), () -> effectRuns[0]++);
            noticesSent += effectRuns[0];
            journal.complete(message);
        }
        assertEquals(20, noticesSent);
        assertEquals(0, journal.pendingWriteCount());
        Journal reopened = openOn(disk);
        assertEquals(20, reopened.pendingMessages().size());
        disk.setCapacity(Long.MAX_VALUE);
        reopened.retryFailedWrites();
        assertTrue(reopened.accept(newMessage(reopened, "new")));
    }

    /** With 3 MB of disk, the health of more than a thousand upstreams survives a restart. */
    @Test
    void healthRecordsOfThousandUpstreamsSurviveRestart() throws IOException {
        try (Journal journal = Journal.open(folder, 3_000_000)) {
            for (int i = 0; i < 1_500; i++) {
                journal.recordHealth(new HealthRecord(i, "", amberroute.decisions.UpstreamStatus.UNAVAILABLE, i, 1, 2));
            }
        }
        try (Journal journal = Journal.open(folder, 3_000_000)) {
            assertEquals(1_500, journal.healthRecords().size());
            for (int i = 0; i < 1_500; i++) {
                journal.recordHealth(
                        new HealthRecord(5_000 + i, "", amberroute.decisions.UpstreamStatus.UNAVAILABLE, i, 1, 2));
            }
            assertEquals(
                    1_950, journal.healthRecords().size(), "health records are bounded by their part of the budget");
            assertTrue(
                    journal.healthRecords().stream().anyMatch(record -> record.destination() == 6_499),
                    "the newest record is missing");
        }
    }

    /** A burst of idempotent messages evicts no id of a non-idempotent one; memory and disk stay bounded. */
    @Test
    void nonIdempotentIdsSurviveBurstOfIdempotentMessages() throws IOException {
        try (Journal journal = Journal.open(folder, 3 << 20)) {
            journal.defineClass(
                    0,
                    new MessageClassRegistry.Version(
                            "safe",
                            new DeliveryScheduler.MessageClass(
                                    1,
                                    0.5,
                                    1_500_000,
                                    6_000_000,
                                    DeliveryScheduler.Idempotency.IDEMPOTENT,
                                    DeliveryScheduler.KeyScope.DESTINATION,
                                    0,
                                    false)));
            for (int i = 0; i < 500; i++) {
                AcceptedMessage nonIdempotent = newMessage(journal, "unsafe" + i);
                assertTrue(journal.accept(nonIdempotent));
                journal.complete(nonIdempotent);
            }
            for (int i = 0; i < 20_000; i++) {
                AcceptedMessage idempotent =
                        new AcceptedMessage(journal.nextNumber(), "safe" + i, "", "safe", 0, 3, 1_000, new byte[50]);
                idempotent.classNumber = 0;
                assertTrue(journal.accept(idempotent));
                journal.complete(idempotent);
                journal.compactStep();
                assertTrue(journal.usedBytes() <= 3 << 20);
            }
        }
        try (Journal journal = Journal.open(folder, 3 << 20)) {
            for (int i = 0; i < 500; i++) {
                assertTrue(journal.containsId("unsafe" + i), "unsafe" + i + " was evicted");
            }
            assertTrue(journal.containsId("safe19999") && !journal.containsId("safe10"));
        }
    }

    /** Repair writes the readable records elsewhere and leaves the original unchanged, byte for byte. */
    @Test
    void repairCopiesReadableRecordsAndLeavesOriginalUnchanged() throws IOException {
        Path state = folder.resolve("state");
        try (Journal journal = Journal.open(state, BUDGET_BYTES)) {
            for (int i = 0; i < 100; i++) {
                assertTrue(journal.accept(newMessage(journal, "m" + i)));
            }
            AcceptedMessage completed = journal.pendingMessages().iterator().next();
            journal.recordAttempt(completed, "uid", 5, 0);
            journal.complete(completed);
        }
        Path segment;
        try (var files = Files.list(state)) {
            segment = files.filter(file -> file.toString().endsWith(".seg"))
                    .findFirst()
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(segment);
        bytes[bytes.length / 2] ^= 4;
        Files.write(segment, bytes);
        JournalView damaged = JournalView.read(state);
        assertTrue(damaged.damaged() && damaged.summary().contains("COULD NOT BE READ"), damaged.summary());
        JournalView copy = JournalView.repair(state, folder.resolve("copy"));
        assertFalse(copy.damaged());
        assertEquals(98, copy.pendingCount());
        assertArrayEquals(bytes, Files.readAllBytes(segment));
        try (Journal journal = Journal.open(folder.resolve("copy"), BUDGET_BYTES)) {
            assertTrue(journal.containsId("m0"));
            assertEquals(98, journal.pendingMessages().size());
        }
        assertThrows(IOException.class, () -> JournalView.repair(state, folder.resolve("copy")));
    }
}
