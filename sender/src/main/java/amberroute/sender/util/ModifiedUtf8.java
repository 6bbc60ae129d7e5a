package amberroute.sender.util;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Texts as {@link java.io.DataOutputStream#writeUTF} writes them, out of a buffer on the heap. Nearly all are plain ASCII,
 * and are taken without a look at each character. Texts that come often are kept once.
 */
public final class ModifiedUtf8 {
    /** So many different ones are kept; beyond that each stands by itself. */
    private static final int MOST = 1_024;

    private final Map<String, String> seen = new HashMap<>();

    /** The next text; a buffer that ends before it does is an underflow. */
    public static String read(ByteBuffer in) throws IOException {
        int length = in.getShort() & 0xffff;
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = in.array();
        int at = in.arrayOffset() + in.position();
        in.position(in.position() + length);
        for (int i = at; i < at + length; i++) {
            if (bytes[i] < 0) {
                return new DataInputStream(new ByteArrayInputStream(bytes, at - Short.BYTES, Short.BYTES + length))
                        .readUTF();
            }
        }
        return length == 0 ? "" : new String(bytes, at, length, StandardCharsets.ISO_8859_1);
    }

    /** The next text, as one that many have. */
    public String shared(ByteBuffer in) throws IOException {
        String text = read(in);
        String known = seen.get(text);
        if (known == null && seen.size() < MOST) {
            seen.put(text, text);
        }
        return known == null ? text : known;
    }
}
