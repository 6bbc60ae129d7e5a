package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The short forms of the rig that loses daemons; its books come from stand-in partners and clients. */
class FailoverExperimentTest {
    private static void play(String script) {
        assertEquals(
                0,
                Main.execute(
                        "rig",
                        "survivors",
                        "--daemons",
                        "4",
                        "--rounds",
                        "1",
                        "--per-second",
                        "60",
                        "--seed",
                        "5",
                        "--script",
                        script));
    }

    @Test
    void aMachineGoneWithItsFolder() {
        play("LOSE:1:200:2500");
    }

    @Test
    void aFrozenOwnerWakesBehindItsTakeover() {
        play("PAUSE:2:200:3000");
    }

    @Test
    void allRestartedAtOnceWithTheirFolders() {
        play("KILL:0:200:600,KILL:1:200:600,KILL:2:200:600,KILL:3:200:600");
    }

    @Test
    void aSuccessorKilledBehindItsTakeover() {
        play("LOSE:1:200:3500,KILL:2:1800:500");
    }

    @Test
    void aRestartWhileAMachineIsLost() {
        play("RESTART:3:100:2500,LOSE:1:300:2500");
    }

    @Test
    void aWayThatFlaps() {
        play("FLAP:1:200:3000");
    }

    @Test
    void anOwnerCutOffFromItsPeersAlone() {
        play("CUT:0:200:3000");
    }

    @Test
    void anHeirThatIsAskedToLetGo() {
        play("LOSE:1:200:3800,RELEASE:1:2600:100");
    }

    @Test
    void aHolderThatIsTenTimesSlower() {
        play("SLOW:2:200:3000");
    }
}
