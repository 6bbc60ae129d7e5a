package amberroute.sender.upstream;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Idle connections to endpoints, and the limit on open ones. Owns the idle connections: closes each at the end of its idle time. Belongs to
 * the event loop.
 */
final class ConnectionPool {
    /**
     * Time after a response before its connection carries another call: bytes after a response would be taken for the next one, and a
     * connection that the endpoint closes after a response would lose the call.
     */
    private static final long QUIET_MILLIS = 20;
    /** Used share of the time after which endpoints close idle connections; a call that crosses the close would read as a reset. */
    private static final double IDLE_TIME_RATIO = 0.8;

    private static final long NANOS_PER_MICRO = 1_000;

    private final EventLoop loop;
    private final int maxOpen;
    private final Map<Long, Deque<UpstreamConnection>> usableByEndpoint = new HashMap<>();
    private final Set<UpstreamConnection> idleByAge = new LinkedHashSet<>();
    private long maxIdleNanos;
    private int open;

    /** A pool for at most {@code maxOpen} connections, those in use included. */
    ConnectionPool(EventLoop loop, int maxOpen) {
        this.loop = loop;
        this.maxOpen = maxOpen;
    }

    /** Endpoints close idle connections after so many microseconds; where that is less than before, all idle connections close. */
    void setEndpointIdleTimeout(long micros) {
        long nanos = (long) (micros * NANOS_PER_MICRO * IDLE_TIME_RATIO);
        if (nanos < maxIdleNanos) {
            closeIdle(endpoint -> true);
        }
        maxIdleNanos = nanos;
    }

    /** Closes an idle connection where the limit is reached; returns whether one more may be opened. */
    boolean makeRoom() {
        if (open >= maxOpen && !idleByAge.isEmpty()) {
            close(idleByAge.iterator().next());
        }
        return open < maxOpen;
    }

    /** Counts a connection that is being opened. */
    void connectionOpened() {
        open++;
    }

    /** A counted connection is closed, or was not opened. */
    void connectionClosed() {
        open--;
    }

    /** Takes the connection that was used last, null where none has been idle for less than {@code idleLimitMicros} and the pool's own limit. */
    UpstreamConnection take(UpstreamClient.Route route, long idleLimitMicros) {
        long limitNanos = Math.min(maxIdleNanos, idleLimitMicros * NANOS_PER_MICRO);
        Deque<UpstreamConnection> usable = usableByEndpoint.getOrDefault(route.endpoint(), new ArrayDeque<>());
        while (!usable.isEmpty()) {
            UpstreamConnection connection = usable.peekLast();
            if (!connection.channel.isActive() || !connection.address.equals(route.address())) {
                close(connection);
            } else if (System.nanoTime() - connection.idleSinceNanos < limitNanos) {
                remove(connection);
                return connection;
            } else {
                // Too old for this call, but perhaps not for another.
                return null;
            }
        }
        return null;
    }

    /** Keeps a connection whose call has ended; it can be taken once it has been quiet for a while. */
    void keep(UpstreamConnection connection) {
        connection.idleSinceNanos = System.nanoTime();
        idleByAge.add(connection);
        connection.idleTimer = loop.schedule(() -> makeUsable(connection), QUIET_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void makeUsable(UpstreamConnection connection) {
        usableByEndpoint
                .computeIfAbsent(connection.endpoint, endpoint -> new ArrayDeque<>())
                .addLast(connection);
        connection.idleTimer = loop.schedule(() -> close(connection), maxIdleNanos, TimeUnit.NANOSECONDS);
    }

    /** Closes a connection, idle or not. */
    void close(UpstreamConnection connection) {
        remove(connection);
        connection.channel.close();
    }

    /** Forgets an idle connection, which is in use or closed from now on. */
    void remove(UpstreamConnection connection) {
        if (idleByAge.remove(connection)) {
            connection.idleTimer.cancel(false);
            Deque<UpstreamConnection> usable = usableByEndpoint.getOrDefault(connection.endpoint, new ArrayDeque<>());
            usable.remove(connection);
            if (usable.isEmpty()) {
                usableByEndpoint.remove(connection.endpoint);
            }
        }
    }

    /** Closes the idle connections to these endpoints. */
    void closeIdle(LongPredicate endpoints) {
        for (UpstreamConnection connection : List.copyOf(idleByAge)) {
            if (endpoints.test(connection.endpoint)) {
                close(connection);
            }
        }
    }

    /** Idle connections that can be taken. */
    int usable() {
        return usableByEndpoint.values().stream().mapToInt(Deque::size).sum();
    }
}
