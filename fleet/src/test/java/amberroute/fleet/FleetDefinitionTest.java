package amberroute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetDefinitionTest {
    @TempDir
    Path folder;

    private FleetDefinition read(String text) throws IOException {
        Path file = folder.resolve("fleet.toml");
        Files.writeString(file, "sender = \"amberroute.toml\"\nlisten = \"127.0.0.1:7000\"\n" + text);
        return FleetDefinition.read(file, folder.resolve("amberroute.jar"));
    }

    private String error(String text) {
        return assertThrows(ConfigException.class, () -> read(text))
                .getMessage()
                .replace(folder.toString(), "");
    }

    @Test
    void peersAreNamedWithTheirAddresses() throws IOException {
        FleetDefinition d = read(
                "count = 2\nmost = 3\nhandover.listen = \"127.0.0.1:7100\"\nhandover.gentle = true\nrolling.move = true\n"
                        + "[[instance]]\nname = \"sender-2\"\nhandover = \"127.0.0.1:7200\"\nadopt = [\"old\"]\n");
        assertEquals("sender-1=127.0.0.1:7100,sender-2=127.0.0.1:7200,sender-3=127.0.0.1:7102", d.peers());
        assertEquals(
                java.util.List.of(folder.resolve("old")), d.instances().get(1).orphanedDirectories());
        assertTrue(d.slowStartShared() && d.policy().rollingHandoff());
        assertEquals("", read("count = 2\n").peers());
        assertTrue(
                error("count = 2\nrolling.move = true\n").contains("rolling.move needs handover.listen"),
                error("count = 2\nrolling.move = true\n"));
        assertTrue(error("count = 2\nhandover.gentle = true\n").contains("handover.gentle needs"));
        assertTrue(
                error("count = 2\nhandover.listen = \"127.0.0.1:7001\"\n").contains("address 127.0.0.1:7001 to both"));
    }

    @Test
    void namesThirtyFromOneDefinition() throws IOException {
        FleetDefinition d = read("count = 30\nnames = \"quito-%d\"\n");
        assertEquals(30, d.instances().size());
        FleetDefinition.Instance last = d.instances().get(29);
        assertEquals("quito-30", last.name());
        assertEquals("127.0.0.1:7029", last.listen());
        assertEquals(folder.resolve("run/quito-30"), last.state());
        assertEquals(
                folder.resolve("amberroute.toml").toString(),
                last.command().get(last.command().size() - 1));
        assertTrue(last.command().contains("-Xmx40000000"), last.command().toString());
        assertEquals(8_000, d.policy().stopTimeoutMillis());
    }

    @Test
    void namesMoreThanAThousandAndTellsTheBoundByItsKey() throws IOException {
        FleetDefinition d = read("count = 1100\nmost = 1200\nstart.at_once = 1100\n");
        assertEquals("sender-1100", d.instances().get(1_099).name());
        assertEquals("127.0.0.1:8099", d.instances().get(1_099).listen());
        assertTrue(error("count = 4097\n").contains("count has to be between 1 and 4096"), error("count = 4097\n"));
    }

    @Test
    void takesWhatDiffersForOne() throws IOException {
        FleetDefinition d =
                read("count = 2\n[[instance]]\nname = \"sender-2\"\nlisten = \"127.0.0.2:9\"\nstate = \"x\"\n"
                        + "sender = \"big.toml\"\nheap = \"100MB\"\n");
        FleetDefinition.Instance one = d.instances().get(1);
        assertEquals("127.0.0.2:9", one.listen());
        assertEquals(folder.resolve("x"), one.state());
        assertEquals(folder.resolve("big.toml"), one.sender());
        assertTrue(one.command().contains("-Xmx100000000"), one.command().toString());
        assertTrue(
                one.command().contains(folder.resolve("big.toml").toString()),
                one.command().toString());
    }

    @Test
    void refusesTwoDaemonsOnOneFolderAddressOrName() {
        assertEquals(
                "/fleet.toml: instance.state gives state folder /run/sender-1 to both sender-1 and sender-2",
                error("count = 2\n[[instance]]\nname = \"sender-2\"\nstate = \"run/../run/sender-1\"\n"));
        assertEquals(
                "/fleet.toml: listen gives address 127.0.0.1:7000 to both sender-1 and sender-2",
                error("count = 2\n[[instance]]\nname = \"sender-2\"\nlisten = \"127.0.0.1:7000\"\n"));
        assertTrue(error("count = 2\nnames = \"x\"\n").contains("names has no %d"));
    }

    @Test
    void refusesWhatCannotBe() {
        assertTrue(error("count = 0\n").contains("count has to be between 1 and 4096"));
        assertTrue(error("cuont = 3\n").contains("unknown key cuont; did you mean count?"));
        assertTrue(error("count = 1\nnames = \"../x\"\n").contains("names makes no plain word"));
        assertTrue(error("count = 1\n[[instance]]\nname = \"sender-9\"\n").contains("is none of the daemons"));
        assertTrue(error("count = 1\nfolder = \"" + "x/".repeat(60) + "\"\n").contains("no Unix socket may have"));
        assertTrue(error("count = 1\n[restart]\npause = \"10s\"\nlongest = \"1s\"\n")
                .contains("restart.longest"));
    }
}
