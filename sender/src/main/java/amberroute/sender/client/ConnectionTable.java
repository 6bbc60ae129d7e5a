package amberroute.sender.client;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The served connections of clients, and which of them is closed when there are too many or when it is idle.
 *
 * <p>A connection is unproven until its first valid request. Connections that are closed here leave the table at once, as the event loop tells
 * of their end only later. Times are monotonic nanoseconds. Belongs to the event loop.
 */
final class ConnectionTable {
    /** Share of the places that established connections, idle for good, cannot fill. */
    private static final double UNPROVEN_SHARE = 0.25;
    /** One part in so many of the places is left to connections that are being closed. */
    private static final int CLOSING_PARTS = 8;

    private static final long IDLE_NANOS = 60_000_000_000L;
    /**
     * With more than this share of the places taken, idle connections close after {@link #CROWDED_IDLE_NANOS}: where each message brings a
     * connection that stays, the next would find no place. Cost: clients that ask seldom reconnect when there are many.
     */
    private static final double CROWDED_SHARE = 0.33;

    private static final long CROWDED_IDLE_NANOS = 250_000_000L;

    private final int maxOpen;
    private final int maxServed;
    private final OrderlyClose closing;
    /** By last use, the longest ago first. */
    private final Set<ClientSession> established = new LinkedHashSet<>();
    /** By age, the oldest first. */
    private final Set<ClientSession> unproven = new LinkedHashSet<>();

    /** A table for {@code maxOpen} connections, those that are being closed included. */
    ConnectionTable(int maxOpen, OrderlyClose closing) {
        this.maxOpen = maxOpen;
        this.closing = closing;
        maxServed = Math.max(1, maxOpen - maxOpen / CLOSING_PARTS);
    }

    /** Served connections. */
    int size() {
        return unproven.size() + established.size();
    }

    /** Served connections and those that are being closed. */
    int open() {
        return size() + closing.lingering();
    }

    /** Adds a new connection; closes another, or this one, where there are too many. */
    void add(ClientSession session) {
        unproven.add(session);
        if (size() > maxServed) {
            closeOneFor(session);
        }
        if (open() > maxOpen) {
            closing.closeOldest();
        }
    }

    /** The connection has sent a valid request just now. */
    void used(ClientSession session) {
        remove(session);
        established.add(session);
    }

    /** The connection has ended. */
    void remove(ClientSession session) {
        unproven.remove(session);
        established.remove(session);
    }

    /** Closes up to {@code most} connections without a request that were last used at {@code usedUntilNanos} or before. */
    void closeResting(int most, long usedUntilNanos) {
        close(session -> session.isResting() && session.lastUseNanos() - usedUntilNanos <= 0, most);
    }

    /** Closes all connections that owe no reply, also in the middle of a request. */
    void closeUnanswered() {
        close(session -> !session.owesReply(), Integer.MAX_VALUE);
    }

    private void close(Predicate<ClientSession> condition, int most) {
        Stream.concat(unproven.stream(), established.stream())
                .filter(condition)
                .limit(most)
                .toList()
                .forEach(ClientSession::close);
    }

    /** Closes established connections that have been without a request for too long; how long that is depends on how many there are. */
    void closeIdle(long nowNanos) {
        double tooMany = established.size() - CROWDED_SHARE * maxServed;
        for (ClientSession session : List.copyOf(established)) {
            if (nowNanos - session.lastUseNanos() < (tooMany > 0 ? CROWDED_IDLE_NANOS : IDLE_NANOS)) {
                return;
            }
            if (session.isResting()) {
                session.close();
                tooMany--;
            }
        }
    }

    /**
     * Closes a connection that owes no reply, so that a newcomer has its place. Where many are unproven, the oldest of those goes first, so that
     * newcomers push out each other; else the established one without a request for longest. One with an incomplete request is closed
     * only when none rests, the newcomer when all owe replies.
     */
    private void closeOneFor(ClientSession newcomer) {
        boolean manyUnproven = unproven.size() > maxServed * UNPROVEN_SHARE;
        Set<ClientSession> first = manyUnproven ? unproven : established;
        Set<ClientSession> then = manyUnproven ? established : unproven;
        List<ClientSession> candidates = Stream.concat(first.stream(), then.stream())
                .filter(session -> !session.owesReply() && session != newcomer)
                .toList();
        candidates.stream()
                .filter(ClientSession::isResting)
                .findFirst()
                .or(() -> candidates.stream().findFirst())
                .orElse(newcomer)
                .close();
    }
}
