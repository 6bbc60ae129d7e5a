package amberroute.sender.peer;

import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.KeyHolds;
import amberroute.sender.client.RespDecoder;
import amberroute.sender.client.SubmitCommand;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.EarlierOffer;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldReply;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldStatusRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRequest;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.peer.HandoffProtocolMessage.OfferReply;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The form of the handoff protocol on the wire: one JSON object a line. Alone knows the names of the fields. A message of a peer is held
 * to the bounds of a client's, as it goes the same ways; whatever breaks one is a {@link MalformedPeerMessageException}.
 * Times are milliseconds of the steady clock, which starts as wall time and no step of that moves. Not thread-safe: lives on the event loop.
 */
public final class HandoffCodec {
    /** Origins of one key's hold: as many as there may be daemons. */
    private static final int MAX_ORIGINS = 4_096;

    private static final int MAX_ENDPOINT_NAME_CHARS = 128;
    private static final int HEXADECIMAL = 16;

    private static final String OFFER = "OFFER";
    private static final String CANCEL = "CANCEL";
    private static final String ACCEPTED = "YES";
    private static final String REJECTED = "NO";
    private static final String HOLD_KEYS = "HOLD";
    private static final String KEYS_HELD = "HELD";
    private static final String RELEASE_KEYS = "RELEASE";
    private static final String KEY_HOLD_STATUS = "OVER";
    private static final String REQUEST_KEY = "WANT";

    private static final String BATCH_ID = "lot";
    private static final String GENERATION = "generation";
    private static final String REJECTION_REASON = "why";
    private static final String MESSAGES = "messages";
    private static final String CLASSES = "classes";
    private static final String ORIGINS = "origins";
    private static final String ORIGIN = "origin";
    private static final String UNTIL = "until";
    private static final String EARLIER_RECIPIENT = "offered_to";
    private static final String EARLIER_SENT_AT = "offered_at";
    private static final String UNTILS = "untils";
    private static final String BATCH_NUMBER = "batch";
    private static final String KEYS = "keys";
    private static final String KEY = "key";

    private final LongSupplier messageNumbers;
    private final LongSupplier wallMillis;

    /** {@code messageNumbers} gives the number of each message that is read. */
    public HandoffCodec(LongSupplier messageNumbers, LongSupplier wallMillis) {
        this.messageNumbers = messageNumbers;
        this.wallMillis = wallMillis;
    }

    /** The line with its end; the buffer is the caller's. */
    public ByteBuf encode(HandoffProtocolMessage message) {
        return JsonLine.buffer(toJson(message));
    }

    private static JsonObject toJson(HandoffProtocolMessage message) {
        if (message instanceof OfferMessage offer) {
            return offer(offer);
        } else if (message instanceof CancelMessage cancel) {
            return batch(CANCEL, cancel.batchId(), cancel.generation(), cancel.sender());
        } else if (message instanceof OfferReply reply) {
            JsonObject json = batch(reply.accepted() ? ACCEPTED : REJECTED, reply.batchId(), reply.generation(), null);
            reply.rejectionReason().ifPresent(reason -> json.addProperty(REJECTION_REASON, reason.name()));
            return json;
        } else if (message instanceof KeyHoldRequest request) {
            JsonObject json = request(HOLD_KEYS, request.sender());
            json.addProperty(BATCH_NUMBER, request.batchNumber());
            json.addProperty(UNTIL, request.untilMillis());
            json.add(KEYS, keys(request.keys()));
            return json;
        } else if (message instanceof KeyHoldReply reply) {
            JsonObject json = word(KEYS_HELD);
            json.addProperty(BATCH_NUMBER, reply.batchNumber());
            return json;
        } else if (message instanceof KeyRelease release) {
            JsonObject json = request(RELEASE_KEYS, release.sender());
            json.addProperty(ORIGIN, release.origin());
            json.add(KEYS, keys(release.keys()));
            return json;
        } else if (message instanceof KeyHoldStatusRequest status) {
            return keyHoldStatus(status);
        } else if (message instanceof KeyRequest request) {
            JsonObject json = request(REQUEST_KEY, request.sender());
            json.addProperty(KEY, Long.toHexString(request.key()));
            return json;
        }
        throw new IllegalStateException("unknown message " + message);
    }

    private static JsonObject offer(OfferMessage offer) {
        JsonObject json = batch(OFFER, offer.batchId(), offer.generation(), offer.sender());
        JsonArray messages = new JsonArray();
        offer.messages().forEach(message -> messages.add(message(message)));
        json.add(MESSAGES, messages);
        json.add(CLASSES, classMeanings(offer.classMeanings()));
        JsonObject origins = new JsonObject();
        offer.holdOriginsByKey().forEach((key, names) -> origins.add(Long.toHexString(key), names(names)));
        json.add(ORIGINS, origins);
        json.addProperty(UNTIL, offer.holdUntilMillis());
        offer.earlier().ifPresent(earlier -> {
            json.addProperty(EARLIER_RECIPIENT, earlier.recipient());
            json.addProperty(EARLIER_SENT_AT, earlier.sentAtMillis());
        });
        return json;
    }

