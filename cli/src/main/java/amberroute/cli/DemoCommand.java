package amberroute.cli;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a fleet on this machine: stand-in partners, discovery and clients on loopback, an outage and a rolling restart.",
            "Ends with the books: exit code 0 where no message was lost, doubled or out of order, 3 where one was."
        })
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "60", description = "how long, about; 10 at least (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--daemons", defaultValue = "3", description = "how many senders (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--seed", description = "for all random choices; a new one if not told")
    private Long seed;

    @Option(names = "--per-second", defaultValue = "200", description = "messages a second (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(names = "--json", description = "only the last line, one JSON object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seconds < 10 || seconds > 3_600 || daemons < 1 || daemons > 100 || !(perSecond > 0 && perSecond <= 5_000)) {
            throw new IllegalArgumentException("seconds is 10 to 3600, daemons 1 to 100, per-second up to 5000");
        }
        long drawn = seed != null ? seed : System.nanoTime() & 0xffffff;
        boolean terminal = System.console() != null && !json;
        long quiet = seconds * 300L;
        ScenarioRun.Plan plan = new ScenarioRun.Plan(
                daemons,
                drawn,
                perSecond,
                quiet,
                Math.max(1_500, seconds * 100L),
                1,
                seconds * 200L,
                0,
                "rolling.at_once = " + Math.max(1, daemons / 10) + "\n");
        Screen screen = new Screen(terminal);
        try (ScenarioRun play = new ScenarioRun(plan, line -> {
            if (!json) {
                screen.line(line);
            }
        })) {
            if (!json) {
                System.out.println("seed " + drawn + "; files in " + play.folder());
            }
            Thread table = new Thread(
                    () -> {
                        try {
                            while (true) {
                                Thread.sleep(terminal ? 250 : 2_000);
                                screen.show(terminal ? play.table() : List.of(play.line()));
                            }
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "table");
            table.setDaemon(true);
            if (!json) {
                table.start();
            }
            JsonObject result = play.run();
            table.interrupt();
            table.join();
            System.out.println(result);
            return result.get("ok").getAsBoolean() ? 0 : Main.BAD;
        }
    }

    /** On a terminal a table is drawn over itself and lines go in above it; elsewhere all are plain lines. */
    private static final class Screen {
        private final boolean terminal;
        private int drawn;

        Screen(boolean terminal) {
            this.terminal = terminal;
        }

        synchronized void line(String text) {
            clear();
            System.out.println(text);
        }

        synchronized void show(List<String> table) {
            clear();
            table.forEach(System.out::println);
            drawn = terminal ? table.size() : 0;
        }

        private void clear() {
            if (drawn > 0) {
                System.out.print("\033[" + drawn + "A\033[J");
                drawn = 0;
            }
        }
    }
}
