package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The clients' listening socket as the platform holds it: processes of one sender get it as descriptor 0, side by side. Bound to
 * a free port of 127.0.0.1. Stands on Perl, which each Debian system has.
 */
final class SharedSocket implements Closeable {
    private static final long ANSWER_SECONDS = 20;
    private final Process launcher;
    private final Writer commands;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final Map<Long, Integer> statuses = new ConcurrentHashMap<>();
    private final int port;

    SharedSocket(Path folder) throws IOException, InterruptedException {
        Path script = folder.resolve("share-socket.pl");
        try (InputStream text = SharedSocket.class.getResourceAsStream("/share-socket.pl")) {
            Files.copy(text, script);
        }
        launcher = new ProcessBuilder("perl", script.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        commands = launcher.outputWriter(StandardCharsets.UTF_8);
        Thread reading = new Thread(this::read, "launcher");
        reading.setDaemon(true);
        reading.start();
        port = Integer.parseInt(answer("listening "));
    }

    private void read() {
        try (BufferedReader lines = launcher.inputReader(StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("ended ")) {
                    String[] words = line.split(" ");
                    statuses.put(Long.parseLong(words[1]), Integer.parseInt(words[2]));
                } else {
                    answers.add(line);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String answer(String start) throws InterruptedException {
        String line = answers.poll(ANSWER_SECONDS, TimeUnit.SECONDS);
        assertTrue(line != null && line.startsWith(start), "the launcher said " + line);
        return line.substring(start.length());
    }

    int port() {
        return port;
    }

    /** Starts a sender and returns at once. */
    SenderProcess begin(Map<String, String> environment, Path log) throws IOException, InterruptedException {
        return begin(environment, log, SenderProcess.command());
    }

    /** The same by a command of its own. */
    SenderProcess begin(Map<String, String> environment, Path log, List<String> command)
            throws IOException, InterruptedException {
        List<String> fields = new ArrayList<>(
                List.of("start", log.toString(), Integer.toString(environment.size() + 1), "GW_ACCEPT_FD=0"));
        environment.forEach((name, value) -> fields.add(name + "=" + value));
        fields.addAll(command);
        commands.write(String.join("\t", fields) + "\n");
        commands.flush();
        long pid = Long.parseLong(answer("started "));
        return new SenderProcess(ProcessHandle.of(pid).orElseThrow(), log);
    }

    /** How a process ended, 128 and a signal's number where that ended it; empty while it runs. */
    OptionalInt status(SenderProcess process) {
        Integer status = statuses.get(process.pid());
        return status == null ? OptionalInt.empty() : OptionalInt.of(status);
    }

    @Override
    public void close() throws IOException {
        commands.close();
        try {
            launcher.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
