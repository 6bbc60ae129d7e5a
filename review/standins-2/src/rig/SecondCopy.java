package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Three senders that keep copies for one another; one of them is cut off (stands still) for some seconds while its calls are out. */
public final class SecondCopy implements Receiver.Behaviour {
    private static final long CUT_MS = 6_000;
    private static final long USUAL_MS = 1_300;
    private static final long LONG_MS = 3_400;
    /** From the first message to the cut. */
    private static final long LEAD_MS = 600;

    /** The receiver in the zone of the sender that is cut off; the other receiver is in the zone of the other senders. */
    private static final String OWN_ZONE = "s-0";

    private final Rec rec;
    /** When the cut begins and ends. */
    private volatile double cutFrom = Double.MAX_VALUE;

    private volatile double cutUntil = Double.MAX_VALUE;
    /** Calls that are out, by message. */
    private final Map<String, List<Receiver.Call>> out = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final List<String> copies = new ArrayList<>();
    private final List<String> overtaken = new ArrayList<>();

    private SecondCopy(Rec rec) {
        this.rec = rec;
    }

    @Override
    public Receiver.Answer called(Receiver.Call call) {
        String id = call.ids.get(0);
        if (crosses(call) && cut(rec.ms())) {
            rec.log("the call of sender " + (call.sender + 1) + " with " + id + " does not cross the cut");
            return new Receiver.Answer(0, -1, "");
        }
        synchronized (this) {
            List<Receiver.Call> others = out.computeIfAbsent(id, any -> new ArrayList<>());
            // Only calls that their sender can see the end of count: those that do not cross the cut.
            Receiver.Call other = crosses(call) ? null : firstOut(id);
            if (other != null) {
                copies.add(String.format(Locale.ROOT, "%s from sender %d at %.0f ms while the call of sender %d from %.0f ms is out",
                        id, call.sender + 1, call.atMs, other.sender + 1, other.atMs));
                rec.log("SECOND COPY " + copies.get(copies.size() - 1));
            }
            others.add(call);
            if (id.startsWith("b") && !crosses(call) && firstOut("a" + id.substring(1)) != null) {
                overtaken.add(id);
                rec.log("ORDER " + id + " goes out while an attempt of a" + id.substring(1) + " is out");
            }
            runs.merge(id, 1, Integer::sum);
        }
        long afterMs = id.startsWith("w") ? USUAL_MS : LONG_MS;
        if (crosses(call) && cut(call.atMs + afterMs)) {
            afterMs = (long) (cutUntil - call.atMs) + 20;
        }
        return new Receiver.Answer(afterMs, 200, "");
    }

    private static boolean crosses(Receiver.Call call) {
        return call.receiver.equals(OWN_ZONE) != (call.sender == 0);
    }

    private boolean cut(double ms) {
        return ms >= cutFrom && ms < cutUntil;
    }

    /** A call with this message that is out and does not cross the cut, or null. */
    private Receiver.Call firstOut(String id) {
        return out.getOrDefault(id, List.of()).stream().filter(call -> !crosses(call)).findFirst().orElse(null);
    }

    @Override
    public synchronized void answered(Receiver.Call call, int status, boolean written) {
        out.get(call.ids.get(0)).remove(call);
    }

    public static void main(String[] args) throws Exception {
        Case.run(args, SecondCopy::play);
    }

    private static int play(Case run) throws IOException {
        SecondCopy behaviour = new SecondCopy(run.rec);
        List<Receiver> receivers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            receivers.add(new Receiver(run.rec, "s-" + i, 3, behaviour));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Daemon daemon = new Daemon(run.rec, run.root, run.work, i);
            for (Receiver receiver : receivers) {
                daemon.platform.put(receiver.uid, receiver.address(i), 7, "small-partner", "Ready");
            }
            daemons.add(daemon);
        }
        PeerNet net = Daemon.connect(run.rec, daemons, 20);
        for (Daemon daemon : daemons) {
            daemon.start(daemons, "[survival]\non = true\ncopies = 3\n");
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                return run.cannot(daemon.name + " is not ready");
            }
        }
        Daemon owner = daemons.get(0);
        double until = run.rec.ms() + 15_000;
        boolean served = false;
        for (int i = 0; !served && run.rec.ms() < until; i++) {
            served = owner.client.submit("0000000000000000", "w" + i, "c=quote-status,d=24000,dest=7", "x".getBytes()).startsWith("+");
            Net.sleep(100);
        }
        Net.sleep(USUAL_MS + 200);
        for (int i = 100; i < 108; i++) {
            owner.client.submit("0000000000000000", "w" + i, "c=quote-status,d=24000,dest=7", "x".getBytes());
            Net.sleep(250);
        }
        Net.sleep(USUAL_MS + 500);
        if (run.trouble) {
            behaviour.cutUntil = run.rec.ms() + LEAD_MS + CUT_MS;
            behaviour.cutFrom = run.rec.ms() + LEAD_MS;
        }
        int taken = 0;
        for (int k = 0; k < 4; k++) {
            String key = String.format(Locale.ROOT, "%016x", 0x7f3a9c2100000000L + k);
            taken += owner.client.submit(key, "a" + k, "c=policy-order,d=20000,k=ka" + k + ",dest=7", "first".getBytes()).startsWith("+") ? 1 : 0;
            taken += owner.client.submit(key, "b" + k, "c=policy-order,d=20000,k=kb" + k + ",dest=7", "second".getBytes()).startsWith("+") ? 1 : 0;
            taken += owner.client.submit("0000000000000000", "q" + k, "c=quote-status,d=24000,dest=7", "quote".getBytes()).startsWith("+") ? 1 : 0;
        }
        run.rec.log("taken on " + taken);
        if (run.trouble) {
            Net.sleep((long) (behaviour.cutFrom - run.rec.ms()));
            net.cutOff(0);
            Net.sleep((long) (behaviour.cutUntil - run.rec.ms()));
            net.cutOff(-1);
        } else {
            Net.sleep(LEAD_MS + CUT_MS);
        }
        Net.sleep(8_000);
        run.rec.say("taken on " + taken + ", second copies " + behaviour.copies.size() + ", overtaken " + behaviour.overtaken.size()
                + ", runs " + behaviour.runs);
        return behaviour.copies.isEmpty() && behaviour.overtaken.isEmpty()
                ? run.held("")
                : run.broken(behaviour.copies.isEmpty() ? behaviour.overtaken.get(0) : behaviour.copies.get(0));
    }
}
