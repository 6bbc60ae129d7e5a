package amberroute.sender.journal;

import amberroute.sender.config.Durability;
import amberroute.sender.message.AcceptedMessage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Compares the journal with the single-file journal of version 0.2, alternately in one process; run by hand ({@code
 * docs/figures/journal.md}). Not a test: it asserts nothing.
 */
final class JournalMeasurement {
    private static final long DEADLINE_MILLIS = 4_000_000_000_000L;

    private interface JournalAdapter {
        Object open(Path folder, long budgetBytes) throws IOException;

        long nextNumber(Object journal);

        boolean accept(Object journal, AcceptedMessage message);

        boolean attempt(Object journal, AcceptedMessage message);

        void complete(Object journal, AcceptedMessage message);

        void compactStep(Object journal);

        int pendingCount(Object journal);

        void close(Object journal) throws IOException;
    }

    private static final class SegmentedJournalAdapter implements JournalAdapter {
        @Override
        public Object open(Path folder, long budgetBytes) throws IOException {
            return Journal.open(folder, budgetBytes);
        }

        @Override
        public long nextNumber(Object journal) {
            return ((Journal) journal).nextNumber();
        }

        @Override
        public boolean accept(Object journal, AcceptedMessage message) {
            return ((Journal) journal).accept(message);
        }

        @Override
        public boolean attempt(Object journal, AcceptedMessage message) {
            return ((Journal) journal).recordAttempt(message, "uid-of-an-endpoint", 5, 0);
        }

        @Override
        public void complete(Object journal, AcceptedMessage message) {
            ((Journal) journal).complete(message);
        }

        @Override
        public void compactStep(Object journal) {
            ((Journal) journal).compactStep();
        }

        @Override
        public int pendingCount(Object journal) {
            return ((Journal) journal).pendingMessages().size();
        }

        @Override
        public void close(Object journal) throws IOException {
            ((Journal) journal).close();
        }
    }

    private static final class SingleFileJournalAdapter implements JournalAdapter {
        @Override
        public Object open(Path folder, long budgetBytes) throws IOException {
            return SingleFileJournal.open(folder, budgetBytes);
        }

        @Override
        public long nextNumber(Object journal) {
            return ((SingleFileJournal) journal).nextNumber();
        }

        @Override
        public boolean accept(Object journal, AcceptedMessage message) {
            return ((SingleFileJournal) journal).accept(message);
        }

        @Override
        public boolean attempt(Object journal, AcceptedMessage message) {
            return ((SingleFileJournal) journal).attempt(message, "uid-of-an-endpoint", 5);
        }

        @Override
        public void complete(Object journal, AcceptedMessage message) {
            ((SingleFileJournal) journal).conclude(message);
        }

        @Override
        public void compactStep(Object journal) {}

        @Override
        public int pendingCount(Object journal) {
            return ((SingleFileJournal) journal).live().size();
        }

        @Override
        public void close(Object journal) throws IOException {
            ((SingleFileJournal) journal).close();
        }
    }

    private static AcceptedMessage message(JournalAdapter adapter, Object journal, int bodyBytes) {
        long number = adapter.nextNumber(journal);
        return new AcceptedMessage(
                number,
                Long.toHexString(number * 0x9e3779b97f4a7c15L),
                "",
                "quote-status",
                0,
                7,
                DEADLINE_MILLIS,
                new byte[bodyBytes]);
    }

