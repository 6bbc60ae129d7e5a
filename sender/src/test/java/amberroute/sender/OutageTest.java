package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A receiver that fails what it is sent: which messages are risked there, and what a restart keeps of it. */
class OutageTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String SAFE = SenderFixture.ID + "1";
    private static final String UNSAFE = SenderFixture.ID + "2";
    private static final String HURRIED = SenderFixture.ID + "3";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;
    private SenderFixture.Client client;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
        sender = world.start();
        client = world.client(sender);
    }

    @AfterEach
    void end() throws IOException {
        sender.stop();
        world.close();
    }

    private int calls() {
        return world.receiver.requests.size();
    }

    private List<String> called() {
        return world.receiver.requests.stream()
                .map(r -> r.header("X-Request-ID"))
                .toList();
    }

    private void safe(String id) throws IOException {
        assertEquals("+OK", client.submit("safe", id, NO_KEY, 20_000, 7));
    }

    private void unsafe(String id) throws IOException {
        assertEquals("+OK", client.submit("unsafe", id, NO_KEY, 20_000, 7));
    }

    /** Time for calls that must not come. */
    private static void pause() {
        try {
            Thread.sleep(300);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Each trial would lose an unsafe message, and those are worth most and so first in line. */
    @Test
    void risksNoUnsafeMessageInATrial() throws IOException {
        world.prove(sender, client);
        world.receiver.answers = r -> calls() < 5 ? ok(500, "") : ok(200, "");
        safe(SAFE);
        await(() -> calls() >= 2);
        unsafe(UNSAFE);
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(List.of(), world.notices, "lost as a trial");
        assertTrue(called().subList(0, 5).stream().allMatch(SAFE::equals), "calls: " + called());
    }

    /** After a restart nothing is known of the receiver: what is held must not all be risked at once. */
    @Test
    void risksNoUnsafeMessageWhereNothingIsKnownYet() throws IOException {
        world.receiver.answers = r -> null;
        safe(SAFE);
        await(() -> calls() == 1);
        for (char c = 'a'; c < 'f'; c++) {
            unsafe(SenderFixture.ID + c);
        }
        assertEquals(List.of(SAFE), called());
        world.receiver.answers = r -> calls() < 4 ? ok(500, "") : ok(200, "");
        sender.stop();
        sender = world.start();
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(List.of(), world.notices, "lost to a receiver that had never answered");
    }

    /** One whose time runs out first is given up before a cold receiver answers, and the trial tells nothing. */
    @Test
    void triesWithMessagesThatHaveTimeToWait() throws IOException {
        world.prove(sender, client);
        world.receiver.answers = r -> calls() <= 2 ? ok(500, "") : null;
        safe(SAFE);
        await(() -> calls() == 2);
        assertEquals("+OK", client.submit("safe", HURRIED, NO_KEY, 1_400, 7));
        await(() -> calls() == 3);
        assertEquals(SAFE, called().get(2));
    }

    /** The first answer after a restart must not open the door to all that is held, at a receiver still cold. */
    @Test
    void goesOnWithAnOutageAfterARestart() throws IOException {
        world.prove(sender, client);
        world.receiver.answers = r -> ok(500, "");
        for (char c = 'a'; c < 'k'; c++) {
            safe(SenderFixture.ID + c);
        }
        await(() -> calls() >= 3);
        sender.stop();
        world.receiver.requests.clear();
        AtomicInteger atOnce = new AtomicInteger();
        world.receiver.answers = r -> {
            if (calls() == 2) {
                pause();
                atOnce.set(calls() - 1);
            }
            return calls() == 1 ? ok(200, "") : null;
        };
        sender = world.start();
        await(() -> atOnce.get() > 0);
        assertEquals(1, atOnce.get(), "calls behind the first answer, with four slots free");
    }

    /** What is turned away for its sake never finds out that a slow spell is over: it has to fade by itself. */
    @Test
    void forgetsASlowSpellWhileNothingIsSent() throws IOException {
        world.prove(sender, client);
        world.receiver.answers = r -> {
            pause();
            pause();
            pause();
            return ok(200, "");
        };
        for (char c = 'a'; c < 'e'; c++) {
            safe(SenderFixture.ID + c);
        }
        await(() -> sender.pendingMessageCount() == 0);
        world.receiver.answers = r -> ok(200, "");
        await(() -> client.tryAsk("SUBMIT", NO_KEY, SAFE, "c=safe,d=250,k=5c0f,dest=7", "body")
                .equals("+OK"));
        await(() -> called().contains(SAFE));
    }
}
