package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.SimulatedDisk;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Room in the journal: given back in full, never exceeded, and enough for every accepted message. */
class JournalTest {
    private static final long BUDGET = 600_000;
    private static final String UID = "u".repeat(128);

    @TempDir
    Path folder;

    private AcceptedMessage numberedMessage(Journal journal) {
        long number = journal.nextNumber();
        String padded = String.format("%06d", number);
        return new AcceptedMessage(number, "id" + padded, "key" + padded, "unsafe", 7, 3, 1_000, new byte[200]);
    }

    private int acceptUntilFull(Journal journal) {
        int taken = 0;
        while (journal.accept(numberedMessage(journal))) {
            taken++;
        }
        return taken;
    }

    private void assertWithinBudget() throws IOException {
        try (var files = Files.list(folder)) {
            assertTrue(files.mapToLong(f -> f.toFile().length()).sum() <= BUDGET);
        }
    }

    /** Twelve attempts each and a notice, repeatedly: the files stay within the budget all the time. */
    @Test
    void givesBackTheRoomOfWhatHasEnded() throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET)) {
            int first = acceptUntilFull(journal);
            assertTrue(first > 200, "took " + first);
            for (int round = 0; round < 3; round++) {
                for (AcceptedMessage m : List.copyOf(journal.pendingMessages())) {
                    for (int i = 0; i < 12; i++) {
                        assertTrue(journal.attempt(m, UID, 5), "no room for an attempt");
                        journal.outcome(m, true);
                    }
                    assertWithinBudget();
                }
                for (AcceptedMessage m : List.copyOf(journal.pendingMessages())) {
                    journal.end(m, m.returned(1_000));
                    journal.conclude(m);
                    assertWithinBudget();
                }
                assertEquals(first, acceptUntilFull(journal));
            }
        }
    }

    /** Compaction and a restart change nothing, notices and ids of completed messages included. */
    @Test
    void standsTheSameAfterARewriteAndARestart() throws IOException {
        String notice;
        try (Journal journal = Journal.open(folder, BUDGET)) {
            acceptUntilFull(journal);
            AcceptedMessage ended = journal.pendingMessages().iterator().next();
            notice = ended.failed();
            journal.end(ended, notice);
            AcceptedMessage last = List.copyOf(journal.pendingMessages())
                    .get(journal.pendingMessages().size() - 1);
            journal.conclude(List.copyOf(journal.pendingMessages()).get(1));
            for (int i = 0; i < 3_000; i++) {
                journal.attempt(last, UID, 5 + i);
                journal.outcome(last, i > 0);
            }
            journal.attempt(last, UID, 77);
            assertWithinBudget();
        }
        try (Journal journal = Journal.open(folder, BUDGET)) {
            List<AcceptedMessage> live = List.copyOf(journal.pendingMessages());
            assertEquals(notice, live.get(0).pendingNotification);
            assertTrue(journal.knows("id000002"), "the id of an ended message was forgotten");
            AcceptedMessage last = live.get(live.size() - 1);
            assertEquals(
                    List.of(3_001, 6L, UID, true, 77L),
                    List.of(
                            last.attempts,
                            last.unknownOutcomeSinceMillis,
                            last.unknownOutcomeEndpoint,
                            last.attemptInFlight,
                            last.attemptSentAtMillis));
            int taken = live.size();
            live.forEach(journal::conclude);
            assertTrue(acceptUntilFull(journal) >= taken, "room was lost over the restart");
        }
    }

    private static Journal openOn(SimulatedDisk disk) throws IOException {
        return Journal.open(null, disk, BUDGET);
    }

    private static AcceptedMessage newMessage(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "", "unsafe", 7, 3, 1_000, new byte[100]);
    }

    /** While nothing can be written no message is accepted, no attempt made and no notice sent; then all of it in order. */
    @Test
    void aDiskThatTakesNothingHoldsBackWhatDependsOnItAndNothingElse() throws IOException {
        for (SimulatedDisk.Fault fault : List.of(SimulatedDisk.Fault.FULL, SimulatedDisk.Fault.READ_ONLY)) {
            SimulatedDisk disk = new SimulatedDisk();
            Journal journal = openOn(disk);
            AcceptedMessage tried = newMessage(journal, "tried");
            AcceptedMessage ends = newMessage(journal, "ends");
            AcceptedMessage over = newMessage(journal, "over");
            List.of(tried, ends, over).forEach(m -> assertTrue(journal.accept(m)));
            assertTrue(journal.attempt(tried, "uid", 5) && journal.attempt(over, "uid", 5));
            assertEquals(0, journal.retryAfterMillis());
            // The reserve is no help on a disk that takes nothing at all.
            disk.restart(4, fault, 1);
            List<String> told = new ArrayList<>();
            assertFalse(journal.accept(newMessage(journal, "new")));
            assertTrue(journal.retryAfterMillis() > 0 && !journal.writeFailure().isEmpty());
            assertFalse(journal.attempt(ends, "uid", 6));
            assertEquals(0, ends.attempts, "an attempt that was not recorded was not made");
            journal.outcome(tried, true);
            journal.end(ends, ends.failed(), () -> told.add("ends"));
            journal.conclude(over);
            for (int i = 0; i < 5; i++) {
                journal.retry();
                journal.compactSlice();
            }
            assertEquals(List.of(), told);
            assertEquals(3, journal.pendingWriteCount());
            assertTrue(disk.names().size() < 6, disk.names().toString());
            disk.restart(4, SimulatedDisk.Fault.NONE, 0);
            journal.retry();
            assertEquals(List.of("ends"), told);
            assertEquals(0, journal.pendingWriteCount());
            assertEquals(0, journal.retryAfterMillis());
            assertTrue(journal.accept(newMessage(journal, "later")));
            Journal again = openOn(disk);
            assertEquals(
                    List.of("tried", "ends", "later"),
                    again.pendingMessages().stream().map(m -> m.id).toList());
            assertEquals(5, again.pendingMessages().iterator().next().unknownOutcomeSinceMillis);
            assertTrue(again.knows("over") && !again.knows("new"));
        }
    }

    /** A full disk accepts no message, but accepted ones are ended out of the reserve, over a restart as well. */
    @Test
    void theReserveEndsWhatIsHeldOnAFullDisk() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        Journal journal = openOn(disk);
        List<AcceptedMessage> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            all.add(newMessage(journal, "m" + i));
            assertTrue(journal.accept(all.get(i)));
        }
        disk.capacity(disk.names().stream()
                .mapToLong(n -> (disk.bytes(n).length + 511) / 512 * 512)
                .sum());
        int told = 0;
        for (AcceptedMessage m : all.subList(0, 20)) {
            int[] one = new int[1];
            journal.end(m, m.failed(), () -> one[0]++);
            told += one[0];
            journal.conclude(m);
        }
        assertEquals(20, told);
        assertEquals(0, journal.pendingWriteCount());
        Journal again = openOn(disk);
        assertEquals(20, again.pendingMessages().size());
        disk.capacity(Long.MAX_VALUE);
        again.retry();
        assertTrue(again.accept(newMessage(again, "new")));
    }

    /** With 3 MB of disk the next process knows the outages of more than a thousand upstreams. */
    @Test
    void remembersAThousandOutages() throws IOException {
        try (Journal journal = Journal.open(folder, 3_000_000)) {
            for (int i = 0; i < 1_500; i++) {
                journal.recordHealth(new HealthRecord(
                        i, "", amberroute.decisions.DeliveryScheduler.UpstreamStatus.UNAVAILABLE, i, 1, 2));
            }
        }
        try (Journal journal = Journal.open(folder, 3_000_000)) {
            assertEquals(1_500, journal.healthRecords().size());
            for (int i = 0; i < 1_500; i++) {
                journal.recordHealth(new HealthRecord(
                        5_000 + i, "", amberroute.decisions.DeliveryScheduler.UpstreamStatus.UNAVAILABLE, i, 1, 2));
            }
            assertEquals(1_950, journal.healthRecords().size(), "they take their share of the disk, and no more");
            assertTrue(
                    journal.healthRecords().stream().anyMatch(m -> m.destination() == 6_499),
                    "the newest is forgotten");
        }
    }

    /** A burst of idempotent messages forgets no non-idempotent id, and memory and disk stay bounded. */
    @Test
    void aBurstOfSafeMessagesForgetsNoUnsafeId() throws IOException {
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
                AcceptedMessage unsafe = newMessage(journal, "unsafe" + i);
                assertTrue(journal.accept(unsafe));
                journal.conclude(unsafe);
            }
            for (int i = 0; i < 20_000; i++) {
                AcceptedMessage safe =
                        new AcceptedMessage(journal.nextNumber(), "safe" + i, "", "safe", 0, 3, 1_000, new byte[50]);
                safe.classNumber = 0;
                assertTrue(journal.accept(safe));
                journal.conclude(safe);
                journal.compactSlice();
                assertTrue(journal.usedBytes() <= 3 << 20);
            }
        }
        try (Journal journal = Journal.open(folder, 3 << 20)) {
            for (int i = 0; i < 500; i++) {
                assertTrue(journal.knows("unsafe" + i), "unsafe" + i + " was forgotten");
            }
            assertTrue(journal.knows("safe19999") && !journal.knows("safe10"));
        }
    }

    /** Repair writes what can be read elsewhere; the original stays as it is, byte for byte. */
    @Test
    void repairKeepsTheOriginalAndAllThatCanBeRead() throws IOException {
        Path state = folder.resolve("state");
        try (Journal journal = Journal.open(state, BUDGET)) {
            for (int i = 0; i < 100; i++) {
                assertTrue(journal.accept(newMessage(journal, "m" + i)));
            }
            AcceptedMessage over = journal.pendingMessages().iterator().next();
            journal.attempt(over, "uid", 5);
            journal.conclude(over);
        }
        Path segment;
        try (var files = Files.list(state)) {
            segment =
                    files.filter(f -> f.toString().endsWith(".seg")).findFirst().orElseThrow();
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
        try (Journal journal = Journal.open(folder.resolve("copy"), BUDGET)) {
            assertTrue(journal.knows("m0"));
            assertEquals(98, journal.pendingMessages().size());
        }
        assertThrows(IOException.class, () -> JournalView.repair(state, folder.resolve("copy")));
    }
}
