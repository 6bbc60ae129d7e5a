package amberroute.sender;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Gives a process a tenth of a core by stopping it nine tenths of the time, in cycles of 100 ms or more. A cycle goes on until the process
 * has run for a tenth of it, or has nothing to run: where other work keeps the cores busy, a fixed time to run is mostly spent
 * waiting for a core. What it runs beyond that is taken off the next cycle. Linux only; reads the scheduler's statistics of each thread.
 */
final class CpuThrottle implements Closeable {
    private static final long STOPPED_MS = 90;
    private static final long RUNNING_MS = 10;
    private static final long CHECK_MS = 1;
    private static final long CYCLE_PARTS = (STOPPED_MS + RUNNING_MS) / RUNNING_MS;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long pid;
    private final Thread thread = new Thread(this::run, "throttle");
    private final long startNanos = System.nanoTime();
    private final long ranAtStartNanos;
    /** What the process had run when it was last continued; the throttle's thread only. */
    private long ranBeforeNanos;

    private final Map<Path, Long> ranNanosByThread = new HashMap<>();
    private volatile boolean ended;
    private String share = "";

    CpuThrottle(long pid) {
        this.pid = pid;
        ranAtStartNanos = ranNanos();
        ranBeforeNanos = ranAtStartNanos;
        thread.start();
    }

    private void run() {
        // One shell for all signals: a process for each would take longer than a step.
        String steps = "while read step; do kill -$step " + pid + "; done";
        try {
            Process shell = new ProcessBuilder("/bin/sh", "-c", steps).start();
            try (Writer signals = shell.outputWriter()) {
                while (!ended) {
                    cycle(signals);
                }
            }
            shell.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the process for nine times as long as it has run since the last stop, at least for the usual time. */
    private void cycle(Writer signals) throws IOException, InterruptedException {
        long stoppedAtNanos = System.nanoTime();
        signal(signals, "STOP");
        Thread.sleep(STOPPED_MS);
        long owedNanos = (ranNanos() - ranBeforeNanos) * (CYCLE_PARTS - 1);
        while (!ended && System.nanoTime() - stoppedAtNanos < owedNanos) {
            Thread.sleep(CHECK_MS);
        }
        ranBeforeNanos = ranNanos();
        signal(signals, "CONT");
        Thread.sleep(RUNNING_MS);
        while (!ended
                && wantsToRun()
                && (ranNanos() - ranBeforeNanos) * CYCLE_PARTS < System.nanoTime() - stoppedAtNanos) {
            Thread.sleep(CHECK_MS);
        }
    }

    private static void signal(Writer signals, String name) throws IOException {
        signals.write(name + "\n");
        signals.flush();
    }

    /** How long all threads of the process together have run, with those that have ended as far as that was seen. */
    private synchronized long ranNanos() {
        for (Path one : threads()) {
            String ran = read(one.resolve("schedstat"), "").split(" ")[0];
            if (!ran.isEmpty()) {
                ranNanosByThread.put(one, Long.parseLong(ran));
            }
        }
        return ranNanosByThread.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Whether any thread runs, or waits for a core. */
    private boolean wantsToRun() {
        return threads().stream()
                .map(one -> read(one.resolve("stat"), ")"))
                .anyMatch(stat -> stat.substring(stat.lastIndexOf(')') + 1).startsWith(" R"));
    }

    private List<Path> threads() {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            return threads.toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The file of a thread, or this where the thread has ended. */
    private static String read(Path file, String otherwise) {
        try {
            return Files.readString(file).strip();
        } catch (NoSuchFileException e) {
            return otherwise;
        } catch (IOException e) {
            if (String.valueOf(e.getMessage()).contains("No such process")) {
                return otherwise;
            }
            throw new UncheckedIOException(e);
        }
    }

    /** Lets the process go on. */
    @Override
    public void close() {
        if (ended) {
            return;
        }
        long wallNanos = System.nanoTime() - startNanos;
        long ranNanos = ranNanos() - ranAtStartNanos;
        share = "the process ran for " + ranNanos / NANOS_PER_MILLI + " of " + wallNanos / NANOS_PER_MILLI + " ms";
        ended = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the process got until {@link #close}. */
    @Override
    public String toString() {
        return share;
    }
}
