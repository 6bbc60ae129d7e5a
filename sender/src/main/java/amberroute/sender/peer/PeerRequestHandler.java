package amberroute.sender.peer;

import amberroute.handoff.HandoffPlacement;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldStatusRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRequest;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.util.LogEvent;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

/**
 * Reads the requests of one peer's connection and passes each to the part that answers it. A malformed line closes this connection
 * and nothing else. Lives on the event loop.
 */
final class PeerRequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
    /** The parts that answer requests; {@code replication} is null where nothing is replicated. */
    record Services(
            HandoffCodec codec,
            PeerChannels channels,
            IncomingOffers offers,
            KeyHoldCoordinator keyHolds,
            HandoffPlacement placement,
            HandoffCoordinator.ReplicationRequests replication) {}

    private final Services services;

    PeerRequestHandler(Services services) {
        this.services = services;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        JsonLine line = JsonLine.parse(bytes);
        services.channels().heardFrom(line.sender(), context.channel());
        if (services.replication() != null && ReplicationCodec.isRequest(line.word())) {
            services.replication().handle(context, ReplicationCodec.decodeRequest(line));
        } else {
            handle(context, services.codec().decode(line));
        }
    }

    private void handle(ChannelHandlerContext context, HandoffProtocolMessage message) {
        if (message instanceof OfferMessage offer) {
            services.offers().onOffer(context, offer);
        } else if (message instanceof CancelMessage cancel) {
            services.offers().onCancel(context, cancel);
        } else if (message instanceof KeyHoldRequest request) {
            services.keyHolds().onHoldRequest(context, request);
        } else if (message instanceof KeyRelease release) {
            services.keyHolds().onRelease(release);
        } else if (message instanceof KeyRequest request) {
            services.placement().preferPeer(request.key(), request.sender());
        } else if (message instanceof KeyHoldStatusRequest status) {
            services.keyHolds().onStatusRequest(context, status);
        } else {
            throw new MalformedPeerMessageException(JsonLine.WORD, "a request");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LogEvent.of("peer_connection_closed")
                .with("peer", context.channel().remoteAddress())
                .with("direction", "incoming")
                .cause(cause)
                .warn();
        context.close();
    }
}
