package amberroute.cli;

import amberroute.fleet.FleetClient;
import amberroute.fleet.FleetDefinition;
import amberroute.fleet.SupervisionPolicy;
import amberroute.fleet.Supervisor;
import amberroute.sender.lifecycle.ServiceManagerNotifier;
import amberroute.sender.lifecycle.SignalHandlers;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Many daemons from one service definition.",
        subcommands = {
            FleetCommand.Up.class,
            FleetCommand.Status.class,
            FleetCommand.Restart.class,
            FleetCommand.Reload.class,
            FleetCommand.Scale.class,
            FleetCommand.Stop.class
        })
final class FleetCommand {

    /** What all of them are told. */
    abstract static class OfFleet implements Callable<Integer> {
        @Option(
                names = {"-f", "--file"},
                defaultValue = "deploy/fleet.toml",
                paramLabel = "FILE",
                description = "the service definition (${DEFAULT-VALUE})")
        Path file;

        FleetDefinition definition() throws IOException {
            return FleetDefinition.read(file, InstallationDirectory.daemonJar());
        }

        JsonObject ask(JsonObject request) throws IOException {
            Path socket = definition().control();
            try {
                return FleetClient.ask(socket, request);
            } catch (IOException e) {
                throw new IOException("no supervisor answers at " + socket + ": is the fleet up?");
            }
        }

        int told(JsonObject answer) throws IOException {
            if (!answer.get("ok").getAsBoolean()) {
                throw new IOException(answer.get("error").getAsString());
            }
            return 0;
        }
    }

    @Command(
            name = "up",
            mixinStandardHelpOptions = true,
            description = {
                "Supervises the fleet in the foreground.",
                "SIGTERM stops it for a later start, SIGHUP makes all daemons read their files again. Daemons that an earlier "
                        + "supervisor left running are taken over."
            })
    static final class Up extends OfFleet {
        @Override
        public Integer call() throws Exception {
            try (Supervisor supervisor = new Supervisor(definition(), System.err)) {
                Runnable stop = () -> supervisor.stop(SupervisionPolicy.Mode.RESTART);
                SignalHandlers.install("TERM").then(stop);
                SignalHandlers.install("INT").then(stop);
                SignalHandlers.install("HUP").then(supervisor::reload);
                ServiceManagerNotifier notify = new ServiceManagerNotifier(System.getenv());
                supervisor.whenReady(() -> notify.report("READY=1"));
                return supervisor.run();
            }
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows each daemon. Exit code 0 where all are ready, 3 where not.")
    static final class Status extends OfFleet {
        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonObject status = ask(FleetClient.request("status"));
            if (json) {
                System.out.println(status);
            } else {
                table(status).forEach(System.out::println);
            }
            return status.get("ready").getAsBoolean() ? 0 : Main.BAD;
        }
    }

    static List<String> table(JsonObject status) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                "%-16s %-9s %8s %7s %6s %5s %6s  %s",
                "daemon", "state", "for s", "pid", "starts", "held", "calls", "listens on"));
        status.getAsJsonArray("daemons").forEach(item -> {
            JsonObject d = item.getAsJsonObject();
            lines.add(String.format(
                    "%-16s %-9s %8.1f %7d %6d %5s %6s  %s",
                    d.get("name").getAsString(),
                    d.get("state").getAsString(),
                    d.get("for_ms").getAsLong() / 1e3,
                    d.get("pid").getAsLong(),
                    d.get("starts").getAsLong(),
                    d.has("held") ? d.get("held").getAsString() : "-",
                    d.has("calls") ? d.get("calls").getAsString() : "-",
                    d.get("listen").getAsString()));
        });
        lines.add("rolling restart: " + status.get("rolling").getAsString());
        return lines;
    }

    @Command(
            name = "restart",
            mixinStandardHelpOptions = true,
            description = "Restarts all daemons, or those named, one after another as the definition's budget says.")
    static final class Restart extends OfFleet {
        @Parameters(arity = "0..*", paramLabel = "NAME", description = "only these")
        private List<String> names = List.of();

        @Option(names = "--wait", description = "until it is over; exit code 3 where it was aborted")
        private boolean wait;

        @Override
        public Integer call() throws Exception {
            JsonObject request = FleetClient.request("restart");
            JsonArray list = new JsonArray();
            names.forEach(list::add);
            request.add("names", list);
            told(ask(request));
            while (wait) {
                String rolling =
                        ask(FleetClient.request("status")).get("rolling").getAsString();
                if (rolling.equals("done") || rolling.startsWith("aborted")) {
                    System.out.println("rolling restart " + rolling);
                    return rolling.equals("done") ? 0 : Main.BAD;
                }
                Thread.sleep(200);
            }
            return 0;
        }
    }

    @Command(name = "reload", mixinStandardHelpOptions = true, description = "All daemons read their files again.")
    static final class Reload extends OfFleet {
        @Override
        public Integer call() throws IOException {
            return told(ask(FleetClient.request("reload")));
        }
    }

    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = {
                "Runs the first so many daemons. Those that leave stop for good, rolling.at_once at a time: each message that one",
                "holds gets its final answer, or goes to a peer where hand-over is set. The number outlasts the supervisor."
            })
    static final class Scale extends OfFleet {
        @Parameters(paramLabel = "N", description = "how many daemons, at most as many as the definition has by most")
        private int wanted;

        @Option(names = "--wait", description = "until just these are there")
        private boolean wait;

        @Override
        public Integer call() throws Exception {
            JsonObject request = FleetClient.request("scale");
            request.addProperty("to", wanted);
            told(ask(request));
            while (wait && !ask(FleetClient.request("status")).get("scaled").getAsBoolean()) {
                Thread.sleep(200);
            }
            return 0;
        }
    }

    @Command(
            name = "stop",
            mixinStandardHelpOptions = true,
            description =
                    "Stops all daemons and the supervisor; what is held waits in the journals for the next start.")
    static final class Stop extends OfFleet {
        @Option(names = "--final", description = "for good: every message gets its final answer before the daemons end")
        private boolean forGood;

        @Option(names = "--wait", description = "until the supervisor has ended")
        private boolean wait;

        @Override
        public Integer call() throws Exception {
            JsonObject request = FleetClient.request("stop");
            request.addProperty("final", forGood);
            told(ask(request));
            Path socket = definition().control();
            while (wait) {
                try {
                    FleetClient.ask(socket, FleetClient.request("status"));
                } catch (IOException e) {
                    return 0;
                }
                Thread.sleep(100);
            }
            return 0;
        }
    }
}
