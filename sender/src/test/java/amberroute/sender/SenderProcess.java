package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A sender in a process of its own, for signals, kills and limits. Its output goes to a file. */
final class SenderProcess implements Closeable {
    private final ProcessHandle process;
    private final Path log;

    SenderProcess(ProcessHandle process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Returns when it is ready. */
    static SenderProcess start(Map<String, String> environment, Path log) throws IOException {
        SenderProcess one = begin(environment, log, 0);
        await(one::ready);
        return one;
    }

    /** Returns at once; it may hold so many descriptors, 0 for as many as this process. */
    static SenderProcess begin(Map<String, String> environment, Path log, int descriptors) throws IOException {
        return begin(environment, log, descriptors, command());
    }

    /** The same by a command of its own. */
    static SenderProcess begin(Map<String, String> environment, Path log, int descriptors, List<String> command)
            throws IOException {
        String limit = descriptors == 0 ? "" : "ulimit -n " + descriptors + "; ";
        List<String> words = new ArrayList<>(List.of("/bin/sh", "-c", limit + "exec \"$0\" \"$@\""));
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        return new SenderProcess(builder.start().toHandle(), log);
    }

    /** What runs a sender of the code under test. */
    static List<String> command() {
        return command(List.of("-XX:TieredStopAtLevel=1", "-Xmx64m"));
    }

    /** The same with these options of the JVM. */
    static List<String> command(List<String> options) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "amberroute.sender.Main", "serve"));
        return command;
    }

    /** The options that the deploy file gives the JVM, but for the class archive, which the tests' class path does not fit. */
    static List<String> deployedOptions() throws IOException {
        Path file = Path.of(System.getProperty("amberroute.root"), "deploy", "balancer.toml");
        String run = Files.readAllLines(file).stream()
                .filter(line -> line.startsWith("run "))
                .findFirst()
                .orElseThrow();
        return Stream.of(run.split("[ \"]+"))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(word -> !word.contains("SharedArchiveFile"))
                .toList();
    }

    /** Kilobytes of memory, what it shares with others counted in part; 0 once it has ended. */
    long proportionalKilobytes() {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "smaps_rollup"))) {
            return lines.filter(line -> line.startsWith("Pss:"))
                    .mapToLong(line -> Long.parseLong(line.split("\\s+")[1]))
                    .sum();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    long pid() {
        return process.pid();
    }

    boolean ready() {
        return logged("event=sender_ready");
    }

    boolean alive() {
        return process.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor());
    }

    /** Returns when it has ended. */
    void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    boolean logged(String text) {
        try {
            return Files.readString(log).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    /** How many lines of its log have this text. */
    long lines(String text) throws IOException {
        try (Stream<String> all = Files.lines(log)) {
            return all.filter(line -> line.contains(text)).count();
        }
    }

    int port() throws IOException {
        String text = Files.readString(log);
        String address = text.substring(text.indexOf("event=sender_ready"))
                .lines()
                .findFirst()
                .orElseThrow();
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Descriptors that it holds now. */
    long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return all.count();
        }
    }

    @Override
    public void close() {
        kill();
    }

    static void closeAll(List<SenderProcess> all) {
        all.forEach(SenderProcess::close);
    }
}
