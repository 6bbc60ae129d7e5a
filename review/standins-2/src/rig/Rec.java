package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: one line for each thing that was sent, answered or run, with milliseconds since the start. */
public final class Rec implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    public Rec(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run. */
    public double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    public synchronized void log(String text) {
        out.println(String.format(Locale.ROOT, "%10.1f %s", ms(), text));
        out.flush();
    }

    /** A line that is shown as well. */
    public void say(String text) {
        System.out.println(text);
        log(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
