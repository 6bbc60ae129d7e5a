package amberroute.sender.peer;

import amberroute.handoff.HandoffMessage;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.KeyHolds;
import amberroute.sender.client.RespDecoder;
import amberroute.sender.client.SubmitCommand;
import amberroute.sender.message.AcceptedMessage;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;

/**
 * Words between daemons as lines of JSON. What is read is held to the same bounds as what clients say, since it goes the
 * same ways; anything else ends in an exception, which closes the connection.
 */
public final class PeerMessageCodec {
    /** Origins that hold one key: as many as there may be daemons. */
    private static final int MOST_NAMES = 4_096;

    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private PeerMessageCodec() {}

    static ByteBuf bytes(JsonObject line) {
        return Unpooled.wrappedBuffer(utf8(line));
    }

    /** As it travels. */
    public static byte[] utf8(JsonObject line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** {@code from} is null for an answer, whose connection tells it. */
    static JsonObject of(HandoffMessage word, String from) {
        JsonObject line = new JsonObject();
        line.addProperty("word", word.kind().name());
        line.addProperty("lot", word.batchId());
        line.addProperty("generation", word.generation());
        if (from != null) {
            line.addProperty("from", from);
        }
        return line;
    }

    static HandoffMessage word(JsonObject line) {
        return new HandoffMessage(
                HandoffMessage.Kind.valueOf(line.get("word").getAsString()),
                line.get("lot").getAsString(),
                line.get("generation").getAsLong());
    }

    static JsonObject hold(String from, KeyHoldAnnouncement.KeyBatch batch) {
        JsonObject line = said("HOLD", from);
        line.addProperty("batch", batch.number());
        line.addProperty("until", batch.untilMillis());
        line.add("keys", keys(batch.keys()));
        return line;
    }

    static JsonObject held(int batch) {
        JsonObject line = new JsonObject();
        line.addProperty("word", "HELD");
        line.addProperty("batch", batch);
        return line;
    }

    static JsonObject release(String from, String origin, List<Long> keys) {
        JsonObject line = said("RELEASE", from);
        line.addProperty("origin", origin);
        line.add("keys", keys(keys));
        return line;
    }

    /** Asks which of these keys, which the asker gave away, are over. */
    static JsonObject whether(String from, List<KeyHolds.KeyHold> holds) {
        JsonObject line = said("OVER", from);
        line.add("keys", keys(holds.stream().map(KeyHolds.KeyHold::key).toList()));
        JsonArray untils = new JsonArray();
        holds.forEach(hold -> untils.add(hold.untilMillis()));
        line.add("untils", untils);
        return line;
    }

    static List<KeyHolds.KeyHold> holds(JsonObject line, String origin) {
        List<Long> keys = keys(line.getAsJsonArray("keys"));
        JsonArray untils = line.getAsJsonArray("untils");
        List<KeyHolds.KeyHold> holds = new ArrayList<>();
        for (int i = 0; i < keys.size(); i++) {
            holds.add(new KeyHolds.KeyHold(origin, keys.get(i), untils.get(i).getAsLong()));
        }
        return holds;
    }

    static JsonObject want(String from, long key) {
        JsonObject line = said("WANT", from);
        line.addProperty("key", Long.toHexString(key));
        return line;
    }

    private static JsonObject said(String word, String from) {
        JsonObject line = new JsonObject();
        line.addProperty("word", word);
        line.addProperty("from", from);
        return line;
    }

    private static JsonArray keys(Collection<Long> keys) {
        JsonArray list = new JsonArray();
        keys.forEach(key -> list.add(Long.toHexString(key)));
        return list;
    }

    static List<Long> keys(JsonArray list) {
        if (list.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH) {
            throw new IllegalArgumentException("too many keys");
        }
        List<Long> keys = new ArrayList<>(list.size());
        list.forEach(key -> keys.add(key(key.getAsString())));
        return keys;
    }

    static long key(String text) {
        return Long.parseUnsignedLong(text, 16);
    }

    static JsonArray names(Collection<String> names) {
        JsonArray list = new JsonArray();
        names.stream().limit(MOST_NAMES).forEach(list::add);
        return list;
    }

    /** A name of a daemon or a lot. */
    static String plain(String word) {
        if (!PLAIN.matcher(word).matches()) {
            throw new IllegalArgumentException("no plain word");
        }
        return word;
    }

    static void add(JsonObject line, List<AcceptedMessage> messages, JsonObject classes) {
        JsonArray list = new JsonArray();
        messages.forEach(m -> list.add(write(m)));
        line.add("messages", list);
        line.add("classes", classes);
    }

    static List<AcceptedMessage> messages(JsonObject line, LongSupplier numbers) {
        List<AcceptedMessage> messages = new ArrayList<>();
        for (JsonElement item : line.getAsJsonArray("messages")) {
            messages.add(read(item.getAsJsonObject(), numbers.getAsLong()));
        }
        return messages;
    }

    /** All that the rules need; times as wall time, as in the journal. */
    private static JsonObject write(AcceptedMessage m) {
        JsonObject json = new JsonObject();
        json.addProperty("id", m.id);
        json.addProperty("idempotency_key", m.idempotencyKey);
        json.addProperty("class", m.className);
        json.addProperty("key", Long.toHexString(m.key));
        json.addProperty("destination", m.destination);
        json.addProperty("deadline", m.deadline);
        json.addProperty("attempts", m.attempts);
        json.addProperty("doubt_since", m.doubtSince);
        json.addProperty("doubt_at", m.doubtAt);
        json.addProperty("body", Base64.getEncoder().encodeToString(m.body));
        return json;
    }

    private static AcceptedMessage read(JsonObject json, long number) {
        AcceptedMessage m = new AcceptedMessage(
                number,
                json.get("id").getAsString(),
                json.get("idempotency_key").getAsString(),
                json.get("class").getAsString(),
                key(json.get("key").getAsString()),
                json.get("destination").getAsInt(),
                json.get("deadline").getAsLong(),
                Base64.getDecoder().decode(json.get("body").getAsString()));
        m.attempts = json.get("attempts").getAsInt();
        m.doubtSince = json.get("doubt_since").getAsLong();
        m.doubtAt = json.get("doubt_at").getAsString();
        m.adopted = true;
        boolean good = !m.id.isEmpty()
                && SubmitCommand.printable(m.id)
                && SubmitCommand.printable(m.idempotencyKey)
                && m.doubtAt.length() <= 128
                && m.body.length <= RespDecoder.LARGEST_VALUE
                && m.attempts >= 0
                && m.doubtSince >= 0
                && m.deadline >= 0
                && m.deadline <= System.currentTimeMillis() + AcceptedMessage.LONGEST_LIFE_MS;
        if (!good) {
            throw new IllegalArgumentException("a message that no client can have handed in");
        }
        return m;
    }
}
