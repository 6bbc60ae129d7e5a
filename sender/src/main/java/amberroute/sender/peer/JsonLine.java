package amberroute.sender.peer;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * One line between daemons: a JSON object whose field {@code word} names the message. The getters check the type and the bound
 * of a field and throw {@link MalformedPeerMessageException}. Used by one thread at a time.
 */
public final class JsonLine {
    static final String WORD = "word";
    static final String SENDER = "from";

    private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final JsonObject json;

    private JsonLine(JsonObject json) {
        this.json = json;
    }

    /** Parses a received line without its end; the buffer stays the caller's. */
    public static JsonLine parse(ByteBuf bytes) {
        return parse(bytes.toString(StandardCharsets.UTF_8));
    }

    /** Parses a received line without its end. */
    public static JsonLine parse(String text) {
        JsonElement element;
        try {
            element = JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new MalformedPeerMessageException("line", "JSON", e);
        }
        if (!element.isJsonObject()) {
            throw new MalformedPeerMessageException("line", "a JSON object");
        }
        return new JsonLine(element.getAsJsonObject());
    }

    /** The bytes of a line with its end, as they travel. */
    static byte[] utf8(JsonObject json) {
        return (json + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** The same in a buffer that whoever writes it to a channel hands over. */
    static ByteBuf buffer(JsonObject json) {
        return Unpooled.wrappedBuffer(utf8(json));
    }

    /** Which message this is. */
    String word() {
        return text(WORD);
    }

    /** Name of the daemon that says it; requests have one. */
    String sender() {
        return name(SENDER);
    }

    boolean has(String field) {
        return json.has(field);
    }

    String text(String field) {
        return text(field, json.get(field));
    }

    /** The name of a daemon, a journal or a batch: 1 to 128 letters, digits, dots, underscores and hyphens. */
    String name(String field) {
        return plainName(field, text(field));
    }

    long integer(String field) {
        return integer(field, json.get(field));
    }

    int smallInteger(String field) {
        try {
            return primitive(field, json.get(field)).getAsInt();
        } catch (NumberFormatException e) {
            throw new MalformedPeerMessageException(field, "a whole number", e);
        }
    }

    boolean flag(String field) {
        return primitive(field, json.get(field)).getAsBoolean();
    }

    JsonArray array(String field) {
        return array(field, json.get(field));
    }

    JsonLine object(String field) {
        return new JsonLine(object(field, json.get(field)));
    }

    /** The fields of this object. */
    JsonObject fields() {
        return json;
    }

    static String plainName(String field, String name) {
        if (!PLAIN_NAME.matcher(name).matches()) {
            throw new MalformedPeerMessageException(field, "a plain name");
        }
        return name;
    }

    static String text(String field, JsonElement value) {
        return primitive(field, value).getAsString();
    }

    static long integer(String field, JsonElement value) {
        try {
            return primitive(field, value).getAsLong();
        } catch (NumberFormatException e) {
            throw new MalformedPeerMessageException(field, "a whole number", e);
        }
    }

    static JsonArray array(String field, JsonElement value) {
        if (value == null || !value.isJsonArray()) {
            throw new MalformedPeerMessageException(field, "an array");
        }
        return value.getAsJsonArray();
    }

    static JsonLine line(String field, JsonElement value) {
        return new JsonLine(object(field, value));
    }

    private static JsonObject object(String field, JsonElement value) {
        if (value == null || !value.isJsonObject()) {
            throw new MalformedPeerMessageException(field, "an object");
        }
        return value.getAsJsonObject();
    }

    private static JsonElement primitive(String field, JsonElement value) {
        if (value == null || !value.isJsonPrimitive()) {
            throw new MalformedPeerMessageException(field, "present and no object, array or null");
        }
        return value;
    }
}
