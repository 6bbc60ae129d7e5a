package amberroute.decisions;

import amberroute.testkit.SlowStartBudget;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Runs fleets of several sizes through outages of all kinds in {@link FleetSimulation} and prints a line for each case. Run by hand;
 * the arguments are the number of seeds, then sender counts.
 */
final class FleetOutageGrid {
    static final double[] LIMITS_PER_SECOND = {2, 4, 8, 16, 60, 200};
    static final long OUTAGE_START_MICROS = 4_000_000;
    private static final long OUTAGE_END_MICROS = 13_600_000;
    private static final long RUN_MICROS = 32_000_000;
    static final double OFFERED_LOAD_RATIO = 0.7;
    private static final double TRAFFIC_SKEW = 0.5;
    private static final int MAX_PENDING = 100;
    private static final long MESSAGE_LIFE_MICROS = 12_000_000;
    /** Enough for every sender, so that connections are reused and none is rejected. */
    private static final int MAX_CONNECTIONS = 1_000_000;

    /** Whether the settings announce load reports, and whether answers carry them. */
    enum Reports {
        NOT_CONFIGURED,
        CONFIGURED_ONLY,
        /** All answers carry them but the rejections of an outage. */
        SENT_BUT_IN_OUTAGE,
        SENT
    }

    /** Senders that restart one after another; times are since the end of the outage, negative ones during the outage. */
    record Restarts(double senderRatio, long firstMicros, long lastMicros) {
        static final Restarts NONE = new Restarts(0, 0, 0);
    }

    /** One case of the grid; {@code retryAfterMicros} is 0 where rejections carry none. */
    record Case(OutageKind kind, long retryAfterMicros, Reports reports, int senders, double limitPerSecond) {
        /** Runs the case with one seed and messages that outlast the outage. */
        FleetSimulation run(long seed) {
            return run(seed, MESSAGE_LIFE_MICROS);
        }

        /** Runs the case with one seed; messages have this life from the outage on. */
        FleetSimulation run(long seed, long messageLifeMicros) {
            return run(seed, messageLifeMicros, OUTAGE_END_MICROS, Restarts.NONE);
        }

        /** Runs the case with one seed and the end of the outage since the start; all senders learn of it when it begins. */
        FleetSimulation runLearnedTogether(long seed, long outageEndMicros) {
            FleetSimulation simulation = create(seed, MESSAGE_LIFE_MICROS, outageEndMicros, Restarts.NONE);
            simulation.submitToAll(OUTAGE_START_MICROS);
            simulation.run(outageEndMicros + RUN_MICROS - OUTAGE_END_MICROS);
            return simulation;
        }

        /** Runs the case with one seed, the end of the outage since the start, and senders that restart. */
        FleetSimulation run(long seed, long outageEndMicros, Restarts restarts) {
            return run(seed, MESSAGE_LIFE_MICROS, outageEndMicros, restarts);
        }

        private FleetSimulation run(long seed, long messageLifeMicros, long outageEndMicros, Restarts restarts) {
            FleetSimulation simulation = create(seed, messageLifeMicros, outageEndMicros, restarts);
            simulation.run(outageEndMicros + RUN_MICROS - OUTAGE_END_MICROS);
            return simulation;
        }

        private FleetSimulation create(long seed, long messageLifeMicros, long outageEndMicros, Restarts restarts) {
            FleetSimulation simulation = new FleetSimulation(
                    senders,
                    seed,
                    MAX_PENDING,
                    FleetSimulation.messageClass(2, DeliveryScheduler.Idempotency.NON_IDEMPOTENT),
                    reports != Reports.NOT_CONFIGURED);
            simulation.limitPerSecond = limitPerSecond;
            simulation.capacityRatio = 1;
            simulation.offeredLoadRatio = OFFERED_LOAD_RATIO;
            simulation.trafficSkew = TRAFFIC_SKEW;
            simulation.reportOverride = reports.compareTo(Reports.SENT_BUT_IN_OUTAGE) >= 0 ? null : List::of;
            simulation.outageRejectionsCarryReports = reports == Reports.SENT;
            simulation.maxConnections = MAX_CONNECTIONS;
            simulation.scheduleSinceStart(OUTAGE_START_MICROS, () -> simulation.messageLifeMicros = messageLifeMicros);
            simulation.outageKind = kind;
            simulation.outageRetryAfterMicros = retryAfterMicros;
            simulation.outageStartMicros = OUTAGE_START_MICROS;
            simulation.outageEndMicros = outageEndMicros;
            simulation.restartingSenders = (int) Math.round(restarts.senderRatio() * senders);
            simulation.firstRestartMicros = outageEndMicros + restarts.firstMicros();
            simulation.lastRestartMicros = outageEndMicros + restarts.lastMicros();
            return simulation;
        }
    }

    private FleetOutageGrid() {}

    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        long[] retryAfterMicros = {0, 500_000, 2_000_000, 3_000_000, 8_000_000};
        for (int i = 1; i < args.length; i++) {
            int senders = Integer.parseInt(args[i]);
            for (Reports reports : Reports.values()) {
                for (OutageKind kind : OutageKind.values()) {
                    for (long retryAfter : kind == OutageKind.SHUT ? retryAfterMicros : new long[1]) {
                        print(kind, retryAfter, reports, senders, seeds);
                    }
                }
            }
        }
    }

    private static void print(OutageKind kind, long retryAfterMicros, Reports reports, int senders, int seeds) {
        StringBuilder line = new StringBuilder(
                String.format(Locale.ROOT, "%3d %-18s %3.1f %-15s", senders, kind, retryAfterMicros / 1e6, reports));
        for (double limit : LIMITS_PER_SECOND) {
            Case each = new Case(kind, retryAfterMicros, reports, senders, limit);
            List<double[]> results = IntStream.range(0, seeds)
                    .parallel()
                    .mapToObj(seed -> measure(each.run(seed)))
                    .toList();
            line.append(String.format(
                    Locale.ROOT,
                    " | %g: %2.0f %2.0f %2.0f %.2f %.2f",
                    limit,
                    results.stream().mapToDouble(r -> r[0]).sum(),
                    results.stream().mapToDouble(r -> r[1]).sum(),
                    results.stream().mapToDouble(r -> r[2]).sum(),
                    results.stream().mapToDouble(r -> r[3]).max().orElse(0),
                    results.stream().mapToDouble(r -> r[4]).average().orElse(0)));
        }
        System.out.println(line);
    }

    private static double[] measure(FleetSimulation simulation) {
        SlowStartBudget budget = simulation.slowStartBudget();
        return new double[] {
            budget.ruleBroken() ? 1 : 0,
            budget.peakInformedShare() > 1 ? 1 : 0,
            budget.exceeded() ? 1 : 0,
            budget.peakInformedShare(),
            simulation.answersPerSecond(OUTAGE_END_MICROS, OUTAGE_END_MICROS + 10_000_000)
                    / (OFFERED_LOAD_RATIO * simulation.limitPerSecond)
        };
    }
}
