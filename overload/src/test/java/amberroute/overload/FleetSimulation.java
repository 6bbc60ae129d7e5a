package amberroute.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * A fleet in virtual time before one destination that answers so many messages a second and refuses what is above. Senders take on by
 * the price that each computes, and hand over what they hold the dearest first; what was turned away comes again as told, somewhere.
 */
final class FleetSimulation {
    static final double[] WORTH = {4, 2, 1};
    private static final double[] SHARE = {0.2, 0.45, 0.35};
    private static final int STEP = 10_000;
    private static final long LIFE = 6_000_000;
    /** Behind this a message is worth half. */
    private static final long AIM = 1_500_000;
    /** A sender calls again so long after a refusal. */
    private static final long PAUSE = 100_000;

    private record Message(int kind, long due) {}

    private record Flying(long at, long order, int to, LoadReport digest) {}

    private record Again(long at, long order, Message message) {}

    /** One daemon of the simulation with the messages that it holds. */
    static final class Sender {
        FleetAdmissionControl overload;
        AdmissionPrice price = AdmissionPrice.none(1);
        final List<Deque<Message>> held = List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());
        long pausedUntil;
        double weight;
        double rate = Double.POSITIVE_INFINITY;
        double saved;
    }

    final List<Sender> senders = new ArrayList<>();
    final Random random;
    private final boolean priced;
    /** Calls are held to parts of the limit. */
    private final boolean parts;

    private final PriorityQueue<Flying> ways = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final PriorityQueue<Again> again = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    /** All demand so far, for the one that sees all: what waits there, by kind. */
    private final List<Deque<Message>> ideal = List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());

    double capacity = 400;
    double load = 1.3;
    double loss;
    /** The longest that news are on the way. */
    long delay = 20_000;

    long now;
    private double tokens;
    private double idealTokens;
    private long order;
    private double due;
    double worth;
    double idealWorth;
    long served;
    long refused;
    long turnedAway;
    long dropped;
    long bytes;
    private double weights;
    /** The most that the parts in use added up to, behind the rounds and behind the deliveries of any step. */
    double mostParts;

    /** {@code skewed}: half of the senders are asked for a tenth of what the rest is; of twelve, one for as much as all others. */
    FleetSimulation(int size, long seed, boolean priced, boolean skewed, boolean parts) {
        random = new Random(seed);
        this.parts = parts;
        this.priced = priced;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            names.add("s" + i);
        }
        for (int i = 0; i < size; i++) {
            Sender s = new Sender();
            s.overload = new FleetAdmissionControl(0, "s" + i, names, size, parts, 1, new SplittableRandom(seed + i));
            s.weight = !skewed ? 1 : i == 0 && size == 12 ? size : i < size / 2 ? 0.18 : 1.8;
            weights += s.weight;
            senders.add(s);
        }
    }

    void run(long span) {
        long end = now + span;
        while (now < end) {
            now += STEP;
            tokens = Math.min(capacity / 10, tokens + capacity * STEP / 1e6);
            idealTokens = Math.min(capacity / 10, idealTokens + capacity * STEP / 1e6);
            arrive();
            for (int i = 0; i < senders.size(); i++) {
                if ((now + i * 7L * STEP) % FleetAdmissionControl.ROUND_MICROS < STEP) {
                    round(senders.get(i));
                }
            }
            observeParts();
            while (!ways.isEmpty() && ways.peek().at() <= now) {
                Flying f = ways.poll();
                FleetAdmissionControl.OutgoingReport answer =
                        senders.get(f.to()).overload.onReport(now, f.digest());
                if (answer != null) {
                    send(answer);
                }
            }
            observeParts();
            int first = random.nextInt(senders.size());
            for (int i = 0; i < senders.size(); i++) {
                call(senders.get((first + i) % senders.size()));
            }
            seeAll();
        }
    }

    private void round(Sender s) {
        for (AdmissionPrice p : s.overload.runRound(
                now, d -> s.held.stream().mapToInt(Deque::size).sum())) {
            s.price = p;
        }
        if (parts) {
            s.overload.changedRateLimits(now).forEach(c -> s.rate = c.perSecond());
            s.overload.loanRequests(now).forEach(this::send);
        }
        s.overload.nextReports(now).forEach(this::send);
    }

    /**
     * Looks at the sum of the parts in use. A part changes with time and with what a sender hears, so a look behind the
     * rounds and one behind the deliveries of each step sees every sum.
     */
    private void observeParts() {
        double sum = 0;
        for (Sender sender : senders) {
            sum += sender.overload.usableFraction(now, 1);
        }
        mostParts = Math.max(mostParts, sum);
    }

    private void send(FleetAdmissionControl.OutgoingReport out) {
        bytes += out.report().encode().remaining();
        if (random.nextDouble() >= loss) {
            ways.add(new Flying(
                    now + 1_000 + (long) (random.nextDouble() * delay),
                    order++,
                    Integer.parseInt(out.recipient().substring(1)),
                    LoadReport.decode(out.report().encode())));
        }
    }

    private void arrive() {
        due += capacity * load * STEP / 1e6;
        for (; due >= 1; due--) {
            double at = random.nextDouble();
            int kind = at < SHARE[0] ? 0 : at < SHARE[0] + SHARE[1] ? 1 : 2;
            Message m = new Message(kind, now + LIFE);
            ideal.get(kind).add(m);
            hand(m);
        }
        while (!again.isEmpty() && again.peek().at() <= now) {
            hand(again.poll().message());
        }
    }

    private void hand(Message m) {
        double at = random.nextDouble() * weights;
        int to = 0;
        while (to < senders.size() - 1 && (at -= senders.get(to).weight) >= 0) {
            to++;
        }
        Sender s = senders.get(to);
        double worth = WORTH[m.kind()];
        s.overload.onDemand(now, 1, worth);
        boolean cheap = priced
                && (worth < s.price.priorityFloor()
                        || worth < s.price.priorityCeiling() && random.nextDouble() >= s.price.admittedFraction());
        // Without prices a sender turns away what it could not have done in time alone.
        boolean crowded =
                s.held.stream().mapToInt(Deque::size).sum() > LIFE / 1e6 * capacity / senders.size() * s.weight;
        if (cheap || crowded) {
            turnedAway++;
            long wait = cheap
                    ? s.price.retryAfterMicros() + (long) (random.nextDouble() * s.price.retryAfterMicros())
                    : 500_000;
            if (now + wait < m.due()) {
                again.add(new Again(now + wait, order++, m));
            }
        } else {
            s.held.get(m.kind()).add(m);
        }
    }

    private void call(Sender s) {
        double due = s.rate * STEP / 1e6;
        s.saved = Double.isInfinite(due) ? due : Math.min(1 + due, Double.isInfinite(s.saved) ? 0 : s.saved + due);
        for (Deque<Message> kind : s.held) {
            while (!kind.isEmpty() && now >= s.pausedUntil && s.saved >= 1) {
                Message m = kind.poll();
                s.saved -= m.due() < now ? 0 : 1;
                if (m.due() < now) {
                    dropped++;
                } else if (tokens >= 1) {
                    tokens--;
                    served++;
                    worth += worth(m);
                    s.overload.onServed(now, 1);
                } else {
                    refused++;
                    s.overload.onRejected(now, 1);
                    s.pausedUntil = now + PAUSE / 2 + (long) (random.nextDouble() * PAUSE);
                    kind.addFirst(m);
                }
            }
        }
    }

    private double worth(Message m) {
        return WORTH[m.kind()] * (now <= m.due() - LIFE + AIM ? 1 : 0.5);
    }

    /** One sender that has all before it and takes what is worth most now; what is late, or would be, waits behind the rest. */
    private void seeAll() {
        while (idealTokens >= 1) {
            Deque<Message> best = null;
            for (Deque<Message> kind : ideal) {
                while (!kind.isEmpty() && (kind.peekFirst().due() < now)) {
                    kind.pollFirst();
                }
                if (!kind.isEmpty() && (best == null || worth(kind.peekLast()) > worth(best.peekLast()))) {
                    best = kind;
                }
            }
            if (best == null) {
                return;
            }
            // The oldest that is still in time, else the newest.
            Message m = best.pollLast();
            idealTokens--;
            idealWorth += worth(m);
        }
    }

    /** Forgets what was counted so far. */
    void mark() {
        worth = 0;
        idealWorth = 0;
        served = 0;
        refused = 0;
        turnedAway = 0;
        dropped = 0;
        bytes = 0;
    }
}
