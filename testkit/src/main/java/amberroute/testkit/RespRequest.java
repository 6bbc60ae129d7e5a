package amberroute.testkit;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** A request of the RESP2 protocol as clients write it: an array of bulk strings. */
public final class RespRequest {
    private RespRequest() {}

    /** The bytes of one request; words are sent as UTF-8. */
    public static byte[] of(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String word : words) {
            byte[] bytes = word.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(bytes);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }
}
