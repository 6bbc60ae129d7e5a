package amberroute.sender.discovery;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.sender.config.EndpointListEntry;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.Backoff;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Keeps the endpoint list up to date by a watch of the discovery service, which it opens anew, and answers questions about it. Each uid has
 * a number by which the scheduler knows the endpoint. Belongs to the event loop.
 */
public final class EndpointWatch {
    /** A change counts as known so many milliseconds after discovery had it and could be reached, whether or not it arrived. */
    public static final long CHANGE_KNOWN_MILLIS = 6_000;
    /** A heartbeat comes every 2 s: a watch without one, or an event, for this time since its opening counts as dead. */
    static final long SILENCE_MS = 3_000;

    static final long SILENCE_CHECK_INTERVAL_MILLIS = 100;
    static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Shortest pause in milliseconds after a watch that has ended. */
    public static final long MIN_PAUSE_MILLIS = 100;
    /** Longest random part in milliseconds of that pause. */
    public static final long MAX_RANDOM_PAUSE_MILLIS = 1_000;
    /** Milliseconds allowed for the response itself and a late event loop. */
    public static final long RESPONSE_MILLIS = 500;

    private static final long FIRST_RANDOM_PAUSE_MILLIS = 200;

    static {
        // Worst case: a watch was opened just before discovery could be reached and stays silent; the next one is
        // heard.
        long slowestMillis = SILENCE_MS
                + SILENCE_CHECK_INTERVAL_MILLIS
                + MIN_PAUSE_MILLIS
                + MAX_RANDOM_PAUSE_MILLIS
                + CONNECT_TIMEOUT_MILLIS
                + RESPONSE_MILLIS;
        if (slowestMillis > CHANGE_KNOWN_MILLIS) {
            throw new AssertionError("a change can come later than it counts as told");
        }
    }

