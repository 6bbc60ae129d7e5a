package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.config.Durability;
import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.SimulatedDisk;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Acceptances, attempts and notices that were reported survive a loss of power, where that is configured. */
class JournalPowerLossTest {
    private static final long BUDGET = 600_000;

    /** Runs what is due when a test says so, as a force takes its time. */
    private static final class ManualExecutor implements BackgroundExecutor {
        final Deque<Runnable> due = new ArrayDeque<>();
        int forces;

        @Override
        public void runInBackground(Runnable work, Runnable then) {
            forces++;
            due.add(() -> {
                work.run();
                due.add(then);
            });
        }

        @Override
        public void runOnLoop(Runnable work) {
            due.add(work);
        }

        void runAll() {
            while (!due.isEmpty()) {
                due.poll().run();
            }
        }
    }

    private static AcceptedMessage newMessage(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "", "unsafe", 7, 3, 1_000, new byte[100]);
    }

    @Test
    void oneForceServesAllThatComesTogetherAndEffectsWaitForIt() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        ManualExecutor steps = new ManualExecutor();
        Journal journal = Journal.open(null, disk, BUDGET, Durability.BATCH, steps);
        List<String> told = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            String id = "m" + i;
            assertTrue(journal.accept(newMessage(journal, id)));
            journal.whenDurable(() -> told.add(id), null);
        }
        assertEquals(List.of(), told);
        assertEquals(20, journal.deferredEffects());
        steps.runAll();
        assertEquals(20, told.size());
        assertEquals(1, steps.forces);
        // Nothing new was written: no force is needed.
        journal.whenDurable(() -> told.add("at once"), null);
        assertEquals(21, told.size());
        assertEquals(1, steps.forces);
    }

    /** Random operations, slow forces, and power that fails at any operation: all that was reported is found. */
    @Test
    void whatWasToldOutlastsALossOfPower() throws IOException {
        int checked = 0;
        for (long seed = 1; seed <= 400; seed++) {
            for (Durability durability : List.of(Durability.BATCH, Durability.EACH)) {
                SimulatedDisk disk = new SimulatedDisk();
                SplittableRandom random = new SplittableRandom(seed);
                ManualExecutor steps = new ManualExecutor();
                Set<String> taken = new HashSet<>();
                Map<String, Integer> attempts = new HashMap<>();
                Map<String, String> ended = new HashMap<>();
                Set<String> concluded = new HashSet<>();
                disk.restart(seed, SimulatedDisk.Fault.KILL, 20 + seed * 3 % 900);
                try {
                    Journal journal = Journal.open(null, disk, BUDGET, durability, steps);
                    for (int i = 0; i < 400; i++) {
                        List<AcceptedMessage> all = List.copyOf(journal.pendingMessages());
                        AcceptedMessage any = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
                        switch (any == null ? 0 : random.nextInt(5)) {
                            case 0, 1 -> {
                                AcceptedMessage m = newMessage(journal, "m" + i);
                                assertTrue(journal.accept(m));
                                journal.whenDurable(() -> taken.add(m.id), null);
                            }
                            case 2 -> {
                                if (any.pendingNotification == null
                                        && !any.attemptInFlight
                                        && journal.attempt(any, "uid", 5)) {
                                    int n = any.attempts;
                                    journal.whenDurable(() -> attempts.put(any.id, n), null);
                                }
                            }
                            case 3 -> {
                                if (any.pendingNotification == null) {
                                    journal.end(
                                            any,
                                            any.failed(),
                                            () -> journal.whenDurable(
                                                    () -> ended.put(any.id, any.pendingNotification), null));
                                }
                            }
                            default -> {
                                concluded.add(any.id);
                                journal.conclude(any);
                            }
                        }
                        if (random.nextInt(3) == 0 && !steps.due.isEmpty()) {
                            steps.due.poll().run();
                        }
                        journal.compactSlice();
                    }
                } catch (SimulatedDisk.ProcessKilledError e) {
                    // Power has failed.
                }
                disk.failPower(seed);
                disk.restart(1, SimulatedDisk.Fault.NONE, 0);
                Map<String, AcceptedMessage> found = new HashMap<>();
                Journal.open(null, disk, BUDGET).pendingMessages().forEach(m -> found.put(m.id, m));
                String at = durability + ", seed " + seed;
                for (String id : taken) {
                    assertTrue(found.containsKey(id) || concluded.contains(id), at + ": " + id + " is lost");
                }
                attempts.forEach((id, n) -> assertTrue(
                        !found.containsKey(id)
                                || found.get(id).pendingNotification != null
                                || found.get(id).attempts >= n,
                        at + ": attempt " + n + " of " + id));
                ended.forEach((id, notice) -> assertTrue(
                        !found.containsKey(id) || notice.equals(found.get(id).pendingNotification),
                        at + ": the end of " + id));
                checked += taken.size();
            }
        }
        assertTrue(checked > 5_000, "only " + checked);
    }

    /** After a failed force nothing is accepted until all of what it covered is on the disk in another way. */
    @Test
    void afterAFailedForceNothingIsTakenOnUntilAllIsSafeAgain() throws IOException {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedDisk disk = new SimulatedDisk();
            ManualExecutor steps = new ManualExecutor();
            Journal journal = Journal.open(null, disk, BUDGET, Durability.BATCH, steps);
            List<String> told = new ArrayList<>();
            for (String id : List.of("a", "b")) {
                assertTrue(journal.accept(newMessage(journal, id)));
                journal.whenDurable(() -> told.add(id), () -> told.add("not " + id));
            }
            AcceptedMessage b = List.copyOf(journal.pendingMessages()).get(1);
            journal.end(b, b.failed(), () -> journal.whenDurable(() -> told.add("end of b"), null));
            disk.restart(seed, SimulatedDisk.Fault.FAIL_FORCES, 1);
            steps.runAll();
            assertEquals(List.of("not a", "not b"), told);
            assertFalse(journal.accept(newMessage(journal, "c")));
            assertFalse(journal.uncertain(), "c was never written");
            assertTrue(journal.retryAfterMillis() > 0);
            for (int i = 0; i < 3; i++) {
                journal.retry();
                steps.runAll();
            }
            assertEquals(2, told.size());
            disk.restart(seed, SimulatedDisk.Fault.NONE, 0);
            for (int i = 0; i < 4; i++) {
                journal.retry();
                steps.runAll();
            }
            assertEquals("end of b", told.get(2));
            assertEquals("", journal.writeFailure());
            assertTrue(journal.accept(newMessage(journal, "d")));
            journal.whenDurable(() -> told.add("d"), null);
            steps.runAll();
            assertEquals("d", told.get(3));
            disk.failPower(seed);
            disk.restart(1, SimulatedDisk.Fault.NONE, 0);
            assertEquals(
                    List.of("a", "b", "d"),
                    Journal.open(null, disk, BUDGET).pendingMessages().stream()
                            .map(m -> m.id)
                            .toList());
        }
    }

    /** A force on the event loop, while one runs in the background: both are done when it returns. */
    @Test
    void makingSafeWaitsForTheForceThatIsUnderWay() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        List<Thread> threads = new ArrayList<>();
        List<Runnable> then = new ArrayList<>();
        Journal journal = Journal.open(null, disk, BUDGET, Durability.BATCH, new BackgroundExecutor() {
            @Override
            public void runInBackground(Runnable work, Runnable after) {
                Thread thread = new Thread(work);
                threads.add(thread);
                then.add(after);
                thread.start();
            }

            @Override
            public void runOnLoop(Runnable work) {
                work.run();
            }
        });
        List<String> told = new ArrayList<>();
        assertTrue(journal.accept(newMessage(journal, "a")));
        journal.whenDurable(() -> told.add("a"), null);
        assertEquals(1, threads.size());
        assertTrue(journal.accept(newMessage(journal, "b")));
        assertTrue(journal.forceAll());
        assertEquals(List.of("a"), told);
        then.forEach(Runnable::run);
        assertEquals(List.of("a"), told);
        disk.failPower(3);
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        assertEquals(2, Journal.open(null, disk, BUDGET).pendingMessages().size());
    }
}
