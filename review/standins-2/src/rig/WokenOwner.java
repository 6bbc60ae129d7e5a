package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three senders that keep copies for one another, and clients with keyed messages. One sender is cut off (stands still) for some seconds and
 * comes back. The destination drops a repeated key for as long as it remembers it, and counts each effect.
 */
public final class WokenOwner implements Receiver.Behaviour {
    private static final long CUT_MS = 6_000;
    /** The window of 2 s; each time limit is 50 ms longer on sockets. */
    private static final double KEY_LIFE_MS = 2_000 + 50;
    /** The pages name two cuts in a run at most. */
    private static final int ROUNDS = 2;
    /** One way, as between zones of the site. */
    private static final long LATENCY_MS = 20;
    /** Of so many messages so many come at once, some 8 %. */
    private static final int CLUMP_EVERY = 250;

    private static final int CLUMP = 20;
    /** For each sender. */
    private static final double PER_SECOND = 120;

    private final Rec rec;
    /** By idempotency key the moments at which its message took effect. */
    private final Map<String, List<Double>> effects = new HashMap<>();
    private final List<String> twice = new ArrayList<>();
    /** Calls with a message that the platform was told the end of long before. */
    private final List<String> ended = new ArrayList<>();
    private List<Daemon> senders = List.of();

    private WokenOwner(Rec rec) {
        this.rec = rec;
    }

    @Override
    public Receiver.Answer called(Receiver.Call call) {
        String key = call.keys.get(0);
        synchronized (this) {
            for (Daemon sender : senders) {
                Platform.Notice notice = sender.platform.notices.get(call.ids.get(0));
                if (notice != null && call.atMs - notice.atMs() > 200) {
                    String text = String.format(Locale.ROOT, "%s was %s at %.0f ms and goes out at %.0f ms by sender %d",
                            call.ids.get(0), notice.state(), notice.atMs(), call.atMs, call.sender + 1);
                    ended.add(text);
                    rec.log("ENDED " + text);
                }
            }
            List<Double> earlier = effects.computeIfAbsent(key, any -> new ArrayList<>());
            boolean remembered = !earlier.isEmpty() && call.atMs - earlier.get(earlier.size() - 1) <= KEY_LIFE_MS;
            if (!remembered && !earlier.isEmpty()) {
                String text = String.format(Locale.ROOT, "%s of %s took effect at %.0f ms and again at %.0f ms by sender %d",
                        call.ids.get(0), key, earlier.get(0), call.atMs, call.sender + 1);
                twice.add(text);
                rec.log("TWICE " + text);
            }
            if (!remembered) {
                earlier.add(call.atMs);
            }
        }
        return new Receiver.Answer(30, 200, "");
    }

    public static void main(String[] args) throws Exception {
        Case.run(args, WokenOwner::play);
    }

    private static int play(Case run) throws IOException {
        WokenOwner behaviour = new WokenOwner(run.rec);
        List<Receiver> receivers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            receivers.add(new Receiver(run.rec, "s-" + i, 3, behaviour));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Daemon daemon = new Daemon(run.rec, run.root, run.work, i);
            daemon.keyLife = "2s";
            for (Receiver receiver : receivers) {
                daemon.platform.put(receiver.uid, receiver.address(i), 7, "small-partner", "Ready");
            }
            daemons.add(daemon);
        }
        Daemon.connect(run.rec, daemons, LATENCY_MS);
        String survival = "[survival]\non = true\ncopies = 3\n";
        for (Daemon daemon : daemons) {
            daemon.start(daemons, survival);
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                return run.cannot(daemon.name + " is not ready");
            }
        }
        behaviour.senders = daemons;
        double end = run.rec.ms() + 85_000;
        boolean[] over = {false};
        Net.daemon(() -> behaviour.handInAgain(end));
        AtomicInteger taken = new AtomicInteger();
        Thread load = Net.daemon(() -> hand(run.rec, daemons, PER_SECOND, end, over, taken));
        Random random = new Random();
        int rounds = 0;
        while (rounds < ROUNDS && run.rec.ms() < end - 15_000 && behaviour.count() == 0) {
            Net.sleep(4_000 + random.nextInt(500));
            Daemon cut = daemons.get(rounds % 3);
            rounds++;
            if (!run.trouble) {
                Net.sleep(CUT_MS);
                continue;
            }
            cut.proc.signal("STOP");
            Net.sleep(CUT_MS);
            cut.proc.signal("CONT");
            Net.sleep(1_000);
            if (!cut.proc.alive()) {
                run.rec.log(cut.name + " has ended with " + cut.proc.exit() + " and is started again");
                cut.start(daemons, survival);
                cut.awaitReady(20_000);
            }
        }
        over[0] = true;
        try {
            load.join();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        Net.sleep(2_000);
        run.rec.say("rounds " + rounds + ", taken on " + taken + ", keys " + behaviour.effects.size() + ", took effect twice "
                + behaviour.twice.size() + ", went out behind their end " + behaviour.ended.size());
        return behaviour.count() == 0
                ? run.held("")
                : run.broken(behaviour.twice.isEmpty() ? behaviour.ended.get(0) : behaviour.twice.get(0));
    }

    /**
     * Clients hand in again what was returned, once, under a new id and the same idempotency key, at another sender; what has taken
     * effect does not come again, as its window may be over.
     */
    private void handInAgain(double end) {
        java.util.Set<String> done = new java.util.HashSet<>();
        while (rec.ms() < end) {
            Net.sleep(20);
            for (Daemon told : senders) {
                told.platform.notices.values().stream()
                        .filter(notice -> notice.state().equals("returned") && !notice.id().endsWith("r"))
                        .filter(notice -> done.add(notice.id()))
                        .forEach(notice -> Net.daemon(() -> {
                            Net.sleep(400);
                            String id = notice.id();
                            if (hasRun("k" + id)) {
                                return;
                            }
                            String key = String.format(
                                    Locale.ROOT, "%016x", 0x7f3a000000000000L + Integer.parseInt(id.substring(2)));
                            Daemon other = senders.get(Integer.parseInt(id.substring(0, 1)) % senders.size());
                            other.client.submit(
                                    key, id + "r", "c=policy-order,d=18000,k=k" + id + ",r=1,dest=7", "order".getBytes());
                        }));
            }
        }
    }

    private synchronized boolean hasRun(String key) {
        return !effects.getOrDefault(key, List.of()).isEmpty();
    }

    private synchronized int count() {
        return twice.size() + ended.size();
    }

    /** Each client keeps to its sender, as those of one key do. */
    private static void hand(
            Rec rec, List<Daemon> daemons, double perSecond, double end, boolean[] over, AtomicInteger taken) {
        ExecutorService threads = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(null, work, "client", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        Random random = new Random(5);
        double next = rec.ms();
        for (int i = 0; rec.ms() < end && !over[0]; i++) {
            int number = i;
            for (Daemon daemon : daemons) {
                threads.execute(() -> {
                    String id = daemon.name.substring(7) + "m" + number;
                    String key = String.format(Locale.ROOT, "%016x", 0x7f3a000000000000L + number);
                    if (daemon.client
                            .submit(key, id, "c=policy-order,d=20000,k=k" + id + ",dest=7", "order".getBytes())
                            .startsWith("+")) {
                        taken.incrementAndGet();
                    }
                });
            }
            // Some messages come in clumps.
            boolean clump = i % CLUMP_EVERY < CLUMP;
            next += clump ? 0 : -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            Net.sleep((long) (next - rec.ms()));
        }
    }
}