    /** Calls wait so long for the first response; shorter than the grace period for calls to a draining endpoint. */
    private static final long FIRST_RESPONSE_WAIT_NANOS = 200_000_000;

    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS);
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(SILENCE_MS);

    /** Learns of lists and changes, on the event loop. */
    public interface Listener {
        /** A list or a change of it came, with the endpoints in it. */
        void listed(EndpointListKind kind, List<DeliveryScheduler.EndpointEntry> entries);
    }

    private final EventLoop loop;
    private final EndpointList list;
    private final WatchEvents watchEvents = new WatchEvents();
    private final Backoff backoff;
    private SenderConfig config;
    /** Null where endpoints come from a file. */
    private InetSocketAddress address;
    /** The watch in use or being opened, null during a pause. */
    private WatchConnection watch;

    private Future<?> pause;
    private boolean stopped;
    private long startedNanos = System.nanoTime();
    /** When the list was first requested since the start, 0 before. */
    private long requestedNanos;
    /** Whether the first request has brought a line or has ended. */
    private boolean responded;

    /** A watch of the configured discovery address that is not started yet. */
    public EndpointWatch(EventLoop loop, SenderConfig config, Listener listener) {
        this.loop = loop;
        this.config = config;
        list = new EndpointList(config, listener);
        address = config.discovery();
        backoff = new Backoff(
                MIN_PAUSE_MILLIS,
                FIRST_RANDOM_PAUSE_MILLIS,
                MAX_RANDOM_PAUSE_MILLIS,
                config.settings().seed());
    }

    /** Uses the kinds and zones of this configuration from now on, also for known endpoints. */
    public void configure(SenderConfig fresh) {
        config = fresh;
        list.configure(fresh);
    }

    /** Begins with the list that this sender had last, then watches. */
    public void start() {
        if (address == null) {
            list.take(config.known(), EndpointListKind.FULL);
            return;
        }
        list.take(config.known(), EndpointListKind.CACHED);
        openWatch();
        loop.scheduleWithFixedDelay(
                this::closeSilentWatch,
                SILENCE_CHECK_INTERVAL_MILLIS,
                SILENCE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops watching until {@link #resume}: another process owns the list now. */
    public void stop() {
        stopped = true;
        if (pause != null) {
            pause.cancel(false);
        }
        if (watch != null) {
            watch.close();
        }
    }

    /**
     * Watches again after {@link #stop}, from the list that was known then. Returns the endpoints that have left it and are listed for their
     * calls alone; they are to be given to {@link #release} once the calls are known to the scheduler.
     */
    public JsonArray resume(LongPredicate called) {
        stopped = false;
        responded = false;
        requestedNanos = 0;
        startedNanos = System.nanoTime();
        pause = null;
        JsonArray leaving = list.reload(called, address == null ? EndpointListKind.FULL : EndpointListKind.CACHED);
        if (address != null) {
            openWatch();
        }
        return leaving;
    }

    /**
     * Whether calls may be made by the list as it is. After a start the list is an old one, and what discovery has counts as known from when it
     * could be asked, so calls wait for its first response: for a bounded time, and only while a connection may come up, as discovery may be
     * down.
     *
     * @param now monotonic nanoseconds
     */
    public boolean settled(long now) {
        return address == null
                || responded
                || requestedNanos != 0 && now - requestedNanos > FIRST_RESPONSE_WAIT_NANOS
                || now - startedNanos > CONNECT_TIMEOUT_NANOS;
    }

    /** Whether the list has come from discovery itself. */
    public boolean isCurrent() {
        return list.isCurrent();
    }

    /** The list in discovery's form, with those that have left it and are still called. */
    public JsonObject toJson(LongPredicate called) {
        return list.toJson(called);
    }

    /**
     * Takes the list of another process: all of it before discovery's first list, else only endpoints that it still calls and that are not
     * listed any more. Returns those that are listed for its calls alone, for {@link #release}.
     */
    public JsonArray takeOver(JsonObject other, Set<String> called) {
        return list.takeOver(other, called);
    }

    /** Removes endpoints that were listed for their calls alone. */
    public void release(JsonArray leaving) {
        list.release(leaving);
    }

    /** An entry of an endpoint that is not listed, by which the scheduler can count a call to it. */
    public DeliveryScheduler.EndpointEntry unlistedEntry(
            String uid, int destination, DeliveryScheduler.EndpointState state) {
        return list.unlistedEntry(uid, destination, state);
    }

    /** Takes a complete list that did not come by the watch. */
    public void replace(JsonObject other) {
        list.take(other, EndpointListKind.FULL);
    }

    /** Where to call an endpoint, null for an unknown one. */
    public UpstreamClient.Route route(long number) {
        EndpointListEntry entry = list.entry(number);
        if (entry == null) {
            return null;
        }
        DeliveryScheduler.DestinationKind kind = list.kind(entry);
        boolean waitsAlone = kind != null && kind.independentEndpoints();
        return new UpstreamClient.Route(number, entry.address(), waitsAlone ? "route " + number : entry.destination());
    }

    /** Messages that one call to an endpoint may carry, at least 1. */
    public int messagesPerCall(long number) {
        EndpointListEntry entry = list.entry(number);
        DeliveryScheduler.DestinationKind kind = entry == null ? null : list.kind(entry);
        return kind == null ? 1 : Math.max(1, kind.messagesPerCall());
    }

    /** The uid of an endpoint, empty for an unknown one. */
    public String uid(long number) {
        EndpointListEntry entry = list.entry(number);
        return entry == null ? "" : entry.uid();
    }

    /** Number of listed endpoints. */
    public int size() {
        return list.size();
    }

    /** Whether an endpoint is listed as ready. */
    public boolean isReady(long number) {
        return list.isReady(number);
    }

    /** Whether an endpoint of this uid is listed. */
    public boolean listed(String uid) {
        return list.isListed(uid);
    }

    /** Whether an endpoint has left the list or was never on it. */
    public boolean hasLeft(long number) {
        return !list.isListed(number);
    }

    /** Whether a destination is or was listed; before the first list from discovery any may be. */
    public boolean listed(int destination) {
        return list.mayHaveDestination(destination);
    }

    /** The number of a uid, the same for as long as it is known. */
    public long number(String uid) {
        return list.number(uid);
    }

    /** Watches another address from now on; the list and its version are kept. */
    public void move(InetSocketAddress to) {
        address = to;
        backoff.good();
        if (pause != null) {
            pause.cancel(false);
            pause = null;
        }
        WatchConnection old = watch;
        openWatch();
        if (old != null) {
            old.close();
        }
    }

    private void openWatch() {
        watch = new WatchConnection(address, watchEvents);
        watch.open(loop, (int) CONNECT_TIMEOUT_MILLIS);
    }

    /** A cut network leaves the connection open without a sign, so a watch without heartbeats is closed. */
    private void closeSilentWatch() {
        if (watch != null && System.nanoTime() - watch.lastEventNanos() > SILENCE_NANOS) {
            watch.close();
        }
    }

    private void reopenAfterPause() {
        pause = loop.schedule(
                () -> {
                    pause = null;
                    openWatch();
                },
                backoff.next(),
                TimeUnit.MILLISECONDS);
    }

    /** Applies what a watch brings. */
    private final class WatchEvents implements WatchConnection.Listener {
        @Override
        public boolean isCurrent(WatchConnection connection) {
            return watch == connection;
        }

        @Override
        public long requestVersion() {
            requestedNanos = requestedNanos == 0 ? System.nanoTime() : requestedNanos;
            return list.version();
        }

        @Override
        public void lineReceived() {
            responded = true;
        }

        @Override
        public void heartbeatReceived() {
            backoff.good();
        }

        @Override
        public void eventReceived(JsonObject event, boolean complete) {
            list.takeFromDiscovery(event, complete ? EndpointListKind.FULL : EndpointListKind.DELTA);
            backoff.good();
        }

        /** Only the end of the current watch counts: a replaced one must not open another. */
        @Override
        public void ended(WatchConnection ended) {
            if (watch != ended) {
                return;
            }
            responded = true;
            watch = null;
            if (!stopped) {
                reopenAfterPause();
            }
        }
    }
}
