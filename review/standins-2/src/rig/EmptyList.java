package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One sender and one partner with one endpoint. The endpoint goes while the sender's watch has fallen silent, and its address becomes that of
 * another partner's endpoint.
 */
public final class EmptyList {
    private static final int FIRST = 7;
    private static final int OTHER = 8;
    /** What a silent watch misses counts as told so long behind its last line. */
    private static final double TOLD_MS = 6_000;

    private static final double GRACE_MS = 250 + 50;

    private EmptyList() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, EmptyList::play);
    }

    private static int play(Case run) throws IOException {
        Config config = new Config().briefClasses();
        config.balancers = 1;
        List<Receiver.Call> calls = new ArrayList<>();
        // One address; whose it is changes with the list.
        Receiver receiver = new Receiver(run.rec, "address", 1, call -> {
            synchronized (calls) {
                calls.add(call);
            }
            return new Receiver.Answer(50, 200, "");
        });
        Sender sender = new Sender(run.rec, run.root, run.work, "n1", config);
        sender.platform.put("s-first", receiver.address(0), FIRST, "small-partner", "Ready");
        sender.start();
        if (!sender.awaitReady(30_000)) {
            return run.cannot("not ready");
        }
        double begin = run.rec.ms();
        Load first = new Load(run.rec, List.of(sender), 5, 3);
        first.mix("quote-status", 0.5, 24_000, false).mix("premium-charge", 0.5, 16_000, false);
        first.destination = FIRST;
        Thread clients = Net.daemon(() -> first.until(begin + 26_000));
        Net.sleep(3_000);
        sender.platform.wholeLists = true;
        if (run.trouble) {
            sender.platform.silenceWatches();
        }
        sender.platform.put("s-first", receiver.address(0), FIRST, "small-partner", "Gone");
        double goneAt = run.rec.ms();
        double told = goneAt + (run.trouble ? TOLD_MS : 0) + GRACE_MS;
        Net.sleep(9_000);
        sender.platform.put("s-other", receiver.address(0), OTHER, "small-partner", "Ready");
        double otherFrom = run.rec.ms();
        Net.sleep(1_000);
        Load other = new Load(run.rec, List.of(sender), 5, 4);
        other.mix("quote-status", 1, 24_000, false);
        other.destination = OTHER;
        other.idPrefix = "8";
        other.until(begin + 26_000);
        try {
            clients.join();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        Net.sleep(1_000);
        int late = 0;
        int foreign = 0;
        int own = 0;
        synchronized (calls) {
            for (Receiver.Call call : calls) {
                boolean ofFirst = !call.ids.get(0).startsWith("8");
                late += ofFirst && call.atMs > told ? 1 : 0;
                foreign += ofFirst && call.atMs > otherFrom + GRACE_MS ? 1 : 0;
                own += ofFirst ? 0 : 1;
            }
        }
        run.rec.say(String.format(
                Locale.ROOT,
                "taken on %d of %d for the first partner and %d of %d for the other; the other's endpoint got %d messages of its own and"
                        + " %d of the first partner's; %d calls to the endpoint that is gone came too late",
                first.taken(), first.handedIn(), other.taken(), other.handedIn(), own, foreign, late));
        if (other.taken() == 0) {
            return run.cannot("the other partner got nothing at all");
        }
        return foreign + late == 0
                ? run.held("")
                : run.broken(foreign + " messages of one partner went to another partner's endpoint, and " + late
                        + " calls to an endpoint that is gone for longer than the grace");
    }
}
