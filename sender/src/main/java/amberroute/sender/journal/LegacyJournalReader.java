package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Reads the single file in which earlier versions kept what they owed, up to the first record that cannot be read, as they
 * did. Writes nothing but the mark that stands in its place afterwards: an earlier version that meets the mark ends with an
 * error, instead of beginning an empty journal beside the messages that the segments hold.
 */
final class LegacyJournalReader {
    private static final int HEAD = 8;
    private static final int LARGEST = 1 << 18;
    static final String NAME = "journal";
    /** A type that no version ever wrote; earlier ones end on it where its number is a message's. */
    private static final byte MOVED = '!';

    final Map<Long, AcceptedMessage> live = new LinkedHashMap<>();
    /** What ended under each id, 0 where that is no longer known. */
    final Map<String, Integer> ended = new LinkedHashMap<>();

    final Map<String, Journal.HealthRecord> memories = new LinkedHashMap<>();
    final Map<String, Journal.HandoffBatchRecord> lots = new LinkedHashMap<>();
    final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();
    final KeyHolds holds = new KeyHolds();
    private final Map<String, Integer> ids = new HashMap<>();
    long next = 1;
    /** Bytes behind the last record that could be read. */
    long unread;
    /** It is the mark of a journal that stands in segments. */
    boolean moved;

    /** Null where there is no such file. */
    static LegacyJournalReader read(Path folder) throws IOException {
        Path path = folder.resolve(NAME);
        if (!Files.isRegularFile(path)) {
            return null;
        }
        LegacyJournalReader journal = new LegacyJournalReader();
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ)) {
            journal.replayAll(file);
        }
        return journal;
    }

    /** The bytes of the mark: a message, and behind it a record of it that earlier versions do not know. */
    static byte[] mark() {
        byte[] accepted = Journal.bytes(out -> {
            out.writeByte('A');
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
        byte[] moved = Journal.bytes(out -> {
            out.writeByte(MOVED);
            out.writeLong(1);
        });
        ByteBuffer all = ByteBuffer.allocate(2 * HEAD + accepted.length + moved.length);
        for (byte[] payload : List.of(accepted, moved)) {
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
        long size = 0;
        ByteBuffer head = ByteBuffer.allocate(HEAD);
        while (size + HEAD <= length && !moved) {
            if (!fill(file, head.clear())) {
                break;
            }
            int bytes = head.getInt(0);
            if (bytes <= 0 || bytes > LARGEST || size + HEAD + bytes > length) {
                break;
            }
            ByteBuffer payload = ByteBuffer.allocate(bytes);
            if (!fill(file, payload) || checksum(payload.array()) != head.getInt(4)) {
                break;
            }
            replay(payload.array());
            size += HEAD + bytes;
        }
        unread = moved ? 0 : length - size;
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
        int type = in.readByte();
        switch (type) {
            case MOVED -> moved = true;
            case 'K' -> ended.put(in.readUTF(), 0);
            case 'H', 'P' -> replayLot(in);
            case 'D' -> {
                in.readLong();
                int number = in.readInt();
                classes.put(number, Journal.readVersion(in));
            }
            case 'R' -> {
                in.readLong();
                AcceptedMessage m = live.get(in.readLong());
                if (m != null) {
                    live.remove(m.number);
                    live.put(m.number, m);
                }
            }
            case 'W', 'F' -> replayHold(in, type == 'W');
            case 'M' -> {
                Journal.HealthRecord memory = new Journal.HealthRecord(
                        in.readInt(),
                        in.readUTF(),
                        DeliveryScheduler.UpstreamStatus.ofStoredName(in.readUTF()),
                        in.readLong(),
                        in.readDouble(),
                        in.readDouble());
                memories.remove(memory.upstreamKey());
                if (memory.health() != DeliveryScheduler.UpstreamStatus.HEALTHY) {
                    memories.put(memory.upstreamKey(), memory);
                }
            }
            default -> replayMessage(type, in);
        }
    }

    private void replayMessage(int type, DataInputStream in) throws IOException {
        long number = in.readLong();
        next = Math.max(next, number + 1);
        if (type == 'A') {
            AcceptedMessage m = new AcceptedMessage(
                    number,
                    in.readUTF(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readLong(),
                    in.readInt(),
                    in.readLong(),
                    in.readNBytes(in.readInt()));
            m.type = in.available() < Integer.BYTES ? -1 : in.readInt();
            live.put(number, m);
            ids.put(m.id, m.content);
            return;
        }
        AcceptedMessage m = live.get(number);
        if (m == null) {
            return;
        }
        switch (type) {
            case 'T' -> {
                long wall = in.readLong();
                m.attempt(in.readUTF(), wall);
            }
            case 'O' -> m.outcome(in.readBoolean());
            case 'E' -> m.end(in.readUTF());
            case 'N' -> drop(m);
            case 'S' -> readStanding(in, m);
            default -> throw new IOException("unknown record " + type);
        }
    }

    private void drop(AcceptedMessage m) {
        live.remove(m.number);
        ids.remove(m.id);
        ended.put(m.id, m.content);
    }

    private void replayHold(DataInputStream in, boolean held) throws IOException {
        in.readLong();
        String origin = in.readUTF();
        long until = held ? in.readLong() : 0;
        List<Long> keys = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            keys.add(in.readLong());
        }
        if (held) {
            holds.hold(origin, keys, until);
        } else {
            holds.release(origin, keys);
        }
    }

    private void replayLot(DataInputStream in) throws IOException {
        String name = in.readUTF();
        Ownership ownership = new Ownership(in.readLong(), Ownership.Status.valueOf(in.readUTF()), in.readUTF());
        long until = in.readLong();
        List<Long> numbers = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            numbers.add(in.readLong());
        }
        int told = in.readInt();
        for (int parts = told < 0 ? -told : 2 * told; parts > 0; parts--) {
            replay(in.readNBytes(in.readInt()));
        }
        lots.put(name, new Journal.HandoffBatchRecord(ownership, until, numbers));
        for (long number : numbers) {
            AcceptedMessage m = live.get(number);
            if (m != null && ownership.status() == Ownership.Status.GIVEN) {
                drop(m);
            } else if (m != null && ownership.status() != Ownership.Status.ENDED) {
                m.frozen = ownership.status() == Ownership.Status.OFFERED;
            }
        }
    }

    private static void readStanding(DataInputStream in, AcceptedMessage m) throws IOException {
        m.attempts = in.readInt();
        m.doubtSince = in.readLong();
        m.doubtAt = in.readUTF();
        m.out = in.readBoolean();
        m.sentAt = in.readLong();
        m.sentTo = in.readUTF();
    }
}
