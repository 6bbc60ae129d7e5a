package amberroute.cli;

import amberroute.fleet.FleetClient;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        subcommands = {OverloadCommand.Show.class, OverloadCommand.Explain.class},
        description =
                "What the fleet is asked for, what destinations can do, and what a call there costs, as one daemon sees it.")
final class OverloadCommand {
    private OverloadCommand() {}

    /** Asks one daemon. */
    abstract static class OfDaemon implements Callable<Integer> {
        @Option(names = "--by", required = true, paramLabel = "SOCKET", description = "the daemon's control socket")
        private Path control;

        JsonObject ask() throws IOException {
            JsonObject answer = FleetClient.ask(control, FleetClient.request("overload"));
            if (!answer.get("ok").getAsBoolean()) {
                throw new IOException(answer.get("error").getAsString());
            }
            return answer;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "One line for each destination, rates a second of the whole fleet.")
    static final class Show extends OfDaemon {
        @Option(names = "--every", paramLabel = "SECONDS", description = "again and again, until it is ended")
        private double every;

        @Override
        public Integer call() throws Exception {
            do {
                JsonObject answer = ask();
                System.out.printf(
                        "heard of %d of %d peers%n%11s %8s %8s %8s %8s %8s %8s %6s %8s%n",
                        answer.get("heard_of").getAsInt(),
                        answer.get("peers").getAsInt(),
                        "DESTINATION",
                        "ASKED",
                        "SERVED",
                        "REFUSED",
                        "WAITING",
                        "CAPACITY",
                        "PRICE",
                        "SHARE",
                        "AGAIN");
                for (JsonElement each : answer.getAsJsonArray("destinations")) {
                    JsonObject one = each.getAsJsonObject();
                    boolean limited = one.has("capacity");
                    System.out.printf(
                            "%11d %8.1f %8.1f %8.1f %8.0f %8s %8s %6s %8s%n",
                            one.get("destination").getAsInt(),
                            one.get("asked").getAsDouble(),
                            one.get("served").getAsDouble(),
                            one.get("refused").getAsDouble(),
                            one.get("waiting").getAsDouble(),
                            limited ? text(one, "capacity") : "-",
                            limited ? text(one, "price") : "-",
                            limited ? text(one, "share") : "-",
                            limited ? one.get("again_ms").getAsLong() + "ms" : "-");
                }
                Thread.sleep((long) (every * 1e3));
            } while (every > 0);
            return 0;
        }

        private static String text(JsonObject one, String name) {
            return String.format(Locale.ROOT, "%.2f", one.get(name).getAsDouble());
        }
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = "Why a message of some worth is turned away just now, or is not.")
    static final class Explain extends OfDaemon {
        @Parameters(index = "0", paramLabel = "DESTINATION", description = "its number")
        private int destination;

        @Parameters(index = "1", paramLabel = "WORTH", description = "the class's worth, as in the sender file")
        private double worth;

        @Override
        public Integer call() throws IOException {
            for (JsonElement each : ask().getAsJsonArray("destinations")) {
                JsonObject one = each.getAsJsonObject();
                if (one.get("destination").getAsInt() == destination) {
                    System.out.println(why(one, worth));
                    return 0;
                }
            }
            System.out.println(
                    "taken on as far as this part goes: nobody asked this daemon for destination " + destination);
            return 0;
        }
    }

    /** Of a destination as the daemon tells it. */
    static String why(JsonObject one, double worth) {
        if (!one.has("capacity") || one.get("price_up_to").getAsDouble() <= 0) {
            return "taken on as far as this part goes: a call costs nothing, as all of "
                    + String.format(Locale.ROOT, "%.1f", one.get("asked").getAsDouble()) + " asked a second fit";
        }
        String facts = String.format(
                Locale.ROOT,
                "%.1f a second are asked of all daemons, some %.1f fit",
                one.get("asked").getAsDouble(),
                one.get("capacity").getAsDouble());
        if (worth < one.get("price").getAsDouble()) {
            return "turned away, to come again after " + one.get("again_ms").getAsLong()
                    + " ms and more: worth less than the price of "
                    + String.format(Locale.ROOT, "%.2f", one.get("price").getAsDouble()) + "; " + facts;
        }
        if (worth < one.get("price_up_to").getAsDouble()) {
            return String.format(
                            Locale.ROOT,
                            "%.0f%% are taken on, by chance or by key: worth just the price; ",
                            100 * one.get("share").getAsDouble())
                    + facts;
        }
        return "taken on as far as this part goes: worth more than the price; " + facts;
    }
}
