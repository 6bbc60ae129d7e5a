package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line as a process: exit codes, one line on standard error, and nothing else there. */
class MainTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir
    Path folder;

    private record Run(int code, String out, String err) {}

    private Run run(String main, Map<String, String> environment, String... args) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                main));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().keySet().removeIf(k -> k.startsWith("GW_"));
        builder.environment().putAll(environment);
        Process process = builder.redirectOutput(folder.resolve("out").toFile())
                .redirectError(folder.resolve("err").toFile())
                .start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "does not end");
        return new Run(
                process.exitValue(), Files.readString(folder.resolve("out")), Files.readString(folder.resolve("err")));
    }

    private Run run(String... args) throws Exception {
        return run("amberroute.cli.Main", Map.of(), args);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "2 | '' | a command is needed",
                "2 | dance | Unmatched argument",
                "2 | demo --seconds ten | Invalid value for option '--seconds'",
                "1 | demo --seconds 3 | seconds is 10 to 3600",
                "2 | submit --to 127.0.0.1:1 | Missing required options",
                "1 | submit --to localhost:1 --class c --dest 1 | not an address in figures",
                "1 | submit --to 127.0.0.1:1 --class c --dest 1 | refused",
                "1 | check none.toml | none.toml: cannot be read",
                "1 | fleet status -f none.toml | none.toml: cannot be read",
                "1 | journal show nowhere | no journal in nowhere",
                "2 | rig dance | Unmatched argument"
            })
    void whatCannotBeIsOneLineAndACode(int code, String args, String says) throws Exception {
        Run run = run(args.isEmpty() ? new String[0] : args.split(" "));
        assertEquals(code, run.code(), run.toString());
        assertEquals(1, run.err().lines().count(), run.toString());
        assertTrue(run.err().startsWith("amberroute: ") && run.err().contains(says), run.toString());
        assertEquals("", run.out());
    }

    @Test
    void everyCommandHasHelp() throws Exception {
        for (String command : List.of(
                "",
                "serve",
                "fleet",
                "fleet up",
                "fleet status",
                "fleet restart",
                "fleet reload",
                "fleet stop",
                "demo",
                "check",
                "submit",
                "journal show",
                "rig rolling-restart",
                "rig start")) {
            // In this process: the exit code is all that is asked.
            assertEquals(0, Main.execute((command + " --help").strip().split(" ")), command);
        }
    }

    @Test
    void checksTheFilesThatAreShipped() throws Exception {
        Run fleet = run("check", ROOT.resolve("deploy/fleet.toml").toString());
        assertEquals(0, fleet.code(), fleet.toString());
        assertTrue(fleet.out().startsWith("quito: 3 daemons, 127.0.0.1:6379 to 127.0.0.1:6381"), fleet.out());
        Run sender = run("check", ROOT.resolve("deploy/amberroute.toml").toString());
        assertEquals(0, sender.code(), sender.toString());
        assertTrue(sender.out().contains("3 classes, 2 endpoints from a file"), sender.out());
        String keys = run("check", "--keys").out();
        assertTrue(keys.contains("stop.deadline") && keys.contains("rolling.at_once"), keys);
    }

    /** A definition whose daemons' own file is broken is found before anything is started. */
    @Test
    void checksWhatADefinitionsDaemonsWouldRead() throws Exception {
        Files.writeString(
                folder.resolve("fleet.toml"), "sender = \"s.toml\"\ncount = 2\nlisten = \"127.0.0.1:7000\"\n");
        Files.writeString(folder.resolve("s.toml"), "discovery = \"127.0.0.1:1\"\n");
        Run run = run("check", "fleet.toml");
        assertEquals(1, run.code());
        assertTrue(run.err().contains("s.toml: class is missing"), run.toString());
    }

    @Test
    void theDaemonNamesABadFileInOneLine() throws Exception {
        Files.writeString(folder.resolve("s.toml"), "lisen = \"x\"\n");
        Run run = run("amberroute.sender.Main", Map.of(), "serve", "--config", "s.toml");
        assertEquals(1, run.code());
        assertEquals(1, run.err().lines().count(), run.err());
        assertTrue(run.err().contains("s.toml:1: unknown key lisen; did you mean listen?"), run.err());
        Run none = run("amberroute.sender.Main", Map.of(), "serve");
        assertEquals(1, none.code());
        assertEquals("amberroute: GW_CONFIG names no configuration\n", none.err());
        assertEquals(2, run("amberroute.sender.Main", Map.of(), "dance").code());
    }

    @Test
    void submitShowsTheAnswerAndTellsItByItsCode() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            List<String> seen = new ArrayList<>();
            Thread thread = new Thread(() -> {
                for (String answer : List.of("+OK", "-BUSY 700")) {
                    try (Socket socket = server.accept()) {
                        BufferedReader in = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                        for (int i = 0; i < 11; i++) {
                            seen.add(in.readLine());
                        }
                        socket.getOutputStream().write((answer + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    } catch (IOException e) {
                        seen.add(e.toString());
                    }
                }
            });
            thread.start();
            String to = "127.0.0.1:" + server.getLocalPort();
            Run taken = run(
                    "submit",
                    "--to",
                    to,
                    "--class",
                    "quote-status",
                    "--dest",
                    "7",
                    "--id",
                    "m1",
                    "--key",
                    "ff",
                    "--within",
                    "1500ms",
                    "--idempotency-key",
                    "k1",
                    "--body",
                    "señal");
            assertEquals(0, taken.code(), taken.toString());
            assertEquals("m1 +OK\n", taken.out());
            String options = "c=quote-status,d=1500,dest=7,k=k1";
            assertEquals(
                    List.of(
                            "*5",
                            "$6",
                            "SUBMIT",
                            "$16",
                            "00000000000000ff",
                            "$2",
                            "m1",
                            "$" + options.length(),
                            options,
                            "$6",
                            "señal"),
                    List.copyOf(seen));
            Run refused = run("submit", "--to", to, "--class", "c", "--dest", "1");
            thread.join();
            assertEquals(3, refused.code());
            assertTrue(refused.out().endsWith(" -BUSY 700\n"), refused.out());
        }
    }

    /** The demo in its script form: the last line is one object with the balanced books. */
    @Test
    void theDemoEndsWithItsBooksBalanced() throws Exception {
        Run run = run("demo", "--seconds", "10", "--daemons", "2", "--seed", "3", "--json");
        assertEquals(0, run.code(), run.toString());
        assertEquals(1, run.out().lines().count(), run.out());
        JsonObject books = JsonParser.parseString(run.out()).getAsJsonObject();
        assertTrue(books.get("ok").getAsBoolean());
        assertEquals(
                books.get("taken").getAsLong(),
                books.get("delivered").getAsLong()
                        + books.get("returned").getAsLong()
                        + books.get("failed").getAsLong()
                        + books.get("open").getAsLong());
        for (String zero : List.of("open", "lost", "doubled", "out_of_order")) {
            assertEquals(0, books.get(zero).getAsLong(), zero);
        }
        assertFalse(books.get("taken").getAsLong() < 500, books.toString());
    }
}