    private static JsonObject keyHoldStatus(KeyHoldStatusRequest status) {
        JsonObject json = request(KEY_HOLD_STATUS, status.sender());
        json.add(KEYS, keys(status.holds().stream().map(KeyHolds.KeyHold::key).toList()));
        JsonArray untils = new JsonArray();
        status.holds().forEach(hold -> untils.add(hold.untilMillis()));
        json.add(UNTILS, untils);
        return json;
    }

    private static JsonObject batch(String word, String batchId, long generation, String sender) {
        JsonObject json = word(word);
        json.addProperty(BATCH_ID, batchId);
        json.addProperty(GENERATION, generation);
        if (sender != null) {
            json.addProperty(JsonLine.SENDER, sender);
        }
        return json;
    }

    private static JsonObject request(String word, String sender) {
        JsonObject json = word(word);
        json.addProperty(JsonLine.SENDER, sender);
        return json;
    }

    private static JsonObject word(String word) {
        JsonObject json = new JsonObject();
        json.addProperty(JsonLine.WORD, word);
        return json;
    }

    private static JsonArray keys(Collection<Long> keys) {
        JsonArray array = new JsonArray();
        keys.forEach(key -> array.add(Long.toHexString(key)));
        return array;
    }

    private static JsonArray names(Collection<String> names) {
        JsonArray array = new JsonArray();
        names.stream().limit(MAX_ORIGINS).forEach(array::add);
        return array;
    }

    /** The meanings of classes in the form that an offer has. */
    static JsonObject classMeanings(Map<String, String> meanings) {
        JsonObject json = new JsonObject();
        meanings.forEach(json::addProperty);
        return json;
    }

    /** The meanings of classes from the form that an offer has. */
    static Map<String, String> classMeanings(JsonObject json) {
        Map<String, String> meanings = new LinkedHashMap<>();
        json.entrySet().forEach(each -> meanings.put(each.getKey(), JsonLine.text(CLASSES, each.getValue())));
        return meanings;
    }

    /** All that the successor's rules need of a message. */
    private static JsonObject message(AcceptedMessage message) {
        JsonObject json = new JsonObject();
        json.addProperty("id", message.id);
        json.addProperty("idempotency_key", message.idempotencyKey);
        json.addProperty("class", message.className);
        json.addProperty(KEY, Long.toHexString(message.key));
        json.addProperty("destination", message.destination);
        json.addProperty("deadline", message.deadlineMillis);
        json.addProperty("attempts", message.attempts);
        json.addProperty("doubt_since", message.unknownOutcomeSinceMillis);
        json.addProperty("doubt_at", message.unknownOutcomeEndpoint);
        json.addProperty("body", Base64.getEncoder().encodeToString(message.body));
        return json;
    }

    /** Reads a line of this protocol. */
    public HandoffProtocolMessage decode(JsonLine line) {
        return switch (line.word()) {
            case OFFER -> decodeOffer(line);
            case CANCEL -> new CancelMessage(line.sender(), line.name(BATCH_ID), line.integer(GENERATION));
            case ACCEPTED -> decodeReply(line, true);
            case REJECTED -> decodeReply(line, false);
            case HOLD_KEYS -> new KeyHoldRequest(
                    line.sender(), line.smallInteger(BATCH_NUMBER), line.integer(UNTIL), decodeKeys(line));
            case KEYS_HELD -> new KeyHoldReply(line.smallInteger(BATCH_NUMBER));
            case RELEASE_KEYS -> new KeyRelease(line.sender(), line.name(ORIGIN), decodeKeys(line));
            case KEY_HOLD_STATUS -> new KeyHoldStatusRequest(line.sender(), decodeHolds(line));
            case REQUEST_KEY -> new KeyRequest(line.sender(), decodeKey(KEY, line.text(KEY)));
            default -> throw new MalformedPeerMessageException(JsonLine.WORD, "a message of the handoff protocol");
        };
    }

    private OfferMessage decodeOffer(JsonLine line) {
        String sender = line.sender();
        String batchId = line.name(BATCH_ID);
        long generation = line.integer(GENERATION);
        List<AcceptedMessage> messages = new ArrayList<>();
        for (JsonElement item : line.array(MESSAGES)) {
            messages.add(decodeMessage(JsonLine.line(MESSAGES, item)));
        }
        return new OfferMessage(
                sender,
                batchId,
                generation,
                messages,
                line.has(CLASSES) ? classMeanings(line.object(CLASSES).fields()) : Map.of(),
                line.has(ORIGINS) ? decodeOrigins(line.object(ORIGINS).fields()) : Map.of(),
                line.has(UNTIL) ? line.integer(UNTIL) : 0,
                line.has(EARLIER_RECIPIENT)
                        ? Optional.of(new EarlierOffer(line.name(EARLIER_RECIPIENT), line.integer(EARLIER_SENT_AT)))
                        : Optional.empty());
    }

