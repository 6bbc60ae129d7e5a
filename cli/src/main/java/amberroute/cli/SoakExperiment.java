package amberroute.cli;

import com.google.gson.JsonObject;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays seeds of {@link SoakRun}, and says how each that broke a rule is played again. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Two senders as the deploy file runs them, between stand-ins, with signals in series, kills at the earliest moment,",
            "failing receivers, silent discovery and in some seeds a crowd of idle clients; a line for each seed.",
            "Exit code 0 where every rule was kept, 3 where not: then all that led to the first finding is printed as well."
        })
final class SoakExperiment implements Callable<Integer> {
    @Option(names = "--seeds", defaultValue = "1", description = "how many (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "the first one (${DEFAULT-VALUE})")
    private long from;

    @Option(names = "--seconds", defaultValue = "20", description = "of signals for each seed (${DEFAULT-VALUE})")
    private long seconds;

    @Override
    public Integer call() throws Exception {
        int broken = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            broken += play(seed) ? 0 : 1;
        }
        JsonObject result = new JsonObject();
        result.addProperty("seeds", seeds);
        result.addProperty("from", from);
        result.addProperty("seconds", seconds);
        result.addProperty("broken", broken);
        result.addProperty("ok", broken == 0);
        System.out.println(result);
        return broken == 0 ? 0 : Main.BAD;
    }

    private boolean play(long seed) throws Exception {
        try (SoakRun run = new SoakRun(seed, seconds)) {
            JsonObject result = run.run();
            boolean ok = result.get("ok").getAsBoolean();
            if (!ok) {
                run.report().forEach(System.out::println);
                System.out.println("again: bin/experiment soak --seeds 1 --from " + seed + " --seconds " + seconds);
            }
            System.out.println(result);
            return ok;
        }
    }
}
