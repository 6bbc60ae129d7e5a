package amberroute.sender.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The replies that one connection owes, written in the order of their requests however late each is given. Belongs to the event loop.
 */
final class ReplyQueue {
    /** What {@link #flush} has written. */
    enum Flushed {
        NOTHING,
        REPLIES,
        /** Replies up to the last one of the connection. */
        LAST_REPLY
    }

    /** Takes notice of a reply that was given. */
    interface Listener {
        /** The message of this key, 0 for none, has its reply, which may now be written. */
        void replyGiven(long key);
    }

    private final Deque<Reply> pending = new ArrayDeque<>();
    private long requestBytes;
    private final Channel channel;
    private final Listener listener;

    /** Replies for the client of {@code channel}. */
    ReplyQueue(Channel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** Adds the place of the reply to the next request, which has so many bytes. */
    Reply add(int bytes) {
        Reply reply = new Reply(bytes);
        pending.add(reply);
        requestBytes += bytes;
        return reply;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /** Bytes of the requests whose replies are not written. */
    long requestBytes() {
        return requestBytes;
    }

    /** Writes the replies at the head that have been given, in one piece: each write is a system call. */
    Flushed flush() {
        Flushed flushed = Flushed.NOTHING;
        StringBuilder text = new StringBuilder();
        while (!pending.isEmpty() && pending.peek().text != null) {
            Reply reply = pending.poll();
            requestBytes -= reply.requestBytes;
            text.append(reply.text);
            flushed = reply.last ? Flushed.LAST_REPLY : Flushed.REPLIES;
        }
        if (flushed != Flushed.NOTHING) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
        return flushed;
    }

    /** The reply to one request. */
    final class Reply extends ClientServer.Answer {
        private final int requestBytes;
        private String text;
        private boolean last;
        private long key;
        /** Null unless memory is reserved for the request. */
        private RequestMemory memory;

        private Reply(int requestBytes) {
            this.requestBytes = requestBytes;
        }

        /** The connection ends after this reply. */
        void setLast() {
            last = true;
        }

        /** Reserves memory for the request until its reply is given, where it is large; false if there is not enough. */
        boolean reserve(RequestMemory requestMemory) {
            if (requestBytes <= RequestMemory.MAX_UNRESERVED_BYTES) {
                return true;
            }
            memory = requestMemory.reserve(requestBytes) ? requestMemory : null;
            return memory != null;
        }

        /** Returns what the request holds: it has its reply, or is dropped without one. */
        void release() {
            if (memory != null) {
                memory.release(requestBytes);
                memory = null;
            }
        }

        /** The reply is for a message of this key, 0 for none. */
        void setKey(long key) {
            this.key = key;
        }

        @Override
        public boolean isClientConnected() {
            return channel.isActive();
        }

        @Override
        public void send(String reply) {
            text = reply;
            release();
            listener.replyGiven(key);
        }
    }
}
