package amberroute.cli;

import com.google.gson.JsonObject;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        subcommands = {
            ExperimentCommand.RollingRestart.class,
            ExperimentCommand.ScaleIn.class,
            StartupExperiment.class,
            OrphanRecoveryExperiment.class,
            FleetSlowStartExperiment.class,
            HandoffExperiment.class,
            PendingLoadExperiment.class,
            JournalCrashExperiment.class,
            FailoverExperiment.class,
            OverloadExperiment.class,
            LargeFleetExperiment.class,
            SoakExperiment.class,
            RecoveryExperiment.class
        },
        description = "Long runs outside the tests; the last line is one JSON object with ok, the seed and the counts.")
final class ExperimentCommand {
    @Command(
            name = "rolling-restart",
            mixinStandardHelpOptions = true,
            description = {
                "Daemons under steady load with clumps, two full rolling restarts and an outage of a partner in the middle.",
                "Exit code 0 where nothing was lost, doubled or out of order and every notice came in time, 3 where not."
            })
    static final class RollingRestart implements Callable<Integer> {
        @Option(names = "--daemons", defaultValue = "20", description = "how many (${DEFAULT-VALUE})")
        private int daemons;

        @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--per-second", defaultValue = "400", description = "messages a second (${DEFAULT-VALUE})")
        private double perSecond;

        @Option(
                names = "--quiet",
                defaultValue = "60",
                description = "seconds before the first restart (${DEFAULT-VALUE})")
        private int quiet;

        @Option(names = "--rolls", defaultValue = "2", description = "full rolling restarts (${DEFAULT-VALUE})")
        private int rolls;

        @Option(
                names = "--kills",
                defaultValue = "0",
                description = "daemons killed outright meanwhile (${DEFAULT-VALUE})")
        private int kills;

        @Option(names = "--move", description = "daemons hand over what they hold and agree on cold partners")
        private boolean move;

        @Override
        public Integer call() throws Exception {
            ScenarioRun.Plan plan = new ScenarioRun.Plan(
                    daemons,
                    seed,
                    perSecond,
                    quiet * 1_000L,
                    8_000,
                    rolls,
                    5_000,
                    kills,
                    "rolling.at_once = " + Math.max(1, daemons / 10) + "\nrolling.pause = \"300ms\"\n",
                    0,
                    move);
            try (ScenarioRun play = new ScenarioRun(plan, System.out::println)) {
                JsonObject result = play.run();
                System.out.println(result);
                return result.get("ok").getAsBoolean() ? 0 : Main.BAD;
            }
        }
    }

    @Command(
            name = "scale-in",
            mixinStandardHelpOptions = true,
            description = {
                "A fleet under steady load goes to fewer daemons, with an outage of a partner meanwhile; those that leave hand over",
                "what they hold. Beside it the same where they end it, and a fleet with the same outage that stays as it is.",
                "Exit code 0 where nothing was lost, doubled, out of order or late in any of the three."
            })
    static final class ScaleIn implements Callable<Integer> {
        @Option(names = "--daemons", defaultValue = "20", description = "how many at first (${DEFAULT-VALUE})")
        private int daemons;

        @Option(names = "--to", defaultValue = "5", description = "how many at last (${DEFAULT-VALUE})")
        private int to;

        @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--per-second", defaultValue = "200", description = "messages a second (${DEFAULT-VALUE})")
        private double perSecond;

        @Option(names = "--quiet", defaultValue = "16", description = "seconds before it begins (${DEFAULT-VALUE})")
        private int quiet;

        @Option(
                names = "--at-once",
                defaultValue = "3",
                description = "daemons that leave at a time (${DEFAULT-VALUE})")
        private int atOnce;

        @Option(names = "--log", description = "print the supervisors' logs and how each daemon stopped")
        private boolean log;

        @Override
        public Integer call() throws Exception {
            JsonObject leaving = play(to, true);
            JsonObject ending = play(to, false);
            JsonObject staying = play(daemons, true);
            JsonObject result = leaving.deepCopy();
            result.addProperty("in_time_ending", ending.get("in_time_rolling").getAsDouble());
            result.addProperty("in_time_staying", staying.get("in_time_rolling").getAsDouble());
            result.addProperty(
                    "ok",
                    leaving.get("ok").getAsBoolean()
                            && staying.get("ok").getAsBoolean()
                            && ending.get("ok").getAsBoolean());
            System.out.println(result);
            return result.get("ok").getAsBoolean() ? 0 : Main.BAD;
        }

        private JsonObject play(int target, boolean move) throws Exception {
            ScenarioRun.Plan plan = new ScenarioRun.Plan(
                    daemons,
                    seed,
                    perSecond,
                    quiet * 1_000L,
                    4_000,
                    0,
                    2_000,
                    0,
                    "rolling.at_once = " + atOnce + "\nrolling.pause = \"300ms\"\n[stop]\nwithin = \"4s\"\n",
                    target,
                    move);
            try (ScenarioRun play = new ScenarioRun(plan, System.out::println)) {
                JsonObject result = play.run();
                if (log) {
                    play.log().forEach(System.out::println);
                }
                return result;
            }
        }
    }
}
