package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;

/** Overloaded fleets of daemons, short, with trouble between them in the middle; and what operators are told. */
class OverloadExperimentTest {
    private static void play(String trouble) {
        assertEquals(
                0,
                Main.execute(
                        "rig",
                        "overload",
                        "--daemons",
                        "4",
                        "--steady",
                        "6",
                        "--spike",
                        "2",
                        "--seed",
                        "5",
                        "--trouble",
                        trouble));
    }

    @Test
    void aDaemonThatIsKilled() {
        play("KILL");
    }

    @Test
    void aDaemonThatStandsStillAndWakesWithOldFigures() {
        play("PAUSE");
    }

    @Test
    void aFleetInTwoHalves() {
        play("SPLIT");
    }

    @Test
    void aRefusalIsExplainedByItsCause() {
        JsonObject one = JsonParser.parseString(
                        "{\"destination\":1,\"asked\":90,\"served\":50,\"refused\":2,\"waiting\":3,\"capacity\":52,"
                                + "\"price\":1.9,\"price_up_to\":2.4,\"share\":0.4,\"again_ms\":700}")
                .getAsJsonObject();
        assertTrue(OverloadCommand.why(one, 1).startsWith("turned away, to come again after 700 ms"));
        assertTrue(OverloadCommand.why(one, 2).startsWith("40% are taken on"));
        assertTrue(OverloadCommand.why(one, 4).contains("worth more than the price"));
        one.remove("capacity");
        assertTrue(OverloadCommand.why(one, 1).contains("costs nothing"));
    }
}
