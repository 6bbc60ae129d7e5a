package amberroute.sender.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What the parts of replication share. Lives on the event loop.
 *
 * @param self name of this daemon
 * @param peers addresses of the other daemons
 * @param membership who of them is alive
 * @param replicaCount members of a full replica set, the owner among them
 * @param replaceAfterNanos a member that has failed for so long is replaced
 */
record ReplicationContext(
        EventLoop loop,
        String self,
        Map<String, InetSocketAddress> peers,
        SwimTransport membership,
        ReplicaStore store,
        ReplicationCoordinator.Host host,
        int replicaCount,
        long replaceAfterNanos) {
    /** A peer that has not heard an owner for so long agrees that another tries: three heartbeats that did not come. */
    static final long SILENT_NANOS = 600_000_000;
    /** A journal of which nothing is heard for so long is tried for, whatever its owner says of itself by datagrams. */
    static final long LONG_SILENT_NANOS = 1_200_000_000L;

    long maxMessageLifeNanos() {
        return host.maxMessageLifeMillis() * 1_000_000;
    }
}
