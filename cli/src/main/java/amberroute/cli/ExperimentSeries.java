package amberroute.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/** One run of a rig for each size: a line for each, and one of all at the end. */
final class ExperimentSeries {
    interface Run {
        /** Plays one size; the result has {@code ok}. */
        JsonObject run(int size) throws Exception;
    }

    private ExperimentSeries() {}

    /** Returns the exit code, 0 where all runs are ok. */
    static int runAll(List<Integer> sizes, long seed, Run run) throws Exception {
        JsonArray runs = new JsonArray();
        boolean ok = true;
        for (int size : sizes) {
            JsonObject result = run.run(size);
            System.out.println(result);
            runs.add(result);
            ok &= result.get("ok").getAsBoolean();
        }
        JsonObject out = new JsonObject();
        out.addProperty("seed", seed);
        out.add("runs", runs);
        out.addProperty("ok", ok);
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }
}
