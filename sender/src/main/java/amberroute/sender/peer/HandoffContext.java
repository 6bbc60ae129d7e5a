package amberroute.sender.peer;

import amberroute.sender.journal.Journal;
import amberroute.sender.message.AcceptedMessage;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * What the parts of the handoff share. Lives on the event loop.
 *
 * @param self name of this daemon
 * @param peers addresses of the other daemons in the settings' order
 * @param journalBegunMillis when the journal was begun, 0 if that is not known
 * @param wallMillis milliseconds as the journal's times have them
 */
record HandoffContext(
        EventLoop loop,
        String self,
        Map<String, InetSocketAddress> peers,
        HandoffCoordinator.Host host,
        Journal journal,
        long journalBegunMillis,
        LongSupplier wallMillis) {
    /** Peers that are served at a time, and names of which something is kept: so many, and some for each configured peer. */
    private static final int MIN_PEERS = 128;

    private static final int PLACES_FOR_EACH_PEER = 4;

    /** Bound on connections from peers, and on names that anything is kept of. */
    int maxPeers() {
        return MIN_PEERS + PLACES_FOR_EACH_PEER * peers.size();
    }

    /** The keys of these messages whose order counts, each once. */
    List<Long> orderedKeys(List<AcceptedMessage> messages) {
        return messages.stream()
                .filter(host::isOrdered)
                .map(message -> message.key)
                .distinct()
                .toList();
    }

    /** Milliseconds of a clock that never steps, for spans within this process. */
    static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
