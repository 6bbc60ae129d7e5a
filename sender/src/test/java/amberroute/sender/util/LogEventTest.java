package amberroute.sender.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** {@link LogEvent} writes lines that engineers can search. */
/** The form of a log line. */
class LogEventTest {
    @Test
    void quotesOnlyValuesThatAreNotOneWord() {
        assertEquals(
                "event=peer_rejected peer=s1 reason=\"no \\\"room\\\"\" empty=\"\" waited_ms=120",
                LogEvent.of("peer_rejected")
                        .with("peer", "s1")
                        .with("reason", "no \"room\"")
                        .with("empty", "")
                        .with("waited_ms", 120)
                        .toString());
    }

    @Test
    void namesTheClassOfAnError() {
        assertEquals(
                "event=e error=\"IOException: disk full\"",
                LogEvent.of("e").cause(new IOException("disk full")).toString());
        assertEquals(
                "event=e error=IOException",
                LogEvent.of("e").cause(new IOException()).toString());
    }
}
