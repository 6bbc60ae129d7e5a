package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.journal.JournalChangeListener;
import amberroute.storage.Batch;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Discovery turns callers away in its many ways: what is known is served from, and asking costs little. */
class DiscoveryFaultTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String ID = "0123456789abcdef0123456789abcde";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void open() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void close() throws IOException {
        if (sender != null) {
            sender.stop();
        }
        world.close();
    }

    private static Function<SenderFixture.Request, String> trouble(String how) {
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        return r -> switch (how) {
            case "refuses" -> SenderFixture.ok(503, "");
            case "closes" -> {
                try {
                    r.socket().close();
                } catch (IOException e) {
                    // It is closed already.
                }
                yield null;
            }
            case "says nothing and closes" -> "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            case "unreadable entries" -> chunked
                    + SenderFixture.chunk("{\"rev\":9,\"all\":true,\"targets\":[{\"uid\":7},3]}\n") + "0\r\n\r\n";
            case "torn" -> chunked + SenderFixture.chunk("{\"rev\":9,\"all\":true,\"targets\":[{\"uid\":\"s-\n")
                    + "0\r\n\r\n";
            default -> throw new IllegalArgumentException(how);
        };
    }

    private String indented(int version, String uid) {
        return new com.google.gson.GsonBuilder()
                        .setPrettyPrinting()
                        .create()
                        .toJson(com.google.gson.JsonParser.parseString(world.list(version, false, "Ready", uid)))
                + "\n";
    }

    /** Over several lines, in pieces that end anywhere. */
    @Test
    void anIndentedListIsRead() throws IOException {
        sender = world.start();
        await(() -> sender.isEndpointReady("s-1"));
        world.announce(indented(9, "s-2").substring(0, 100));
        world.announce(indented(9, "s-2").substring(100));
        await(() -> sender.isEndpointReady("s-2"));
        world.announce(world.list(10, false, "Terminating", "s-2"));
        await(() -> !sender.isEndpointReady("s-2"));
        assertTrue(sender.isEndpointReady("s-1"));
    }

    /** What cannot be read was news: passed over, it would never come again, and the next news would hide that. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "cut short and a blank line",
                "cut short and the next list",
                "a version that is none",
                "a whole list of which no entry can be read",
                "a whole list without its entries",
                "a change without its entries"
            })
    void newsThatCannotBeReadAreAskedForAgain(String how) throws IOException {
        sender = world.start();
        await(() -> sender.isEndpointReady("s-1"));
        world.announce(world.list(9, false, "Ready", "s-2"));
        await(() -> sender.isEndpointReady("s-2"));
        world.announce(switch (how) {
                    case "cut short and a blank line" -> indented(10, "s-3").substring(0, 60) + "\n\n";
                    case "cut short and the next list" -> world.list(10, false, "Ready", "s-3")
                                    .substring(0, 60) + "\n";
                    case "a whole list of which no entry can be read" -> "{\"rev\":10,\"all\":true,\"targets\":[{\"uid\":7},3]}\n";
                    case "a whole list without its entries" -> "{\"rev\":10,\"all\":true}\n";
                    case "a change without its entries" -> "{\"rev\":10,\"all\":false,\"targets\":3}\n";
                    default -> "{\"rev\":\"x\",\"all\":false,\"targets\":[]}\n";
                }
                + world.list(11, false, "Ready", "s-4"));
        await(() -> world.discovery.requests.stream().anyMatch(r -> r.head().contains("since=9 ")));
        await(() -> sender.isEndpointReady("s-1") && !sender.isEndpointReady("s-2"));
    }

    private static final String EMPTY_LIST = "{\"rev\":9,\"all\":true,\"targets\":[]}\n";

    /** Guards against calls to an endpoint that a whole list without entries has removed; its messages wait for a new one. */
    @ParameterizedTest
    @ValueSource(strings = {"at the start", "on an open watch", "when a watch is opened again"})
    void anEmptyWholeListRemovesEveryEndpoint(String when) throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        Function<SenderFixture.Request, String> empty = r -> r.head().startsWith("POST")
                ? good.apply(r)
                : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SenderFixture.chunk(EMPTY_LIST);
        if (when.equals("at the start")) {
            world.discovery.answers = empty;
        }
        sender = world.start();
        if (when.equals("on an open watch")) {
            world.announce(EMPTY_LIST);
        } else if (when.equals("when a watch is opened again")) {
            await(() -> sender.isEndpointReady("s-1") && world.watched());
            world.discovery.answers = empty;
            world.endWatch();
        }
        await(() -> !sender.isEndpointReady("s-1"));
        SenderFixture.Client client = world.client(sender);
        assertEquals("+OK", client.submit("safe", ID + "0", NO_KEY));
        pause(300);
        assertEquals(0, world.receiver.requests.size(), "calls to an endpoint that is gone");
        if (when.equals("on an open watch")) {
            world.announce(world.list(10, false, "Ready", "s-2"));
            await(() -> world.receiver.requests.size() == 1);
        }
    }

    /** Holds back the effects of records, as long as no replica has them. */
    private static final class HeldEffects implements JournalChangeListener {
        private final List<Runnable> effects = new ArrayList<>();

        @Override
        public byte[] replicationPosition() {
            return null;
        }

        @Override
        public void batchWritten(Batch batch) {}

        @Override
        public void whenReplicated(Runnable effect, Runnable failed) {
            effects.add(effect);
        }

        int release() {
            List<Runnable> released = List.copyOf(effects);
            effects.clear();
            released.forEach(Runnable::run);
            return released.size();
        }
    }

    /** Guards against a call that waits for replicas and is made when its endpoint drains or is gone by then. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void aCallThatWaitsForReplicasIsNotMadeToAnEndpointThatDrainsMeanwhile(String state) throws Exception {
        sender = world.start();
        await(() -> sender.isEndpointReady("s-1"));
        HeldEffects held = new HeldEffects();
        sender.state()
                .loop()
                .submit(() -> sender.state().folder().journal().replicateTo(held))
                .sync();
        SenderFixture.Client client = world.client(sender);
        client.write(SenderFixture.command("SUBMIT", NO_KEY, ID, "c=safe,d=8000,dest=7", "body"));
        // The reply and the call.
        await(() -> effectCount(held) == 2);
        world.announce(world.list(9, false, state));
        await(() -> !sender.isEndpointReady("s-1"));
        assertEquals(2, sender.state().loop().submit(held::release).sync().getNow());
        assertEquals("+OK", client.answer());
        pause(300);
        assertEquals(0, world.receiver.requests.size());
    }

    private int effectCount(HeldEffects held) {
        return sender.state()
                .loop()
                .submit(() -> held.effects.size())
                .syncUninterruptibly()
                .getNow();
    }

    /** Guards against calls to an endpoint of which the latest change cannot be used: its version counts, so it never comes again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"uid\":\"s-1\",\"state\":\"Gone\"}",
                "{\"uid\":\"s-1\",\"pod_group\":7,\"state\":\"Stopping\",\"endpoint\":\"127.0.0.1:1\"}",
                "{\"uid\":\"s-1\",\"pod_group\":7,\"state\":\"Ready\",\"endpoint\":\"nowhere\"}"
            })
    void aChangeThatCannotBeUsedRemovesItsEndpoint(String entry) throws IOException {
        sender = world.start();
        await(() -> sender.isEndpointReady("s-1"));
        world.announce("{\"rev\":9,\"all\":false,\"targets\":[" + entry + "]}\n");
        world.announce(world.list(10, false, "Ready", "s-2"));
        await(() -> sender.isEndpointReady("s-2"));
        assertTrue(!sender.isEndpointReady("s-1"));
        world.announce(world.list(11, false, "Ready"));
        await(() -> sender.isEndpointReady("s-1"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"refuses", "closes", "says nothing and closes", "unreadable entries", "torn"})
    void servesFromWhatIsKnownAsksSeldomAndTakesTheNextGoodList(String how) throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        Function<SenderFixture.Request, String> bad = trouble(how);
        world.discovery.answers = r -> r.head().startsWith("POST") ? good.apply(r) : bad.apply(r);
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        assertEquals("+OK", client.submit("safe", ID + "0", NO_KEY));
        await(() -> world.receiver.requests.size() == 1);
        long asked = asked();
        long from = System.nanoTime();
        await(() -> System.nanoTime() - from > 4_000_000_000L);
        long since = asked() - asked;
        assertTrue(since >= 1 && since <= 12, "asked " + since + " times in 4 s");
        assertTrue(sender.isEndpointReady("s-1"), "what is known is kept");
        world.discovery.answers = good;
        await(() -> world.watched());
        world.announce(world.list(3, false, "Terminating"));
        await(() -> !sender.isEndpointReady("s-1"));
    }

    /** A watch on which nothing changes has only empty lines to bring: when it ends it is asked for again soon. */
    @Test
    void aWatchThatHadNothingNewIsOpenedAgainSoon() throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        world.discovery.answers = r -> r.head().startsWith("POST")
                ? good.apply(r)
                : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SenderFixture.chunk("\n") + "0\r\n\r\n";
        sender = world.start();
        await(() -> asked() >= 1);
        long from = System.nanoTime();
        await(() -> asked() >= 11);
        // Ten pauses of 300 ms at most; they would be over 8 s in the mean if each counted as a failure.
        assertTrue(
                System.nanoTime() - from < 6_000_000_000L,
                "ten watches took " + (System.nanoTime() - from) / 1_000_000 + " ms");
    }

    /** What discovery can say at a start counts as told then: nothing goes by an older list while its answer is on its way. */
    @Test
    void aStartCallsNobodyBeforeDiscoverysFirstWord() throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        world.discovery.answers = r -> {
            if (r.head().startsWith("POST")) {
                return good.apply(r);
            }
            pause(120);
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + SenderFixture.chunk(world.list(2, true, "Terminating"));
        };
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        client.submit("safe", ID + "0", NO_KEY);
        await(() -> !sender.isEndpointReady("s-1"));
        pause(300);
        assertEquals(0, world.receiver.requests.size());
    }

    /** It is asked and says nothing: what is known is served from soon. */
    @Test
    void aSilentDiscoveryHoldsUpNobody() throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        world.discovery.answers = r -> r.head().startsWith("POST") ? good.apply(r) : null;
        sender = world.start();
        long from = System.nanoTime();
        assertEquals("+OK", world.client(sender).submit("safe", ID + "0", NO_KEY));
        await(() -> world.receiver.requests.size() == 1);
        assertTrue(
                System.nanoTime() - from < 900_000_000L,
                "served after " + (System.nanoTime() - from) / 1_000_000 + " ms");
    }

    /** How a watch goes quiet without ending: what it brings from then on, byte by byte or line by line, for as long as it is open. */
    private static String quiet(String how) {
        return switch (how) {
            case "nothing" -> "";
            case "bytes that make no line" -> " ";
            case "lines of an object that never ends" -> "\"more\": [\n";
            case "lines that are no news" -> "news\n";
            default -> throw new IllegalArgumentException(how);
        };
    }

    /**
     * The worst phase: a watch that was opened just before discovery could tell of the change stays open and never does, whatever else
     * it brings; the next one is told at once.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nothing",
                "bytes that make no line",
                "lines of an object that never ends",
                "lines that are no news"
            })
    void aWatchThatNeverSpeaksCostsLessThanTheTimeToTell(String how) throws Exception {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        java.util.concurrent.atomic.AtomicBoolean over = new java.util.concurrent.atomic.AtomicBoolean();
        world.discovery.answers = r -> {
            if (r.head().startsWith("POST") || asked() > 1) {
                return good.apply(r);
            }
            Thread drip = new Thread(() -> {
                try {
                    SenderFixture.write(
                            r.socket(),
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + SenderFixture.chunk(how.startsWith("lines of") ? "{\n" : " "));
                    while (!over.get()) {
                        if (!quiet(how).isEmpty()) {
                            SenderFixture.write(r.socket(), SenderFixture.chunk(quiet(how)));
                        }
                        pause(100);
                    }
                } catch (IOException e) {
                    over.set(true);
                }
            });
            drip.setDaemon(true);
            drip.start();
            return null;
        };
        sender = world.start();
        await(() -> asked() == 1);
        long from = System.nanoTime();
        await(world::watched);
        long took = (System.nanoTime() - from) / 1_000_000;
        over.set(true);
        assertTrue(took < EndpointWatch.CHANGE_KNOWN_MILLIS, "told after " + took + " ms");
    }

    /** Refused for long, the pauses have grown; the change is there just behind a refusal. */
    @Test
    void refusalsCostLessThanTheTimeToTell() throws IOException {
        Function<SenderFixture.Request, String> good = world.discovery.answers;
        world.discovery.answers = r -> r.head().startsWith("POST") ? good.apply(r) : SenderFixture.ok(503, "");
        sender = world.start();
        await(() -> asked() >= 8);
        long from = System.nanoTime();
        world.discovery.answers = good;
        await(world::watched);
        long took = (System.nanoTime() - from) / 1_000_000;
        // The connection was accepted already, so that of the budget only the pause is left.
        assertTrue(
                took
                        <= EndpointWatch.MIN_PAUSE_MILLIS
                                + EndpointWatch.MAX_RANDOM_PAUSE_MILLIS
                                + EndpointWatch.RESPONSE_MILLIS,
                "told after " + took + " ms");
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long asked() {
        return world.discovery.requests.stream()
                .filter(r -> r.head().contains("/api/targets"))
                .count();
    }

    /** A restart with much held while discovery is away: what is owed is served from the known list. */
    @Test
    void whatIsOwedIsServedFromTheKnownListWhileDiscoveryIsAway() throws IOException {
        int many = 40;
        world.receiver.answers = r -> SenderFixture.ok(429, "", "Retry-After: 1");
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        for (int i = 0; i < many; i++) {
            assertEquals("+OK", client.submit("safe", ID.substring(1) + (10 + i), NO_KEY, 20_000, 7));
        }
        sender.stop();
        world.discovery.greet = s -> false;
        world.receiver.answers = r -> SenderFixture.ok(200, "");
        world.receiver.requests.clear();
        sender = world.start();
        await(() -> world.receiver.requests.stream()
                        .map(r -> r.header("X-Request-ID"))
                        .distinct()
                        .count()
                == many);
    }
}
