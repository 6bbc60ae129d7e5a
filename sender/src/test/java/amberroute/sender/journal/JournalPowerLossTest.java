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

/** Reported acceptances, attempts and notices survive a power loss if durability is configured. */
class JournalPowerLossTest {
    private static final long BUDGET_BYTES = 600_000;

    /** Runs tasks when a test requests it, to simulate slow forces. */
    private static final class ManualExecutor implements BackgroundExecutor {
        final Deque<Runnable> dueWork = new ArrayDeque<>();
        int forces;

        @Override
        public void runInBackground(Runnable work, Runnable completion) {
            forces++;
            dueWork.add(() -> {
                work.run();
                dueWork.add(completion);
            });
        }

        @Override
        public void runOnLoop(Runnable work) {
            dueWork.add(work);
        }

        void runAll() {
            while (!dueWork.isEmpty()) {
                dueWork.poll().run();
            }
        }
    }

    private static AcceptedMessage newMessage(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "", "unsafe", 7, 3, 1_000, new byte[100]);
    }

    @Test
    void effectsOfOneIterationWaitForOneForce() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        ManualExecutor executor = new ManualExecutor();
        Journal journal = Journal.open(null, disk, BUDGET_BYTES, Durability.BATCH, executor);
        List<String> effects = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            String id = "m" + i;
            assertTrue(journal.accept(newMessage(journal, id)));
            journal.whenDurable(() -> effects.add(id), null);
        }
        assertEquals(List.of(), effects);
        assertEquals(20, journal.deferredEffectCount());
        executor.runAll();
        assertEquals(20, effects.size());
        assertEquals(1, executor.forces);
        // Nothing new was written, so no force is needed.
        journal.whenDurable(() -> effects.add("immediate"), null);
        assertEquals(21, effects.size());
        assertEquals(1, executor.forces);
    }

    /** Random operations, slow forces and a power loss at any operation: everything reported is found afterwards. */
    @Test
    void reportedChangesSurvivePowerLoss() throws IOException {
        int checked = 0;
        for (long seed = 1; seed <= 400; seed++) {
            for (Durability durability : List.of(Durability.BATCH, Durability.EACH)) {
                SimulatedDisk disk = new SimulatedDisk();
                SplittableRandom random = new SplittableRandom(seed);
                ManualExecutor executor = new ManualExecutor();
                Set<String> reportedAccepted = new HashSet<>();
                Map<String, Integer> reportedAttempts = new HashMap<>();
                Map<String, String> reportedNotices = new HashMap<>();
                Set<String> completed = new HashSet<>();
                disk.restart(seed, SimulatedDisk.Fault.KILL, 20 + seed * 3 % 900);
                try {
                    Journal journal = Journal.open(null, disk, BUDGET_BYTES, durability, executor);
                    for (int i = 0; i < 400; i++) {
                        List<AcceptedMessage> pending = List.copyOf(journal.pendingMessages());
                        AcceptedMessage message =
                                pending.isEmpty() ? null : pending.get(random.nextInt(pending.size()));
                        switch (message == null ? 0 : random.nextInt(5)) {
                            case 0, 1 -> {
                                AcceptedMessage accepted = newMessage(journal, "m" + i);
                                assertTrue(journal.accept(accepted));
                                journal.whenDurable(() -> reportedAccepted.add(accepted.id), null);
                            }
                            case 2 -> {
                                if (message.pendingNotification == null
                                        && !message.attemptInFlight
                                        && journal.recordAttempt(message, "uid", 5, 0)) {
                                    int attemptCount = message.attempts;
                                    journal.whenDurable(() -> reportedAttempts.put(message.id, attemptCount), null);
                                }
                            }
                            case 3 -> {
                                if (message.pendingNotification == null) {
                                    journal.endWithNotice(
                                            message,
                                            message.failed(),
                                            () -> journal.whenDurable(
                                                    () -> reportedNotices.put(message.id, message.pendingNotification),
                                                    null));
                                }
                            }
                            default -> {
                                completed.add(message.id);
                                journal.complete(message);
                            }
                        }
                        if (random.nextInt(3) == 0 && !executor.dueWork.isEmpty()) {
                            executor.dueWork.poll().run();
                        }
                        journal.compactStep();
                    }
                } catch (SimulatedDisk.ProcessKilledError e) {
                    // The power loss of this run.
                }
                disk.simulatePowerLoss(seed);
                disk.restart(1, SimulatedDisk.Fault.NONE, 0);
                Map<String, AcceptedMessage> foundById = new HashMap<>();
                Journal.open(null, disk, BUDGET_BYTES)
                        .pendingMessages()
                        .forEach(found -> foundById.put(found.id, found));
                String context = durability + ", seed " + seed;
                for (String id : reportedAccepted) {
                    assertTrue(foundById.containsKey(id) || completed.contains(id), context + ": " + id + " is lost");
                }
                reportedAttempts.forEach((id, attemptCount) -> assertTrue(
                        !foundById.containsKey(id)
                                || foundById.get(id).pendingNotification != null
                                || foundById.get(id).attempts >= attemptCount,
                        context + ": attempt " + attemptCount + " of " + id));
                reportedNotices.forEach((id, notice) -> assertTrue(
                        !foundById.containsKey(id) || notice.equals(foundById.get(id).pendingNotification),
                        context + ": notice of " + id));
                checked += reportedAccepted.size();
            }
        }
        assertTrue(checked > 5_000, "only " + checked + " messages were checked");
    }

    /** After a failed force no message is accepted until all records that it covered have been rewritten. */
    @Test
    void messagesAfterFailedForceAreRejectedUntilRecordsAreRewritten() throws IOException {
        for (long seed = 0; seed < 100; seed++) {
            SimulatedDisk disk = new SimulatedDisk();
            ManualExecutor executor = new ManualExecutor();
            Journal journal = Journal.open(null, disk, BUDGET_BYTES, Durability.BATCH, executor);
            List<String> effects = new ArrayList<>();
            for (String id : List.of("a", "b")) {
                assertTrue(journal.accept(newMessage(journal, id)));
                journal.whenDurable(() -> effects.add(id), () -> effects.add("failed " + id));
            }
            AcceptedMessage second = List.copyOf(journal.pendingMessages()).get(1);
            journal.endWithNotice(
                    second, second.failed(), () -> journal.whenDurable(() -> effects.add("end of b"), null));
            disk.restart(seed, SimulatedDisk.Fault.FAIL_FORCES, 1);
            executor.runAll();
            assertEquals(List.of("failed a", "failed b"), effects);
            assertFalse(journal.accept(newMessage(journal, "c")));
            assertFalse(journal.lastWriteUncertain(), "the rejected message was not written");
            assertTrue(journal.retryAfterMillis() > 0);
            for (int i = 0; i < 3; i++) {
                journal.retryFailedWrites();
                executor.runAll();
            }
            assertEquals(2, effects.size());
            disk.restart(seed, SimulatedDisk.Fault.NONE, 0);
            for (int i = 0; i < 4; i++) {
                journal.retryFailedWrites();
                executor.runAll();
            }
            assertEquals("end of b", effects.get(2));
            assertEquals("", journal.writeFailureReason());
            assertTrue(journal.accept(newMessage(journal, "d")));
            journal.whenDurable(() -> effects.add("d"), null);
            executor.runAll();
            assertEquals("d", effects.get(3));
            disk.simulatePowerLoss(seed);
            disk.restart(1, SimulatedDisk.Fault.NONE, 0);
            assertEquals(
                    List.of("a", "b", "d"),
                    Journal.open(null, disk, BUDGET_BYTES).pendingMessages().stream()
                            .map(message -> message.id)
                            .toList());
        }
    }

    /** Forces on the event loop while a background force runs: both are complete when it returns. */
    @Test
    void forceAllDuringBackgroundForceCompletesBoth() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        List<Thread> threads = new ArrayList<>();
        List<Runnable> completions = new ArrayList<>();
        Journal journal = Journal.open(null, disk, BUDGET_BYTES, Durability.BATCH, new BackgroundExecutor() {
            @Override
            public void runInBackground(Runnable work, Runnable completion) {
                Thread thread = new Thread(work);
                threads.add(thread);
                completions.add(completion);
                thread.start();
            }

            @Override
            public void runOnLoop(Runnable work) {
                work.run();
            }
        });
        List<String> effects = new ArrayList<>();
        assertTrue(journal.accept(newMessage(journal, "a")));
        journal.whenDurable(() -> effects.add("a"), null);
        assertEquals(1, threads.size());
        assertTrue(journal.accept(newMessage(journal, "b")));
        assertTrue(journal.forceAll());
        assertEquals(List.of("a"), effects);
        completions.forEach(Runnable::run);
        assertEquals(List.of("a"), effects);
        disk.simulatePowerLoss(3);
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        assertEquals(2, Journal.open(null, disk, BUDGET_BYTES).pendingMessages().size());
    }
}
