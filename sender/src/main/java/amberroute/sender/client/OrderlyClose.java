package amberroute.sender.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections so that what was written on them arrives. Closing a connection with unread input resets it, and a reset discards what
 * the peer has not read yet, perhaps a reply. So the output is shut down after the last written byte, input is read and discarded,
 * and the connection closes when the peer closes it, at the latest after {@link #LINGER_MS}. The caller reads no more requests from it: a
 * request that crosses the close is sent again by its client, and would be executed twice.
 *
 * <p>A lingering connection holds its descriptor until then; {@link #closeOldest} frees one. Belongs to the event loop.
 */
public final class OrderlyClose {
    /** Longest time in milliseconds that a connection lingers. */
    public static final long LINGER_MS = 1_000;

    private final EventLoop loop;
    private final Map<SocketChannel, Future<?>> lingering = new LinkedHashMap<>();

    OrderlyClose(EventLoop loop) {
        this.loop = loop;
    }

    /** How many connections linger. */
    int lingering() {
        return lingering.size();
    }

    /** Closes a connection after all that was written to it; a second call for the same one has no effect. */
    void close(SocketChannel channel) {
        if (!channel.isActive()) {
            channel.close();
            return;
        }
        if (lingering.containsKey(channel)) {
            return;
        }
        lingering.put(channel, loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS));
        channel.closeFuture().addListener(closed -> {
            Future<?> timer = lingering.remove(channel);
            if (timer != null) {
                timer.cancel(false);
            }
        });
        // An empty write completes only when all writes before it have.
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (channel.isActive()) {
                channel.shutdownOutput();
                channel.config().setAutoRead(true);
            }
        });
    }

    /** Closes the connection that has lingered longest at once; it no longer counts when this returns. */
    void closeOldest() {
        if (!lingering.isEmpty()) {
            SocketChannel oldest = lingering.keySet().iterator().next();
            lingering.remove(oldest).cancel(false);
            oldest.close();
        }
    }
}