    private static Map<Long, List<String>> decodeOrigins(JsonObject json) {
        Map<Long, List<String>> origins = new LinkedHashMap<>();
        for (Map.Entry<String, JsonElement> each : json.entrySet()) {
            List<String> names = new ArrayList<>();
            for (JsonElement name : JsonLine.array(ORIGINS, each.getValue())) {
                names.add(JsonLine.plainName(ORIGINS, JsonLine.text(ORIGINS, name)));
            }
            origins.put(decodeKey(ORIGINS, each.getKey()), names);
        }
        return origins;
    }

    private static OfferReply decodeReply(JsonLine line, boolean accepted) {
        Optional<HandoffPlacement.RejectionReason> reason =
                line.has(REJECTION_REASON) ? Optional.of(decodeReason(line.text(REJECTION_REASON))) : Optional.empty();
        return new OfferReply(line.text(BATCH_ID), line.integer(GENERATION), accepted, reason);
    }

    private static HandoffPlacement.RejectionReason decodeReason(String name) {
        try {
            return HandoffPlacement.RejectionReason.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new MalformedPeerMessageException(REJECTION_REASON, "a reason to reject an offer", e);
        }
    }

    private static List<Long> decodeKeys(JsonLine line) {
        JsonArray array = line.array(KEYS);
        if (array.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH) {
            throw new MalformedPeerMessageException(KEYS, "at most " + KeyHoldAnnouncement.MAX_KEYS_PER_BATCH);
        }
        List<Long> keys = new ArrayList<>(array.size());
        array.forEach(key -> keys.add(decodeKey(KEYS, JsonLine.text(KEYS, key))));
        return keys;
    }

    private static long decodeKey(String field, String text) {
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new MalformedPeerMessageException(field, "1 to 16 hexadecimal digits", e);
        }
    }

    private static List<KeyHolds.KeyHold> decodeHolds(JsonLine line) {
        String origin = line.sender();
        List<Long> keys = decodeKeys(line);
        JsonArray untils = line.array(UNTILS);
        if (untils.size() < keys.size()) {
            throw new MalformedPeerMessageException(UNTILS, "one for each key");
        }
        List<KeyHolds.KeyHold> holds = new ArrayList<>();
        for (int i = 0; i < keys.size(); i++) {
            holds.add(new KeyHolds.KeyHold(origin, keys.get(i), JsonLine.integer(UNTILS, untils.get(i))));
        }
        return holds;
    }

    private AcceptedMessage decodeMessage(JsonLine line) {
        AcceptedMessage message = new AcceptedMessage(
                messageNumbers.getAsLong(),
                line.text("id"),
                line.text("idempotency_key"),
                line.text("class"),
                decodeKey(KEY, line.text(KEY)),
                line.smallInteger("destination"),
                line.integer("deadline"),
                decodeBody(line.text("body")));
        message.attempts = line.smallInteger("attempts");
        message.unknownOutcomeSinceMillis = line.integer("doubt_since");
        message.unknownOutcomeEndpoint = line.text("doubt_at");
        message.adopted = true;
        checkBounds(message);
        return message;
    }

    private static byte[] decodeBody(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedPeerMessageException("body", "base64", e);
        }
    }

    private void checkBounds(AcceptedMessage message) {
        require(!message.id.isEmpty() && SubmitCommand.printable(message.id), "id", "printable and not empty");
        require(SubmitCommand.printable(message.idempotencyKey), "idempotency_key", "printable");
        require(
                message.unknownOutcomeEndpoint.length() <= MAX_ENDPOINT_NAME_CHARS,
                "doubt_at",
                "the name of an endpoint");
        require(message.body.length <= RespDecoder.LARGEST_VALUE, "body", "within the bound of a client's message");
        require(message.attempts >= 0, "attempts", "at least 0");
        require(message.unknownOutcomeSinceMillis >= 0, "doubt_since", "at least 0");
        long latestDeadline = wallMillis.getAsLong() + AcceptedMessage.MAX_LIFETIME_MILLIS;
        require(
                message.deadlineMillis >= 0 && message.deadlineMillis <= latestDeadline,
                "deadline",
                "within the longest life of a message");
    }

    private static void require(boolean condition, String field, String bound) {
        if (!condition) {
            throw new MalformedPeerMessageException(field, bound);
        }
    }
}
