package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.sender.util.Log;
import java.io.BufferedOutputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * What this sender owes, in a folder that outlasts its process: records with length and checksum, each
 * written before the effect that it tells of. What the kernel has outlasts the process, so nothing is synced.
 *
 * <p>Every message reserves room for its later records, so that once taken on it can always be ended. A
 * file that has grown is rewritten with what is still owed; both copies count towards the budget.
 */
public final class SingleFileJournal implements Closeable {
    private static final int HEAD = 8;
    private static final int LARGEST = 1 << 18;
    /**
     * Room for all that can stand of one message behind its acceptance: a rewrite keeps one record of its attempts,
     * however many there were, with two uids of up to 128 characters, and its notice.
     */
    private static final int LATER = 640;
    /** Ids of ended messages are remembered, as a client may hand one in twice when its connection closes. */
    private static final int REMEMBERED = 512;

    private static final int REMEMBERED_BYTES = REMEMBERED * 96;
    /** What is remembered of destinations, the longest unchanged forgotten first. */
    private static final int MEMORIES = 128;

    private static final int MEMORY_BYTES = 64;
    /** Lots of which something is known; with more, none is offered or taken. */
    private static final int MOST_LOTS = 4_096;
    /** Room for a lot's record, but for the numbers of its messages: names have 128 and 64 characters at most. */
    private static final int LOT_BYTES = 256;
    /** Room for one origin's hold on one key, with its share of a record. */
    private static final int HOLD_BYTES = 112;
    /** Part of the budget that holds on keys may take. */
    private static final int HOLDS_SHARE = 8;
    /** Keys in one record of holds. */
    private static final int HOLDS_IN_RECORD = 4_096;
    /** Part of the budget that lots may take, so that peers that ask for ever new ones leave room for messages. */
    private static final int LOTS_SHARE = 8;

    private static final long REWRITE_LEAST = 256 * 1024;
    private static final int REWRITE_BUFFER = 16 * 1024;

    /** What the module wants to know of a place again, {@code uid} empty for a whole destination; wall time. */
    record Memory(
            int destination,
            String uid,
            DeliveryScheduler.UpstreamStatus health,
            long since,
            double pace,
            double usual) {}

    /**
     * What is known of a lot that moved or was to move: whose it is, until when that has to be kept (wall time), and the
     * numbers of its messages here.
     */
    record Lot(Ownership ownership, long until, List<Long> numbers) {}

    private final Path folder;
    private final long budget;
    private final Map<Long, AcceptedMessage> live = new LinkedHashMap<>();
    /** What ended under each id, 0 where that is no longer known. */
    private final Map<String, Integer> ended = new LinkedHashMap<>();

    private final Map<String, Integer> liveIds = new HashMap<>();
    private final Map<String, Memory> memories = new LinkedHashMap<>();
    private final Map<String, Lot> lots = new LinkedHashMap<>();
    /** Versions of classes that were taken on in, by number: at most {@link MessageClassRegistry#MOST}. */
    private final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();

    private final KeyHolds holds = new KeyHolds();
    private FileChannel file;
    /** Looked for behind each record, null where nobody may take the folder over. */
    private File fence;

    private Runnable onFenced = () -> {};
    private long size;
    private long reserved = REMEMBERED_BYTES;
    private long next = 1;

    private SingleFileJournal(Path folder, long budget) {
        this.folder = folder;
        this.budget = budget - 4_096;
    }