    private static long writtenBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/io")).stream()
                .filter(line -> line.startsWith("wchar"))
                .mapToLong(line -> Long.parseLong(line.substring(7)))
                .sum();
    }

    private static Path createFolder() throws IOException {
        return Files.createTempDirectory("amberroute-measurement-");
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Accepts, attempts and completes messages while a number of others stay pending. */
    private static void measureLoad(String name, JournalAdapter adapter, int pending, int bodyBytes, int messages)
            throws IOException {
        Path folder = createFolder();
        Object journal = adapter.open(folder, Math.max(3L << 20, 4L * pending * (bodyBytes + 700)));
        Deque<AcceptedMessage> pendingMessages = new ArrayDeque<>();
        for (int i = 0; i < pending; i++) {
            AcceptedMessage message = message(adapter, journal, bodyBytes);
            adapter.accept(journal, message);
            pendingMessages.add(message);
        }
        long[] callNanos = new long[4 * messages];
        int next = 0;
        long writtenBefore = writtenBytes();
        long startNanos = System.nanoTime();
        for (int i = 0; i < messages; i++) {
            AcceptedMessage newMessage = message(adapter, journal, bodyBytes);
            long acceptStart = System.nanoTime();
            adapter.accept(journal, newMessage);
            long acceptEnd = System.nanoTime();
            adapter.attempt(journal, newMessage);
            long attemptEnd = System.nanoTime();
            pendingMessages.add(newMessage);
            // Every tenth iteration completes the oldest pending message; the others complete the new one.
            AcceptedMessage completed = i % 10 == 0 ? pendingMessages.poll() : pendingMessages.pollLast();
            long completeStart = System.nanoTime();
            adapter.complete(journal, completed);
            long completeEnd = System.nanoTime();
            adapter.compactStep(journal);
            long compactEnd = System.nanoTime();
            callNanos[next++] = acceptEnd - acceptStart;
            callNanos[next++] = attemptEnd - acceptEnd;
            callNanos[next++] = completeEnd - completeStart;
            callNanos[next++] = compactEnd - completeEnd;
        }
        long tookNanos = System.nanoTime() - startNanos;
        long written = writtenBytes() - writtenBefore;
        Arrays.sort(callNanos);
        System.out.printf(
                Locale.ROOT,
                "%-11s pending %7d body %4d bytes: %.1f us per message, "
                        + "99.9th percentile of calls %.0f us, longest %.1f ms, %.2f bytes written per message byte%n",
                name,
                pending,
                bodyBytes,
                tookNanos / 1e3 / messages,
                callNanos[(int) (callNanos.length * 0.999)] / 1e3,
                callNanos[callNanos.length - 1] / 1e6,
                written / (double) messages / (bodyBytes + 60));
        adapter.close(journal);
        delete(folder);
    }

    /**
     * Accepts, attempts and completes a number of messages per iteration. Acknowledgements and completions run only after the
     * records before them are as durable as configured.
     */
    private static void measureForces(Durability durability, int messagesPerIteration, int iterations)
            throws IOException {
        Path folder = createFolder();
        Deque<Runnable> dueWork = new ArrayDeque<>();
        Journal journal = Journal.open(
                folder, new amberroute.storage.FolderDisk(folder), 64 << 20, durability, new BackgroundExecutor() {
                    @Override
                    public void runInBackground(Runnable work, Runnable completion) {
                        work.run();
                        completion.run();
                    }

                    @Override
                    public void runOnLoop(Runnable work) {
                        dueWork.add(work);
                    }
                });
        int[] acknowledged = new int[1];
        long startNanos = System.nanoTime();
        for (int iteration = 0; iteration < iterations; iteration++) {
            for (int i = 0; i < messagesPerIteration; i++) {
                long number = journal.nextNumber();
                AcceptedMessage message = new AcceptedMessage(
                        number, "id" + number, "", "quote-status", 0, 7, DEADLINE_MILLIS, new byte[200]);
                journal.accept(message);
                journal.whenDurable(() -> acknowledged[0]++, null);
                journal.recordAttempt(message, "uid", 5, 0);
                journal.whenDurable(() -> journal.complete(message), null);
            }
            while (!dueWork.isEmpty()) {
                dueWork.poll().run();
            }
            journal.compactStep();
        }
        double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "%-5s iterations of %3d messages: %.0f messages per second (%d acknowledged)%n",
                durability,
                messagesPerIteration,
                messagesPerIteration * iterations / tookSeconds,
                acknowledged[0]);
        journal.close();
        delete(folder);
    }

    private static void measureUsableSpace(String name, JournalAdapter adapter, int bodyBytes) throws IOException {
        Path folder = createFolder();
        long budgetBytes = 3 << 20;
        Object journal = adapter.open(folder, budgetBytes);
        int accepted = 0;
        while (adapter.accept(journal, message(adapter, journal, bodyBytes))) {
            accepted++;
        }
        System.out.printf(
                Locale.ROOT,
                "%-11s 3 MB hold %5d messages with bodies of %5d bytes: %.2f of the budget are bodies%n",
                name,
                accepted,
                bodyBytes,
                accepted * (double) bodyBytes / budgetBytes);
        adapter.close(journal);
        delete(folder);
    }

    private static void measureRecovery(String name, JournalAdapter adapter, int pending) throws IOException {
        Path folder = createFolder();
        long budgetBytes = Math.max(3L << 20, 4L * pending * 800);
        Object journal = adapter.open(folder, budgetBytes);
        for (int i = 0; i < pending; i++) {
            adapter.accept(journal, message(adapter, journal, 100));
        }
        adapter.close(journal);
        long bestNanos = Long.MAX_VALUE;
        int found = 0;
        for (int i = 0; i < (pending > 100_000 ? 1 : 3); i++) {
            System.gc();
            long startNanos = System.nanoTime();
            Object reopened = adapter.open(folder, budgetBytes);
            bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
            found = adapter.pendingCount(reopened);
            adapter.close(reopened);
        }
        System.out.printf(
                Locale.ROOT,
                "%-11s reopens %7d pending messages (%d found) in %.1f ms%n",
                name,
                pending,
                found,
                bestNanos / 1e6);
        delete(folder);
    }

    public static void main(String[] args) throws IOException {
        List<JournalAdapter> adapters = List.of(new SingleFileJournalAdapter(), new SegmentedJournalAdapter());
        for (int round = 0; round < 2; round++) {
            for (JournalAdapter adapter : adapters) {
                String name = adapter instanceof SingleFileJournalAdapter ? "single file" : "segments";
                System.out.println(round == 0 ? "warming up" : "measured");
                for (int pending : round == 0 ? new int[] {400} : new int[] {400, 10_000, 100_000}) {
                    measureLoad(name, adapter, pending, 200, 30_000);
                }
                measureLoad(name, adapter, 400, 2_000, 30_000);
                for (int bodyBytes : new int[] {200, 1_000, 8_000, 64_000}) {
                    measureUsableSpace(name, adapter, bodyBytes);
                }
                for (int pending : round == 0 ? new int[] {1_000} : new int[] {1_000, 100_000, 1_000_000}) {
                    measureRecovery(name, adapter, pending);
                }
            }
        }
        for (Durability durability : Durability.values()) {
            for (int messagesPerIteration : new int[] {1, 10, 100}) {
                measureForces(
                        durability,
                        messagesPerIteration,
                        durability == Durability.NONE ? 20_000 / messagesPerIteration : 1_000 / messagesPerIteration);
            }
        }
    }

    private JournalMeasurement() {}
}
