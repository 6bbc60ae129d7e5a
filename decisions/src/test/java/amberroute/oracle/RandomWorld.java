package amberroute.oracle;

import amberroute.Relay;
import amberroute.Relay.Ending;
import amberroute.Relay.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A world of random events round one module: clients, destinations that are well, slow, away or full, told waits, keys, changes
 * of the list, restarts of what is held, changes of settings. It follows what the module does, so calls end as a world would
 * have them end. The same seed and module give the same events.
 */
final class RandomWorld {
    /** What a module did in one step, in its order. */
    static final class Recorder implements Relay.Actions {
        final List<String> lines = new ArrayList<>();
        final List<long[]> sends = new ArrayList<>();
        final List<Long> answered = new ArrayList<>();
        final List<long[]> cancels = new ArrayList<>();
        long wake = -1;

        /** All but timers. */
        List<String> acts() {
            return lines.stream().filter(line -> !line.startsWith("wake ")).toList();
        }

        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            lines.add("send " + id + " " + endpoint + " " + giveUpAt);
            sends.add(new long[] {id, endpoint, giveUpAt});
        }

        @Override
        public void refuse(long id, long retryAfter) {
            lines.add("refuse " + id + " " + retryAfter);
            answered.add(id);
        }

        @Override
        public void fail(long id) {
            lines.add("fail " + id);
            answered.add(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            lines.add("cancel " + id + " " + attempt);
            cancels.add(new long[] {id, attempt});
        }

        @Override
        public void closeIdle(long endpoint) {
            lines.add("closeIdle " + endpoint);
        }

        @Override
        public void trustIdle(long longest) {
            lines.add("trustIdle " + longest);
        }

        @Override
        public void remember(Relay.Memory memory) {
            lines.add("remember " + memory);
        }

        @Override
        public void wake(long delay, long token) {
            lines.add("wake " + delay);
            wake = delay;
        }

        @Override
        public void follow() {
            lines.add("follow");
        }

        @Override
        public void log(String text) {
            lines.add("log " + text);
        }
    }

    /** How large and how bad a world is. */
    record Plan(
            int destinations,
            int endpointsEach,
            int slots,
            int openMessages,
            double perSecond,
            int keys,
            boolean concludes) {}

    /** A call's end that is due. */
    private record Due(long at, long id, int attempt, long endpoint, Ending ending, long took, long toldWait) {}

    enum Mood {
        WELL,
        SLOW,
        AWAY,
        FULL,
        ERRORS
    }

    private final SplittableRandom random;
    private final Plan plan;
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.id(), b.id()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Due> out = new LinkedHashMap<>();
    private final Map<Long, Boolean> held = new LinkedHashMap<>();
    private final Mood[] moods;
    private final boolean[] listed;
    private final List<Long> conclude = new ArrayList<>();
    private long now = 1_000_000;
    private long nextId = 1;
    private long wakeAt = Long.MAX_VALUE;
    private long nextArrival;

    RandomWorld(long seed, Plan plan) {
        random = new SplittableRandom(seed);
        this.plan = plan;
        moods = new Mood[plan.destinations()];
        java.util.Arrays.fill(moods, Mood.WELL);
        listed = new boolean[plan.destinations() * plan.endpointsEach()];
        nextArrival = now;
    }

