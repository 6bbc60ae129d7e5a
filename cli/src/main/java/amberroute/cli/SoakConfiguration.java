package amberroute.cli;

import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The configuration file of one sender in a soak, in the platform's form; it is written anew for each SIGHUP. */
final class SoakConfiguration {
    /** What a SIGHUP may change: calls at a time, and attempts for each message. */
    record Limits(int calls, int attempts) {
        static final Limits INITIAL = new Limits(32, 12);
    }

    /** Descriptors that a sender may hold. */
    static final int DESCRIPTORS = 256;

    private static final String TEMPLATE =
            """
            {"name":"n%d","listen":"127.0.0.1:%d","discovery":"%s","ops":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d,"disk_mb":16},
             "settings":{"balancers":%d,"az":0,"tick_us":5000,"membership_mode":"pushed",
              "kinds":["single"],"zones":["a"],"reporting":{"how":"inline","names":["x0","x1"]},
              "family_info":{"calls_out":%d,"late":"even","per_call":[1],"routes_apart":[false]},
              "allowed":{"open_cap":1000,"max_attempts":%d,"parallel_tries":false,"cancel":true,
               "retry_after":true,"max_retry_after_us":3000000,"streams_per_conn":1,
               "keepalive_us":15000000,"connect_timeout_us":1000000},
              "rules":{"answer_slack_us":20000,"ask_within_us":10000000,"start_capacity":0.15,
               "cold_us":10000000,"fall_multiple":2.5,"fall_us":1500000,"settle_after_doubt_us":100000},
              "lanes":[
               {"name":"quote-status","effect":"pure","importance":2,"goal_time_us":1500000,"deadline_us":%d},
               {"name":"policy-order","effect":"token","dedup_scope":"all","importance":1,"goal_time_us":1500000,
                "deadline_us":%d,"key_ttl_us":60000000,"sequential":true},
               {"name":"premium-charge","effect":"side_effect","importance":4,"goal_time_us":2000000,
                "deadline_us":%d}]}}
            """;

    private final Path file;
    private final int sender;
    private final int senders;
    private final int port;
    private final int opsPort;
    private final TestEnvironment environment;
    private final long deadlineMicros;

    SoakConfiguration(
            Path folder,
            int sender,
            int senders,
            int port,
            int opsPort,
            TestEnvironment environment,
            long deadlineMicros) {
        file = folder.resolve("n" + sender + ".json");
        this.sender = sender;
        this.senders = senders;
        this.port = port;
        this.opsPort = opsPort;
        this.environment = environment;
        this.deadlineMicros = deadlineMicros;
    }

    Path file() {
        return file;
    }

    int opsPort() {
        return opsPort;
    }

    /** Puts a whole file in place of the one before. */
    void write(Limits limits) throws IOException {
        JsonObject json = JsonParser.parseString(TEMPLATE.formatted(
                        sender,
                        port,
                        environment.platform().address(),
                        opsPort,
                        DESCRIPTORS,
                        senders,
                        limits.calls(),
                        limits.attempts(),
                        deadlineMicros,
                        deadlineMicros,
                        deadlineMicros))
                .getAsJsonObject();
        JsonElement known = JsonParser.parseString(environment.callOnLoop(environment.platform()::fullList));
        json.add("known", known);
        replace(json.toString());
    }

    /** Puts a file in its place that is cut short, which senders have to turn down. */
    void writeTruncated() throws IOException {
        JsonArray unfinished = new JsonArray();
        unfinished.add("n" + sender);
        replace(unfinished.toString().substring(0, 2));
    }

    private void replace(String text) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(fresh, text);
        Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
