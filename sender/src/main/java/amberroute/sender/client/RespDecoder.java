package amberroute.sender.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes RESP2 requests, arrays of bulk strings, within bounds. Netty's own codec lets a peer announce half a gigabyte and buffers it,
 * which a sender with little memory cannot afford.
 *
 * <p>A request that cannot be decoded is passed on as a {@link Request} with an error; nothing is decoded after it. One decoder serves one
 * connection on the event loop.
 */
public final class RespDecoder extends ByteToMessageDecoder {
    /** Largest value of a request in bytes. */
    public static final int LARGEST_VALUE = 1 << 16;

    private static final int MAX_REQUEST_BYTES = LARGEST_VALUE + 4_096;
    private static final int MAX_VALUES = 16;
    private static final int MAX_LINE_BYTES = 4_096;
    /** Values up to this size are not reserved in the request memory: the number of connections bounds them. */
    private static final int MAX_UNRESERVED_BYTES = 4_096;

    /** A complete request, or why it cannot be decoded; after a {@code fatal} one the stream cannot be decoded any more. */
    record Request(List<byte[]> values, String error, boolean fatal) {}

    private final RequestMemory requestMemory;
    private final List<byte[]> values = new ArrayList<>();
    private int missingValues = -1;
    private int valueLength = -1;
    private long requestBytes;
    private long reservedBytes;
    private boolean unfinished;
    private boolean stopped;
    private long discardedBytes;

    RespDecoder(RequestMemory requestMemory) {
        this.requestMemory = requestMemory;
    }

    /** Whether a request is incomplete; blank lines count as the begin of one. */
    boolean unfinished() {
        return unfinished;
    }

    /** Bytes discarded since decoding stopped. */
    long discarded() {
        return discardedBytes;
    }

    /** Stops decoding: what still arrives is discarded. */
    void stop() {
        stopped = true;
        release();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (stopped) {
            discardedBytes += in.readableBytes();
            in.skipBytes(in.readableBytes());
            return;
        }
        unfinished = true;
        if (valueLength < 0) {
            String line = line(in, out);
            if (line != null) {
                head(line, out);
            }
        } else if (in.readableBytes() >= valueLength + 2) {
            byte[] value = new byte[valueLength];
            in.readBytes(value);
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                fail("a value is not as long as it says", out);
                return;
            }
            valueLength = -1;
            value(value, out);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) {
        release();
    }

    private String line(ByteBuf in, List<Object> out) {
        int end = in.bytesBefore((byte) '\n');
        if (end > MAX_LINE_BYTES || end < 0 && in.readableBytes() > MAX_LINE_BYTES) {
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
        if (missingValues < 0 && !line.startsWith("*")) {
            if (!line.isBlank()) {
                List<byte[]> words = new ArrayList<>();
                for (String word : line.strip().split(" +", MAX_VALUES)) {
                    words.add(word.getBytes(StandardCharsets.ISO_8859_1));
                }
                pass(words, out);
            }
            return;
        }
        long n = number(line);
        if (missingValues < 0) {
            if (n < 0 || n > MAX_VALUES) {
                fail("invalid multibulk length", out);
            } else if (n > 0) {
                missingValues = (int) n;
            }
        } else if (!line.startsWith("$") || n < 0) {
            fail("invalid bulk length", out);
        } else if (n > LARGEST_VALUE || requestBytes + n > MAX_REQUEST_BYTES) {
            // Rejected when it is announced: the value itself may take long to arrive, or never arrive.
            fail("value over 64 KiB", out);
        } else if (n > MAX_UNRESERVED_BYTES && !requestMemory.reserve(n)) {
            fail("too many large requests at once", out);
        } else {
            reservedBytes += n > MAX_UNRESERVED_BYTES ? n : 0;
            valueLength = (int) n;
            requestBytes += n;
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
        if (--missingValues == 0) {
            pass(List.copyOf(values), out);
        }
    }

    private void pass(List<byte[]> request, List<Object> out) {
        out.add(new Request(request, null, false));
        release();
    }

    private void fail(String reason, List<Object> out) {
        stopped = true;
        out.add(new Request(List.of(), "Protocol error: " + reason, true));
        release();
    }

    private void release() {
        requestMemory.release(reservedBytes);
        reservedBytes = 0;
        values.clear();
        missingValues = -1;
        valueLength = -1;
        requestBytes = 0;
        unfinished = false;
    }
}
