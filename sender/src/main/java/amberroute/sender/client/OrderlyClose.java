package amberroute.sender.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Ends connections so that what was written on them arrives. Closed while bytes lie unread, a connection is reset, and a reset
 * takes with it what the other side has not read yet: an answer, perhaps. So its output is stopped behind the last byte that was
 * written, what still comes is read and thrown away, and it closes when the other side has, at the latest after
 * {@link #LINGER_MS}. Whoever hands a connection over reads no request from it any more: one that crosses the end is
 * sent once more by its client, and carried out here too it would be two.
 *
 * <p>A connection that lingers holds its descriptor until then; whoever needs that calls {@link #closeOldest}. Belongs to the
 * event loop.
 */
public final class OrderlyClose {
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

    /** Ends a connection behind all that was written to it; a second call for the same one changes nothing. */
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
        // Nothing is written by it, but it is done only when all before it is.
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (channel.isActive()) {
                channel.shutdownOutput();
                channel.config().setAutoRead(true);
            }
        });
    }

    /** Closes the one that has lingered longest, at once, and has forgotten it when this returns; nothing where none does. */
    void closeOldest() {
        if (!lingering.isEmpty()) {
            SocketChannel oldest = lingering.keySet().iterator().next();
            lingering.remove(oldest).cancel(false);
            oldest.close();
        }
    }
}
