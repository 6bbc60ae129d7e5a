package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two senders; one is told to leave and hands its messages over. Its calls are reset under their requests meanwhile: the key has to rest
 * before its next message goes out, whoever sends that.
 */
public final class MoveRest implements Receiver.Behaviour {
    private static final int KEYS = 12;
    private static final double REST_MS = 100;
    /** Each time limit is so much longer on sockets. */
    private static final double SLACK_MS = 50;

    private final Rec rec;
    /** By id of the first message of a key: when its first call was reset. */
    private final Map<String, Double> resetAt = new ConcurrentHashMap<>();
    /** By id of the second message of a key: when its first call came. */
    private final Map<String, Double> secondAt = new ConcurrentHashMap<>();

    private MoveRest(Rec rec) {
        this.rec = rec;
    }

    @Override
    public Receiver.Answer called(Receiver.Call call) {
        String id = call.ids.get(0);
        if (id.startsWith("a")) {
            if (resetAt.containsKey(id)) {
                return new Receiver.Answer(5, 200, "");
            }
            Net.sleep(900);
            resetAt.put(id, rec.ms());
            return new Receiver.Answer(0, 0, "");
        }
        if (id.startsWith("b")) {
            secondAt.putIfAbsent(id, call.atMs);
        }
        return new Receiver.Answer(5, 200, "");
    }

    public static void main(String[] args) throws Exception {
        Case.run(args, MoveRest::play);
    }

    private static int play(Case run) throws IOException {
        MoveRest behaviour = new MoveRest(run.rec);
        List<Receiver> receivers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            receivers.add(new Receiver(run.rec, "s-" + i, 2, behaviour));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Daemon daemon = new Daemon(run.rec, run.root, run.work, i);
            for (Receiver receiver : receivers) {
                daemon.platform.put(receiver.uid, receiver.address(i), 7, "small-partner", "Ready");
            }
            daemons.add(daemon);
        }
        for (Daemon daemon : daemons) {
            daemon.start(daemons, "");
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                return run.cannot(daemon.name + " is not ready");
            }
        }
        Daemon leaver = daemons.get(0);
        // Both know the destination before.
        for (Daemon daemon : daemons) {
            for (int i = 0; i < 8; i++) {
                daemon.client.submit(
                        "0000000000000000", "c" + daemon.name + i, "c=quote-status,d=24000,dest=7", "hello".getBytes());
                Net.sleep(60);
            }
        }
        Map<String, String> next = new LinkedHashMap<>();
        for (int k = 0; k < KEYS; k++) {
            String key = String.format(Locale.ROOT, "%016x", 0x7f3a9c2100000000L + k);
            String first = "a" + k;
            String second = "b" + k;
            String one = leaver.client.submit(key, first, "c=policy-order,d=20000,k=ka" + k + ",dest=7", "first".getBytes());
            String two = leaver.client.submit(key, second, "c=policy-order,d=20000,k=kb" + k + ",dest=7", "second".getBytes());
            if (one.startsWith("+") && two.startsWith("+")) {
                next.put(first, second);
            }
        }
        if (next.size() < KEYS) {
            return run.cannot("only " + next.size() + " pairs were taken on");
        }
        if (run.trouble) {
            run.rec.log("control answers " + leaver.control("{\"do\":\"stop\",\"mode\":\"move\",\"within_ms\":8000}"));
        }
        double until = run.rec.ms() + 12_000;
        while (run.rec.ms() < until && behaviour.secondAt.size() < KEYS) {
            Net.sleep(20);
        }
        int early = 0;
        double least = Double.MAX_VALUE;
        for (Map.Entry<String, String> pair : next.entrySet()) {
            Double reset = behaviour.resetAt.get(pair.getKey());
            Double second = behaviour.secondAt.get(pair.getValue());
            if (reset == null || second == null) {
                continue;
            }
            double gap = second - reset;
            run.rec.log(String.format(Locale.ROOT, "%s was reset, %s went out %.1f ms behind that", pair.getKey(), pair.getValue(), gap));
            least = Math.min(least, gap);
            early += gap < REST_MS - SLACK_MS ? 1 : 0;
        }
        run.rec.say(String.format(Locale.ROOT, "%d of %d second messages went out, the least rest was %.1f ms",
                behaviour.secondAt.size(), KEYS, least));
        if (behaviour.secondAt.isEmpty()) {
            return run.cannot("no second message went out");
        }
        return early > 0
                ? run.broken(early + " keys rested less than " + (int) (REST_MS - SLACK_MS) + " ms behind a reset")
                : run.held("");
    }
}
