package sumacferry.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Reads RESP2 requests, arrays of bulk strings, within bounds. Netty's own codec lets a peer announce half
 * a gigabyte and buffers it, which a sender with little memory cannot afford.
 */
final class Resp extends ByteToMessageDecoder {
    static final int LARGEST_VALUE = 1 << 16;
    private static final int LARGEST_REQUEST = LARGEST_VALUE + 4_096;
    private static final int MOST_VALUES = 16;
    private static final int LONGEST_LINE = 4_096;

    /** A whole request, or why it cannot be read; after {@code fatal} the stream makes no more sense. */
    record Request(List<byte[]> values, String error, boolean fatal) { }

    private final List<byte[]> values = new ArrayList<>();
    private int missing = -1;
    private int length = -1;
    private long total;
    private long skip;
    private String error;
    private boolean dead;

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (dead) {
            in.skipBytes(in.readableBytes());
        } else if (skip > 0) {
            int now = (int) Math.min(skip, in.readableBytes());
            in.skipBytes(now);
            skip -= now;
            if (skip == 0) {
                value(null, out);
            }
        } else if (length >= 0) {
            if (in.readableBytes() >= length + 2) {
                byte[] value = new byte[length];
                in.readBytes(value);
                if (in.readByte() != '\r' || in.readByte() != '\n') {
                    fail("Protocol error: a value is not as long as it says", out);
                    return;
                }
                length = -1;
                value(value, out);
            }
        } else {
            String line = line(in, out);
            if (line != null) {
                head(line, out);
            }
        }
    }

    private String line(ByteBuf in, List<Object> out) {
        int end = in.bytesBefore((byte) '\n');
        if (end > LONGEST_LINE || end < 0 && in.readableBytes() > LONGEST_LINE) {
            fail("Protocol error: too long a line", out);
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
            List<byte[]> words = new ArrayList<>();
            for (String word : line.strip().split(" +")) {
                words.add(word.getBytes(StandardCharsets.ISO_8859_1));
            }
            if (!line.isBlank()) {
                out.add(new Request(words, null, false));
            }
            return;
        }
        long n = number(line);
        if (missing < 0) {
            if (n < 0 || n > MOST_VALUES) {
                fail("Protocol error: invalid multibulk length", out);
            } else if (n > 0) {
                missing = (int) n;
            }
        } else if (!line.startsWith("$") || n < 0 || n > 1L << 29) {
            fail("Protocol error: invalid bulk length", out);
        } else if (n > LARGEST_VALUE || total + n > LARGEST_REQUEST) {
            error = "value over 64 KiB";
            skip = n + 2;
        } else {
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
            out.add(new Request(List.copyOf(error == null ? values : List.of()), error, false));
            values.clear();
            missing = -1;
            error = null;
            total = 0;
        }
    }

    private void fail(String reason, List<Object> out) {
        dead = true;
        values.clear();
        out.add(new Request(List.of(), reason, true));
    }
}
