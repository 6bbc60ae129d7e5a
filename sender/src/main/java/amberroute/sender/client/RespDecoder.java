package amberroute.sender.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP2 requests, arrays of bulk strings, within bounds. Netty's own codec lets a peer announce half
 * a gigabyte and buffers it, which a sender with little memory cannot afford.
 */
public final class RespDecoder extends ByteToMessageDecoder {
    public static final int LARGEST_VALUE = 1 << 16;
    private static final int LARGEST_REQUEST = LARGEST_VALUE + 4_096;
    private static final int MOST_VALUES = 16;
    private static final int LONGEST_LINE = 4_096;
    /** Values up to this size need no room of their own, as there are only so many connections. */
    private static final int SMALL = 4_096;

    /** A whole request, or why it cannot be read; after {@code fatal} the stream makes no more sense. */
    record Request(List<byte[]> values, String error, boolean fatal) {}

    /** Bytes that all connections together may hold in requests that are not whole yet. */
    static final class Room {
        private long left;

        Room(long bytes) {
            left = bytes;
        }

        private boolean take(long bytes) {
            boolean fits = bytes <= left;
            left -= fits ? bytes : 0;
            return fits;
        }

        private void give(long bytes) {
            left += bytes;
        }
    }

    private final Room room;
    private final List<byte[]> values = new ArrayList<>();
    private int missing = -1;
    private int length = -1;
    private long total;
    private long taken;
    private boolean started;
    private boolean dead;
    private long discarded;

    RespDecoder(Room room) {
        this.room = room;
    }

    /** Whether bytes have come of a request that is not whole yet; blank lines count, as they bring none. */
    boolean unfinished() {
        return started;
    }

    /** Bytes that came after the stream stopped making sense. */
    long discarded() {
        return discarded;
    }

    /** Nothing that still comes is read any more. */
    void stop() {
        dead = true;
        release();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (dead) {
            discarded += in.readableBytes();
            in.skipBytes(in.readableBytes());
            return;
        }
        started = true;
        if (length < 0) {
            String line = line(in, out);
            if (line != null) {
                head(line, out);
            }
        } else if (in.readableBytes() >= length + 2) {
            byte[] value = new byte[length];
            in.readBytes(value);
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                fail("a value is not as long as it says", out);
                return;
            }
            length = -1;
            value(value, out);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) {
        release();
    }

    private String line(ByteBuf in, List<Object> out) {
        int end = in.bytesBefore((byte) '\n');
        if (end > LONGEST_LINE || end < 0 && in.readableBytes() > LONGEST_LINE) {
            fail("too long a line", out);
            return null;
        }
        if (end < 0) {
            return null;
        }
        String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        return line.endsWith("\r") ? line.substring(0, end - 1) : line;
    }

    private void head(String line, List<Object> out) {
        if (missing < 0 && !line.startsWith("*")) {
            if (!line.isBlank()) {
                List<byte[]> words = new ArrayList<>();
                for (String word : line.strip().split(" +", MOST_VALUES)) {
                    words.add(word.getBytes(StandardCharsets.ISO_8859_1));
                }
                pass(words, out);
            }
            return;
        }
        long n = number(line);
        if (missing < 0) {
            if (n < 0 || n > MOST_VALUES) {
                fail("invalid multibulk length", out);
            } else if (n > 0) {
                missing = (int) n;
            }
        } else if (!line.startsWith("$") || n < 0) {
            fail("invalid bulk length", out);
        } else if (n > LARGEST_VALUE || total + n > LARGEST_REQUEST) {
            // Said when it is announced: the value itself may take long to come, or never come.
            fail("value over 64 KiB", out);
        } else if (n > SMALL && !room.take(n)) {
            fail("too many large requests at once", out);
        } else {
            taken += n > SMALL ? n : 0;
            length = (int) n;
            total += n;
        }
    }

    private static long number(String line) {
        try {
            return Long.parseLong(line.substring(1));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return -1;
        }
    }

    private void value(byte[] value, List<Object> out) {
        values.add(value);
        if (--missing == 0) {
            pass(List.copyOf(values), out);
        }
    }

    private void pass(List<byte[]> request, List<Object> out) {
        out.add(new Request(request, null, false));
        release();
    }

    private void fail(String reason, List<Object> out) {
        dead = true;
        out.add(new Request(List.of(), "Protocol error: " + reason, true));
        release();
    }

    private void release() {
        room.give(taken);
        taken = 0;
        values.clear();
        missing = -1;
        length = -1;
        total = 0;
        started = false;
    }
}
