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
 * Measures the journal beside the single file of 0.2, one after the other in one process; run by hand ({@code
 * docs/figures/journal.md}). Not a test: it asserts nothing.
 */
final class JournalMeasurement {
    private static final long SOON = 4_000_000_000_000L;

    private interface Kind {
        Object open(Path folder, long budget) throws IOException;

        long number(Object journal);

        boolean accept(Object journal, AcceptedMessage m);

        boolean attempt(Object journal, AcceptedMessage m);

        void conclude(Object journal, AcceptedMessage m);

        void between(Object journal);

        int live(Object journal);

        void close(Object journal) throws IOException;
    }

    private static final class Segments implements Kind {
        @Override
        public Object open(Path folder, long budget) throws IOException {
            return Journal.open(folder, budget);
        }

        @Override
        public long number(Object journal) {
            return ((Journal) journal).nextNumber();
        }

        @Override
        public boolean accept(Object journal, AcceptedMessage m) {
            return ((Journal) journal).accept(m);
        }

        @Override
        public boolean attempt(Object journal, AcceptedMessage m) {
            return ((Journal) journal).attempt(m, "uid-of-an-endpoint", 5);
        }

        @Override
        public void conclude(Object journal, AcceptedMessage m) {
            ((Journal) journal).conclude(m);
        }

        @Override
        public void between(Object journal) {
            ((Journal) journal).compactSlice();
        }

        @Override
        public int live(Object journal) {
            return ((Journal) journal).pendingMessages().size();
        }

        @Override
        public void close(Object journal) throws IOException {
            ((Journal) journal).close();
        }
    }

    private static final class OneFile implements Kind {
        @Override
        public Object open(Path folder, long budget) throws IOException {
            return SingleFileJournal.open(folder, budget);
        }

        @Override
        public long number(Object journal) {
            return ((SingleFileJournal) journal).nextNumber();
        }

        @Override
        public boolean accept(Object journal, AcceptedMessage m) {
            return ((SingleFileJournal) journal).accept(m);
        }

        @Override
        public boolean attempt(Object journal, AcceptedMessage m) {
            return ((SingleFileJournal) journal).attempt(m, "uid-of-an-endpoint", 5);
        }

        @Override
        public void conclude(Object journal, AcceptedMessage m) {
            ((SingleFileJournal) journal).conclude(m);
        }

        @Override
        public void between(Object journal) {}

        @Override
        public int live(Object journal) {
            return ((SingleFileJournal) journal).live().size();
        }

        @Override
        public void close(Object journal) throws IOException {
            ((SingleFileJournal) journal).close();
        }
    }

    private static AcceptedMessage message(Kind kind, Object journal, int body) {
        long number = kind.number(journal);
        return new AcceptedMessage(
                number, Long.toHexString(number * 0x9e3779b97f4a7c15L), "", "quote-status", 0, 7, SOON, new byte[body]);
    }

