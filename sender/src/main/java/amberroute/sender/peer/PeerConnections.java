package amberroute.sender.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The outgoing connections to peers, at most one each, opened when one is first needed. Owns them until {@link #close}. Lives on
 * the event loop.
 */
final class PeerConnections {
    /** What becomes of a connection; called on the event loop. */
    interface Listener {
        /** The connection is up, and what waited for it is on its way. */
        void onConnected(String peer);

        /** The peer could not be connected to; nothing was sent. */
        void onUnreachable(String peer);

        /** The peer said something on the connection. */
        void onMessage(String peer, HandoffProtocolMessage message);
    }

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> addresses;
    private final HandoffCodec codec;
    private final Listener listener;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    PeerConnections(EventLoop loop, Map<String, InetSocketAddress> addresses, HandoffCodec codec, Listener listener) {
        this.loop = loop;
        this.addresses = addresses;
        this.codec = codec;
        this.listener = listener;
    }

    /** The connection to a peer, which may not be up yet. */
    PeerConnection to(String peer) {
        PeerConnection connection = connections.get(peer);
        if (connection == null) {
            connection = new PeerConnection(peer, codec, this);
            connections.put(peer, connection);
            InetSocketAddress address = addresses.get(peer);
            if (address == null) {
                failed(connection);
            } else {
                connection.connect(loop, address);
            }
        }
        return connection;
    }

    /** Sends to all configured peers what may be lost. */
    void sendToAll(HandoffProtocolMessage message) {
        addresses.keySet().forEach(peer -> to(peer).send(message));
    }

    void connected(PeerConnection connection) {
        listener.onConnected(connection.peer());
    }

    void failed(PeerConnection connection) {
        listener.onUnreachable(connection.peer());
        closed(connection);
    }

    void closed(PeerConnection connection) {
        connections.remove(connection.peer(), connection);
    }

    void received(PeerConnection connection, HandoffProtocolMessage message) {
        listener.onMessage(connection.peer(), message);
    }

    void close() {
        List.copyOf(connections.values()).forEach(PeerConnection::close);
    }
}
