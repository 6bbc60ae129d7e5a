package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.sender.util.ModifiedUtf8;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The byte layout of journal records, by {@link RecordKind}. Numbers are big-endian; {@code utf} is a two-byte length
 * followed by modified UTF-8; times are in milliseconds unless stated otherwise. The layout is stored on disk: fields
 * must not be reordered.
 * <pre>
 * MESSAGE        form:byte
 *   pending (0)  id:utf idempotencyKey:utf className:utf key:long destination:int deadline:long classNumber:int contentHash:int
 *                rank:long bodyLength:int body
 *   ended (1)    as pending up to rank, then attempts:int notice:utf
 *   completed(2) id:utf contentHash:int idempotency:byte
 * ATTEMPTS       attempts:int unknownSince:long unknownAt:utf inFlight:byte sentAt:long sentTo:utf, then,
 *                unless written by an earlier version: giveUpAt:long byFormerOwner:byte
 * HANDOFF_BATCH  name:utf generation:long status:utf peer:utf until:long count:int messageNumber:long...
 * KEY_HOLD       origin:utf key:long until:long
 * HEALTH         destination:int uid:utf status:utf since:long callsPerSecond:double usualLatencyMicros:double
 * MESSAGE_CLASS  number:int name:utf priorityWeight:double lateValueShare:double latencyObjectiveMicros:long
 *                deadlineMicros:long idempotency:byte keyScope:byte keyLifeMicros:long ordered:byte
 * RANK           rank:long
 * </pre>
 *
 * <p>Decoders throw IOException, or an unchecked exception of the buffer, for content of an unknown version.
 */
final class JournalRecordCodec {
    private static final int FORM_PENDING = 0;
    private static final int FORM_ENDED = 1;
    private static final int FORM_COMPLETED = 2;

    private JournalRecordCodec() {}

    /** Encodes a message that is still to be delivered. */
    static byte[] encodePending(AcceptedMessage message) {
        return encodeMessage(message, FORM_PENDING, out -> {
            out.writeInt(message.body.length);
            out.write(message.body);
        });
    }

    /** Encodes a message that has failed and whose notice is not acknowledged yet; it has no body any more. */
    static byte[] encodeEnded(AcceptedMessage message) {
        return encodeMessage(message, FORM_ENDED, out -> {
            out.writeInt(message.attempts);
            out.writeUTF(message.pendingNotification == null ? "" : message.pendingNotification);
        });
    }

    private static byte[] encodeMessage(AcceptedMessage message, int form, RecordBytes.FieldWriter remainingFields) {
        return RecordBytes.encode(out -> {
            out.writeByte(form);
            out.writeUTF(message.id);
            out.writeUTF(message.idempotencyKey);
            out.writeUTF(message.className);
            out.writeLong(message.key);
            out.writeInt(message.destination);
            out.writeLong(message.deadlineMillis);
            out.writeInt(message.classNumber);
            out.writeInt(message.contentHash);
            out.writeLong(message.rank);
            remainingFields.write(out);
        });
    }

    /** Returns whether content of kind MESSAGE is the id of a completed message. */
    static boolean isCompleted(ByteBuffer content) {
        return content.get(0) == FORM_COMPLETED;
    }

    /**
     * Decodes a pending or ended message.
     *
     * @param stringCache shares strings that many messages have in common
     */
    static AcceptedMessage decodeMessage(long number, ByteBuffer in, ModifiedUtf8 stringCache) throws IOException {
        int form = in.get();
        String id = ModifiedUtf8.read(in);
        String idempotencyKey = ModifiedUtf8.read(in);
        String className = stringCache.shared(in);
        long key = in.getLong();
        int destination = in.getInt();
        long deadline = in.getLong();
        int classNumber = in.getInt();
        int contentHash = in.getInt();
        long rank = in.getLong();
        if (form != FORM_PENDING && form != FORM_ENDED) {
            throw new IOException("unknown message form " + form + ", expected " + FORM_PENDING + " or " + FORM_ENDED);
        }
        byte[] body = decodeBody(in, form);
        AcceptedMessage message = new AcceptedMessage(
                number, id, idempotencyKey, className, key, destination, deadline, body, contentHash);
        message.classNumber = classNumber;
        message.rank = rank;
        if (form == FORM_ENDED) {
            message.attempts = in.getInt();
            message.end(ModifiedUtf8.read(in));
        }
        return message;
    }

