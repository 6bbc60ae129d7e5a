package amberroute.sender.peer;

import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The channel on which each peer last sent a request: a way to peers that no address is configured of. The channels belong to
 * the server that accepted them. Lives on the event loop.
 */
final class PeerChannels {
    private final int maxPeers;
    private final HandoffCodec codec;
    private final Map<String, Channel> channelByPeer = new HashMap<>();

    PeerChannels(int maxPeers, HandoffCodec codec) {
        this.maxPeers = maxPeers;
        this.codec = codec;
    }

    /** A request came from this peer. */
    void heardFrom(String peer, Channel channel) {
        if (channelByPeer.size() < maxPeers || channelByPeer.containsKey(peer)) {
            channelByPeer.put(peer, channel);
        }
    }

    /** Sends on the peer's last channel; false where that is not open. */
    boolean sendTo(String peer, HandoffProtocolMessage message) {
        Channel channel = channelByPeer.get(peer);
        if (channel == null || !channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(codec.encode(message));
        return true;
    }

    /** Sends to all that are not among these and can take it at once. */
    void sendToOthers(Set<String> except, KeyRelease release) {
        channelByPeer.forEach((peer, channel) -> {
            if (!except.contains(peer) && channel.isWritable()) {
                channel.writeAndFlush(codec.encode(release));
            }
        });
    }
}
