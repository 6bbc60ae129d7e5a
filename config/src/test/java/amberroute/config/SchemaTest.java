package amberroute.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SchemaTest {
    private final Schema schema = new Schema()
            .text("name", "sender", "what it is called")
            .choice("mode", List.of("near", "far"), "near", "where")
            .whole("limits.slots", 4L, 1, 100, "calls out")
            .real("limits.share", 0.5, 0, 1, "a share")
            .flag("on", false, "whether")
            .duration("stop.deadline", "8s", "1ms", "10m", "how long a stop may take")
            .size("disk", "3MB", "1KB", "1GB", "room")
            .address("listen", false, "where clients connect")
            .list("zones", "names")
            .tables(
                    "class",
                    new Schema().needText("name", "its name").real("worth", 1.0, 0, 10, "worth"),
                    0,
                    "classes");

    private Settings read(String text) {
        return schema.parse(text, "f.toml");
    }

    private String error(String text) {
        return assertThrows(ConfigException.class, () -> read(text)).getMessage();
    }

    @Test
    void readsEachTypeAndFallsBack() {
        Settings s = read(
                """
                mode = "far"
                on = true
                disk = "64KiB"
                listen = "127.0.0.1:6379"
                zones = ["a", "b"]
                [stop]
                deadline = "1.5s"
                [limits]
                share = 1
                [[class]]
                name = "x"
                [[class]]
                name = "y"
                worth = 2.5
                """);
        assertEquals("sender", s.text("name"));
        assertEquals("far", s.text("mode"));
        assertTrue(s.flag("on"));
        assertEquals(65_536, s.bytes("disk"));
        assertEquals(6379, s.address("listen").getPort());
        assertEquals(List.of("a", "b"), s.list("zones"));
        assertEquals(1_500, s.millis("stop.deadline"));
        assertEquals(1.0, s.real("limits.share"));
        assertEquals(4, s.whole("limits.slots"));
        assertEquals(2.5, s.tables("class").get(1).real("worth"));
        assertEquals(1.0, s.tables("class").get(0).real("worth"));
        assertFalse(read("").has("listen"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nmae = 'x' | f.toml:1: unknown key nmae; did you mean name?",
                "[limits]~slot = 3 | f.toml:2: unknown key limits.slot; did you mean limits.slots?",
                "[[class]]~name = 'x'~wroth = 1 | f.toml:3: unknown key class[0].wroth; did you mean class[0].worth?",
                "zzzzzzzzzzzzzz = 1 | f.toml:1: unknown key zzzzzzzzzzzzzz",
                "[limits]~slots = 0 | f.toml:2: limits.slots has to be between 1 and 100",
                "[limits]~slots = 1.5 | f.toml:2: limits.slots has to be a whole number",
                "[limits]~share = nan | f.toml:2: limits.share has to be between 0 and 1",
                "[stop]~deadline = 8 | f.toml:2: stop.deadline has to be a text on one line",
                "[stop]~deadline = '8 weeks' | f.toml:2: stop.deadline has to be a text such as \"1500ms\", with its unit",
                "[stop]~deadline = '1h' | f.toml:2: stop.deadline has to be between 1ms and 600s",
                "mode = 'elsewhere' | f.toml:1: mode is \"elsewhere\", not one of near, far",
                "on = 'yes' | f.toml:1: on has to be true or false",
                "listen = 'localhost:1' | f.toml:1: listen: not an address in figures with a port: localhost:1",
                "listen = '127.0.0.1:99999' | f.toml:1: listen: not an address in figures with a port: 127.0.0.1:99999",
                "zones = 'a' | f.toml:1: zones has to be a list of at most 4096",
                "class = [1] | f.toml:1: class has to be written as [[class]]",
                "[[class]]~worth = 1 | f.toml: class[0].name is missing: its name",
                "name = \"a\\nb\" | f.toml:1: name has to be a text on one line"
            })
    void saysInOneLineWhatIsWrong(String text, String message) {
        assertEquals(message, error(text.replace('~', '\n')));
    }

    @Test
    void saysWhereItIsNoToml() {
        String message = error("name = \n");
        assertTrue(message.startsWith("f.toml:1: "), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void namesAFileThatIsNotThere(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("none.toml");
        assertTrue(assertThrows(ConfigException.class, () -> schema.read(file))
                .getMessage()
                .endsWith("none.toml: cannot be read: NoSuchFileException"));
        Files.write(file, new byte[(1 << 20) + 1]);
        assertTrue(assertThrows(ConfigException.class, () -> schema.read(file))
                .getMessage()
                .contains("1 MiB"));
    }

    @Test
    void describesEveryKey() {
        assertEquals(schema.paths().size(), schema.describe().size());
        assertTrue(
                schema.describe().contains("stop.deadline (duration 1ms to 600s; 8s): how long a stop may take"),
                schema.describe().toString());
    }

    @Test
    void refusesAKeyThatIsThereTwice() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Schema().text("a", "", "").flag("a", true, ""));
    }
}
