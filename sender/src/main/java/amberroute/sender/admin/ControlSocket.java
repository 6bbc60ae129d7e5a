package amberroute.sender.admin;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The daemon's control socket, for its supervisor and its operators: one JSON object a line, each answered by one. It
 * is a Unix socket that only its owner may open (0600). At most {@value #MOST_CONNECTIONS} connections, lines of at most
 * {@value #LONGEST_LINE} bytes; a connection is closed when a line cannot be read or
 * none has come for ten minutes.
 *
 * <p>Requests have a {@code do}: {@code status}, {@code reload}, or {@code stop} with {@code mode} (restart or final)
 * and {@code within_ms}. Answers have {@code ok}, and an {@code error} where that is false.
 */
public final class ControlSocket {
    static final int MOST_CONNECTIONS = 16;
    /** A stop may name all those that are absent: 4,096 names of 60 characters. */
    public static final int LONGEST_LINE = 1 << 18;

    private static final int IDLE_MINUTES = 10;

    private final EventLoop loop;
    private final BiConsumer<JsonObject, Consumer<JsonObject>> handler;
    private Path path;
    private Channel server;
    private int connections;

    /** The handler runs on the event loop and may answer later, from any thread. */
    public ControlSocket(EventLoop loop, BiConsumer<JsonObject, Consumer<JsonObject>> handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /**
     * Listens, also anew; a socket that another process left behind is replaced, so the state folder's lock has to be held. Not on
     * the event loop.
     */
    public void listen(Path at) throws IOException {
        path = at;
        if (server != null) {
            server.close().awaitUninterruptibly();
        }
        Files.deleteIfExists(at);
        try {
            server = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.closeFuture().addListener(closed -> connections--);
                            if (++connections > MOST_CONNECTIONS) {
                                channel.close();
                                return;
                            }
                            channel.pipeline()
                                    .addLast(
                                            new ReadTimeoutHandler(IDLE_MINUTES, TimeUnit.MINUTES),
                                            new LineBasedFrameDecoder(LONGEST_LINE, true, true),
                                            new Session());
                        }
                    })
                    .bind(UnixDomainSocketAddress.of(at))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) {
            throw new IOException("control socket " + at + ": " + e.getMessage(), e);
        }
        Files.setPosixFilePermissions(at, PosixFilePermissions.fromString("rw-------"));
    }

    public void close() {
        if (server != null) {
            server.close();
            try {
                Files.deleteIfExists(path);
            } catch (IOException e) {
                // The next process replaces it.
            }
        }
    }

    public static JsonObject answer(boolean ok, String error) {
        JsonObject answer = new JsonObject();
        answer.addProperty("ok", ok);
        if (error != null) {
            answer.addProperty("error", error);
        }
        return answer;
    }

    private final class Session extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            JsonObject request;
            try {
                request = JsonParser.parseString(line.toString(StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (RuntimeException e) {
                write(context, answer(false, "no JSON object"));
                context.close();
                return;
            }
            handler.accept(request, answer -> write(context, answer));
        }

        private void write(ChannelHandlerContext context, JsonObject answer) {
            context.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.UTF_8));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
