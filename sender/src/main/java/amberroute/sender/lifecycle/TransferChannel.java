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
 * The channel between a process and its successor: a Unix socket in the state folder, which only its owner may open, with one JSON
 * object a line. Carries lines only; {@code docs/replacing.md} says what they mean.
 */
public final class TransferChannel {
    /** Bound of a line from the predecessor; the transferred state is the longest. */
    static final int MAX_LINE_BYTES = 8 << 20;
    /** Bound of a line from a process that connects: its lines are short, apart from answers to clients. */
    private static final int MAX_REQUEST_BYTES = 64 << 10;
    /** The longest path of a Unix socket on Linux. */
    private static final int MAX_SOCKET_PATH_BYTES = 107;

    private TransferChannel() {}

    static Path socket(Path state) {
        return state.resolve("successor");
    }

    /** Whether a socket in this folder has a path that is short enough. */
    public static boolean supported(Path state) {
        return socket(state).toAbsolutePath().toString().getBytes(StandardCharsets.UTF_8).length
                <= MAX_SOCKET_PATH_BYTES;
    }

    /** One end of the channel. Event loop only. */
    static final class Endpoint extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<JsonObject> lines;
        private final Runnable disconnected;
        private Channel channel;

        Endpoint(Consumer<JsonObject> words, Runnable ended) {
            this.lines = words;
            this.disconnected = ended;
        }

        void send(JsonObject command) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(Unpooled.copiedBuffer(command + "\n", StandardCharsets.UTF_8));
            }
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        /** Whether so much is buffered that nothing more may be sent but what cannot be dropped. */
        boolean congested() {
            return channel == null || !channel.isWritable();
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            JsonObject command;
            try {
                command = JsonParser.parseString(line.toString(StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (RuntimeException e) {
                LogEvent.of("transfer_line_unreadable").cause(e).warn();
                context.close();
                return;
            }
            try {
                lines.accept(command);
            } catch (RuntimeException e) {
                LogEvent.of("transfer_command_failed").cause(e).warn();
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            disconnected.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Listens; {@code endpoints} makes the end of each accepted channel. The lock of the state folder has to be held. */
    static Channel listen(EventLoop loop, Path state, java.util.function.Supplier<Endpoint> endpoints)
            throws IOException {
        Path address = socket(state);
        Files.deleteIfExists(address);
        try {
            Channel server = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(new LineBasedFrameDecoder(MAX_REQUEST_BYTES, true, true), endpoints.get());
                        }
                    })
                    .bind(UnixDomainSocketAddress.of(address))
                    .sync()
                    .channel();
            Files.setPosixFilePermissions(address, PosixFilePermissions.fromString("rw-------"));
            return server;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) {
            throw new IOException("socket " + address + ": " + e.getMessage(), e);
        }
    }

    /** Connects to the process that owns the folder; false where none listens. Not on the event loop. */
    static boolean connect(EventLoop loop, Path state, Endpoint line) throws IOException {
        try {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), line);
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
