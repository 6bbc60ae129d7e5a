package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ListTextTest {
    private final ListText list = new ListText(200);

    @Test
    void aLineIsAnObject() {
        assertEquals("{\"rev\":1,\"targets\":[]}\n", list.add("{\"rev\":1,\"targets\":[]}"));
        assertNull(list.add(""));
        assertEquals("nonsense\n", list.add("nonsense"), "whoever reads it says what is wrong");
        assertEquals(0, list.dropped());
    }

    @Test
    void anIndentedObjectIsWholeWithItsLastLine() {
        assertNull(list.add("{"));
        assertNull(list.add("  \"rev\": 4, \"why\": \"} ] \\\" {\","));
        assertNull(list.add("  \"targets\": ["));
        assertNull(list.add("  ]"));
        assertEquals("{\n  \"rev\": 4, \"why\": \"} ] \\\" {\",\n  \"targets\": [\n  ]\n}\n", list.add("}"));
        assertEquals(0, list.dropped());
    }

    @Test
    void whatIsCutShortCostsItselfAlone() {
        assertNull(list.add("{\"rev\":1,\"targets\":[{\"uid\":\"s-"));
        assertEquals("{\"rev\":2}\n", list.add("{\"rev\":2}"), "the next was swallowed");
        assertEquals(1, list.dropped());
        assertNull(list.add("{"));
        assertNull(list.add(""));
        assertEquals("{\"rev\":3}\n", list.add("{\"rev\":3}"));
        assertEquals(1, list.dropped());
    }

    @Test
    void anObjectThatNeverEndsIsBounded() {
        for (int i = 0; i < 100; i++) {
            assertNull(list.add(i == 0 ? "{" : "  \"key\": ["));
        }
        assertEquals(true, list.dropped() > 0);
        assertEquals("{\"rev\":5}\n", list.add("{\"rev\":5}"));
    }
}
