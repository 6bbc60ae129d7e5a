package amberroute.cli;

import amberroute.fleet.FleetClient;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "estate",
        mixinStandardHelpOptions = true,
        subcommands = {
            ReplicaCommand.ListAll.class,
            ReplicaCommand.Show.class,
            ReplicaCommand.Take.class,
            ReplicaCommand.Release.class
        },
        description = "What a daemon has in hand, who holds copies of it, and what it holds for others.")
final class ReplicaCommand {
    /** A command about one estate that a daemon knows. */
    abstract static class OfOne implements Callable<Integer> {
        @Parameters(paramLabel = "ESTATE", description = "as list names it")
        protected String estate;

        @Option(names = "--by", required = true, paramLabel = "SOCKET", description = "the daemon's control socket")
        protected Path control;
    }

    private static JsonObject ask(Path control, JsonObject request) throws IOException {
        JsonObject answer = FleetClient.ask(control, request);
        if (!answer.get("ok").getAsBoolean()) {
            throw new IOException(answer.get("error").getAsString());
        }
        return answer;
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "One line for each estate that the daemon knows.")
    static final class ListAll implements Callable<Integer> {
        @Option(names = "--by", required = true, paramLabel = "SOCKET", description = "the daemon's control socket")
        private Path control;

        @Override
        public Integer call() throws IOException {
            System.out.printf(
                    "%-28s %-12s %-16s %6s %9s  %s%n", "ESTATE", "HERE", "OWNER", "TERM", "CHANGE", "HOLDERS (BEHIND)");
            for (JsonElement each : ask(control, FleetClient.request("estates")).getAsJsonArray("estates")) {
                JsonObject one = each.getAsJsonObject();
                StringBuilder holders = new StringBuilder();
                for (JsonElement holder : one.getAsJsonArray("holders")) {
                    String name = holder.getAsString();
                    holders.append(name);
                    if (one.has("behind") && one.getAsJsonObject("behind").has(name)) {
                        long behind = one.getAsJsonObject("behind").get(name).getAsLong();
                        holders.append(behind < 0 ? "(no copy)" : "(" + behind + ")");
                    }
                    holders.append(' ');
                }
                System.out.printf(
                        "%-28s %-12s %-16s %6d %9d  %s%n",
                        one.get("estate").getAsString(),
                        one.get("here").getAsString(),
                        one.get("owner").getAsString(),
                        one.get("term").getAsLong(),
                        one.get("number").getAsLong(),
                        holders);
            }
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "All that the daemon knows of one estate, as JSON.")
    static final class Show extends OfOne {
        @Override
        public Integer call() throws IOException {
            for (JsonElement each : ask(control, FleetClient.request("estates")).getAsJsonArray("estates")) {
                if (each.getAsJsonObject().get("estate").getAsString().equals(estate)) {
                    System.out.println(each);
                    return 0;
                }
            }
            System.err.println("amberroute: no such estate there: " + estate);
            return Main.BAD;
        }
    }

    @Command(
            name = "take",
            mixinStandardHelpOptions = true,
            description = {
                "The daemon tries for an estate now, if it has a copy and has not just heard of the owner. The group still decides."
            })
    static final class Take extends OfOne {
        @Override
        public Integer call() throws IOException {
            tell(control, "take", estate);
            System.out.println("asked; `estate list` tells whether it was granted");
            return 0;
        }
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = {
                "The daemon lets go of an estate that it has taken over, where another holder has all of it; that one goes on with it."
            })
    static final class Release extends OfOne {
        @Override
        public Integer call() throws IOException {
            tell(control, "release", estate);
            System.out.println("let go; `estate list` at the other holders tells who goes on with it");
            return 0;
        }
    }

    private static void tell(Path control, String word, String estate) throws IOException {
        JsonObject request = FleetClient.request(word);
        request.addProperty("estate", estate);
        ask(control, request);
    }
}
