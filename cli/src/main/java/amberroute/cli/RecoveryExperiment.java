package amberroute.cli;

import amberroute.testkit.StubUpstream;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays seeds of {@link RecoveryRun}. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description = {
            "Senders as the deploy file runs them before four destinations that go out for some seconds, each in another way, and come",
            "back cold. Exit code 0 where no destination got more than its budget from senders that had seen its outage and all",
            "rules for messages were kept, 3 where not."
        })
final class RecoveryExperiment implements Callable<Integer> {
    @Option(names = "--senders", defaultValue = "47", description = "how many (${DEFAULT-VALUE})")
    private int senders;

    @Option(names = "--seeds", defaultValue = "1", description = "how many (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "the first one (${DEFAULT-VALUE})")
    private long from;

    @Option(
            names = "--per-second",
            defaultValue = "60",
            description = "messages a second for all destinations (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(
            names = "--outage-ms",
            defaultValue = "9600",
            description = "how long the destinations are out (${DEFAULT-VALUE})")
    private long outageMillis;

    @Option(
            names = "--signalled",
            defaultValue = "0",
            description =
                    "senders that get signals in series, as in soak; then in a third of the seeds a crowd (${DEFAULT-VALUE})")
    private int signalledSenders;

    @Option(
            names = "--age-ms",
            defaultValue = "8000",
            description = "how old the fleet is when the outages begin (${DEFAULT-VALUE})")
    private long ageMillis;

    @Option(
            names = "--restarted",
            defaultValue = "0",
            description = "senders that are killed and started again (${DEFAULT-VALUE})")
    private int restartedSenders;

    @Option(
            names = "--restart-at-ms",
            defaultValue = "0",
            description = "when the first of them is killed, since the return of the destinations (${DEFAULT-VALUE})")
    private long restartAtMillis;

    @Option(
            names = "--restart-spread-ms",
            defaultValue = "0",
            description = "time between the first and the last kill; 0: all at once (${DEFAULT-VALUE})")
    private long restartSpreadMillis;

    @Option(names = "--drawn", description = "restarts and signalled senders are drawn from the seed instead")
    private boolean drawn;

    @Option(
            names = "--kinds",
            split = ",",
            defaultValue = "REFUSE,DEAD,HANG,ERRORS",
            description = "of the outages, dealt out by the seed (${DEFAULT-VALUE})")
    private List<StubUpstream.Mode> kinds;

    @Override
    public Integer call() throws Exception {
        if (drawn && senders <= RecoveryRun.MAX_SIGNALLED_DRAWN) {
            throw new IllegalArgumentException(
                    "--drawn takes more than " + RecoveryRun.MAX_SIGNALLED_DRAWN + " senders");
        }
        int broken = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            broken += play(seed) ? 0 : 1;
        }
        JsonObject result = new JsonObject();
        result.addProperty("seeds", seeds);
        result.addProperty("from", from);
        result.addProperty("senders", senders);
        result.addProperty("broken", broken);
        result.addProperty("ok", broken == 0);
        System.out.println(result);
        return broken == 0 ? 0 : Main.BAD;
    }

    private RecoveryRun.Plan plan(long seed) {
        if (drawn) {
            Random random = new Random(seed);
            RecoveryRun.Restarts restarts = RecoveryRun.Restarts.draw(random, senders);
            return plan(seed, random.nextInt(RecoveryRun.MAX_SIGNALLED_DRAWN + 1), restarts);
        }
        return plan(
                seed,
                signalledSenders,
                new RecoveryRun.Restarts(restartedSenders, restartAtMillis, restartSpreadMillis));
    }

    private RecoveryRun.Plan plan(long seed, int signalled, RecoveryRun.Restarts restarts) {
        return new RecoveryRun.Plan(seed, senders, perSecond, ageMillis, outageMillis, signalled, restarts, kinds);
    }

    private boolean play(long seed) throws Exception {
        RecoveryRun.Plan plan = plan(seed);
        try (RecoveryRun run = new RecoveryRun(plan)) {
            JsonObject result = run.run();
            System.out.println(result);
            return result.get("ok").getAsBoolean();
        }
    }
}
