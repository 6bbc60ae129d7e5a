package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Contains the example of docs/embedding.md word for word, so that it is compiled and run. */
class EmbeddingExampleTest {
    private final List<String> done = new ArrayList<>();

    // example begins
    /** Carries out what the scheduler decides; a real sender would start calls and timers here. */
    final class Printer implements DeliveryScheduler.Actions {
        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            done.add("send " + id);
        }

        @Override
        public void reject(long id, long retryAfter) {
            done.add("reject " + id);
        }

        @Override
        public void fail(long id) {
            done.add("fail " + id);
        }

        @Override
        public void cancel(long id, int attempt) {
            done.add("cancel " + id);
        }

        @Override
        public void closeIdle(long endpoint) {
            done.add("close " + endpoint);
        }

        @Override
        public void scheduleTimer(long delay, long token) {
            done.add("timer");
        }

        @Override
        public void subscribe() {
            done.add("subscribe");
        }
    }

    void sendOne(DeliveryScheduler.Settings settings) {
        DeliveryScheduler scheduler = new AtcDeliveryScheduler(settings);
        DeliveryScheduler.Actions actions = new Printer();
        long now = 1_000_000;
        scheduler.step(
                now,
                new DeliveryScheduler.Event.EndpointListUpdated(
                        DeliveryScheduler.EndpointListKind.FULL,
                        List.of(new DeliveryScheduler.EndpointEntry(
                                42, 1, DeliveryScheduler.EndpointState.READY, 1, 0, 0))),
                actions);
        scheduler.step(now, new DeliveryScheduler.Event.MessageSubmitted(7, 0, 0, 0, 5_000_000, 1), actions);
        scheduler.step(now, new DeliveryScheduler.Event.Decide(), actions);
    }
    // example ends

    @Test
    void exampleSendsItsMessage() {
        sendOne(SchedulerScript.settings(4, false, 1));
        assertTrue(done.contains("send 7"), done.toString());
    }

    @Test
    void documentationShowsTheCompiledExample() throws IOException {
        assertEquals(
                extractCode(Files.readString(Path.of("..", "docs", "embedding.md")), "```java\n(.*?)```"),
                extractCode(
                        Files.readString(Path.of("src/test/java/amberroute/decisions/EmbeddingExampleTest.java")),
                        "// example begins\n(.*?) *// example ends"));
    }

    private static String extractCode(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern, Pattern.DOTALL).matcher(text);
        assertTrue(matcher.find());
        return matcher.group(1).replaceAll("(?m)^ +", "").strip();
    }
}
