package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Replays the single journal file of earlier versions up to the first unreadable record, as they did. Also provides the
 * marker that replaces the file after its records have been migrated to segments: an earlier version that opens it
 * fails, instead of creating an empty journal beside the messages in the segments.
 */
final class LegacyJournalReader {
    /** Name of the file and of the marker. */
    static final String FILE_NAME = "journal";

    /** Length and CRC32 of the payload. */
    private static final int FRAME_HEADER_BYTES = 8;

    private static final int MAX_RECORD_BYTES = 1 << 18;

    private static final byte ACCEPTED = 'A';
    private static final byte ATTEMPT = 'T';
    private static final byte OUTCOME = 'O';
    private static final byte ENDED = 'E';
    private static final byte COMPLETED = 'N';
    private static final byte ATTEMPTS = 'S';
    private static final byte COMPLETED_ID = 'K';
    private static final byte HANDOFF_BATCH = 'H';
    private static final byte HANDOFF_BATCH_WITH_RECORDS = 'P';
    private static final byte MESSAGE_CLASS = 'D';
    private static final byte MOVED_TO_END = 'R';
    private static final byte KEYS_HELD = 'W';
    private static final byte KEYS_RELEASED = 'F';
    private static final byte HEALTH = 'M';
    /** A record type that no earlier version wrote: each of them fails on it. */
    private static final byte MIGRATED = '!';

    final Map<Long, AcceptedMessage> pending = new LinkedHashMap<>();
    /** Whether the file is the marker of a migrated journal. */
    boolean migrated;
    /** Bytes after the last readable record. */
    long unreadBytes;

    /** Content hash of each completed message by its id, 0 if unknown. */
    private final Map<String, Integer> completed = new LinkedHashMap<>();

    private final Map<String, HealthRecord> health = new LinkedHashMap<>();
    private final Map<String, HandoffBatchRecord> handoffBatches = new LinkedHashMap<>();
    private final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();
    private final KeyHolds keyHolds = new KeyHolds();
    private long firstFreeNumber = 1;

    private LegacyJournalReader() {}

