package amberroute.decisions.reference;

import java.util.Locale;

/**
 * What a benchmark of single steps does not show: memory a held message takes in the module, the turn in which 10,000 arrive
 * for one destination with 100,000 held, and the one that resumes 100,000. Prints; asserts nothing.
 */
final class ScaleMeasurement {
    private ScaleMeasurement() {}

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static DecisionsBenchmark world(String module, String size) {
        DecisionsBenchmark world = new DecisionsBenchmark();
        world.module = module;
        world.size = size;
        world.fill();
        return world;
    }

    public static void main(String[] args) {
        String[] modules = args.length > 0 ? args : new String[] {"now", "before"};
        for (String module : modules) {
            // So that what is measured is compiled.
            DecisionsBenchmark warm = world(module, "1000/20");
            for (int i = 0; i < 20_000; i++) {
                warm.arrivalOutcomeTurn();
            }
            long before = used();
            DecisionsBenchmark large = world(module, "100000/2000");
            long bytes = (used() - before) / 100_000;
            long from = System.nanoTime();
            large.clump(module.equals("now") ? 10_000 : 500);
            long clump = System.nanoTime() - from;
            from = System.nanoTime();
            large.arrivalOutcomeTurn();
            long next = System.nanoTime() - from;
            DecisionsBenchmark resumed = world(module, "0/2000");
            from = System.nanoTime();
            resumed.resume(100_000);
            long resume = System.nanoTime() - from;
            System.out.printf(
                    Locale.ROOT,
                    "%-6s %d bytes a message; 10,000 (before: 500) arrive at 100,000 held: %.0f ms, the step behind it %.2f ms; "
                            + "100,000 resume in one turn: %.0f ms%n",
                    module,
                    bytes,
                    clump / 1e6,
                    next / 1e6,
                    resume / 1e6);
        }
    }
}
