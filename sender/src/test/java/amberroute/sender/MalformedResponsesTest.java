package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.util.StrictNumbers;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that cannot be read, do not end, or bring more than belongs to them. */
class MalformedResponsesTest {
    private static final String NO_KEY = "0000000000000000";
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

    private int calls() {
        return world.receiver.requests.size();
    }

    private SenderFixture.Client answering(Function<SenderFixture.Request, String> answers) throws IOException {
        world.receiver.answers = answers;
        sender = world.start();
        return world.client(sender);
    }

    private void settled() {
        await(() -> sender.pendingMessageCount() == 0);
    }

    /** For one message the first line is the truth: delivered, however the answer goes on; and no more calls on it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nand so on",
                "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\ncut",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Le",
                "HTTP/1.1 200 OK\r\n\u0001\u0002: \u0003\r\nnoise without a colon\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nnoise\r\n",
                "HTTP/1.1 200 OK\r\n\r\nno length at all",
                "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
            })
    void deliversByTheFirstLine(String spoilt) throws IOException {
        SenderFixture.Client client = answering(r -> r.header("X-Request-ID").equals(A) ? spoilt : ok(200, ""));
        client.submit("unsafe", A, NO_KEY);
        settled();
        client.submit("unsafe", B, NO_KEY);
        settled();
        assertEquals(List.of(), world.notices);
        assertEquals(2, calls());
        assertEquals(2, world.receiver.sockets.size(), "the spoilt connection was used again");
    }

    /** Anything else that is spoilt may have run: repeated where that is harmless, else failed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0000\u0001\u0002\u0003",
                "SPDY/9 what\r\n\r\n",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 No\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 503 No\r\nContent-Length: 40\r\n\r\ncut",
                "HTTP/1.1 100 Go on\r\n\r\n\u0001\u0002\r\n\r\n"
            })
    void takesOtherSpoiltAnswersAsDoubt(String spoilt) throws IOException {
        SenderFixture.Client client = answering(r -> calls() < 3 ? spoilt : ok(200, ""));
        client.submit("unsafe", A, NO_KEY);
        await(() -> world.notices.contains("{\"id\":\"" + A + "\",\"state\":\"failed\"}"));
        client.submit("safe", B, NO_KEY);
        settled();
        assertEquals(1, world.notices.size());
        assertEquals(3, calls());
        assertEquals(3, world.receiver.sockets.size());
    }

    /** An answer that never stops is bounded in bytes, and its connection closed. */
    @Test
    void closesOnAnAnswerWithoutEnd() throws IOException {
        SenderFixture.Client client = answering(r -> {
            if (!r.header("X-Request-ID").equals(A)) {
                return ok(200, "");
            }
            pour(r, "HTTP/1.1 200 OK\r\nX-Noise: ");
            return null;
        });
        client.submit("unsafe", A, NO_KEY);
        settled();
        assertEquals(List.of(), world.notices);
        await(() -> world.receiver.sockets.get(0).isClosed());
    }

    private static void pour(SenderFixture.Request r, String start) {
        try {
            OutputStream out = r.socket().getOutputStream();
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            byte[] noise = "x".repeat(8_192).getBytes(StandardCharsets.ISO_8859_1);
            while (true) {
                out.write(noise);
            }
        } catch (IOException e) {
            try {
                r.socket().close();
            } catch (IOException closing) {
                throw new UncheckedIOException(closing);
            }
        }
    }

    /** What follows an answer must not answer the next call, in the same packet or a moment later. */
    @Test
    void neverTakesSurplusForTheNextAnswer() throws IOException {
        for (boolean later : new boolean[] {false, true}) {
            world.slots = 1;
            SenderFixture.Client client = answering(r -> {
                if (r.header("X-Request-ID").startsWith(SenderFixture.ID + "b")) {
                    pause(60);
                    return ok(500, "");
                }
                String good = ok(200, "");
                if (!later) {
                    return good + good;
                }
                later(r, good);
                return good;
            });
            String a = SenderFixture.ID + "a" + later;
            String b = SenderFixture.ID + "b" + later;
            client.raw(SenderFixture.command("SUBMIT", NO_KEY, a, "c=unsafe,d=8000,dest=7", "")
                    + SenderFixture.command("SUBMIT", NO_KEY, b, "c=unsafe,d=8000,dest=7", ""));
            client.answer();
            settled();
            assertEquals(List.of("{\"id\":\"" + b + "\",\"state\":\"failed\"}"), world.notices);
            world.notices.clear();
            sender.stop();
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes once more, right behind the answer but in a packet of its own. */
    private static void later(SenderFixture.Request r, String text) {
        Thread thread = new Thread(() -> {
            pause(3);
            try {
                r.socket().getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The sender has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Interim answers precede the real one, a 101 too, though nobody asked for another protocol. */
    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "101 Switching Protocols\r\nUpgrade: websocket", "102 Processing"})
    void readsTheAnswerBehindInterimOnes(String interim) throws IOException {
        SenderFixture.Client client = answering(r -> "HTTP/1.1 " + interim + "\r\n\r\n" + ok(200, ""));
        client.submit("unsafe", A, NO_KEY, 6_000, 7);
        settled();
        await(() -> sender.idleUpstreamConnectionCount() == 1);
        client.submit("unsafe", B, NO_KEY, 6_000, 7);
        settled();
        assertEquals(List.of(), world.notices);
        assertEquals(1, world.receiver.sockets.size(), "the connection was good for more");
        assertEquals(2, calls());
    }

    /** An answer for several counts only if it tells each one's end. */
    @Test
    void believesAnAnswerForSeveralOnlyAsAWhole() throws IOException {
        world.perCall = 5;
        world.slots = 1;
        SenderFixture.Client client = answering(r ->
                r.head().contains("receive-many") ? ok(200, A + " delivered\r\n" + B.substring(0, 9)) : ok(200, ""));
        world.prove(sender, client);
        client.raw(SenderFixture.command("SUBMIT", NO_KEY, A, "c=safe,d=8000,dest=7", "one")
                + SenderFixture.command("SUBMIT", NO_KEY, B, "c=unsafe,d=8000,dest=7", "two"));
        client.answer();
        settled();
        assertEquals(List.of("{\"id\":\"" + B + "\",\"state\":\"failed\"}"), world.notices);
        assertEquals(A, world.receiver.requests.get(1).header("X-Request-ID"));
    }

    /** A report that is no number of the plain sort is no report. */
    @Test
    void readsPlainNumbersOnly() {
        assertEquals(0.25, StrictNumbers.parse("0.25"));
        assertEquals(12, StrictNumbers.parse("12"));
        assertEquals(0.00001, StrictNumbers.parse("1e-05"));
        for (String bad : new String[] {"NaN", "Infinity", "-1", "1e999", "12d", "0x1p3", "", "1 ", ".", "+1", null}) {
            assertTrue(StrictNumbers.parse(bad) < 0, "took " + bad);
        }
    }
}
