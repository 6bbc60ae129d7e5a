package amberroute.cli;

import amberroute.testkit.RespRequest;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Makes the class-data archive that shortens the daemon's start (AppCDS), at the end of the build: a daemon serves a few
 * messages on stand-ins, then the JVM writes the classes that it has loaded. An archive belongs to one JVM and these very
 * jars; with any other the JVM goes on without it. It is written aside and renamed, as a JVM that maps half an archive
 * dies. Where none can be made the build goes on, and says so.
 */
public final class ClassArchive {
    private static final Pattern READY_LINE =
            Pattern.compile("event=sender_ready .*?address=\\S*?/?([0-9.]+):([0-9]+)");
    private static final int MESSAGE_COUNT = 12;
    private static final long MAX_MILLIS = 30_000;

    private ClassArchive() {}

    /** Takes the daemon's jar and the archive's path. */
    public static void main(String[] args) throws IOException {
        Path archive = Path.of(args[1]).toAbsolutePath();
        Files.deleteIfExists(archive);
        Path folder = Files.createTempDirectory("amberroute-archive-");
        try {
            make(Path.of(args[0]).toAbsolutePath(), archive, folder);
        } catch (Exception e) {
            System.err.println("no class archive, daemons start slower: " + e);
        } finally {
            LocalFleet.delete(folder);
        }
    }

    private static void make(Path jar, Path archive, Path folder) throws Exception {
        Path log = folder.resolve("log");
        try (TestEnvironment stage = new TestEnvironment(1)) {
            stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "std");
            Files.writeString(
                    folder.resolve("config.json"), config(stage.platform().address()));
            // The collector has to be that of the daemon; a relative path in the jar's manifest does the rest.
            List<String> command = new ArrayList<>(List.of(
                    "java",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-Xmx40m",
                    "-XX:+RecordDynamicDumpInfo",
                    "-Dio.netty.allocator.type=unpooled",
                    "-Dio.netty.noPreferDirect=true",
                    "-jar",
                    jar.toString(),
                    "serve"));
            ProcessBuilder builder =
                    new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("GW_STATE", folder.resolve("state").toString());
            builder.environment().keySet().removeAll(List.of("GW_LISTEN", "GW_DISCOVERY", "GW_NAME"));
            Process daemon = builder.start();
            try {
                serve(address(log, daemon));
                dump(daemon, archive.resolveSibling(archive.getFileName() + ".new"));
            } finally {
                daemon.destroyForcibly().waitFor();
            }
        }
        Files.move(archive.resolveSibling(archive.getFileName() + ".new"), archive, StandardCopyOption.ATOMIC_MOVE);
    }

    private static InetSocketAddress address(Path log, Process daemon) throws Exception {
        long end = System.nanoTime() + MAX_MILLIS * 1_000_000;
        while (System.nanoTime() < end && daemon.isAlive()) {
            Matcher m = READY_LINE.matcher(Files.readString(log));
            if (m.find()) {
                return new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
            }
            Thread.sleep(10);
        }
        throw new IOException(
                "the daemon is not ready: " + Files.readString(log).replaceAll("\\p{Cntrl}+", " "));
    }

    /** One message after another, of each class, some of which nobody delivers in time. */
    private static void serve(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (int i = 0; i < MESSAGE_COUNT; i++) {
                String options = "c=" + List.of("safe", "keyed", "unsafe").get(i % 3) + ",d=" + (i == 0 ? 1 : 2_000)
                        + ",dest=1,k=k" + i;
                socket.getOutputStream()
                        .write(RespRequest.of("SUBMIT", "000000000000000" + i % 3, "archive" + i, options, "body"));
                in.readLine();
            }
        }
    }

    private static void dump(Process daemon, Path file) throws Exception {
        Files.deleteIfExists(file);
        Path java = Path.of(daemon.info().command().orElseThrow(() -> new IOException("the JVM's path is not told")));
        Process jcmd = new ProcessBuilder(
                        java.resolveSibling("jcmd").toString(),
                        Long.toString(daemon.pid()),
                        "VM.cds",
                        "dynamic_dump",
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        if (!jcmd.waitFor(MAX_MILLIS, TimeUnit.MILLISECONDS) || !Files.exists(file)) {
            jcmd.destroyForcibly();
            throw new IOException("this JVM writes no archive");
        }
    }

    /** In the platform's form, which is the one that counts most. */
    private static String config(String platform) {
        return """
                {"name":"archive","listen":"127.0.0.1:0","discovery":"%s",
                 "limits":{"memory_mb":64,"sockets":256,"disk_mb":3},"known":{},
                 "settings":{"balancers":1,"az":0,"tick_us":5000,"membership_mode":"pushed","kinds":["std"],"zones":["a"],
                  "reporting":{"how":"inline","names":["x0","x1"]},
                  "family_info":{"calls_out":4,"late":"even","per_call":[5],"routes_apart":[false]},
                  "allowed":{"open_cap":50,"max_attempts":12,"parallel_tries":false,"cancel":true,"retry_after":true,
                   "max_retry_after_us":3000000,"streams_per_conn":1,"keepalive_us":15000000,"connect_timeout_us":1000000},
                  "rules":{"answer_slack_us":20000,"ask_within_us":10000000,"start_capacity":0.13,"cold_us":14000000,
                   "fall_multiple":2.5,"fall_us":1500000,"settle_after_doubt_us":100000},
                  "lanes":[{"name":"safe","effect":"pure","importance":2,"goal_time_us":500000,"deadline_us":2000000},
                   {"name":"keyed","effect":"token","dedup_scope":"all","importance":1,"goal_time_us":500000,
                    "deadline_us":2000000,"key_ttl_us":5000000,"sequential":true},
                   {"name":"unsafe","effect":"side_effect","importance":4,"goal_time_us":500000,"deadline_us":2000000}]}}
                """
                .formatted(platform);
    }
}
