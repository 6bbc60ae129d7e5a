package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollDomainDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.unix.DomainDatagramPacket;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.util.CharsetUtil;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells an init system how far the daemon is, by one datagram to the Unix socket that {@code NOTIFY_SOCKET} names, with
 * lines such as {@code READY=1} (sd_notify's protocol, as its manual page describes it). The JDK has no Unix datagrams,
 * so this is the one place that loads Netty's native transport, on a thread of its own, and only where that variable is
 * set. Whatever goes wrong is one line in the log: nobody must fail because nobody listens.
 */
public final class ServiceManagerNotifier {
    private static final long SEND_MS = 2_000;

    private final String socket;

    /** Takes {@code NOTIFY_SOCKET} from these variables. */
    public ServiceManagerNotifier(Map<String, String> environment) {
        socket = environment.get("NOTIFY_SOCKET");
    }

    /** Sends in the background; does nothing where nobody asked for it. */
    public void report(String state) {
        if (socket != null && !socket.isEmpty()) {
            Thread thread = new Thread(() -> send(state), "notify");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void send(String state) {
        try {
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());
            try {
                // A name that begins with @ lies in the abstract namespace, where it begins with a zero byte.
                String path = socket.startsWith("@") ? "\0" + socket.substring(1) : socket;
                Channel channel = new Bootstrap()
                        .group(group)
                        .channel(EpollDomainDatagramChannel.class)
                        .handler(new SimpleChannelInboundHandler<DomainDatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext context, DomainDatagramPacket packet) {
                                // Nobody answers.
                            }
                        })
                        .connect(new DomainSocketAddress(path))
                        .sync()
                        .channel();
                channel.writeAndFlush(Unpooled.copiedBuffer(state, CharsetUtil.UTF_8))
                        .sync();
            } finally {
                group.shutdownGracefully(0, SEND_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
            }
        } catch (Exception | LinkageError e) {
            LogEvent.of("service_manager_notification_failed")
                    .with("state", state.replace('\n', ' '))
                    .cause(e)
                    .warn();
        }
    }
}
