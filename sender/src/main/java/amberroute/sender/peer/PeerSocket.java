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

/** Binds the UDP socket on which daemons hear their peers; what is longer than any of theirs is passed over. */
public final class PeerSocket {
    /** Datagrams that are read in one pass of the loop at most, so that a flood does not hold it up. */
    private static final int MOST_READ = 64;

    private PeerSocket() {}

    /** {@code reader} gets each datagram on the event loop, for the time of the call. */
    public static Channel bind(EventLoop loop, InetSocketAddress address, Consumer<DatagramPacket> reader)
            throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(Heartbeat.MAX_DATAGRAM_BYTES + 1).maxMessagesPerRead(MOST_READ))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        if (packet.content().readableBytes() <= Heartbeat.MAX_DATAGRAM_BYTES) {
                            reader.accept(packet);
                        }
                    }

                    /** A peer that is away answers by an error of the network; the next datagram may be heard. */
                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
                })
                .bind(address)
                .sync()
                .channel();
    }
}
