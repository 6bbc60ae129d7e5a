package amberroute.decisions.reference;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Long version of {@link ReferenceComparisonTest}: {@code bin/experiment decisions-oracle [--rounds N] [--steps N] [--seed N]}. */
final class ReferenceComparison {
    private ReferenceComparison() {}

    public static void main(String[] args) {
        Map<String, Long> options = new HashMap<>(Map.of("--rounds", 400L, "--steps", 10_000L, "--seed", 1L));
        for (int i = 0; i < args.length; i += 2) {
            try {
                if (i + 1 == args.length || options.replace(args[i], Long.parseLong(args[i + 1])) == null) {
                    throw new NumberFormatException();
                }
            } catch (NumberFormatException e) {
                System.err.println(
                        "decisions-oracle: " + args[i] + " is not one of --rounds, --steps and --seed with a number");
                System.exit(2);
            }
        }
        long seed = options.get("--seed");
        long steps = 0;
        Map<String, Integer> actionCounts = new TreeMap<>();
        boolean ok = true;
        for (long round = 0; ok && round < options.get("--rounds"); round++) {
            try {
                int stepsInRound = options.get("--steps").intValue();
                SideBySideRun.run(
                                seed + round,
                                SideBySideRun.PLANS.get((int) ((seed + round) % SideBySideRun.PLANS.size())),
                                stepsInRound)
                        .forEach((kind, count) -> actionCounts.merge(kind, count, Integer::sum));
                steps += stepsInRound;
            } catch (AssertionError e) {
                System.out.println(e.getMessage());
                ok = false;
            }
        }
        StringBuilder counts = new StringBuilder();
        actionCounts.forEach(
                (kind, count) -> counts.append(",\"").append(kind).append("\":").append(count));
        System.out.println("{\"ok\":" + ok + ",\"seed\":" + seed + ",\"steps\":" + steps + counts + "}");
        System.exit(ok ? 0 : 1);
    }
}
