package amberroute.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Simulates a fleet that sends to one destination in virtual time. The destination serves a fixed number of messages per second and rejects
 * the rest. Each sender admits messages by the price that it computes and sends those of the highest value first. Clients submit a rejected
 * message again after the advised time, to a random sender.
 */
final class FleetSimulation {
    static final double[] VALUE_BY_CLASS = {4, 2, 1};
    private static final double[] FRACTION_BY_CLASS = {0.2, 0.45, 0.35};
    private static final int STEP_MICROS = 10_000;
    private static final long MESSAGE_LIFE_MICROS = 6_000_000;
    /** After this time a message has half of its value. */
    private static final long LATENCY_OBJECTIVE_MICROS = 1_500_000;
    /** Mean pause of a sender after a rejected call. */
    private static final long RETRY_PAUSE_MICROS = 100_000;

    private record Message(int classIndex, long deadlineMicros) {}

    private record ReportInFlight(long arrivesAtMicros, long sequence, int recipient, LoadReport report) {}

    private record Retry(long retryAtMicros, long sequence, Message message) {}

    /** One sender with its pending messages. */
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
    /** Whether calls are limited to the sender's share of the limit. */
    private final boolean enforceShares;

    private final PriorityQueue<ReportInFlight> reportsInFlight =
            new PriorityQueue<>((a, b) -> a.arrivesAtMicros() != b.arrivesAtMicros()
                    ? Long.compare(a.arrivesAtMicros(), b.arrivesAtMicros())
                    : Long.compare(a.sequence(), b.sequence()));
    private final PriorityQueue<Retry> retries = new PriorityQueue<>((a, b) -> a.retryAtMicros() != b.retryAtMicros()
            ? Long.compare(a.retryAtMicros(), b.retryAtMicros())
            : Long.compare(a.sequence(), b.sequence()));
    /** Pending messages of the ideal sender, by class; it receives all demand. */
    private final List<Deque<Message>> idealPending =
            List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());

    double capacityPerSecond = 400;
    double loadFactor = 1.3;
    double lossProbability;
    /** Upper bound of the random part of the delay of a report. */
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
    /** The highest sum of usable fractions, observed after the rounds and after the deliveries of each step. */
    double highestFractionSum;

    /** With {@code skewed}, half of the senders get a tenth of the traffic of the others; of 12, one gets half of all traffic. */
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
     * Records the sum of the usable fractions. A fraction changes with time and with received reports, so observing it after
     * the rounds and after the deliveries of each step covers every sum.
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
        // A sender also rejects what its part of the capacity could not serve in time.
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

    /** Serves the highest value first from all demand, as the bound for the fleet; late messages come after the others. */
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
            // The newest message, which has the highest value of its queue.
            Message message = bestQueue.pollLast();
            idealTokens--;
            idealValue += valueOf(message);
        }
    }

    /** Resets the counters of results. */
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
