package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A steady load of messages for one destination, dealt out to all senders, each by clients of its own. */
public final class Load {
    private record Kind(String name, double share, long deadlineMs, boolean keyed) {}

    private final Rec rec;
    private final List<Sender> senders;
    private final double perSenderAndSecond;
    private final Random random;
    private final List<Kind> kinds = new ArrayList<>();
    private final AtomicInteger handedIn = new AtomicInteger();
    private final AtomicInteger taken = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "client", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });
    /** Deadline in milliseconds of the run by the id of each message that was taken on. */
    public final Map<String, Double> deadlines = new ConcurrentHashMap<>();
    public int destination = 7;
    /** First digit of the ids. */
    public String idPrefix = "9";

    public Load(Rec rec, List<Sender> senders, double perSenderAndSecond, long seed) {
        this.rec = rec;
        this.senders = senders;
        this.perSenderAndSecond = perSenderAndSecond;
        random = new Random(seed);
    }

    public Load mix(String name, double share, long deadlineMs, boolean keyed) {
        kinds.add(new Kind(name, share, deadlineMs, keyed));
        return this;
    }

    /** Hands messages in at random moments until then. */
    public void until(double endMs) {
        double next = rec.ms();
        while (next < endMs) {
            Net.sleep((long) (next - rec.ms()));
            Sender sender = senders.get(handedIn.get() % senders.size());
            Kind kind = draw();
            int number = handedIn.incrementAndGet();
            threads.execute(() -> hand(sender, kind, number));
            next += -Math.log(1 - random.nextDouble()) * 1_000 / (perSenderAndSecond * senders.size());
        }
    }

    private Kind draw() {
        double at = random.nextDouble();
        for (Kind kind : kinds) {
            at -= kind.share();
            if (at < 0) {
                return kind;
            }
        }
        return kinds.get(0);
    }

    private void hand(Sender sender, Kind kind, int number) {
        String id = idPrefix + String.format("%015x", 0xb1f000000000000L + number);
        String key = kind.keyed() ? String.format("%016x", 0x7f3a000000000000L + number) : "0000000000000000";
        String options = "c=" + kind.name() + ",d=" + kind.deadlineMs() + (kind.keyed() ? ",k=5c0f" + number : "") + ",dest="
                + destination;
        double sentMs = rec.ms();
        String answer = sender.client.submit(key, id, options, ("message " + number).getBytes());
        if (answer.startsWith("+") || answer.startsWith("$")) {
            taken.incrementAndGet();
            deadlines.put(id, sentMs + kind.deadlineMs());
        }
    }

    public int handedIn() {
        return handedIn.get();
    }

    public int taken() {
        return taken.get();
    }
}