    private static long written() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/io")).stream()
                .filter(line -> line.startsWith("wchar"))
                .mapToLong(line -> Long.parseLong(line.substring(7)))
                .sum();
    }

    private static Path folder() throws IOException {
        return Files.createTempDirectory("amberroute-figures-");
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** So many live messages, and others that are accepted, attempted and completed. */
    private static void load(String name, Kind kind, int live, int body, int messages) throws IOException {
        Path folder = folder();
        Object journal = kind.open(folder, Math.max(3L << 20, 4L * live * (body + 700)));
        Deque<AcceptedMessage> held = new ArrayDeque<>();
        for (int i = 0; i < live; i++) {
            AcceptedMessage m = message(kind, journal, body);
            kind.accept(journal, m);
            held.add(m);
        }
        long[] calls = new long[4 * messages];
        int n = 0;
        long before = written();
        long from = System.nanoTime();
        for (int i = 0; i < messages; i++) {
            AcceptedMessage fresh = message(kind, journal, body);
            long a = System.nanoTime();
            kind.accept(journal, fresh);
            long b = System.nanoTime();
            kind.attempt(journal, fresh);
            long c = System.nanoTime();
            held.add(fresh);
            // One in ten outlives those that are completed at once.
            AcceptedMessage done = i % 10 == 0 ? held.poll() : held.pollLast();
            long d = System.nanoTime();
            kind.conclude(journal, done);
            long e = System.nanoTime();
            kind.between(journal);
            long f = System.nanoTime();
            calls[n++] = b - a;
            calls[n++] = c - b;
            calls[n++] = e - d;
            calls[n++] = f - e;
        }
        long took = System.nanoTime() - from;
        long bytes = written() - before;
        Arrays.sort(calls);
        System.out.printf(
                Locale.ROOT,
                "%-9s live %7d body %4d: %.1f us a message, calls 99.9%% %.0f us, longest %.1f ms, %.2f bytes written a byte%n",
                name,
                live,
                body,
                took / 1e3 / messages,
                calls[(int) (calls.length * 0.999)] / 1e3,
                calls[calls.length - 1] / 1e6,
                bytes / (double) messages / (body + 60));
        kind.close(journal);
        delete(folder);
    }

    /** Iterations of so many messages, each accepted, attempted and completed, with the effects that wait for a force. */
    private static void forced(Durability durability, int turn, int turns) throws IOException {
        Path folder = folder();
        Deque<Runnable> due = new ArrayDeque<>();
        Journal journal = Journal.open(
                folder, new amberroute.storage.FolderDisk(folder), 64 << 20, durability, new BackgroundExecutor() {
                    @Override
                    public void runInBackground(Runnable work, Runnable then) {
                        work.run();
                        then.run();
                    }

                    @Override
                    public void runOnLoop(Runnable work) {
                        due.add(work);
                    }
                });
        int[] told = new int[1];
        long from = System.nanoTime();
        for (int t = 0; t < turns; t++) {
            for (int i = 0; i < turn; i++) {
                long number = journal.nextNumber();
                AcceptedMessage m =
                        new AcceptedMessage(number, "id" + number, "", "quote-status", 0, 7, SOON, new byte[200]);
                journal.accept(m);
                journal.whenDurable(() -> told[0]++, null);
                journal.attempt(m, "uid", 5);
                journal.whenDurable(() -> journal.conclude(m), null);
            }
            while (!due.isEmpty()) {
                due.poll().run();
            }
            journal.compactSlice();
        }
        double took = (System.nanoTime() - from) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "%-5s turns of %3d messages: %.0f messages a second (%d told)%n",
                durability,
                turn,
                turn * turns / took,
                told[0]);
        journal.close();
        delete(folder);
    }

    private static void usable(String name, Kind kind, int body) throws IOException {
        Path folder = folder();
        long budget = 3 << 20;
        Object journal = kind.open(folder, budget);
        int taken = 0;
        while (kind.accept(journal, message(kind, journal, body))) {
            taken++;
        }
        System.out.printf(
                Locale.ROOT,
                "%-9s 3 MB hold %5d messages with bodies of %5d: %.2f of the budget are bodies%n",
                name,
                taken,
                body,
                taken * (double) body / budget);
        kind.close(journal);
        delete(folder);
    }

    private static void recovery(String name, Kind kind, int live) throws IOException {
        Path folder = folder();
        long budget = Math.max(3L << 20, 4L * live * 800);
        Object journal = kind.open(folder, budget);
        for (int i = 0; i < live; i++) {
            kind.accept(journal, message(kind, journal, 100));
        }
        kind.close(journal);
        long best = Long.MAX_VALUE;
        int found = 0;
        for (int i = 0; i < (live > 100_000 ? 1 : 3); i++) {
            System.gc();
            long from = System.nanoTime();
            Object again = kind.open(folder, budget);
            best = Math.min(best, System.nanoTime() - from);
            found = kind.live(again);
            kind.close(again);
        }
        System.out.printf(
                Locale.ROOT, "%-9s reopens %7d live messages (%d found) in %.1f ms%n", name, live, found, best / 1e6);
        delete(folder);
    }

    public static void main(String[] args) throws IOException {
        List<Kind> kinds = List.of(new OneFile(), new Segments());
        for (int round = 0; round < 2; round++) {
            for (Kind kind : kinds) {
                String name = kind instanceof OneFile ? "one file" : "segments";
                System.out.println(round == 0 ? "warming up" : "measured");
                for (int live : round == 0 ? new int[] {400} : new int[] {400, 10_000, 100_000}) {
                    load(name, kind, live, 200, 30_000);
                }
                load(name, kind, 400, 2_000, 30_000);
                for (int body : new int[] {200, 1_000, 8_000, 64_000}) {
                    usable(name, kind, body);
                }
                for (int live : round == 0 ? new int[] {1_000} : new int[] {1_000, 100_000, 1_000_000}) {
                    recovery(name, kind, live);
                }
            }
        }
        for (Durability durability : Durability.values()) {
            for (int turn : new int[] {1, 10, 100}) {
                forced(durability, turn, durability == Durability.NONE ? 20_000 / turn : 1_000 / turn);
            }
        }
    }

    private JournalMeasurement() {}
}