    static Relay.Settings settings(long seed, Plan plan) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        List<Relay.MessageClass> classes = List.of(
                new Relay.MessageClass(
                        2, 0.5, 1_500_000, 12_000_000, Relay.Effect.SAFE, Relay.KeyScope.DESTINATION, 0, false),
                new Relay.MessageClass(
                        1,
                        0.5,
                        1_000_000,
                        10_000_000,
                        Relay.Effect.KEYED,
                        Relay.KeyScope.values()[random.nextInt(3)],
                        4_000_000 + random.nextInt(8_000_000),
                        true),
                new Relay.MessageClass(
                        4,
                        random.nextDouble(),
                        2_000_000,
                        8_000_000,
                        Relay.Effect.UNSAFE,
                        Relay.KeyScope.DESTINATION,
                        0,
                        random.nextBoolean()));
        return new Relay.Settings(
                seed,
                1 + random.nextInt(3),
                0,
                5_000,
                random.nextBoolean(),
                0.3,
                random.nextBoolean() ? Relay.LateWorth.EVEN : Relay.LateWorth.HALVING,
                Relay.WeightKind.NONE,
                classes,
                random.nextBoolean() ? List.of() : List.of(new Relay.Tenant(20), new Relay.Tenant(100)),
                List.of(new Relay.Kind(random.nextBoolean(), 1), new Relay.Kind(false, 5)),
                new Relay.Limits(
                        plan.slots(),
                        plan.openMessages(),
                        3 + random.nextInt(10),
                        false,
                        true,
                        true,
                        3_000_000,
                        1,
                        15_000_000,
                        1_000_000),
                new Relay.Rules(300_000, 6_000_000, 0.15, 12_000_000, 2.5, 1_500_000, 100_000),
                new Relay.Prices(0.06, random.nextInt(2) * 0.1, List.of()),
                new Relay.ReportFields(0, 1));
    }

    private long endpoint(int destination, int i) {
        return 1 + destination * (long) plan.endpointsEach() + i;
    }

    Event first() {
        List<Relay.Entry> entries = new ArrayList<>();
        for (int d = 0; d < plan.destinations(); d++) {
            for (int i = 0; i < plan.endpointsEach(); i++) {
                entries.add(new Relay.Entry(endpoint(d, i), d, Relay.Listed.READY, 0, i % 2, d % 2));
                listed[d * plan.endpointsEach() + i] = true;
            }
        }
        return new Event.Listing(Relay.ListKind.FULL, entries);
    }

    long now() {
        return now;
    }

    int held() {
        return held.size();
    }

    /** What happens next; every second event or so is the turn that follows. */
    Event next() {
        if (!conclude.isEmpty() && random.nextInt(3) == 0) {
            return new Event.Concluded(conclude.remove(0));
        }
        int what = random.nextInt(1_000);
        if (what < 3) {
            moods[random.nextInt(moods.length)] = Mood.values()[random.nextInt(Mood.values().length)];
        } else if (what < 5) {
            int at = random.nextInt(listed.length);
            listed[at] = !listed[at];
            int d = at / plan.endpointsEach();
            return new Event.Listing(
                    Relay.ListKind.DELTA,
                    List.of(new Relay.Entry(
                            at + 1,
                            d,
                            listed[at]
                                    ? Relay.Listed.READY
                                    : random.nextBoolean() ? Relay.Listed.GONE : Relay.Listed.DRAINING,
                            0,
                            at % plan.endpointsEach() % 2,
                            d % 2)));
        } else if (what < 6) {
            return resumed();
        } else if (what < 8 && !held.isEmpty()) {
            long id = held.keySet().iterator().next();
            held.remove(id);
            return new Event.Withdrawn(id);
        } else if (what < 9) {
            return new Event.Ceiling(random.nextInt(plan.destinations()), random.nextInt(30), 1, random.nextBoolean());
        }
        long soonest = Math.min(
                Math.min(wakeAt, nextArrival),
                due.isEmpty() ? Long.MAX_VALUE : due.peek().at());
        now = Math.max(now, soonest);
        if (!due.isEmpty() && due.peek().at() <= now) {
            return ended(due.poll());
        }
        if (wakeAt <= now) {
            wakeAt = Long.MAX_VALUE;
            return new Event.TimerDue(0);
        }
        nextArrival = now
                + (random.nextInt(200) == 0 ? 0 : (long) (-Math.log(1 - random.nextDouble()) / plan.perSecond() * 1e6));
        return arrival();
    }

    private Event arrival() {
        int type = random.nextInt(3);
        long id = nextId++;
        held.put(id, true);
        attempts.put(id, 0);
        long full = type == 0 ? 12_000_000 : type == 1 ? 10_000_000 : 8_000_000;
        return new Event.Arrival(
                id,
                type,
                random.nextInt(3) - 1,
                key(),
                random.nextInt(4) == 0 ? 100_000 + random.nextLong(full) : full,
                random.nextInt(plan.destinations()));
    }

    private long key() {
        return plan.keys() == 0 || random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(plan.keys());
    }

    private Event resumed() {
        long id = nextId++;
        held.put(id, true);
        int tried = random.nextInt(3);
        attempts.put(id, tried);
        boolean doubt = tried > 0 && random.nextBoolean();
        int d = random.nextInt(plan.destinations());
        return new Event.Resumed(
                id,
                random.nextInt(3),
                key(),
                100_000 + random.nextLong(8_000_000),
                d,
                tried,
                doubt ? random.nextLong(3_000_000) : -1,
                doubt ? endpoint(d, random.nextInt(plan.endpointsEach())) : 0,
                doubt && random.nextBoolean());
    }

    private Event ended(Due call) {
        out.remove(call.id());
        boolean closed = call.ending() == Ending.OK || random.nextInt(200) == 0;
        if (closed) {
            held.remove(call.id());
            if (plan.concludes()) {
                // As a sender does it: at once.
                conclude.remove(call.id());
            }
        }
        return new Event.Outcome(
                call.id(),
                call.attempt(),
                call.endpoint(),
                call.ending(),
                call.took(),
                closed,
                call.toldWait(),
                random.nextInt(20) == 0 ? List.of(random.nextDouble(), 10 + random.nextDouble() * 50) : List.of(),
                random.nextBoolean() ? -1 : random.nextLong(5_000_000));
    }

    /** What the module did: calls get an end that comes later, by how their destination is. */
    void follow(Recorder did) {
        for (long[] send : did.sends) {
            int d = (int) ((send[1] - 1) / plan.endpointsEach());
            long took = 20_000 + random.nextLong(200_000);
            Ending ending = random.nextInt(100) == 0 ? Ending.ERROR : Ending.OK;
            long wait = 0;
            switch (moods[d]) {
                case SLOW -> took *= 10;
                case AWAY -> {
                    ending = random.nextBoolean() ? Ending.CONNECT_FAILED : Ending.TIMEOUT;
                    took = ending == Ending.TIMEOUT ? Long.MAX_VALUE : took;
                }
                case FULL -> {
                    ending = random.nextInt(4) == 0 ? Ending.OK : Ending.FULL;
                    wait = ending == Ending.FULL && random.nextInt(3) == 0 ? random.nextLong(4_000_000) : 0;
                }
                case ERRORS -> ending =
                        random.nextBoolean() ? Ending.ERROR : random.nextBoolean() ? Ending.RESET : Ending.OK;
                default -> {}
            }
            long end = took == Long.MAX_VALUE ? send[2] : Math.min(send[2], now + took);
            if (end == send[2] && ending != Ending.CONNECT_FAILED) {
                ending = Ending.TIMEOUT;
            }
            int attempt = attempts.merge(send[0], 1, Integer::sum) - 1;
            Due call = new Due(end, send[0], attempt, send[1], ending, end - now, wait);
            out.put(send[0], call);
            due.add(call);
        }
        for (long[] cancel : did.cancels) {
            Due call = out.remove(cancel[0]);
            if (call != null) {
                due.remove(call);
                Due early =
                        new Due(now + 1_000, call.id(), call.attempt(), call.endpoint(), Ending.CANCELLED, 1_000, 0);
                out.put(call.id(), early);
                due.add(early);
            }
        }
        for (long id : did.answered) {
            held.remove(id);
            if (plan.concludes()) {
                conclude.add(id);
            }
        }
        if (did.wake >= 0) {
            wakeAt = now + did.wake;
        }
    }
}
