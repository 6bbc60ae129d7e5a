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
    static final double[] VALUE_BY_CLASS = {4, 2, 1};
    private static final double[] FRACTION_BY_CLASS = {0.2, 0.45, 0.35};
    private static final int STEP_MICROS = 10_000;
    private static final long MESSAGE_LIFE_MICROS = 6_000_000;
    /** Behind this a message is worth half. */
    private static final long LATENCY_OBJECTIVE_MICROS = 1_500_000;
    /** A sender calls again so long after a refusal. */
    private static final long RETRY_PAUSE_MICROS = 100_000;

    private record Message(int classIndex, long deadlineMicros) {}

    private record ReportInFlight(long arrivesAtMicros, long sequence, int recipient, LoadReport report) {}

    private record Retry(long retryAtMicros, long sequence, Message message) {}

    /** One daemon of the simulation with the messages that it holds. */
    static final class Sender {
        FleetAdmissionControl admission;
        AdmissionPrice price = AdmissionPrice.none(1);
        final List<Deque<Message>> pending = List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());
        long pausedUntilMicros;
        double trafficWeight;
        double ratePerSecond = Double.POSITIVE_INFINITY;
        double credit;
    }

    final List<Sender> senders = new ArrayList<>();
    final Random random;
    private final boolean usePrices;
    /** Calls are held to parts of the limit. */
    private final boolean enforceShares;

    private final PriorityQueue<ReportInFlight> reportsInFlight =
            new PriorityQueue<>((a, b) -> a.arrivesAtMicros() != b.arrivesAtMicros()
                    ? Long.compare(a.arrivesAtMicros(), b.arrivesAtMicros())
                    : Long.compare(a.sequence(), b.sequence()));
    private final PriorityQueue<Retry> retries = new PriorityQueue<>((a, b) -> a.retryAtMicros() != b.retryAtMicros()
            ? Long.compare(a.retryAtMicros(), b.retryAtMicros())
            : Long.compare(a.sequence(), b.sequence()));
    /** All demand so far, for the one that sees all: what waits there, by kind. */
    private final List<Deque<Message>> idealPending =
            List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());

    double capacityPerSecond = 400;
    double loadFactor = 1.3;
    double lossProbability;
    /** The longest that news are on the way. */
    long maxDelayMicros = 20_000;

    long now;
    private double tokens;
    private double idealTokens;
    private long nextSequence;
    private double submissionCredit;
    double value;
    double idealValue;
    long served;
    long rejectedCalls;
    long shed;
    long expired;
    long reportBytes;
    private double totalTrafficWeight;
    /** The most that the parts in use added up to, behind the rounds and behind the deliveries of any step. */
    double highestFractionSum;

    /** {@code skewed}: half of the senders are asked for a tenth of what the rest is; of twelve, one for as much as all others. */
    FleetSimulation(int senderCount, long seed, boolean usePrices, boolean skewed, boolean enforceShares) {
        random = new Random(seed);
        this.enforceShares = enforceShares;
        this.usePrices = usePrices;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < senderCount; i++) {
            names.add("s" + i);
        }
        for (int i = 0; i < senderCount; i++) {
            Sender sender = new Sender();
            sender.admission = new FleetAdmissionControl(
                    0, "s" + i, names, senderCount, enforceShares, 1, new SplittableRandom(seed + i));
            sender.trafficWeight =
                    !skewed ? 1 : i == 0 && senderCount == 12 ? senderCount : i < senderCount / 2 ? 0.18 : 1.8;
            totalTrafficWeight += sender.trafficWeight;
            senders.add(sender);
        }
    }

    void run(long durationMicros) {
        long end = now + durationMicros;
        while (now < end) {
            now += STEP_MICROS;
            tokens = Math.min(capacityPerSecond / 10, tokens + capacityPerSecond * STEP_MICROS / 1e6);
            idealTokens = Math.min(capacityPerSecond / 10, idealTokens + capacityPerSecond * STEP_MICROS / 1e6);
            submitMessages();
            for (int i = 0; i < senders.size(); i++) {
                if ((now + i * 7L * STEP_MICROS) % FleetAdmissionControl.ROUND_MICROS < STEP_MICROS) {
                    runRound(senders.get(i));
                }
            }
            observeUsableFractions();
            while (!reportsInFlight.isEmpty() && reportsInFlight.peek().arrivesAtMicros() <= now) {
                ReportInFlight delivery = reportsInFlight.poll();
                FleetAdmissionControl.OutgoingReport answer =
                        senders.get(delivery.recipient()).admission.onReport(now, delivery.report());
                if (answer != null) {
                    send(answer);
                }
            }
            observeUsableFractions();
            int first = random.nextInt(senders.size());
            for (int i = 0; i < senders.size(); i++) {
                callDestination(senders.get((first + i) % senders.size()));
            }
            runIdealSender();
        }
    }

    private void runRound(Sender sender) {
        for (AdmissionPrice price : sender.admission.runRound(
                now,
                destination -> sender.pending.stream().mapToInt(Deque::size).sum())) {
            sender.price = price;
        }
        if (enforceShares) {
            sender.admission.changedRateLimits(now).forEach(limit -> sender.ratePerSecond = limit.perSecond());
            sender.admission.loanRequests(now).forEach(this::send);
        }
        sender.admission.nextReports(now).forEach(this::send);
    }

    /**
     * Looks at the sum of the parts in use. A part changes with time and with what a sender hears, so a look behind the
     * rounds and one behind the deliveries of each step sees every sum.
     */
    private void observeUsableFractions() {
        double sum = 0;
        for (Sender sender : senders) {
            sum += sender.admission.usableFraction(now, 1);
        }
        highestFractionSum = Math.max(highestFractionSum, sum);
    }

    private void send(FleetAdmissionControl.OutgoingReport outgoing) {
        reportBytes += outgoing.report().encode().remaining();
        if (random.nextDouble() >= lossProbability) {
            reportsInFlight.add(new ReportInFlight(
                    now + 1_000 + (long) (random.nextDouble() * maxDelayMicros),
                    nextSequence++,
                    Integer.parseInt(outgoing.recipient().substring(1)),
                    LoadReport.decode(outgoing.report().encode())));
        }
    }

    private void submitMessages() {
        submissionCredit += capacityPerSecond * loadFactor * STEP_MICROS / 1e6;
        for (; submissionCredit >= 1; submissionCredit--) {
            double draw = random.nextDouble();
            int classIndex =
                    draw < FRACTION_BY_CLASS[0] ? 0 : draw < FRACTION_BY_CLASS[0] + FRACTION_BY_CLASS[1] ? 1 : 2;
            Message message = new Message(classIndex, now + MESSAGE_LIFE_MICROS);
            idealPending.get(classIndex).add(message);
            submit(message);
        }
        while (!retries.isEmpty() && retries.peek().retryAtMicros() <= now) {
            submit(retries.poll().message());
        }
    }

    private void submit(Message message) {
        double draw = random.nextDouble() * totalTrafficWeight;
        int index = 0;
        while (index < senders.size() - 1 && (draw -= senders.get(index).trafficWeight) >= 0) {
            index++;
        }
        Sender sender = senders.get(index);
        double priorityWeight = VALUE_BY_CLASS[message.classIndex()];
        sender.admission.onDemand(now, 1, priorityWeight);
        boolean belowPrice = usePrices
                && (priorityWeight < sender.price.priorityFloor()
                        || priorityWeight < sender.price.priorityCeiling()
                                && random.nextDouble() >= sender.price.admittedFraction());
        // Without prices a sender turns away what it could not have done in time alone.
        boolean queueFull = sender.pending.stream().mapToInt(Deque::size).sum()
                > MESSAGE_LIFE_MICROS / 1e6 * capacityPerSecond / senders.size() * sender.trafficWeight;
        if (belowPrice || queueFull) {
            shed++;
            long retryDelayMicros = belowPrice
                    ? sender.price.retryAfterMicros() + (long) (random.nextDouble() * sender.price.retryAfterMicros())
                    : 500_000;
            if (now + retryDelayMicros < message.deadlineMicros()) {
                retries.add(new Retry(now + retryDelayMicros, nextSequence++, message));
            }
        } else {
            sender.pending.get(message.classIndex()).add(message);
        }
    }

    private void callDestination(Sender sender) {
        double newCredit = sender.ratePerSecond * STEP_MICROS / 1e6;
        sender.credit = Double.isInfinite(newCredit)
                ? newCredit
                : Math.min(1 + newCredit, Double.isInfinite(sender.credit) ? 0 : sender.credit + newCredit);
        for (Deque<Message> queue : sender.pending) {
            while (!queue.isEmpty() && now >= sender.pausedUntilMicros && sender.credit >= 1) {
                Message message = queue.poll();
                sender.credit -= message.deadlineMicros() < now ? 0 : 1;
                if (message.deadlineMicros() < now) {
                    expired++;
                } else if (tokens >= 1) {
                    tokens--;
                    served++;
                    value += valueOf(message);
                    sender.admission.onServed(now, 1);
                } else {
                    rejectedCalls++;
                    sender.admission.onRejected(now, 1);
                    sender.pausedUntilMicros =
                            now + RETRY_PAUSE_MICROS / 2 + (long) (random.nextDouble() * RETRY_PAUSE_MICROS);
                    queue.addFirst(message);
                }
            }
        }
    }

    private double valueOf(Message message) {
        return VALUE_BY_CLASS[message.classIndex()]
                * (now <= message.deadlineMicros() - MESSAGE_LIFE_MICROS + LATENCY_OBJECTIVE_MICROS ? 1 : 0.5);
    }

    /** One sender that has all before it and takes what is worth most now; what is late, or would be, waits behind the rest. */
    private void runIdealSender() {
        while (idealTokens >= 1) {
            Deque<Message> bestQueue = null;
            for (Deque<Message> queue : idealPending) {
                while (!queue.isEmpty() && (queue.peekFirst().deadlineMicros() < now)) {
                    queue.pollFirst();
                }
                if (!queue.isEmpty()
                        && (bestQueue == null || valueOf(queue.peekLast()) > valueOf(bestQueue.peekLast()))) {
                    bestQueue = queue;
                }
            }
            if (bestQueue == null) {
                return;
            }
            // The oldest that is still in time, else the newest.
            Message message = bestQueue.pollLast();
            idealTokens--;
            idealValue += valueOf(message);
        }
    }

    /** Forgets what was counted so far. */
    void resetCounters() {
        value = 0;
        idealValue = 0;
        served = 0;
        rejectedCalls = 0;
        shed = 0;
        expired = 0;
        reportBytes = 0;
    }
}
