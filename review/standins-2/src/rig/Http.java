package rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 requests with a Content-Length from a stream. */
final class Http {
    /** One request; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        boolean keepAlive() {
            return !"close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
        }
    }

    private Http() {}

    /** The next request, null at the end of the stream. */
    static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Request(words[0], words[1], headers, body);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            bytes.write(c);
            c = in.read();
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