    private static byte[] decodeBody(ByteBuffer in, int form) {
        int length = form == FORM_PENDING ? in.getInt() : 0;
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] body = new byte[length];
        in.get(body);
        return body;
    }

    static byte[] encodeCompleted(CompletedRecord completed) {
        return RecordBytes.encode(out -> {
            out.writeByte(FORM_COMPLETED);
            out.writeUTF(completed.id());
            out.writeInt(completed.contentHash());
            out.writeByte(completed.idempotency().ordinal());
        });
    }

    static CompletedRecord decodeCompleted(ByteBuffer in) throws IOException {
        in.get();
        return new CompletedRecord(
                ModifiedUtf8.read(in), in.getInt(), DeliveryScheduler.Idempotency.values()[in.get()]);
    }

    static byte[] encodeAttempts(AcceptedMessage message) {
        return RecordBytes.encode(out -> {
            out.writeInt(message.attempts);
            out.writeLong(message.unknownOutcomeSinceMillis);
            out.writeUTF(message.unknownOutcomeEndpoint);
            out.writeBoolean(message.attemptInFlight);
            out.writeLong(message.attemptSentAtMillis);
            out.writeUTF(message.attemptEndpoint);
            if (message.attemptGiveUpMillis != 0 || message.attemptByFormerOwner) {
                out.writeLong(message.attemptGiveUpMillis);
                out.writeBoolean(message.attemptByFormerOwner);
            }
        });
    }

    static AttemptHistory decodeAttempts(ByteBuffer in, ModifiedUtf8 stringCache) throws IOException {
        int attempts = in.getInt();
        long unknownSinceMillis = in.getLong();
        String unknownAt = stringCache.shared(in);
        boolean inFlight = in.get() != 0;
        long sentAtMillis = in.getLong();
        String sentTo = stringCache.shared(in);
        boolean hasGiveUp = in.hasRemaining();
        long giveUpMillis = hasGiveUp ? in.getLong() : 0;
        boolean byFormerOwner = hasGiveUp && in.get() != 0;
        return new AttemptHistory(
                attempts, unknownSinceMillis, unknownAt, inFlight, sentAtMillis, giveUpMillis, sentTo, byFormerOwner);
    }

    static byte[] encodeRank(long rank) {
        return RecordBytes.encode(out -> out.writeLong(rank));
    }

    static byte[] encodeHandoffBatch(String name, HandoffBatchRecord batch) {
        return RecordBytes.encode(out -> {
            out.writeUTF(name);
            out.writeLong(batch.ownership().generation());
            out.writeUTF(batch.ownership().status().name());
            out.writeUTF(batch.ownership().peer());
            out.writeLong(batch.retainUntilMillis());
            out.writeInt(batch.messageNumbers().size());
            for (long number : batch.messageNumbers()) {
                out.writeLong(number);
            }
        });
    }

    static NamedHandoffBatch decodeHandoffBatch(DataInputStream in) throws IOException {
        String name = in.readUTF();
        Ownership ownership = new Ownership(in.readLong(), Ownership.Status.valueOf(in.readUTF()), in.readUTF());
        long untilMillis = in.readLong();
        List<Long> numbers = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            numbers.add(in.readLong());
        }
        return new NamedHandoffBatch(name, new HandoffBatchRecord(ownership, untilMillis, numbers));
    }

    static byte[] encodeKeyHold(KeyHolds.KeyHold hold) {
        return RecordBytes.encode(out -> {
            out.writeUTF(hold.origin());
            out.writeLong(hold.key());
            out.writeLong(hold.untilMillis());
        });
    }

    static KeyHolds.KeyHold decodeKeyHold(DataInputStream in) throws IOException {
        return new KeyHolds.KeyHold(in.readUTF(), in.readLong(), in.readLong());
    }

    static byte[] encodeHealth(HealthRecord health) {
        return RecordBytes.encode(out -> {
            out.writeInt(health.destination());
            out.writeUTF(health.uid());
            out.writeUTF(health.status().storedName());
            out.writeLong(health.sinceMillis());
            out.writeDouble(health.callsPerSecond());
            out.writeDouble(health.usualLatencyMicros());
        });
    }

    static HealthRecord decodeHealth(DataInputStream in) throws IOException {
        return new HealthRecord(
                in.readInt(),
                in.readUTF(),
                UpstreamStatus.ofStoredName(in.readUTF()),
                in.readLong(),
                in.readDouble(),
                in.readDouble());
    }

    static byte[] encodeClass(int number, MessageClassRegistry.Version version) {
        DeliveryScheduler.MessageClass messageClass = version.type();
        return RecordBytes.encode(out -> {
            out.writeInt(number);
            out.writeUTF(version.name());
            out.writeDouble(messageClass.priorityWeight());
            out.writeDouble(messageClass.lateValueShare());
            out.writeLong(messageClass.latencyObjectiveMicros());
            out.writeLong(messageClass.deadlineMicros());
            out.writeByte(messageClass.idempotency().ordinal());
            out.writeByte(messageClass.keyScope().ordinal());
            out.writeLong(messageClass.keyLifeMicros());
            out.writeBoolean(messageClass.ordered());
        });
    }

    static NumberedClass decodeClass(DataInputStream in) throws IOException {
        int number = in.readInt();
        String name = in.readUTF();
        DeliveryScheduler.MessageClass messageClass = new DeliveryScheduler.MessageClass(
                in.readDouble(),
                in.readDouble(),
                in.readLong(),
                in.readLong(),
                DeliveryScheduler.Idempotency.values()[in.readByte()],
                DeliveryScheduler.KeyScope.values()[in.readByte()],
                in.readLong(),
                in.readBoolean());
        return new NumberedClass(number, new MessageClassRegistry.Version(name, messageClass));
    }
}
