package amberroute.sender.lifecycle;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDomainDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.unix.DomainDatagramPacket;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.util.CharsetUtil;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ServiceManagerNotifierTest {
    @TempDir
    Path folder;

    @Test
    void sendsOneDatagramForEachState() throws Exception {
        Assumptions.assumeTrue(Epoll.isAvailable(), "no native transport for this machine");
        List<String> heard = new CopyOnWriteArrayList<>();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());
        try {
            Path socket = folder.resolve("notify");
            new Bootstrap()
                    .group(group)
                    .channel(EpollDomainDatagramChannel.class)
                    .handler(new SimpleChannelInboundHandler<DomainDatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext context, DomainDatagramPacket packet) {
                            heard.add(packet.content().toString(CharsetUtil.UTF_8));
                        }
                    })
                    .bind(new DomainSocketAddress(socket.toString()))
                    .sync();
            ServiceManagerNotifier notify = new ServiceManagerNotifier(Map.of("NOTIFY_SOCKET", socket.toString()));
            notify.report("READY=1");
            await(() -> heard.size() == 1);
            notify.report("STOPPING=1\nSTATUS=holding 3 messages");
            await(() -> heard.size() == 2);
            assertEquals(List.of("READY=1", "STOPPING=1\nSTATUS=holding 3 messages"), heard);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Nobody listens, or nobody asked: neither is anybody's failure. */
    @Test
    void failsNobody() {
        new ServiceManagerNotifier(Map.of()).report("READY=1");
        new ServiceManagerNotifier(
                        Map.of("NOTIFY_SOCKET", folder.resolve("nobody").toString()))
                .report("READY=1");
        assertTrue(Thread.currentThread().isAlive());
    }
}