    /** Opens or begins the journal; a tail that was torn by the process's end is cut off. */
    public static SingleFileJournal open(Path folder, long budget) throws IOException {
        SingleFileJournal journal = new SingleFileJournal(folder, budget);
        Files.createDirectories(folder);
        Files.deleteIfExists(journal.path("journal.new"));
        journal.file = FileChannel.open(
                journal.path("journal"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        journal.recover();
        return journal;
    }

    /** Reads a folder's journal and leaves it as it is; for looking only. */
    static SingleFileJournal peek(Path folder) throws IOException {
        SingleFileJournal journal = new SingleFileJournal(folder, Long.MAX_VALUE);
        journal.file = FileChannel.open(journal.path("journal"), StandardOpenOption.READ);
        journal.replayAll();
        return journal;
    }

    /** Bytes of the file behind the last record that could be read. */
    long unread() throws IOException {
        return file.size() - size;
    }

    /**
     * From now on a raised {@link FencingToken} is noticed behind each record and before any effect that it allows; then this is
     * run, which has to end the process.
     */
    void guard(Runnable fenced) {
        fence = FencingToken.file(folder);
        onFenced = fenced;
    }

    /** To be called right before an effect that comes later than its record. */
    void checkFence() {
        if (fence != null && fence.exists()) {
            onFenced.run();
            throw new IllegalStateException("this folder was taken over");
        }
    }

    /** Messages that have not been concluded, in the order of acceptance. */
    Collection<AcceptedMessage> live() {
        return live.values();
    }

    public long nextNumber() {
        return next++;
    }

    /** Whether this id was taken on, now or not long ago. */
    boolean knows(String id) {
        return liveIds.containsKey(id) || ended.containsKey(id);
    }

    /** Whether what is known under this id is another message, as far as can be told. */
    boolean differs(String id, int content) {
        int known = liveIds.getOrDefault(id, ended.getOrDefault(id, 0));
        return known != 0 && known != content;
    }

    /** The versions of classes that were defined, by number. */
    Map<Integer, MessageClassRegistry.Version> classes() {
        return classes;
    }

    /** To be called before a message of this version is taken on; false where it could not be written. */
    boolean define(int number, MessageClassRegistry.Version version) {
        if (version.equals(classes.get(number))) {
            return true;
        }
        if (!append(defined(number, version))) {
            return false;
        }
        keep(number, version);
        return true;
    }

    private void keep(int number, MessageClassRegistry.Version version) {
        MessageClassRegistry.Version before = classes.put(number, version);
        reserved += reserve(version) - (before == null ? 0 : reserve(before));
    }

    private static long reserve(MessageClassRegistry.Version version) {
        return 80 + 3L * version.name().length();
    }

    /** Takes a message on; false where the budget or the disk has no room for it. */
    public boolean accept(AcceptedMessage m) {
        if (2 * (reserved + reserve(m)) + REWRITE_LEAST / 4 > budget) {
            return false;
        }
        if (!append(accepted(m))) {
            return false;
        }
        add(m);
        return true;
    }

    /** To be called before the attempt's first byte; false where it could not be written. */
    boolean attempt(AcceptedMessage m, String uid, long wall) {
        byte[] record = record('T', out -> {
            out.writeLong(m.number);
            out.writeLong(wall);
            out.writeUTF(uid);
        });
        if (!append(record)) {
            return false;
        }
        m.attempt(uid, wall);
        return true;
    }

    void outcome(AcceptedMessage m, boolean mayHaveRun) {
        m.outcome(mayHaveRun);
        append(record('O', out -> {
            out.writeLong(m.number);
            out.writeBoolean(mayHaveRun);
        }));
    }

    /** The end is decided and its notice owed. */
    void end(AcceptedMessage m, String notice) {
        reserved -= reserve(m);
        m.end(notice);
        reserved += reserve(m);
        append(ending(m));
    }

    /** Nothing more is owed: it was delivered, or its notice has been answered. */
    public void conclude(AcceptedMessage m) {
        append(record('N', out -> out.writeLong(m.number)));
        drop(m);
    }

    /** All lots of which something is known. */
    Map<String, Lot> lots() {
        return lots;
    }

    /** Those of these messages that are still owed here, in the order given. */
    List<AcceptedMessage> messages(List<Long> numbers) {
        return numbers.stream()
                .map(live::get)
                .filter(m -> m != null && m.pendingNotification == null)
                .toList();
    }

    /** Writes whose a lot is. One that is given drops its messages, as they are another's now. */
    boolean lot(String name, Ownership ownership, long until, List<AcceptedMessage> messages) {
        return lot(name, ownership, until, messages, List.of());
    }

    private boolean lot(
            String name, Ownership ownership, long until, List<AcceptedMessage> messages, List<byte[]> parts) {
        Lot lot = new Lot(ownership, until, messages.stream().map(m -> m.number).toList());
        if (!roomForLot(name) || !append(lotRecord('H', name, lot, List.of(), parts))) {
            return false;
        }
        apply(name, lot);
        return true;
    }

    /**
     * Writes that a lot is offered, and in the same record that what comes of its keys after a restart has to wait; false
     * without room for either.
     */
    boolean offer(
            String name,
            Ownership ownership,
            long until,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys,
            long holdUntil) {
        if (!keys.isEmpty() && !roomForHolds(keys.size())) {
            return false;
        }
        if (!lot(
                name,
                ownership,
                until,
                messages,
                keys.isEmpty() ? List.of() : List.of(held(origin, keys, holdUntil)))) {
            return false;
        }
        keepHolds(origin, keys, holdUntil);
        return true;
    }

    /** Writes that a lot is this daemon's own again, and its keys with it; null where that could not be written. */
    List<Long> takeBack(
            String name,
            Ownership ownership,
            long until,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys) {
        return lot(name, ownership, until, messages, keys.isEmpty() ? List.of() : List.of(released(origin, keys)))
                ? dropHolds(origin, keys)
                : null;
    }

    /**
     * Takes messages over from another daemon: they and whose they are stand in one record, so never one alone. In the
     * same record the origin's holds on the messages' keys end, and those that came here while they were held go behind.
     */
    boolean adopt(
            String name,
            Ownership ownership,
            long until,
            List<AcceptedMessage> messages,
            String origin,
            List<AcceptedMessage> behind) {
        long more = messages.stream().mapToLong(SingleFileJournal::reserve).sum();
        Lot lot = new Lot(ownership, until, messages.stream().map(m -> m.number).toList());
        List<Long> keys = messages.stream()
                .map(m -> m.key)
                .filter(key -> holds.origins(key).contains(origin))
                .distinct()
                .toList();
        List<byte[]> parts = new ArrayList<>();
        if (!keys.isEmpty()) {
            parts.add(released(origin, keys));
        }
        behind.forEach(m -> parts.add(moved(m)));
        byte[] record = lotRecord('P', name, lot, messages, parts);
        if (!roomForLot(name)
                || record.length > LARGEST
                || 2 * (reserved + more) + REWRITE_LEAST / 4 > budget
                || !append(record)) {
            return false;
        }
        messages.forEach(this::add);
        dropHolds(origin, keys);
        behind.forEach(this::moveBehind);
        apply(name, lot);
        return true;
    }

    /** Without any key that another daemon may have. */
    boolean adopt(String name, Ownership ownership, long until, List<AcceptedMessage> messages) {
        return adopt(name, ownership, until, messages, "", List.of());
    }

    private void moveBehind(AcceptedMessage m) {
        if (live.remove(m.number) != null) {
            live.put(m.number, m);
        }
    }

    private static byte[] moved(AcceptedMessage m) {
        return record('R', out -> {
            out.writeLong(0);
            out.writeLong(m.number);
        });
    }

    // ---- Keys of which another daemon still has messages. ----

    KeyHolds holds() {
        return holds;
    }

    /** Writes that these keys are held for the origin; false where there is no room for it. */
    boolean hold(String origin, List<Long> keys, long until) {
        if (!roomForHolds(keys.size())) {
            return false;
        }
        for (int from = 0; from < keys.size(); from += HOLDS_IN_RECORD) {
            if (!append(held(origin, keys.subList(from, Math.min(keys.size(), from + HOLDS_IN_RECORD)), until))) {
                return false;
            }
        }
        keepHolds(origin, keys, until);
        return true;
    }

    private boolean roomForHolds(int more) {
        return holds.hasCapacity(more)
                && (holds.size() + more) * (long) HOLD_BYTES <= budget / HOLDS_SHARE
                && 2 * (reserved + more * (long) HOLD_BYTES) + REWRITE_LEAST / 4 <= budget;
    }

    /** The origin has nothing of these keys any more. If that cannot be written the hold only lasts longer. */
    List<Long> release(String origin, List<Long> keys) {
        append(released(origin, keys));
        return dropHolds(origin, keys);
    }

    private void keepHolds(String origin, List<Long> keys, long until) {
        int before = holds.size();
        holds.hold(origin, keys, until);
        reserved += (holds.size() - before) * (long) HOLD_BYTES;
    }

    private List<Long> dropHolds(String origin, List<Long> keys) {
        int before = holds.size();
        List<Long> free = holds.release(origin, keys);
        reserved += (holds.size() - before) * (long) HOLD_BYTES;
        return free;
    }

    /** Ends holds whose time is up; nothing is written, as their time stands in their record. */
    List<Long> expireHolds(long wall) {
        int before = holds.size();
        List<Long> free = holds.expire(wall);
        reserved += (holds.size() - before) * (long) HOLD_BYTES;
        return free;
    }

    /** The 0 stands where other records have a message's number, so that older programs pass over it. */
    private static byte[] held(String origin, List<Long> keys, long until) {
        return record('W', out -> {
            out.writeLong(0);
            out.writeUTF(origin);
            out.writeLong(until);
            writeKeys(out, keys);
        });
    }

    private static byte[] released(String origin, List<Long> keys) {
        return record('F', out -> {
            out.writeLong(0);
            out.writeUTF(origin);
            writeKeys(out, keys);
        });
    }

    private static void writeKeys(DataOutputStream out, List<Long> keys) throws IOException {
        out.writeInt(keys.size());
        for (long key : keys) {
            out.writeLong(key);
        }
    }

    private static List<Long> readKeys(DataInputStream in) throws IOException {
        List<Long> keys = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            keys.add(in.readLong());
        }
        return keys;
    }

    private void replayHold(DataInputStream in, boolean held) throws IOException {
        in.readLong();
        String origin = in.readUTF();
        if (held) {
            long until = in.readLong();
            keepHolds(origin, readKeys(in), until);
        } else {
            dropHolds(origin, readKeys(in));
        }
    }

    private boolean roomForLot(String name) {
        long most = Math.min(MOST_LOTS, budget / LOTS_SHARE / LOT_BYTES);
        if (lots.size() >= most) {
            dropOldLots();
        }
        return lots.size() < most || lots.containsKey(name);
    }

    /** What nobody can ask for any more: a late offer of messages whose time is up is refused for that. */
    private void dropOldLots() {
        long now = System.currentTimeMillis();
        List.copyOf(lots.keySet()).forEach(name -> {
            Lot lot = lots.get(name);
            if (lot.until() < now && lot.ownership().status() != Ownership.Status.OFFERED) {
                reserved -= reserve(lots.remove(name));
            }
        });
    }

    private static long reserve(Lot lot) {
        return LOT_BYTES + 8L * lot.numbers().size();
    }

    private void apply(String name, Lot lot) {
        Lot before = lots.put(name, lot);
        reserved += reserve(lot) - (before == null ? 0 : reserve(before));
        for (long number : lot.numbers()) {
            AcceptedMessage m = live.get(number);
            if (m != null && lot.ownership().status() == Ownership.Status.GIVEN) {
                drop(m);
            } else if (m != null && lot.ownership().status() != Ownership.Status.ENDED) {
                m.offeredToPeer = lot.ownership().status() == Ownership.Status.OFFERED;
            }
        }
    }

    private static byte[] lotRecord(
            char type, String name, Lot lot, List<AcceptedMessage> messages, List<byte[]> more) {
        return record(type, out -> {
            out.writeUTF(name);
            out.writeLong(lot.ownership().generation());
            out.writeUTF(lot.ownership().status().name());
            out.writeUTF(lot.ownership().peer());
            out.writeLong(lot.until());
            out.writeInt(lot.numbers().size());
            for (long number : lot.numbers()) {
                out.writeLong(number);
            }
            List<byte[]> parts = new ArrayList<>();
            for (AcceptedMessage m : messages) {
                parts.add(accepted(m));
                parts.add(standing(m));
                if (m.pendingNotification != null) {
                    parts.add(ending(m));
                }
            }
            parts.addAll(more);
            // Below 0 it counts parts; older journals have the number of messages there, each with two.
            out.writeInt(-parts.size());
            for (byte[] part : parts) {
                out.writeInt(part.length - HEAD);
                out.write(part, HEAD, part.length - HEAD);
            }
        });
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
        apply(name, new Lot(ownership, until, numbers));
    }

    /** What was remembered of places, one for each. */
    Collection<Memory> memories() {
        return memories.values();
    }

    void remember(Memory memory) {
        keep(memory);
        append(remembered(memory));
    }

    @Override
    public void close() throws IOException {
        file.close();
    }

    // ---- Records. ----

    private interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(char type, Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(type);
            content.write(out);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
        byte[] payload = bytes.toByteArray();
        return ByteBuffer.allocate(HEAD + payload.length)
                .putInt(payload.length)
                .putInt(checksum(payload))
                .put(payload)
                .array();
    }

    private static int checksum(byte[] payload) {
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue();
    }

    private static byte[] accepted(AcceptedMessage m) {
        return record('A', out -> {
            out.writeLong(m.number);
            out.writeUTF(m.id);
            out.writeUTF(m.idempotencyKey);
            out.writeUTF(m.className);
            out.writeLong(m.key);
            out.writeInt(m.destination);
            out.writeLong(m.deadlineMillis);
            out.writeInt(m.body.length);
            out.write(m.body);
            out.writeInt(m.classNumber);
        });
    }

    /** The 0 stands where other records have a message's number, so that older programs pass over it. */
    private static byte[] defined(int number, MessageClassRegistry.Version version) {
        DeliveryScheduler.MessageClass c = version.type();
        return record('D', out -> {
            out.writeLong(0);
            out.writeInt(number);
            out.writeUTF(version.name());
            out.writeDouble(c.priorityWeight());
            out.writeDouble(c.lateValueShare());
            out.writeLong(c.latencyObjectiveMicros());
            out.writeLong(c.deadlineMicros());
            out.writeByte(c.idempotency().ordinal());
            out.writeByte(c.keyScope().ordinal());
            out.writeLong(c.keyLifeMicros());
            out.writeBoolean(c.ordered());
        });
    }

    private void replayClass(DataInputStream in) throws IOException {
        in.readLong();
        int number = in.readInt();
        String name = in.readUTF();
        keep(
                number,
                new MessageClassRegistry.Version(
                        name,
                        new DeliveryScheduler.MessageClass(
                                in.readDouble(),
                                in.readDouble(),
                                in.readLong(),
                                in.readLong(),
                                DeliveryScheduler.Idempotency.values()[in.readByte()],
                                DeliveryScheduler.KeyScope.values()[in.readByte()],
                                in.readLong(),
                                in.readBoolean())));
    }

    private static byte[] ending(AcceptedMessage m) {
        return record('E', out -> {
            out.writeLong(m.number);
            out.writeUTF(m.pendingNotification);
        });
    }

    private static byte[] remembered(Memory memory) {
        return record('M', out -> {
            out.writeInt(memory.destination());
            out.writeUTF(memory.uid());
            out.writeUTF(memory.health().storedName());
            out.writeLong(memory.since());
            out.writeDouble(memory.pace());
            out.writeDouble(memory.usual());
        });
    }

    /** All that attempts have left behind, for a rewritten file. */
    private static byte[] standing(AcceptedMessage m) {
        return record('S', out -> {
            out.writeLong(m.number);
            out.writeInt(m.attempts);
            out.writeLong(m.unknownOutcomeSinceMillis);
            out.writeUTF(m.unknownOutcomeEndpoint);
            out.writeBoolean(m.attemptInFlight);
            out.writeLong(m.attemptSentAtMillis);
            out.writeUTF(m.attemptEndpoint);
        });
    }

    private void replay(byte[] payload) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
        int type = in.readByte();
        if (type == 'K') {
            remember(in.readUTF(), 0);
            return;
        }
        if (type == 'H' || type == 'P') {
            replayLot(in);
            return;
        }
        if (type == 'D') {
            replayClass(in);
            return;
        }
        if (type == 'R') {
            in.readLong();
            AcceptedMessage m = live.get(in.readLong());
            if (m != null) {
                moveBehind(m);
            }
            return;
        }
        if (type == 'W' || type == 'F') {
            replayHold(in, type == 'W');
            return;
        }
        if (type == 'M') {
            keep(new Memory(
                    in.readInt(),
                    in.readUTF(),
                    DeliveryScheduler.UpstreamStatus.ofStoredName(in.readUTF()),
                    in.readLong(),
                    in.readDouble(),
                    in.readDouble()));
            return;
        }
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
            m.classNumber = in.available() < Integer.BYTES ? -1 : in.readInt();
            add(m);
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
            case 'E' -> {
                reserved -= reserve(m);
                m.end(in.readUTF());
                reserved += reserve(m);
            }
            case 'N' -> drop(m);
            case 'S' -> {
                m.attempts = in.readInt();
                m.unknownOutcomeSinceMillis = in.readLong();
                m.unknownOutcomeEndpoint = in.readUTF();
                m.attemptInFlight = in.readBoolean();
                m.attemptSentAtMillis = in.readLong();
                m.attemptEndpoint = in.readUTF();
            }
            default -> throw new IOException("unknown record " + type);
        }
    }

    private void recover() throws IOException {
        replayAll();
        long length = file.size();
        if (size < length) {
            Log.warn("journal: cut off a torn tail of " + (length - size) + " bytes");
            file.truncate(size);
        }
        file.position(size);
    }

    private void replayAll() throws IOException {
        long length = file.size();
        ByteBuffer head = ByteBuffer.allocate(HEAD);
        while (size + HEAD <= length) {
            if (!fill(head.clear())) {
                break;
            }
            int bytes = head.getInt(0);
            if (bytes <= 0 || bytes > LARGEST || size + HEAD + bytes > length) {
                break;
            }
            ByteBuffer payload = ByteBuffer.allocate(bytes);
            if (!fill(payload) || checksum(payload.array()) != head.getInt(4)) {
                break;
            }
            replay(payload.array());
            size += HEAD + bytes;
        }
    }

    private boolean fill(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (file.read(buffer) < 0) {
                return false;
            }
        }
        return true;
    }

    // ---- Room. ----

    private static long reserve(AcceptedMessage m) {
        return 160 + m.body.length + 3L * (m.id.length() + m.idempotencyKey.length()) + LATER;
    }

    private void add(AcceptedMessage m) {
        live.put(m.number, m);
        liveIds.put(m.id, m.contentHash);
        reserved += reserve(m);
    }

    private void drop(AcceptedMessage m) {
        live.remove(m.number);
        liveIds.remove(m.id);
        remember(m.id, m.contentHash);
        reserved -= reserve(m);
    }

    /** That a place is well need not be kept. */
    private void keep(Memory memory) {
        String place = memory.destination() + " " + memory.uid();
        forget(place);
        if (memory.health() != DeliveryScheduler.UpstreamStatus.HEALTHY) {
            memories.put(place, memory);
            reserved += MEMORY_BYTES + memory.uid().length();
        }
        if (memories.size() > MEMORIES) {
            forget(memories.keySet().iterator().next());
        }
    }

    private void forget(String place) {
        Memory old = memories.remove(place);
        if (old != null) {
            reserved -= MEMORY_BYTES + old.uid().length();
        }
    }

    private void remember(String id, int content) {
        ended.put(id, content);
        if (ended.size() > REMEMBERED) {
            ended.remove(ended.keySet().iterator().next());
        }
    }

    private boolean append(byte[] record) {
        try {
            if (size + record.length + reserved > budget || size > REWRITE_LEAST && size > 4 * reserved) {
                rewrite();
            }
            ByteBuffer bytes = ByteBuffer.wrap(record);
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            size += record.length;
            checkFence();
            return true;
        } catch (IOException e) {
            Log.warn("journal: " + e);
            undo();
            return false;
        }
    }

    /** Half a record would hide every later one from the next start. */
    private void undo() {
        try {
            file.truncate(size);
            file.position(size);
        } catch (IOException e) {
            Log.warn("journal: cannot cut off half a record: " + e);
        }
    }

    /** Written through a small buffer: the heap has no room for a second copy of all that is owed. */
    private void rewrite() throws IOException {
        dropOldLots();
        Path path = path("journal.new");
        FileChannel fresh = FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        long length;
        try {
            OutputStream out = new BufferedOutputStream(Channels.newOutputStream(fresh), REWRITE_BUFFER);
            for (String id : ended.keySet()) {
                out.write(record('K', record -> record.writeUTF(id)));
            }
            for (Memory memory : memories.values()) {
                out.write(remembered(memory));
            }
            for (Map.Entry<Integer, MessageClassRegistry.Version> version : classes.entrySet()) {
                out.write(defined(version.getKey(), version.getValue()));
            }
            Map<String, Map<Long, List<Long>>> kept = new LinkedHashMap<>();
            holds.allHolds().forEach(h -> kept.computeIfAbsent(h.origin(), o -> new LinkedHashMap<>())
                    .computeIfAbsent(h.untilMillis(), u -> new ArrayList<>())
                    .add(h.key()));
            for (Map.Entry<String, Map<Long, List<Long>>> origin : kept.entrySet()) {
                for (Map.Entry<Long, List<Long>> until : origin.getValue().entrySet()) {
                    List<Long> keys = until.getValue();
                    for (int from = 0; from < keys.size(); from += HOLDS_IN_RECORD) {
                        out.write(held(
                                origin.getKey(),
                                keys.subList(from, Math.min(keys.size(), from + HOLDS_IN_RECORD)),
                                until.getKey()));
                    }
                }
            }
            for (AcceptedMessage m : live.values()) {
                out.write(accepted(m));
                if (m.attempts > 0) {
                    out.write(standing(m));
                }
                if (m.pendingNotification != null) {
                    out.write(ending(m));
                }
            }
            for (Map.Entry<String, Lot> lot : lots.entrySet()) {
                out.write(lotRecord('H', lot.getKey(), lot.getValue(), List.of(), List.of()));
            }
            out.flush();
            length = fresh.position();
            Files.move(path, path("journal"), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(path);
            throw e;
        }
        file.close();
        file = fresh;
        size = length;
    }

    private Path path(String name) {
        return folder.resolve(name);
    }
}
