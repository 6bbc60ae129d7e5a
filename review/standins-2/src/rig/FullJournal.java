package rig;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One sender with five partners of two receivers each; four of the ten receivers hang for a while. What the sender may hold is as in
 * deploy/amberroute.toml: 400 messages, 16 MB on its disk.
 */
public final class FullJournal {
    private static final int PARTNERS = 5;
    private static final int HANGING = 2;
    private static final long HANG_MS = 18_000;
    private static final int BODY = 40_000;
    private static final int CLIENTS = 100;
    private static final long DEADLINE_MS = 24_000;
    /** Half a second, and the 50 ms by which each time limit is longer. */
    private static final double OVERDUE_MS = 550;

    private FullJournal() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, FullJournal::play);
    }

    private static int play(Case run) throws IOException {
        Config config = new Config().briefClasses();
        config.balancers = 1;
        config.slots = 16;
        config.openCap = 400;
        config.diskMb = 16;
        double[] hang = {Double.MAX_VALUE, Double.MAX_VALUE};
        Map<String, Double> delivered = new ConcurrentHashMap<>();
        Sender sender = new Sender(run.rec, run.root, run.work, "n1", config);
        for (int p = 1; p <= PARTNERS; p++) {
            boolean hangs = p <= HANGING;
            Receiver.Behaviour behaviour = new Receiver.Behaviour() {
                @Override
                public Receiver.Answer called(Receiver.Call call) {
                    return hangs && call.atMs >= hang[0] && call.atMs < hang[1]
                            ? new Receiver.Answer(0, -1, "")
                            : new Receiver.Answer(100, 200, "");
                }

                @Override
                public void answered(Receiver.Call call, int status, boolean written) {
                    if (status == 200 && written) {
                        call.ids.forEach(id -> delivered.putIfAbsent(id, run.rec.ms()));
                    }
                }
            };
            for (int e = 0; e < 2; e++) {
                Receiver receiver = new Receiver(run.rec, "s-" + p + "-" + e, 1, behaviour);
                sender.platform.put(receiver.uid, receiver.address(0), p, "small-partner", "Ready");
            }
        }
        sender.start();
        if (!sender.awaitReady(30_000)) {
            return run.cannot("not ready");
        }
        double begin = run.rec.ms();
        hang[0] = run.trouble ? begin + 4_000 : Double.MAX_VALUE;
        hang[1] = begin + 4_000 + HANG_MS;
        double last = hang[1];
        Map<String, Double> due = new ConcurrentHashMap<>();
        AtomicInteger refused = new AtomicInteger();
        byte[] body = new byte[BODY];
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Net.daemon(() -> {
                Net.sleep(client * 1_000L / CLIENTS);
                for (int i = 0; run.rec.ms() < last; i++) {
                    String id = String.format(Locale.ROOT, "%08x%08x", client, i);
                    int partner = 1 + (client + i) % PARTNERS;
                    double at = run.rec.ms();
                    String answer = sender.client.submit(
                            "0000000000000000", id, "c=quote-status,d=" + DEADLINE_MS + ",dest=" + partner, body);
                    if (answer.startsWith("+")) {
                        due.put(id, run.rec.ms() + DEADLINE_MS);
                    } else {
                        refused.incrementAndGet();
                    }
                    Net.sleep((long) (1_000 - (run.rec.ms() - at)));
                }
            });
        }
        Net.sleep((long) (last + DEADLINE_MS + 2_000 - run.rec.ms()));
        int open = 0;
        for (Map.Entry<String, Double> message : due.entrySet()) {
            Platform.Notice notice = sender.platform.notices.get(message.getKey());
            boolean ended = delivered.containsKey(message.getKey())
                    || notice != null && notice.atMs() <= message.getValue() + OVERDUE_MS;
            if (!ended) {
                run.rec.log("NO END " + message.getKey() + (notice == null ? "" : ", a notice came too late"));
            }
            open += ended ? 0 : 1;
        }
        run.rec.say("taken on " + due.size() + ", refused or unanswered " + refused + ", delivered " + delivered.size()
                + ", without an end in time " + open);
        if (!sender.proc.alive()) {
            return run.broken("the sender has ended by itself with " + sender.proc.exit());
        }
        return open == 0 ? run.held("") : run.broken(open + " messages that were taken on have no end");
    }
}
