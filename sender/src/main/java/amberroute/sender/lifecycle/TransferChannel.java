package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.function.Consumer;

/**
 * The line between a process and the one that takes its place while it still runs: a Unix socket in the state folder,
 * which only its owner may open, one JSON object a line. What is said on it, and what it means, is in
 * {@code docs/replacing.md}; this class only carries lines.
 */
public final class TransferChannel {
    /** Of the words between the two; the one that passes the estate on is the longest. */
    static final int LONGEST_LINE = 8 << 20;
    /** From whoever connects, before it has taken over: its words are short but for answers to clients. */
    private static final int LONGEST_ASKED = 64 << 10;
    /** A Unix socket's path may be so long on Linux. */
    private static final int LONGEST_PATH = 107;

    private TransferChannel() {}

    static Path socket(Path state) {
        return state.resolve("successor");
    }

    public static boolean possible(Path state) {
        return socket(state).toAbsolutePath().toString().getBytes(StandardCharsets.UTF_8).length <= LONGEST_PATH;
    }

    /** One end of the line; used on the event loop only. */
    static final class Endpoint extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<JsonObject> words;
        private final Runnable ended;
        private Channel channel;

        Endpoint(Consumer<JsonObject> words, Runnable ended) {
            this.words = words;
            this.ended = ended;
        }

        void say(JsonObject word) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(Unpooled.copiedBuffer(word + "\n", StandardCharsets.UTF_8));
            }
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        /** Whether so much waits to be read that nothing more should be said but what must. */
        boolean crowded() {
            return channel == null || !channel.isWritable();
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            JsonObject word;
            try {
                word = JsonParser.parseString(line.toString(StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (RuntimeException e) {
                LogEvent.of("transfer_line_unreadable").cause(e).warn();
                context.close();
                return;
            }
            try {
                words.accept(word);
            } catch (RuntimeException e) {
                LogEvent.of("transfer_command_failed").cause(e).warn();
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Whoever comes gets a line of its own; {@code welcome} makes it. The state folder's lock has to be held. */
    static Channel listen(EventLoop loop, Path state, java.util.function.Supplier<Endpoint> welcome)
            throws IOException {
        Path at = socket(state);
        Files.deleteIfExists(at);
        try {
            Channel server = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(new LineBasedFrameDecoder(LONGEST_ASKED, true, true), welcome.get());
                        }
                    })
                    .bind(UnixDomainSocketAddress.of(at))
                    .sync()
                    .channel();
            Files.setPosixFilePermissions(at, PosixFilePermissions.fromString("rw-------"));
            return server;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) {
            throw new IOException("socket " + at + ": " + e.getMessage(), e);
        }
    }

    /** Connects to the process that holds the folder; false where nobody listens. Not on the event loop. */
    static boolean connect(EventLoop loop, Path state, Endpoint line) throws IOException {
        try {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE, true, true), line);
                        }
                    })
                    .connect(UnixDomainSocketAddress.of(socket(state)))
                    .await()
                    .isSuccess();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }
}
