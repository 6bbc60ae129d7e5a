package amberroute.decisions;

import amberroute.decisions.FleetOutageGrid.Case;
import amberroute.decisions.FleetOutageGrid.Reports;
import amberroute.decisions.FleetOutageGrid.Restarts;
import amberroute.testkit.SlowStartBudget;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * Runs fleets whose senders restart around the return of a destination, one after another and all at once, in {@link
 * FleetSimulation}. Run by hand; the arguments are the number of seeds, the first seed and sender counts. Prints a line for each
 * sender count and pattern of restarts, with the runs that broke the rule and the largest number of informed calls in budgets.
 */
final class FleetRestartGrid {
    static final double[] LIMITS_PER_SECOND = {2, 4, 8, 16, 40};
    static final List<Reports> REPORTS = List.of(Reports.NOT_CONFIGURED, Reports.SENT);
    static final long OUTAGE_END_MICROS = FleetOutageGrid.OUTAGE_START_MICROS + 8_000_000;
    private static final long FIRST_INSTANT_MICROS = -2_000_000;
    private static final long LAST_INSTANT_MICROS = 4_000_000;
    private static final long INSTANT_STEP_MICROS = 100_000;
    private static final double ALL = 1;
    private static final double SOME = 1 / 3.0;
    private static final long ANSWERED_SPAN_MICROS = 10_000_000;

    /** A pattern of restarts with a name. */
    record Pattern(String name, Restarts restarts) {}

    /** What a run showed. */
    record Outcome(Case run, long seed, boolean ruleBroken, double peakInformedShare, double answeredRatio) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s, %d senders, limit %.0f, reports %s, seed %d: %.2f budgets%s",
                    run.kind(),
                    run.senders(),
                    run.limitPerSecond(),
                    run.reports(),
                    seed,
                    peakInformedShare,
                    ruleBroken ? ", rule broken" : "");
        }
    }

    private FleetRestartGrid() {}

    /** Returns restarts of a share of the senders at one instant, which is given since the return of the destination. */
    static Restarts atOnce(double senderRatio, long instantMicros) {
        return new Restarts(senderRatio, instantMicros, instantMicros);
    }

    /** Returns each pattern of the grid. */
    static List<Pattern> patterns() {
        List<Pattern> patterns = new ArrayList<>();
        patterns.add(new Pattern("none", Restarts.NONE));
        patterns.add(new Pattern("a third, -6 to -1 s", new Restarts(SOME, -6_000_000, -1_000_000)));
        patterns.add(new Pattern("all, -4.8 to 17 s", new Restarts(ALL, -4_800_000, 17_000_000)));
        patterns.add(new Pattern("all, 0.1 to 4 s", new Restarts(ALL, 100_000, 4_000_000)));
        for (long at = FIRST_INSTANT_MICROS; at <= LAST_INSTANT_MICROS; at += INSTANT_STEP_MICROS) {
            patterns.add(new Pattern(String.format(Locale.ROOT, "all at %.1f s", at / 1e6), atOnce(ALL, at)));
            patterns.add(new Pattern(String.format(Locale.ROOT, "a third at %.1f s", at / 1e6), atOnce(SOME, at)));
        }
        return patterns;
    }

    /** Runs these kinds of outages with all report settings and limits and a number of senders. */
    static List<Outcome> run(Set<OutageKind> kinds, int senders, Restarts restarts, long firstSeed, int seeds) {
        return run(
                kinds,
                senders,
                firstSeed,
                seeds,
                OUTAGE_END_MICROS,
                (each, seed) -> each.run(seed, OUTAGE_END_MICROS, restarts));
    }

    /** Runs the same without restarts and with an outage of this length, of which all senders learn when it begins. */
    static List<Outcome> runLearnedTogether(
            Set<OutageKind> kinds, int senders, long outageMicros, long firstSeed, int seeds) {
        long endMicros = FleetOutageGrid.OUTAGE_START_MICROS + outageMicros;
        return run(
                kinds, senders, firstSeed, seeds, endMicros, (each, seed) -> each.runLearnedTogether(seed, endMicros));
    }

    /** How a case is run with a seed. */
    private interface Runner {
        FleetSimulation run(Case each, long seed);
    }

    private static List<Outcome> run(
            Set<OutageKind> kinds, int senders, long firstSeed, int seeds, long outageEndMicros, Runner runner) {
        List<Case> cases = new ArrayList<>();
        for (OutageKind kind : kinds) {
            for (Reports reports : REPORTS) {
                for (double limit : LIMITS_PER_SECOND) {
                    cases.add(new Case(kind, 0, reports, senders, limit));
                }
            }
        }
        return cases.parallelStream()
                .flatMap(each -> LongStream.range(firstSeed, firstSeed + seeds)
                        .mapToObj(seed -> outcome(each, seed, outageEndMicros, runner.run(each, seed))))
                .toList();
    }

    private static Outcome outcome(Case each, long seed, long outageEndMicros, FleetSimulation simulation) {
        SlowStartBudget budget = simulation.slowStartBudget();
        double answered = simulation.answersPerSecond(outageEndMicros, outageEndMicros + ANSWERED_SPAN_MICROS)
                / (FleetOutageGrid.OFFERED_LOAD_RATIO * each.limitPerSecond());
        return new Outcome(each, seed, budget.ruleBroken(), budget.peakInformedShare(), answered);
    }

    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        long firstSeed = Long.parseLong(args[1]);
        int[] senderCounts =
                Arrays.stream(args).skip(2).mapToInt(Integer::parseInt).toArray();
        for (int senders : senderCounts) {
            for (Pattern pattern : patterns()) {
                print(
                        senders,
                        pattern,
                        run(EnumSet.allOf(OutageKind.class), senders, pattern.restarts(), firstSeed, seeds));
            }
        }
    }

    private static void print(int senders, Pattern pattern, List<Outcome> outcomes) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%3d %-20s", senders, pattern.name()));
        for (double limit : LIMITS_PER_SECOND) {
            List<Outcome> ofLimit = outcomes.stream()
                    .filter(each -> each.run().limitPerSecond() == limit)
                    .toList();
            line.append(String.format(
                    Locale.ROOT,
                    " | %g: %3d broken, %.2f at most, answered %.3f",
                    limit,
                    ofLimit.stream().filter(Outcome::ruleBroken).count(),
                    ofLimit.stream()
                            .mapToDouble(Outcome::peakInformedShare)
                            .max()
                            .orElse(0),
                    ofLimit.stream()
                            .mapToDouble(Outcome::answeredRatio)
                            .average()
                            .orElse(0)));
        }
        System.out.println(line.append(" | of ").append(outcomes.size()));
    }
}
