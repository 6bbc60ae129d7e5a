package amberroute.sender.peer;

import amberroute.membership.Heartbeat;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Binds the UDP socket on which a daemon hears its peers; a datagram that is longer than any of theirs is dropped. */
public final class PeerSocket {
    /** A flood must not hold up the event loop. */
    private static final int MAX_READS_PER_ITERATION = 64;

    private PeerSocket() {}

    /** Binds the socket, which the caller closes; {@code reader} gets each datagram on the event loop, for the time of the call. */
    public static Channel bind(EventLoop loop, InetSocketAddress address, Consumer<DatagramPacket> reader)
            throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(Heartbeat.MAX_DATAGRAM_BYTES + 1)
                                .maxMessagesPerRead(MAX_READS_PER_ITERATION))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        if (packet.content().readableBytes() <= Heartbeat.MAX_DATAGRAM_BYTES) {
                            reader.accept(packet);
                        }
                    }

                    /** A peer whose process is gone is an ICMP error on the socket; the next datagram may be readable. */
                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
                })
                .bind(address)
                .sync()
                .channel();
    }
}
