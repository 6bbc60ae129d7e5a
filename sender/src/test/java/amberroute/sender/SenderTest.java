package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.config.SenderConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole sender between fakes on loopback sockets. */
class SenderTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String KEY = "7f3a9c21e0b4d655";
    private static final String A = SenderFixture.ID + "1";
    private static final String B = SenderFixture.ID + "2";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void end() throws IOException {
        if (sender != null) {
            sender.stop();
        }
        world.close();
    }

    private SenderFixture.Client started() throws IOException {
        sender = world.start();
        return world.client(sender);
    }

    private void restart() throws IOException {
        sender.stop();
        sender = world.start();
    }

    private int calls() {
        return world.receiver.requests.size();
    }

    private boolean concluded() {
        return sender.pendingMessageCount() == 0;
    }

    // ---- Calls and their outcomes. ----

    @Test
    void deliversWithIdKeyBodyAndTimeout() throws IOException {
        SenderFixture.Client client = started();
        assertEquals("+PONG", client.ask("PING"));
        assertEquals("+OK", client.submit("keyed", A, KEY));
        await(this::concluded);
        SenderFixture.Request call = world.receiver.requests.get(0);
        assertTrue(call.head().startsWith("POST /receive HTTP/1.1"), call.head());
        assertEquals(A, call.header("X-Request-ID"));
        assertEquals("5c0f" + A, call.header("Idempotency-Key"));
        assertTrue(call.header("X-Timeout").matches("[1-9][0-9]*m"), call.head());
        assertEquals("body of " + A, call.body());
        assertEquals(List.of(), world.notices);
    }

    @Test
    void repeatsAnErrorOnlyWhereThatIsHarmless() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> calls() == 1 ? ok(500, "") : ok(200, "");
        client.submit("safe", A, NO_KEY);
        await(() -> calls() == 2 && concluded());
        world.receiver.answers = r -> ok(500, "");
        client.submit("unsafe", B, NO_KEY);
        await(() -> world.notices.contains("{\"id\":\"" + B + "\",\"state\":\"failed\"}"));
        assertEquals(3, calls());
    }

    @Test
    void sendsUnsafeAgainAfterARefusalThatNeverRan() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> calls() == 1 ? ok(503, "") : ok(200, "");
        client.submit("unsafe", A, NO_KEY);
        await(() -> calls() == 2 && concluded());
        assertEquals(List.of(), world.notices);
    }

    @Test
    void takesOverAsTheEndAndSpentAsOwed() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> ok(410, "");
        client.submit("unsafe", A, NO_KEY);
        await(this::concluded);
        assertEquals(List.of(), world.notices);
        world.receiver.answers = r -> ok(504, "");
        client.submit("safe", B, NO_KEY, 2_000, 7);
        await(() -> world.notices.stream().anyMatch(n -> n.contains(B)));
    }

    /** A connection that breaks after the call's last byte proves nothing. */
    @Test
    void failsUnsafeAfterAReset() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> {
            closeQuietly(r);
            return null;
        };
        client.submit("unsafe", A, NO_KEY);
        await(() -> world.notices.contains("{\"id\":\"" + A + "\",\"state\":\"failed\"}"));
        assertEquals(1, calls());
    }

    /** Whatever cannot be read may stand for a call that has run. */
    @Test
    void failsUnsafeAfterAnAnswerThatCannotBeRead() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> "SPDY/9 what\r\n\r\n";
        client.submit("unsafe", A, NO_KEY);
        await(() -> world.notices.contains("{\"id\":\"" + A + "\",\"state\":\"failed\"}"));
        assertEquals(1, calls());
    }

    @Test
    void endsAnUnansweredMessageWhenItsTimeIsUpAndClosesTheConnection() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        client.submit("unsafe", A, NO_KEY, 600, 7);
        await(() -> world.notices.contains("{\"id\":\"" + A + "\",\"state\":\"failed\"}"));
        await(() -> world.receiver.sockets.get(0).isClosed());
    }

    @Test
    void returnsWhatNeverFoundAReceiver() throws IOException {
        SenderFixture.Client client = started();
        assertEquals("+OK", client.submit("unsafe", A, NO_KEY, 600, 8));
        await(() -> world.notices.stream().anyMatch(n -> n.contains(A) && n.contains("\"returned\"")));
        assertEquals(0, calls());
    }

    @Test
    void keepsOneConnectionForCallsInTurn() throws IOException {
        SenderFixture.Client client = started();
        for (int i = 0; i < 5; i++) {
            client.submit("safe", SenderFixture.ID + i, NO_KEY);
            await(() -> concluded() && sender.idleUpstreamConnectionCount() == 1);
        }
        assertEquals(5, calls());
        assertEquals(1, world.receiver.sockets.size());
    }

    /**
     * Where kept connections turn out to be dead, what may not be repeated goes over fresh ones, and the resets are
     * not held against the receiver.
     */
    @Test
    void sendsUnsafeOverFreshConnectionsWhereKeptOnesAreDead() throws IOException {
        SenderFixture.Client client = started();
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        world.receiver.answers = r -> {
            if (!used.add(r.socket())) {
                closeQuietly(r);
                return null;
            }
            return ok(200, "");
        };
        for (int i = 0; i < 8; i++) {
            client.submit("safe", SenderFixture.ID + "s" + i, NO_KEY);
            await(() -> concluded() && sender.idleUpstreamConnectionCount() == 1);
        }
        for (int i = 0; i < 4; i++) {
            client.submit("unsafe", SenderFixture.ID + "u" + i, NO_KEY);
            await(() -> concluded() && sender.idleUpstreamConnectionCount() >= 1);
        }
        assertEquals(List.of(), world.notices);
    }

    /** A receiver closes idle connections at its limit; a call that crosses that is lost, so the sender is first. */
    @Test
    void closesIdleConnectionsInTime() throws IOException {
        world.keepAlive = 700_000;
        SenderFixture.Client client = started();
        client.submit("safe", A, NO_KEY);
        await(() -> concluded() && sender.idleUpstreamConnectionCount() == 1);
        await(() -> world.receiver.sockets.get(0).isClosed());
        assertEquals(0, sender.idleUpstreamConnectionCount());
    }

    /** Whoever comes to the address of one that is gone gets connections of its own. */
    @Test
    void leavesNothingToTheNextAtAnAddress() throws IOException {
        SenderFixture.Client client = started();
        client.submit("safe", A, NO_KEY);
        await(() -> concluded() && sender.idleUpstreamConnectionCount() == 1 && world.watched());
        world.announce(world.list(3, false, "Gone"));
        world.announce(world.list(4, false, "Ready", "s-2"));
        await(() -> world.receiver.sockets.get(0).isClosed() && sender.isEndpointReady("s-2"));
        client.submit("safe", B, NO_KEY);
        await(this::concluded);
        assertEquals(2, world.receiver.sockets.size());
        assertEquals(2, calls());
    }

    /** While a wait lasts nothing goes to that destination, for any message. */
    @Test
    void heedsAToldWait() throws IOException {
        SenderFixture.Client client = started();
        long[] told = new long[1];
        world.receiver.answers = r -> {
            if (told[0] == 0) {
                told[0] = System.nanoTime();
                return ok(429, "", "Retry-After: 0.7");
            }
            return ok(200, "");
        };
        client.submit("safe", A, NO_KEY);
        await(() -> told[0] != 0);
        client.submit("unsafe", B, NO_KEY);
        await(() -> calls() >= 2);
        assertTrue(System.nanoTime() - told[0] >= 700_000_000L, "sent inside the wait");
        await(this::concluded);
    }

    @Test
    void sendsNothingNewToADrainingReceiver() throws IOException {
        SenderFixture.Client client = started();
        client.submit("safe", A, NO_KEY);
        await(this::concluded);
        world.announce("this is no line of discovery\n");
        world.announce(world.list(3, false, "Terminating"));
        await(() -> !sender.isEndpointReady("s-1"));
        client.submit("safe", B, NO_KEY, 700, 7);
        await(() -> world.notices.stream().anyMatch(n -> n.contains(B)));
        assertEquals(1, calls());
    }

    /** A cut network says nothing: only missing lines tell that a watch is dead; the old list serves on. */
    @Test
    void reopensASilentWatchWithItsLastVersion() throws IOException {
        started();
        await(() -> watches("since=2") == 1);
        world.client(sender).submit("safe", A, NO_KEY);
        await(this::concluded);
        assertEquals(1, calls());
    }

    private long watches(String since) {
        return world.discovery.requests.stream()
                .filter(r -> r.head().contains(since))
                .count();
    }

    /** What never had a connection never ran: unsafe messages may be returned, not failed. */
    @Test
    void returnsUnsafeWhenNoConnectionComesUp() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.close();
        assertEquals("+OK", client.submit("unsafe", A, NO_KEY, 900, 7));
        await(() -> world.notices.stream().anyMatch(n -> n.contains(A) && n.contains("\"returned\"")));
        await(this::concluded);
        assertEquals(0, calls());
    }

    /**
     * Calls that are stuck while their receiver answers later ones hold their slots no longer than silent ones do:
     * else a few of them stop all deliveries until their time is up.
     */
    @Test
    void callsOffStuckCallsWhileOthersAreAnswered() throws IOException {
        world.slots = 3;
        SenderFixture.Client client = started();
        world.receiver.answers = r -> {
            if (r.header("X-Request-ID").equals(A) || r.header("X-Request-ID").equals(B)) {
                return null;
            }
            pause(150);
            return ok(200, "");
        };
        assertEquals("+OK", client.submit("unsafe", A, NO_KEY, 20_000, 7));
        assertEquals("+OK", client.submit("unsafe", B, NO_KEY, 20_000, 7));
        await(() -> calls() == 2);
        for (int i = 0; i < 40; i++) {
            assertEquals("+OK", client.submit("safe", SenderFixture.ID + "x" + i, NO_KEY, 20_000, 7));
        }
        await(() -> !world.notices.isEmpty());
        assertTrue(sender.pendingMessageCount() > 2, "only when nothing waited any more");
        assertTrue(world.notices.get(0).contains("failed"), world.notices.get(0));
    }

    /** Where messages have little time in all, a stuck call must not hold the slot until that is over. */
    @Test
    void takesACallForStuckSoonerWhereTimesAreShort() throws IOException {
        world.slots = 1;
        world.deadline = 4_000_000;
        SenderFixture.Client client = started();
        world.prove(sender, client);
        restart();
        SenderFixture.Client warm = world.client(sender);
        assertEquals("+OK", warm.submit("safe", SenderFixture.ID + "4", NO_KEY));
        await(() -> sender.pendingMessageCount() == 0);
        world.receiver.answers = r -> r.header("X-Request-ID").equals(A) && callsFor(A) == 1 ? null : ok(200, "");
        assertEquals("+OK", warm.submit("safe", A, NO_KEY));
        await(() -> callsFor(A) == 1);
        assertEquals("+OK", warm.submit("safe", B, NO_KEY, 1_400, 7));
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(List.of(), world.notices, "waited for a stuck call");
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void gathersMessagesOfOneTurnInOneCall() throws IOException {
        world.perCall = 5;
        world.slots = 1;
        SenderFixture.Client client = started();
        world.prove(sender, client);
        world.receiver.answers = r -> {
            StringBuilder body = new StringBuilder();
            r.body().lines().filter(l -> l.startsWith(SenderFixture.ID)).forEach(l -> body.append(l, 0, 16)
                    .append(l.startsWith(B) ? " refused\r\n" : " delivered\r\n"));
            return r.head().contains("receive-many") ? ok(200, body.toString()) : ok(200, "");
        };
        client.raw(SenderFixture.command("SUBMIT", NO_KEY, A, "c=safe,d=8000,dest=7", "one")
                + SenderFixture.command("SUBMIT", NO_KEY, B, "c=unsafe,d=8000,k=77,dest=7", "two"));
        client.answer();
        await(() -> calls() == 2 && concluded());
        List<String> lines =
                world.receiver.requests.get(0).body().lines().sorted().toList();
        assertEquals(List.of(A + " - 3", B + " 77 3", "one", "two"), lines);
        assertEquals(B, world.receiver.requests.get(1).header("X-Request-ID"));
    }

    // ---- Order. ----

    /** The second of a key goes only when the first is over, which a notice is when it has been answered. */
    @Test
    void keepsOrderUntilTheNoticeIsAnsweredAndRepeatsIt() throws IOException {
        SenderFixture.Client client = started();
        world.noticeAnswers = r -> world.notices.size() < 2 ? ok(500, "") : ok(204, "");
        world.receiver.answers = r -> r.header("X-Request-ID").equals(A) ? null : ok(200, "");
        client.submit("keyed", A, KEY, 500, 7);
        client.submit("keyed", B, KEY);
        await(() -> calls() == 2 && concluded());
        assertEquals(2, world.notices.stream().filter(n -> n.contains(A)).count());
        assertEquals(B, world.receiver.requests.get(1).header("X-Request-ID"));
    }

    /**
     * A connection that has fallen silent takes a notice and says nothing. It is overdue 300 ms behind its message's time, so it goes
     * again long before the next message's time, which is 600 ms later: the two never come in one post.
     */
    @Test
    void aNoticeOnASilentConnectionGoesAgainBeforeItIsOverdue() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        List<String> posts = new CopyOnWriteArrayList<>();
        world.noticeAnswers = r -> {
            posts.add(r.body());
            return posts.size() == 2 ? null : ok(204, "");
        };
        assertEquals("+OK", client.submit("safe", SenderFixture.ID + "0", NO_KEY, 1_500, 7));
        await(() -> posts.size() == 1 && concluded());
        client.write(SenderFixture.command("SUBMIT", NO_KEY, A, "c=safe,d=1500,dest=7", "one")
                + SenderFixture.command("SUBMIT", NO_KEY, B, "c=safe,d=2100,dest=7", "two"));
        assertEquals(List.of("+OK", "+OK"), List.of(client.answer(), client.answer()));
        await(() -> posts.size() > 1 && concluded());
        // On a machine that answers slowly one may go once more than needed.
        List<String> told = posts.stream()
                .skip(1)
                .map(body -> (body.contains(A) ? "A" : "") + (body.contains(B) ? "B" : ""))
                .toList();
        assertTrue(
                told.subList(0, 2).equals(List.of("A", "A"))
                        && told.indexOf("B") > told.lastIndexOf("A")
                        && !told.contains("AB"),
                told.toString());
    }

    /** One that cannot be read must not keep the others from being told: each goes alone then, and that one is told of no more. */
    @Test
    void noticesThatAreTurnedDownTogetherGoOneByOne() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        List<Integer> posts = new CopyOnWriteArrayList<>();
        world.noticeAnswers = r -> {
            int lines = (int) r.body().lines().count();
            if (posts.isEmpty() && lines < 3) {
                // Not before all of them are told of together.
                return ok(500, "");
            }
            posts.add(lines);
            return lines > 1 || r.body().contains(B) ? ok(400, "") : ok(204, "");
        };
        String c = SenderFixture.ID + "3";
        StringBuilder three = new StringBuilder();
        for (String id : List.of(A, B, c)) {
            three.append(SenderFixture.command("SUBMIT", NO_KEY, id, "c=safe,d=2000,dest=7", "body of " + id));
        }
        client.write(three.toString());
        assertEquals(List.of("+OK", "+OK", "+OK"), List.of(client.answer(), client.answer(), client.answer()));
        await(() -> !posts.isEmpty() && concluded());
        // On a machine that answers slowly one may go once more than needed.
        assertTrue(posts.get(0) == 3 && posts.lastIndexOf(3) <= posts.size() - 4, posts.toString());
        assertEquals(Set.of(1), Set.copyOf(posts.subList(posts.lastIndexOf(3) + 1, posts.size())));
    }

    /** The answer lay unread when the message's time was up, as the process stood still: it is delivered all the same. */
    @Test
    void anAnswerThatLiesUnreadBehindTheDeadlineDelivers() throws Exception {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        assertEquals("+OK", client.submit("unsafe", A, NO_KEY, 1_000, 7));
        long due = System.nanoTime() + 1_000_000_000L;
        await(() -> calls() == 1);
        sender.blockEventLoop(() -> {
            try {
                SenderFixture.write(world.receiver.requests.get(0).socket(), ok(200, ""));
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        await(this::concluded);
        assertEquals(List.of(), world.notices);
    }

    @Test
    void keepsOrderOverARestart() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        client.submit("keyed", A, KEY);
        client.submit("keyed", B, KEY);
        await(() -> calls() == 1);
        world.receiver.answers = r -> ok(200, "");
        restart();
        await(() -> calls() == 3 && concluded());
        assertEquals(
                List.of(A, A, B),
                world.receiver.requests.stream()
                        .map(r -> r.header("X-Request-ID"))
                        .toList());
    }

    // ---- Restarts. ----

    /** A call that was out at the kill may have run: only what may be repeated goes again. */
    @Test
    void resumesByClassAfterAKillInTheMiddleOfACall() throws IOException {
        SenderFixture.Client client = started();
        world.prove(sender, client);
        world.receiver.answers = r -> null;
        String c = SenderFixture.ID + "3";
        client.write(SenderFixture.command("SUBMIT", NO_KEY, A, "c=safe,d=8000,dest=7", "one")
                + SenderFixture.command("SUBMIT", NO_KEY, B, "c=unsafe,d=8000,dest=7", "two")
                + SenderFixture.command("SUBMIT", KEY, c, "c=keyed,d=8000,k=77,dest=7", "three"));
        await(() -> calls() == 3);
        world.receiver.answers = r -> ok(200, "");
        restart();
        await(this::concluded);
        assertEquals(List.of("{\"id\":\"" + B + "\",\"state\":\"failed\"}"), world.notices);
        assertEquals(List.of(2L, 1L, 2L), List.of(callsFor(A), callsFor(B), callsFor(c)));
    }

    /** The first turn may come long after the journal was read; a call must not be out for longer by that. */
    @Test
    void endsWhatIsResumedInItsOwnTimeThoughTheStartTakesLong() throws IOException {
        SenderFixture.Client client = started();
        world.receiver.answers = r -> null;
        long start = System.nanoTime();
        assertEquals("+OK", client.submit("safe", A, NO_KEY, 2_600, 7));
        await(() -> callsFor(A) == 1);
        sender.stop();
        PrintStream log = System.err;
        int[] delays = new int[1];
        try {
            System.setErr(new PrintStream(log) {
                @Override
                public void println(String line) {
                    super.println(line);
                    if (line.contains("event=messages_recovered messages=1")) {
                        delays[0]++;
                        pause(700);
                    }
                }
            });
            sender = world.start();
        } finally {
            System.setErr(log);
        }
        assertEquals(1, delays[0]);
        await(() -> callsFor(A) == 2);
        long left = 2_600 - (System.nanoTime() - start) / 1_000_000;
        world.client(sender).submit("safe", B, NO_KEY, left + 350, 8);
        await(() -> world.notices.size() == 2);
        assertTrue(world.notices.get(0).contains(A), "ended by the start's delay later: " + world.notices);
    }

    @Test
    void sendsPendingNoticesAgainAfterARestart() throws IOException {
        SenderFixture.Client client = started();
        world.noticeAnswers = r -> null;
        client.submit("unsafe", A, NO_KEY, 300, 8);
        await(() -> !world.notices.isEmpty());
        world.noticeAnswers = r -> ok(204, "");
        restart();
        await(this::concluded);
        assertEquals(2, world.notices.stream().filter(n -> n.contains(A)).count());
    }

    @Test
    void answersAKnownIdWithoutASecondMessage() throws IOException {
        SenderFixture.Client client = started();
        client.submit("safe", A, NO_KEY);
        await(this::concluded);
        assertEquals("+OK", client.submit("safe", A, NO_KEY));
        restart();
        client = world.client(sender);
        assertEquals("+OK", client.submit("safe", A, NO_KEY));
        assertEquals("+OK", client.submit("safe", B, NO_KEY));
        await(this::concluded);
        assertEquals(List.of(1L, 1L), List.of(callsFor(A), callsFor(B)));
    }

    /** A kill may tear the last record: what came before it still counts. */
    @Test
    void cutsOffATornTail() throws IOException {
        SenderFixture.Client client = started();
        client.submit("safe", A, NO_KEY, 8_000, 8);
        sender.stop();
        Path newest;
        try (var files = Files.list(folder.resolve("state"))) {
            newest = files.filter(f -> amberroute.storage.SegmentLog.isSegmentFileName(
                            f.getFileName().toString()))
                    .max(java.util.Comparator.naturalOrder())
                    .orElseThrow();
        }
        Files.write(
                newest,
                new byte[] {0x52, 0x45, 0x43, 0x31, 0, 0, 0, 90, 1, 2, 3, 4, 'A', 0},
                StandardOpenOption.APPEND);
        sender = world.start();
        assertEquals(1, sender.pendingMessageCount());
    }

    // ---- Room. ----

    @Test
    void refusesAboveItsRoom() throws IOException {
        world.openCap = 10;
        SenderFixture.Client client = started();
        int taken = 0;
        for (int i = 0; i < 12; i++) {
            String answer = client.submit("safe", SenderFixture.ID + (char) ('a' + i), NO_KEY, 8_000, 8);
            assertTrue(answer.equals("+OK") || answer.startsWith("-BUSY"), answer);
            taken += answer.equals("+OK") ? 1 : 0;
        }
        // One that the module has given up on by then leaves its place to another.
        assertTrue(taken >= 5 && taken <= 10 + world.notices.size(), "took " + taken);
    }

    /** A full disk budget turns messages away; what was taken on is still ended, within the budget. */
    @Test
    void refusesWhenTheDiskBudgetIsSpent() throws IOException {
        world.diskMb = 0.4;
        SenderFixture.Client client = started();
        String body = "x".repeat(20_000);
        int taken = 0;
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            String answer =
                    client.ask("SUBMIT", NO_KEY, SenderFixture.ID + (char) ('a' + i), "c=safe,d=2000,dest=8", body);
            taken += answer.equals("+OK") ? 1 : 0;
            refused += answer.startsWith("-BUSY") ? 1 : 0;
        }
        assertTrue(taken > 0 && refused > 0 && taken + refused == 20, taken + " taken, " + refused + " refused");
        int expected = taken;
        await(() -> world.notices.size() == expected && concluded());
        try (var files = Files.list(folder.resolve("state"))) {
            assertTrue(files.mapToLong(f -> f.toFile().length()).sum() <= 400_000);
        }
    }

    // ---- Bad input. ----

    @Test
    void answersBadSubmissionsWithTheReason() throws IOException {
        SenderFixture.Client client = started();
        SenderFixture.Client other = world.client(sender);
        assertEquals("+PONG", other.ask("PING"));
        assertTrue(client.submit("odd", A, NO_KEY).startsWith("-ERR unknown class"));
        assertTrue(client.ask("SUBMIT", NO_KEY, A, "c=safe,d=soon,dest=7", "").startsWith("-ERR bad number d"));
        assertTrue(client.ask("SUBMIT", NO_KEY, A, "c=safe,d=NaN,dest=7", "").startsWith("-ERR bad number d"));
        assertTrue(client.ask("SUBMIT", NO_KEY, A, "c=safe,d=9,dest=x", "").startsWith("-ERR bad number dest"));
        assertTrue(client.ask("SUBMIT", "xyz", A, "c=safe,d=9,dest=7", "").startsWith("-ERR bad key"));
        assertTrue(client.ask("SUBMIT", NO_KEY, A).startsWith("-ERR"));
        for (String number : new String[] {"12d", "0x1p3", "-1", "Infinity"}) {
            assertTrue(client.ask("SUBMIT", NO_KEY, A, "c=safe,d=" + number + ",dest=7", "")
                    .startsWith("-ERR bad number d"));
        }
        await(() -> sender.isEndpointReady("s-1") && world.watched());
        assertEquals("-ERR unknown destination", client.submit("safe", A, NO_KEY, 900, 9));
        assertTrue(client.ask("S".repeat(2_000)).startsWith("-ERR too long a word"));
        assertEquals("+OK", client.submit("safe", A, NO_KEY));
        assertTrue(client.raw("*2\r\n$-7\r\n").startsWith("-ERR Protocol error"));
        assertThrows(IOException.class, client::answer);
        assertEquals("+OK", other.submit("safe", B, NO_KEY));
        await(this::concluded);
        assertEquals(2, calls());
    }

    @Test
    void namesWhatIsWrongWithTheConfiguration() throws IOException {
        assertThrows(InvalidSettingsException.class, () -> SenderConfig.read(Map.of()));
        Path file = folder.resolve("broken.json");
        Files.writeString(file, "{\"settings\":");
        Map<String, String> broken = Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.toString());
        assertTrue(assertThrows(InvalidSettingsException.class, () -> SenderConfig.read(broken))
                .getMessage()
                .contains("broken.json"));
        assertFalse(SenderConfig.read(world.environment()).classes().isEmpty());
    }

    private long callsFor(String id) {
        return world.receiver.requests.stream()
                .filter(r -> r.header("X-Request-ID").equals(id))
                .count();
    }

    private static void closeQuietly(SenderFixture.Request r) {
        try {
            r.socket().close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