    /** Reads the folder's file; null if there is none. */
    static LegacyJournalReader read(Path folder) throws IOException {
        Path path = folder.resolve(FILE_NAME);
        if (!Files.isRegularFile(path)) {
            return null;
        }
        LegacyJournalReader reader = new LegacyJournalReader();
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ)) {
            reader.replayAll(file);
        }
        return reader;
    }

    /** Returns all records except the ids of completed messages. */
    JournalImport contents() {
        return new JournalImport(pending.values(), classes, health.values(), keyHolds, handoffBatches, firstFreeNumber);
    }

    /** Returns the completed messages; their classes are unknown, so they count as non-idempotent. */
    List<CompletedRecord> completedRecords() {
        return completed.entrySet().stream()
                .map(entry -> new CompletedRecord(
                        entry.getKey(), entry.getValue(), DeliveryScheduler.Idempotency.NON_IDEMPOTENT))
                .toList();
    }

    /** Returns the bytes of the marker: a message, and a record of it whose type is unknown to earlier versions. */
    static byte[] migrationMarker() {
        byte[] accepted = RecordBytes.encode(out -> {
            out.writeByte(ACCEPTED);
            out.writeLong(1);
            out.writeUTF("this journal stands in segments");
            out.writeUTF("");
            out.writeUTF("written by a later version of amberroute");
            out.writeLong(0);
            out.writeInt(0);
            out.writeLong(0);
            out.writeInt(0);
            out.writeInt(-1);
        });
        byte[] marker = RecordBytes.encode(out -> {
            out.writeByte(MIGRATED);
            out.writeLong(1);
        });
        ByteBuffer all = ByteBuffer.allocate(2 * FRAME_HEADER_BYTES + accepted.length + marker.length);
        for (byte[] payload : List.of(accepted, marker)) {
            all.putInt(payload.length).putInt(checksum(payload)).put(payload);
        }
        return all.array();
    }

    private static int checksum(byte[] payload) {
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue();
    }

    private void replayAll(FileChannel file) throws IOException {
        long length = file.size();
        long readBytes = 0;
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES);
        while (readBytes + FRAME_HEADER_BYTES <= length && !migrated) {
            if (!fill(file, frame.clear())) {
                break;
            }
            int payloadBytes = frame.getInt(0);
            if (payloadBytes <= 0
                    || payloadBytes > MAX_RECORD_BYTES
                    || readBytes + FRAME_HEADER_BYTES + payloadBytes > length) {
                break;
            }
            ByteBuffer payload = ByteBuffer.allocate(payloadBytes);
            if (!fill(file, payload) || checksum(payload.array()) != frame.getInt(4)) {
                break;
            }
            replay(payload.array());
            readBytes += FRAME_HEADER_BYTES + payloadBytes;
        }
        unreadBytes = migrated ? 0 : length - readBytes;
    }

    private static boolean fill(FileChannel file, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (file.read(buffer) < 0) {
                return false;
            }
        }
        return true;
    }

    private void replay(byte[] payload) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
        byte type = in.readByte();
        switch (type) {
            case MIGRATED -> migrated = true;
            case COMPLETED_ID -> completed.put(in.readUTF(), 0);
            case HANDOFF_BATCH, HANDOFF_BATCH_WITH_RECORDS -> replayHandoffBatch(in);
            case MESSAGE_CLASS -> replayClass(in);
            case MOVED_TO_END -> replayMovedToEnd(in);
            case KEYS_HELD -> replayKeysHeld(in);
            case KEYS_RELEASED -> replayKeysReleased(in);
            case HEALTH -> replayHealth(in);
            default -> replayMessage(type, in);
        }
    }

    private void replayClass(DataInputStream in) throws IOException {
        in.readLong();
        NumberedClass numberedClass = JournalRecordCodec.decodeClass(in);
        classes.put(numberedClass.number(), numberedClass.version());
    }

    private void replayMovedToEnd(DataInputStream in) throws IOException {
        in.readLong();
        AcceptedMessage message = pending.remove(in.readLong());
        if (message != null) {
            pending.put(message.number, message);
        }
    }

    private void replayHealth(DataInputStream in) throws IOException {
        HealthRecord record = JournalRecordCodec.decodeHealth(in);
        health.remove(record.upstreamKey());
        if (record.status() != UpstreamStatus.HEALTHY) {
            health.put(record.upstreamKey(), record);
        }
    }

    private void replayMessage(byte type, DataInputStream in) throws IOException {
        long number = in.readLong();
        firstFreeNumber = Math.max(firstFreeNumber, number + 1);
        if (type == ACCEPTED) {
            replayAccepted(number, in);
            return;
        }
        AcceptedMessage message = pending.get(number);
        if (message == null) {
            return;
        }
        switch (type) {
            case ATTEMPT -> {
                long sentAtMillis = in.readLong();
                message.attempt(in.readUTF(), sentAtMillis, 0);
            }
            case OUTCOME -> message.outcome(in.readBoolean());
            case ENDED -> message.end(in.readUTF());
            case COMPLETED -> complete(message);
            case ATTEMPTS -> readAttempts(in).applyTo(message);
            default -> throw new IOException("unknown record type " + type + " in the legacy journal file");
        }
    }

    private void replayAccepted(long number, DataInputStream in) throws IOException {
        AcceptedMessage message = new AcceptedMessage(
                number,
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readLong(),
                in.readInt(),
                in.readLong(),
                in.readNBytes(in.readInt()));
        // The class number was added in a later version of this format.
        message.classNumber = in.available() < Integer.BYTES ? -1 : in.readInt();
        pending.put(number, message);
    }

    private void complete(AcceptedMessage message) {
        pending.remove(message.number);
        completed.put(message.id, message.contentHash);
    }

    private void replayKeysHeld(DataInputStream in) throws IOException {
        in.readLong();
        String origin = in.readUTF();
        long untilMillis = in.readLong();
        keyHolds.hold(origin, readLongs(in), untilMillis);
    }

    private void replayKeysReleased(DataInputStream in) throws IOException {
        in.readLong();
        String origin = in.readUTF();
        keyHolds.release(origin, readLongs(in));
    }

    private static List<Long> readLongs(DataInputStream in) throws IOException {
        List<Long> values = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            values.add(in.readLong());
        }
        return values;
    }

    private void replayHandoffBatch(DataInputStream in) throws IOException {
        NamedHandoffBatch namedBatch = JournalRecordCodec.decodeHandoffBatch(in);
        // The number of records of the batch if negative, otherwise the number of messages, each with two records.
        int count = in.readInt();
        for (int remainingRecords = count < 0 ? -count : 2 * count; remainingRecords > 0; remainingRecords--) {
            replay(in.readNBytes(in.readInt()));
        }
        handoffBatches.put(namedBatch.name(), namedBatch.batch());
        Ownership.Status status = namedBatch.batch().ownership().status();
        for (long number : namedBatch.batch().messageNumbers()) {
            AcceptedMessage message = pending.get(number);
            if (message != null && status == Ownership.Status.GIVEN) {
                complete(message);
            } else if (message != null && status != Ownership.Status.ENDED) {
                message.offeredToPeer = status == Ownership.Status.OFFERED;
            }
        }
    }

    private static AttemptHistory readAttempts(DataInputStream in) throws IOException {
        return new AttemptHistory(
                in.readInt(), in.readLong(), in.readUTF(), in.readBoolean(), in.readLong(), 0, in.readUTF(), false);
    }
}
