package amberroute.sender.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes RESP2 requests, arrays of bulk strings, within bounds. Netty's own codec lets a peer announce half a gigabyte and buffers it,
 * which a sender with little memory cannot afford.
 *
 * <p>What is read is taken apart at once: nothing is kept of it but the request that it is part of, in memory that is reserved where the
 * request is large. Netty's {@code ByteToMessageDecoder} would gather what pipelining clients send in direct buffers that grow to a
 * megabyte a connection.
 *
 * <p>A request that cannot be decoded is passed on as a {@link Request} with an error; nothing is decoded after it. One decoder serves one
 * connection on the event loop.
 */
public final class RespDecoder extends ChannelInboundHandlerAdapter {
    /** Largest value of a request in bytes. */
    public static final int LARGEST_VALUE = 1 << 16;

    private static final int MAX_REQUEST_BYTES = LARGEST_VALUE + 4_096;
    private static final int MAX_VALUES = 16;
    private static final int MAX_LINE_BYTES = 4_096;
    /** Behind each value. */
    private static final byte[] TERMINATOR = {'\r', '\n'};

    /** A complete request, or why it cannot be decoded; after a {@code fatal} one the stream cannot be decoded any more. */
    record Request(List<byte[]> values, String error, boolean fatal) {
        /** Bytes of all values. */
        int bytes() {
            return values.stream().mapToInt(value -> value.length).sum();
        }
    }

    private final RequestMemory requestMemory;
    private final List<byte[]> values = new ArrayList<>();
    private int missingValues = -1;
    /** Begin of a line whose end has not come, null where none has begun. */
    private ByteArrayOutputStream lineBegin;
    /** The value that is being read, null between values, and how much of it and of its terminator has come. */
    private byte[] value;

    private int valueBytesRead;
    private int terminatorBytesRead;
    private int requestBytes;
    private int reservedBytes;
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

    /** Bytes that the value that is being read lacks, with its terminator; 0 between values. */
    int missingValueBytes() {
        return value == null ? 0 : value.length - valueBytesRead + TERMINATOR.length - terminatorBytesRead;
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
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable()) {
                decode(context, in);
            }
        } finally {
            in.release();
        }
    }

    /** Takes at least one byte. */
    private void decode(ChannelHandlerContext context, ByteBuf in) {
        if (stopped) {
            discardedBytes += in.readableBytes();
            in.skipBytes(in.readableBytes());
            return;
        }
        unfinished = true;
        Request request = value == null ? readLine(in) : readValue(in);
        if (request != null) {
            context.fireChannelRead(request);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        release();
    }

    /** Returns the request that ends with this line, null where none does. */
    private Request readLine(ByteBuf in) {
        int end = in.bytesBefore((byte) '\n');
        int length = end < 0 ? in.readableBytes() : end;
        if (lineBytes() + length > MAX_LINE_BYTES) {
            return fail("too long a line");
        }
        if (end < 0) {
            keepLineBegin(in, length);
            return null;
        }
        String line = lineBegin() + in.readCharSequence(length, StandardCharsets.ISO_8859_1);
        in.skipBytes(1);
        lineBegin = null;
        return head(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
    }

    private int lineBytes() {
        return lineBegin == null ? 0 : lineBegin.size();
    }

    private String lineBegin() {
        return lineBegin == null ? "" : lineBegin.toString(StandardCharsets.ISO_8859_1);
    }

    private void keepLineBegin(ByteBuf in, int length) {
        if (lineBegin == null) {
            lineBegin = new ByteArrayOutputStream(length);
        }
        try {
            in.readBytes(lineBegin, length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Request head(String line) {
        if (missingValues < 0 && !line.startsWith("*")) {
            return line.isBlank() ? null : pass(words(line));
        }
        long n = number(line);
        if (missingValues < 0) {
            return beginRequest(n);
        }
        if (!line.startsWith("$") || n < 0) {
            return fail("invalid bulk length");
        }
        if (n > LARGEST_VALUE || requestBytes + n > MAX_REQUEST_BYTES) {
            // Rejected when it is announced: the value itself may take long to arrive, or never arrive.
            return fail("value over 64 KiB");
        }
        return beginValue((int) n);
    }

    private static List<byte[]> words(String line) {
        List<byte[]> words = new ArrayList<>();
        for (String word : line.strip().split(" +", MAX_VALUES)) {
            words.add(word.getBytes(StandardCharsets.ISO_8859_1));
        }
        return words;
    }

    private Request beginRequest(long valueCount) {
        if (valueCount < 0 || valueCount > MAX_VALUES) {
            return fail("invalid multibulk length");
        }
        if (valueCount > 0) {
            missingValues = (int) valueCount;
        }
        return null;
    }

    private Request beginValue(int length) {
        requestBytes += length;
        if (requestBytes > RequestMemory.MAX_UNRESERVED_BYTES) {
            if (!requestMemory.reserve(requestBytes - reservedBytes)) {
                return fail("too many large requests at once");
            }
            reservedBytes = requestBytes;
        }
        value = new byte[length];
        valueBytesRead = 0;
        terminatorBytesRead = 0;
        return null;
    }

    private static long number(String line) {
        try {
            return Long.parseLong(line.substring(1));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return -1;
        }
    }

    /** Returns the request that ends with this value, null where none does. */
    private Request readValue(ByteBuf in) {
        int length = Math.min(in.readableBytes(), value.length - valueBytesRead);
        in.readBytes(value, valueBytesRead, length);
        valueBytesRead += length;
        while (valueBytesRead == value.length && terminatorBytesRead < TERMINATOR.length && in.isReadable()) {
            if (in.readByte() != TERMINATOR[terminatorBytesRead]) {
                return fail("a value is not as long as it says");
            }
            terminatorBytesRead++;
        }
        return terminatorBytesRead == TERMINATOR.length ? endValue() : null;
    }

    private Request endValue() {
        values.add(value);
        value = null;
        missingValues--;
        return missingValues == 0 ? pass(List.copyOf(values)) : null;
    }

    private Request pass(List<byte[]> request) {
        release();
        return new Request(request, null, false);
    }

    private Request fail(String reason) {
        stop();
        return new Request(List.of(), "Protocol error: " + reason, true);
    }

    private void release() {
        requestMemory.release(reservedBytes);
        reservedBytes = 0;
        values.clear();
        value = null;
        lineBegin = null;
        missingValues = -1;
        requestBytes = 0;
        unfinished = false;
    }
}
