package amberroute.sender.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class JsonObjectAssemblerTest {
    private final JsonObjectAssembler list = new JsonObjectAssembler();

    @Test
    void aLineIsAnObject() {
        assertFalse(list.cutBy("{\"rev\":1,\"targets\":[]}"));
        assertEquals("{\"rev\":1,\"targets\":[]}\n", list.add("{\"rev\":1,\"targets\":[]}"));
        assertFalse(list.cutBy(""));
        assertEquals("nonsense\n", list.add("nonsense"), "whoever reads it says what is wrong");
        assertEquals("]]\n", list.add("]]"));
        assertEquals(0, list.length());
    }

    @Test
    void anIndentedObjectIsWholeWithItsLastLine() {
        String[] lines = {"{", "  \"rev\": 4, \"why\": \"} ] \\\" {\",", "  \"targets\": [", "  ]"};
        for (String line : lines) {
            assertFalse(list.cutBy(line));
            assertNull(list.add(line));
        }
        assertEquals(String.join("\n", lines).length() + 1, list.length());
        assertFalse(list.cutBy("}"));
        assertEquals(String.join("\n", lines) + "\n}\n", list.add("}"));
    }

    @Test
    void whatIsCutShortIsTold() {
        assertNull(list.add("{\"rev\":1,\"targets\":[{\"uid\":\"s-"));
        assertTrue(list.cutBy("{\"rev\":2}"));
        assertEquals("{\"rev\":2}\n", list.add("{\"rev\":2}"), "the next was swallowed");
        assertNull(list.add("{"));
        assertTrue(list.cutBy(""));
        assertFalse(list.cutBy("{\"rev\":3}"));
    }
}
