package amberroute.sender.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopStallDetectorTest {
    /** A turn that was due while the loop stood still comes behind what could be read by then. */
    @Test
    void afterAStopWhatCameIsReadBeforeAnythingIsDone() throws Exception {
        EventLoopStallDetector looks = new EventLoopStallDetector();
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), looks));
        List<String> order = new CopyOnWriteArrayList<>();
        try (Socket peer = new Socket()) {
            EventLoop loop = group.next();
            CountDownLatch active = new CountDownLatch(1);
            Channel server = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            active.countDown();
                            channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(ChannelHandlerContext context, Object message) {
                                    order.add("news");
                                }
                            });
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
            peer.connect(server.localAddress());
            assertTrue(active.await(10, TimeUnit.SECONDS));
            // Its channel is registered by now; the tasks below share one pass of the loop.
            loop.submit(() -> {}).sync();
            CountDownLatch stands = new CountDownLatch(1);
            CountDownLatch goesOn = new CountDownLatch(1);
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(() -> {
                Runnable[] turn = new Runnable[1];
                turn[0] = () -> {
                    if (looks.stale(System.nanoTime())) {
                        looks.behind(loop, turn[0]);
                    } else {
                        order.add("turn");
                        done.countDown();
                    }
                };
                loop.execute(turn[0]);
                stands.countDown();
                try {
                    goesOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stands.await();
            peer.getOutputStream().write("a receiver drains".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            Thread.sleep(150);
            goesOn.countDown();
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertEquals(List.of("news", "turn"), order);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** One more look, not one after another: a loop whose every pass is slow goes on all the same. */
    @Test
    void itLooksAgainOnceOnly() {
        EventLoopStallDetector looks = new EventLoopStallDetector();
        long late = System.nanoTime() + 1_000_000_000L;
        assertTrue(looks.stale(late));
        assertFalse(looks.stale(late));
        assertTrue(looks.stale(late));
        assertFalse(looks.stale(System.nanoTime() - 1_000_000_000L));
    }
}
