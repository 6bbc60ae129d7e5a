package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rigs' short forms. */
class ScenarioRunTest {
    private static JsonObject play(ScenarioRun.Plan plan) throws Exception {
        List<String> lines = Collections.synchronizedList(new ArrayList<>());
        System.out.println("seed " + plan.seed());
        try (ScenarioRun play = new ScenarioRun(plan, lines::add)) {
            JsonObject result = play.run();
            assertTrue(result.get("ok").getAsBoolean(), result + "\n" + String.join("\n", lines));
            return result;
        }
    }

    @Test
    void fourDaemonsRollUnderLoadWithAnOutage() throws Exception {
        JsonObject result = play(new ScenarioRun.Plan(
                4, 11, 150, 1_500, 1_500, 1, 500, 0, "rolling.at_once = 1\nrolling.pause = \"100ms\"\n"));
        assertEquals("done", result.get("rolling").getAsString());
        assertTrue(result.get("taken").getAsLong() > 300, result.toString());
    }

    @Test
    void fourDaemonsRollAndHandOverUnderLoadWithAnOutage() throws Exception {
        JsonObject result = play(new ScenarioRun.Plan(
                4, 14, 150, 1_500, 1_500, 1, 500, 0, "rolling.at_once = 1\nrolling.pause = \"100ms\"\n", 0, true));
        assertEquals("done", result.get("rolling").getAsString());
        assertTrue(result.get("handed_over").getAsLong() > 0, result.toString());
    }

    @Test
    void aFleetIsScaledInUnderLoadWithAnOutage() throws Exception {
        JsonObject result = play(new ScenarioRun.Plan(
                5, 13, 120, 1_000, 1_500, 0, 500, 0, "rolling.at_once = 2\n[stop]\nwithin = \"2s\"\n", 2, true));
        assertTrue(result.get("handed_over").getAsLong() > 0, result.toString());
        assertTrue(result.get("taken").getAsLong() > 200, result.toString());
        assertTrue(result.get("scale_ms").getAsLong() > 0, result.toString());
    }

    /** Killed, stopped and continued; each folder is taken over by the replacement, which is killed now and then too. */
    @Test
    void foldersAreTakenOverUnderLoad() {
        assertEquals(0, Main.execute("rig", "adoption", "--rounds", "6", "--seed", "3"));
    }

    /** SIGKILL at random moments of a rolling restart: at starts, drains and in between. */
    @Test
    void daemonsAreKilledWhileTheyRoll() throws Exception {
        JsonObject result = play(new ScenarioRun.Plan(
                4,
                12,
                150,
                1_000,
                0,
                1,
                500,
                6,
                "rolling.at_once = 1\nrolling.pause = \"100ms\"\n[restart]\npause = \"50ms\"\ndeaths = 50\n",
                0,
                true));
        assertEquals(6, result.get("kills").getAsLong());
    }
}
