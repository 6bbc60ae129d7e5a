package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
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
 * The journal of version 0.2, kept unchanged to compare with: a single file of records with length and checksum, each
 * written before the effect that it allows. Nothing is forced, since the kernel's page cache survives the process.
 *
 * <p>Each message reserves space for its later records, so that an accepted message can always be ended. A file that
 * has grown is rewritten with the live records; both copies count towards the budget.
 */
public final class SingleFileJournal implements Closeable {
    private static final int FRAME_HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 1 << 18;
    /**
     * Space for all records of a message after its acceptance: a rewrite retains one record of its attempts, with two
     * uids of up to 128 characters, and its notice.
     */
    private static final int LATER_RECORD_BYTES = 640;
    /** Number of ids of completed messages, since a client may submit a message again when its connection closes. */
    private static final int MAX_COMPLETED_IDS = 512;

    private static final int COMPLETED_IDS_BYTES = MAX_COMPLETED_IDS * 96;
    /** Bound on the number of health records; the longest unchanged is deleted first. */
    private static final int MAX_HEALTH_RECORDS = 128;

    private static final int HEALTH_BYTES = 64;
    /** Bound on the number of recorded handoff batches; beyond it none is offered or accepted. */
    private static final int MAX_HANDOFF_BATCHES = 4_096;
    /** Space for a batch's record without its message numbers: names have at most 128 and 64 characters. */
    private static final int HANDOFF_BATCH_BYTES = 256;
    /** Space for one origin's hold on one key, including its share of a record. */
    private static final int KEY_HOLD_BYTES = 112;
    /** Holds on keys may take one part in this many of the budget. */
    private static final int KEY_HOLDS_BUDGET_DIVISOR = 8;
    /** Bound on the number of keys in one record of holds. */
    private static final int KEYS_PER_RECORD = 4_096;
    /** Handoff batches may take one part in this many of the budget, so that peers leave space for messages. */
    private static final int HANDOFF_BATCHES_BUDGET_DIVISOR = 8;

    private static final long MIN_REWRITE_BYTES = 256 * 1024;
    private static final int REWRITE_BUFFER_BYTES = 16 * 1024;

    /** The journaled health of an endpoint, or of a whole destination if {@code uid} is empty; wall-clock time. */
    record Memory(int destination, String uid, UpstreamStatus health, long since, double pace, double usual) {}

    /**
     * The journaled state of a handoff batch: who owns it, until when that has to be retained (wall-clock time), and
     * the numbers of its messages in this journal.
     */
    record Lot(Ownership ownership, long until, List<Long> numbers) {}

    private final Path folder;
    private final long budgetBytes;
    private final Map<Long, AcceptedMessage> pending = new LinkedHashMap<>();
    /** Content hash of each completed message by its id, 0 if unknown. */
    private final Map<String, Integer> completedIds = new LinkedHashMap<>();

    private final Map<String, Integer> pendingIds = new HashMap<>();
    private final Map<String, Memory> healthRecords = new LinkedHashMap<>();
    private final Map<String, Lot> handoffBatches = new LinkedHashMap<>();
    /** Versions of message classes by number. */
    private final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();

    private final KeyHolds keyHolds = new KeyHolds();
    private FileChannel file;
    /** Checked after each record; null if the folder cannot be taken over. */
    private File fencingTokenFile;

    private Runnable onFenced = () -> {};
    private long validBytes;
    private long reservedBytes = COMPLETED_IDS_BYTES;
    private long nextNumber = 1;

    private SingleFileJournal(Path folder, long budgetBytes) {
        this.folder = folder;
        this.budgetBytes = budgetBytes - 4_096;
    }

    /** Opens or creates the journal; a torn write at its end is truncated. */
    public static SingleFileJournal open(Path folder, long budgetBytes) throws IOException {
        SingleFileJournal journal = new SingleFileJournal(folder, budgetBytes);
        Files.createDirectories(folder);
        Files.deleteIfExists(journal.pathOf("journal.new"));
        journal.file = FileChannel.open(
                journal.pathOf("journal"),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        journal.recover();
        return journal;
    }

    /** Reads a folder's journal without changing it. */
    static SingleFileJournal peek(Path folder) throws IOException {
        SingleFileJournal journal = new SingleFileJournal(folder, Long.MAX_VALUE);
        journal.file = FileChannel.open(journal.pathOf("journal"), StandardOpenOption.READ);
        journal.replayAll();
        return journal;
    }

    /** Returns the number of bytes after the last readable record. */
    long unread() throws IOException {
        return file.size() - validBytes;
    }

    /**
     * Enables the check of the {@link FencingToken} after each record and before each effect that it allows; if the
     * token exists, {@code whenFenced} runs and has to end the process.
     */
    void guard(Runnable whenFenced) {
        fencingTokenFile = FencingToken.file(folder);
        onFenced = whenFenced;
    }

    /** Has to be called immediately before an effect that comes later than its record. */
    void checkFence() {
        if (fencingTokenFile != null && fencingTokenFile.exists()) {
            onFenced.run();
            throw new IllegalStateException("this folder was taken over");
        }
    }

    /** Returns the messages that are not completed, in the order of acceptance. */
    Collection<AcceptedMessage> live() {
        return pending.values();
    }

    public long nextNumber() {
        return nextNumber++;
    }

    /** Returns whether a message with this id is pending or was completed recently. */
    boolean knows(String id) {
        return pendingIds.containsKey(id) || completedIds.containsKey(id);
    }

    /** Returns whether the message known under this id has other content; false if that is unknown. */
    boolean differs(String id, int contentHash) {
        int knownHash = pendingIds.getOrDefault(id, completedIds.getOrDefault(id, 0));
        return knownHash != 0 && knownHash != contentHash;
    }

    /** Returns the versions of message classes by number. */
    Map<Integer, MessageClassRegistry.Version> classes() {
        return classes;
    }

    /** Writes a version of a class before a message of it is accepted; false if that fails. */
    boolean define(int number, MessageClassRegistry.Version version) {
        if (version.equals(classes.get(number))) {
            return true;
        }
        if (!appendRecord(encodeClass(number, version))) {
            return false;
        }
        putClass(number, version);
        return true;
    }

    private void putClass(int number, MessageClassRegistry.Version version) {
        MessageClassRegistry.Version previous = classes.put(number, version);
        reservedBytes += requiredBytes(version) - (previous == null ? 0 : requiredBytes(previous));
    }

    private static long requiredBytes(MessageClassRegistry.Version version) {
        return 80 + 3L * version.name().length();
    }

    /** Writes a new message; false if the budget or the disk has no space for it. */
    public boolean accept(AcceptedMessage message) {
        if (2 * (reservedBytes + requiredBytes(message)) + MIN_REWRITE_BYTES / 4 > budgetBytes) {
            return false;
        }
        if (!appendRecord(encodeAccepted(message))) {
            return false;
        }
        addPending(message);
        return true;
    }

    /** Writes an attempt before its first byte is sent; false if that fails. */
    boolean attempt(AcceptedMessage message, String uid, long wallMillis) {
        byte[] record = encodeRecord('T', out -> {
            out.writeLong(message.number);
            out.writeLong(wallMillis);
            out.writeUTF(uid);
        });
        if (!appendRecord(record)) {
            return false;
        }
        message.attempt(uid, wallMillis, 0);
        return true;
    }

    void outcome(AcceptedMessage message, boolean mayHaveRun) {
        message.outcome(mayHaveRun);
        appendRecord(encodeRecord('O', out -> {
            out.writeLong(message.number);
            out.writeBoolean(mayHaveRun);
        }));
    }

    /** Writes the end of a message, whose notice is to be sent. */
    void end(AcceptedMessage message, String notice) {
        reservedBytes -= requiredBytes(message);
        message.end(notice);
        reservedBytes += requiredBytes(message);
        appendRecord(encodeEnded(message));
    }

    /** Completes a message that was delivered or whose notice was acknowledged. */
    public void conclude(AcceptedMessage message) {
        appendRecord(encodeRecord('N', out -> out.writeLong(message.number)));
        complete(message);
    }

    /** Returns all handoff batches by name. */
    Map<String, Lot> lots() {
        return handoffBatches;
    }

    /** Returns those of the given messages that are still to be delivered, in the given order. */
    List<AcceptedMessage> messages(List<Long> numbers) {
        return numbers.stream()
                .map(pending::get)
                .filter(message -> message != null && message.pendingNotification == null)
                .toList();
    }

    /** Writes who owns a batch. Giving a batch away completes its messages here. */
    boolean lot(String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return writeBatch(name, ownership, untilMillis, messages, List.of());
    }

    private boolean writeBatch(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            List<byte[]> additionalRecords) {
        Lot batch = new Lot(
                ownership,
                untilMillis,
                messages.stream().map(message -> message.number).toList());
        if (!hasRoomForBatch(name) || !appendRecord(encodeBatch('H', name, batch, List.of(), additionalRecords))) {
            return false;
        }
        putBatch(name, batch);
        return true;
    }

    /**
     * Writes an offer of a batch and, in the same record, holds that make messages of its keys wait after a restart;
     * false if there is no space for either.
     */
    boolean offer(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys,
            long holdUntilMillis) {
        if (!keys.isEmpty() && !hasRoomForKeyHolds(keys.size())) {
            return false;
        }
        if (!writeBatch(
                name,
                ownership,
                untilMillis,
                messages,
                keys.isEmpty() ? List.of() : List.of(encodeKeysHeld(origin, keys, holdUntilMillis)))) {
            return false;
        }
        addKeyHolds(origin, keys, holdUntilMillis);
        return true;
    }

    /** Writes that this sender owns a batch and its keys again; null if that fails. */
    List<Long> takeBack(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys) {
        return writeBatch(
                        name,
                        ownership,
                        untilMillis,
                        messages,
                        keys.isEmpty() ? List.of() : List.of(encodeKeysReleased(origin, keys)))
                ? removeKeyHolds(origin, keys)
                : null;
    }

    /**
     * Accepts messages of another sender in one record with their ownership. The same record ends the origin's holds on
     * the messages' keys and moves the messages that waited for these keys to the end.
     */
    boolean adopt(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<AcceptedMessage> rankedAfter) {
        long additionalBytes =
                messages.stream().mapToLong(SingleFileJournal::requiredBytes).sum();
        Lot batch = new Lot(
                ownership,
                untilMillis,
                messages.stream().map(message -> message.number).toList());
        List<Long> keys = messages.stream()
                .map(message -> message.key)
                .filter(key -> keyHolds.origins(key).contains(origin))
                .distinct()
                .toList();
        List<byte[]> additionalRecords = new ArrayList<>();
        if (!keys.isEmpty()) {
            additionalRecords.add(encodeKeysReleased(origin, keys));
        }
        rankedAfter.forEach(message -> additionalRecords.add(encodeMovedToEnd(message)));
        byte[] record = encodeBatch('P', name, batch, messages, additionalRecords);
        if (!hasRoomForBatch(name)
                || record.length > MAX_RECORD_BYTES
                || 2 * (reservedBytes + additionalBytes) + MIN_REWRITE_BYTES / 4 > budgetBytes
                || !appendRecord(record)) {
            return false;
        }
        messages.forEach(this::addPending);
        removeKeyHolds(origin, keys);
        rankedAfter.forEach(this::moveToEnd);
        putBatch(name, batch);
        return true;
    }

    /** Accepts messages whose keys no other sender holds. */
    boolean adopt(String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return adopt(name, ownership, untilMillis, messages, "", List.of());
    }

    private void moveToEnd(AcceptedMessage message) {
        if (pending.remove(message.number) != null) {
            pending.put(message.number, message);
        }
    }

    private static byte[] encodeMovedToEnd(AcceptedMessage message) {
        return encodeRecord('R', out -> {
            out.writeLong(0);
            out.writeLong(message.number);
        });
    }

    // ---- Keys that other senders hold. ----

    KeyHolds holds() {
        return keyHolds;
    }

    /** Writes that the origin holds these keys; false if there is no space. */
    boolean hold(String origin, List<Long> keys, long untilMillis) {
        if (!hasRoomForKeyHolds(keys.size())) {
            return false;
        }
        for (int from = 0; from < keys.size(); from += KEYS_PER_RECORD) {
            if (!appendRecord(encodeKeysHeld(
                    origin, keys.subList(from, Math.min(keys.size(), from + KEYS_PER_RECORD)), untilMillis))) {
                return false;
            }
        }
        addKeyHolds(origin, keys, untilMillis);
        return true;
    }

    private boolean hasRoomForKeyHolds(int additionalHolds) {
        return keyHolds.hasCapacity(additionalHolds)
                && (keyHolds.size() + additionalHolds) * (long) KEY_HOLD_BYTES <= budgetBytes / KEY_HOLDS_BUDGET_DIVISOR
                && 2 * (reservedBytes + additionalHolds * (long) KEY_HOLD_BYTES) + MIN_REWRITE_BYTES / 4 <= budgetBytes;
    }

    /** Releases the origin's holds on these keys; if the write fails, they last until they expire. */
    List<Long> release(String origin, List<Long> keys) {
        appendRecord(encodeKeysReleased(origin, keys));
        return removeKeyHolds(origin, keys);
    }

    private void addKeyHolds(String origin, List<Long> keys, long untilMillis) {
        int sizeBefore = keyHolds.size();
        keyHolds.hold(origin, keys, untilMillis);
        reservedBytes += (keyHolds.size() - sizeBefore) * (long) KEY_HOLD_BYTES;
    }

    private List<Long> removeKeyHolds(String origin, List<Long> keys) {
        int sizeBefore = keyHolds.size();
        List<Long> freeKeys = keyHolds.release(origin, keys);
        reservedBytes += (keyHolds.size() - sizeBefore) * (long) KEY_HOLD_BYTES;
        return freeKeys;
    }

    /** Ends expired holds; nothing is written, since the expiry of a hold is in its record. */
    List<Long> expireHolds(long wallMillis) {
        int sizeBefore = keyHolds.size();
        List<Long> freeKeys = keyHolds.expire(wallMillis);
        reservedBytes += (keyHolds.size() - sizeBefore) * (long) KEY_HOLD_BYTES;
        return freeKeys;
    }

    /** The 0 replaces the message number of other records, so that earlier versions skip the record. */
    private static byte[] encodeKeysHeld(String origin, List<Long> keys, long untilMillis) {
        return encodeRecord('W', out -> {
            out.writeLong(0);
            out.writeUTF(origin);
            out.writeLong(untilMillis);
            writeKeys(out, keys);
        });
    }

    private static byte[] encodeKeysReleased(String origin, List<Long> keys) {
        return encodeRecord('F', out -> {
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

    private void replayKeyHolds(DataInputStream in, boolean held) throws IOException {
        in.readLong();
        String origin = in.readUTF();
        if (held) {
            long untilMillis = in.readLong();
            addKeyHolds(origin, readKeys(in), untilMillis);
        } else {
            removeKeyHolds(origin, readKeys(in));
        }
    }

    private boolean hasRoomForBatch(String name) {
        long maxBatches =
                Math.min(MAX_HANDOFF_BATCHES, budgetBytes / HANDOFF_BATCHES_BUDGET_DIVISOR / HANDOFF_BATCH_BYTES);
        if (handoffBatches.size() >= maxBatches) {
            deleteExpiredBatches();
        }
        return handoffBatches.size() < maxBatches || handoffBatches.containsKey(name);
    }

    /** Deletes expired batches; a late offer of one is rejected, since its messages are past their deadline. */
    private void deleteExpiredBatches() {
        long nowMillis = System.currentTimeMillis();
        List.copyOf(handoffBatches.keySet()).forEach(name -> {
            Lot batch = handoffBatches.get(name);
            if (batch.until() < nowMillis && batch.ownership().status() != Ownership.Status.OFFERED) {
                reservedBytes -= requiredBytes(handoffBatches.remove(name));
            }
        });
    }

    private static long requiredBytes(Lot batch) {
        return HANDOFF_BATCH_BYTES + 8L * batch.numbers().size();
    }

    private void putBatch(String name, Lot batch) {
        Lot previous = handoffBatches.put(name, batch);
        reservedBytes += requiredBytes(batch) - (previous == null ? 0 : requiredBytes(previous));
        for (long number : batch.numbers()) {
            AcceptedMessage message = pending.get(number);
            if (message != null && batch.ownership().status() == Ownership.Status.GIVEN) {
                complete(message);
            } else if (message != null && batch.ownership().status() != Ownership.Status.ENDED) {
                message.offeredToPeer = batch.ownership().status() == Ownership.Status.OFFERED;
            }
        }
    }

    private static byte[] encodeBatch(
            char type, String name, Lot batch, List<AcceptedMessage> messages, List<byte[]> additionalRecords) {
        return encodeRecord(type, out -> {
            out.writeUTF(name);
            out.writeLong(batch.ownership().generation());
            out.writeUTF(batch.ownership().status().name());
            out.writeUTF(batch.ownership().peer());
            out.writeLong(batch.until());
            out.writeInt(batch.numbers().size());
            for (long number : batch.numbers()) {
                out.writeLong(number);
            }
            List<byte[]> records = new ArrayList<>();
            for (AcceptedMessage message : messages) {
                records.add(encodeAccepted(message));
                records.add(encodeAttempts(message));
                if (message.pendingNotification != null) {
                    records.add(encodeEnded(message));
                }
            }
            records.addAll(additionalRecords);
            // If negative, the number of records; earlier versions wrote the number of messages, each with two records.
            out.writeInt(-records.size());
            for (byte[] record : records) {
                out.writeInt(record.length - FRAME_HEADER_BYTES);
                out.write(record, FRAME_HEADER_BYTES, record.length - FRAME_HEADER_BYTES);
            }
        });
    }

    private void replayBatch(DataInputStream in) throws IOException {
        String name = in.readUTF();
        Ownership ownership = new Ownership(in.readLong(), Ownership.Status.valueOf(in.readUTF()), in.readUTF());
        long untilMillis = in.readLong();
        List<Long> numbers = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            numbers.add(in.readLong());
        }
        int count = in.readInt();
        for (int remainingRecords = count < 0 ? -count : 2 * count; remainingRecords > 0; remainingRecords--) {
            replay(in.readNBytes(in.readInt()));
        }
        putBatch(name, new Lot(ownership, untilMillis, numbers));
    }

    /** Returns the health records, one for each upstream. */
    Collection<Memory> memories() {
        return healthRecords.values();
    }

    void remember(Memory record) {
        putHealth(record);
        appendRecord(encodeHealth(record));
    }

    @Override
    public void close() throws IOException {
        file.close();
    }

    // ---- Records. ----

    private interface FieldWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] encodeRecord(char type, FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(type);
            fields.write(out);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
        byte[] payload = bytes.toByteArray();
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length)
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

    private static byte[] encodeAccepted(AcceptedMessage message) {
        return encodeRecord('A', out -> {
            out.writeLong(message.number);
            out.writeUTF(message.id);
            out.writeUTF(message.idempotencyKey);
            out.writeUTF(message.className);
            out.writeLong(message.key);
            out.writeInt(message.destination);
            out.writeLong(message.deadlineMillis);
            out.writeInt(message.body.length);
            out.write(message.body);
            out.writeInt(message.classNumber);
        });
    }

    /** The 0 replaces the message number of other records, so that earlier versions skip the record. */
    private static byte[] encodeClass(int number, MessageClassRegistry.Version version) {
        DeliveryScheduler.MessageClass messageClass = version.type();
        return encodeRecord('D', out -> {
            out.writeLong(0);
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

    private void replayClass(DataInputStream in) throws IOException {
        in.readLong();
        int number = in.readInt();
        String name = in.readUTF();
        putClass(
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

    private static byte[] encodeEnded(AcceptedMessage message) {
        return encodeRecord('E', out -> {
            out.writeLong(message.number);
            out.writeUTF(message.pendingNotification);
        });
    }

    private static byte[] encodeHealth(Memory record) {
        return encodeRecord('M', out -> {
            out.writeInt(record.destination());
            out.writeUTF(record.uid());
            out.writeUTF(record.health().storedName());
            out.writeLong(record.since());
            out.writeDouble(record.pace());
            out.writeDouble(record.usual());
        });
    }

    /** Encodes the state that all attempts have left, for a rewritten file. */
    private static byte[] encodeAttempts(AcceptedMessage message) {
        return encodeRecord('S', out -> {
            out.writeLong(message.number);
            out.writeInt(message.attempts);
            out.writeLong(message.unknownOutcomeSinceMillis);
            out.writeUTF(message.unknownOutcomeEndpoint);
            out.writeBoolean(message.attemptInFlight);
            out.writeLong(message.attemptSentAtMillis);
            out.writeUTF(message.attemptEndpoint);
        });
    }

    private void replay(byte[] payload) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
        int type = in.readByte();
        if (type == 'K') {
            addCompletedId(in.readUTF(), 0);
            return;
        }
        if (type == 'H' || type == 'P') {
            replayBatch(in);
            return;
        }
        if (type == 'D') {
            replayClass(in);
            return;
        }
        if (type == 'R') {
            in.readLong();
            AcceptedMessage message = pending.get(in.readLong());
            if (message != null) {
                moveToEnd(message);
            }
            return;
        }
        if (type == 'W' || type == 'F') {
            replayKeyHolds(in, type == 'W');
            return;
        }
        if (type == 'M') {
            putHealth(new Memory(
                    in.readInt(),
                    in.readUTF(),
                    UpstreamStatus.ofStoredName(in.readUTF()),
                    in.readLong(),
                    in.readDouble(),
                    in.readDouble()));
            return;
        }
        long number = in.readLong();
        nextNumber = Math.max(nextNumber, number + 1);
        if (type == 'A') {
            AcceptedMessage message = new AcceptedMessage(
                    number,
                    in.readUTF(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readLong(),
                    in.readInt(),
                    in.readLong(),
                    in.readNBytes(in.readInt()));
            message.classNumber = in.available() < Integer.BYTES ? -1 : in.readInt();
            addPending(message);
            return;
        }
        AcceptedMessage message = pending.get(number);
        if (message == null) {
            return;
        }
        switch (type) {
            case 'T' -> {
                long wallMillis = in.readLong();
                message.attempt(in.readUTF(), wallMillis, 0);
            }
            case 'O' -> message.outcome(in.readBoolean());
            case 'E' -> {
                reservedBytes -= requiredBytes(message);
                message.end(in.readUTF());
                reservedBytes += requiredBytes(message);
            }
            case 'N' -> complete(message);
            case 'S' -> {
                message.attempts = in.readInt();
                message.unknownOutcomeSinceMillis = in.readLong();
                message.unknownOutcomeEndpoint = in.readUTF();
                message.attemptInFlight = in.readBoolean();
                message.attemptSentAtMillis = in.readLong();
                message.attemptEndpoint = in.readUTF();
            }
            default -> throw new IOException("unknown record " + type);
        }
    }

    private void recover() throws IOException {
        replayAll();
        long length = file.size();
        if (validBytes < length) {
            Log.warn("journal: cut off a torn tail of " + (length - validBytes) + " bytes");
            file.truncate(validBytes);
        }
        file.position(validBytes);
    }

    private void replayAll() throws IOException {
        long length = file.size();
        ByteBuffer frameHeader = ByteBuffer.allocate(FRAME_HEADER_BYTES);
        while (validBytes + FRAME_HEADER_BYTES <= length) {
            if (!fill(frameHeader.clear())) {
                break;
            }
            int payloadBytes = frameHeader.getInt(0);
            if (payloadBytes <= 0
                    || payloadBytes > MAX_RECORD_BYTES
                    || validBytes + FRAME_HEADER_BYTES + payloadBytes > length) {
                break;
            }
            ByteBuffer payload = ByteBuffer.allocate(payloadBytes);
            if (!fill(payload) || checksum(payload.array()) != frameHeader.getInt(4)) {
                break;
            }
            replay(payload.array());
            validBytes += FRAME_HEADER_BYTES + payloadBytes;
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

    // ---- Space. ----

    private static long requiredBytes(AcceptedMessage message) {
        return 160
                + message.body.length
                + 3L * (message.id.length() + message.idempotencyKey.length())
                + LATER_RECORD_BYTES;
    }

    private void addPending(AcceptedMessage message) {
        pending.put(message.number, message);
        pendingIds.put(message.id, message.contentHash);
        reservedBytes += requiredBytes(message);
    }

    private void complete(AcceptedMessage message) {
        pending.remove(message.number);
        pendingIds.remove(message.id);
        addCompletedId(message.id, message.contentHash);
        reservedBytes -= requiredBytes(message);
    }

    /** Adds a health record; that of a healthy upstream only removes an earlier one. */
    private void putHealth(Memory record) {
        String upstreamKey = record.destination() + " " + record.uid();
        removeHealth(upstreamKey);
        if (record.health() != UpstreamStatus.HEALTHY) {
            healthRecords.put(upstreamKey, record);
            reservedBytes += HEALTH_BYTES + record.uid().length();
        }
        if (healthRecords.size() > MAX_HEALTH_RECORDS) {
            removeHealth(healthRecords.keySet().iterator().next());
        }
    }

    private void removeHealth(String upstreamKey) {
        Memory removed = healthRecords.remove(upstreamKey);
        if (removed != null) {
            reservedBytes -= HEALTH_BYTES + removed.uid().length();
        }
    }

    private void addCompletedId(String id, int contentHash) {
        completedIds.put(id, contentHash);
        if (completedIds.size() > MAX_COMPLETED_IDS) {
            completedIds.remove(completedIds.keySet().iterator().next());
        }
    }

    private boolean appendRecord(byte[] record) {
        try {
            if (validBytes + record.length + reservedBytes > budgetBytes
                    || validBytes > MIN_REWRITE_BYTES && validBytes > 4 * reservedBytes) {
                rewriteFile();
            }
            ByteBuffer bytes = ByteBuffer.wrap(record);
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            validBytes += record.length;
            checkFence();
            return true;
        } catch (IOException e) {
            Log.warn("journal: " + e);
            truncateFailedAppend();
            return false;
        }
    }

    /** Truncates a partly written record, which would hide all later ones from the next start. */
    private void truncateFailedAppend() {
        try {
            file.truncate(validBytes);
            file.position(validBytes);
        } catch (IOException e) {
            Log.warn("journal: cannot cut off half a record: " + e);
        }
    }

    /** Writes through a small buffer, since the heap has no space for a second copy of all live records. */
    private void rewriteFile() throws IOException {
        deleteExpiredBatches();
        Path newPath = pathOf("journal.new");
        FileChannel newFile = FileChannel.open(
                newPath, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        long newLength;
        try {
            OutputStream out = new BufferedOutputStream(Channels.newOutputStream(newFile), REWRITE_BUFFER_BYTES);
            for (String id : completedIds.keySet()) {
                out.write(encodeRecord('K', record -> record.writeUTF(id)));
            }
            for (Memory record : healthRecords.values()) {
                out.write(encodeHealth(record));
            }
            for (Map.Entry<Integer, MessageClassRegistry.Version> version : classes.entrySet()) {
                out.write(encodeClass(version.getKey(), version.getValue()));
            }
            Map<String, Map<Long, List<Long>>> keysByUntilByOrigin = new LinkedHashMap<>();
            keyHolds.allHolds().forEach(hold -> keysByUntilByOrigin
                    .computeIfAbsent(hold.origin(), o -> new LinkedHashMap<>())
                    .computeIfAbsent(hold.untilMillis(), u -> new ArrayList<>())
                    .add(hold.key()));
            for (Map.Entry<String, Map<Long, List<Long>>> origin : keysByUntilByOrigin.entrySet()) {
                for (Map.Entry<Long, List<Long>> until : origin.getValue().entrySet()) {
                    List<Long> keys = until.getValue();
                    for (int from = 0; from < keys.size(); from += KEYS_PER_RECORD) {
                        out.write(encodeKeysHeld(
                                origin.getKey(),
                                keys.subList(from, Math.min(keys.size(), from + KEYS_PER_RECORD)),
                                until.getKey()));
                    }
                }
            }
            for (AcceptedMessage message : pending.values()) {
                out.write(encodeAccepted(message));
                if (message.attempts > 0) {
                    out.write(encodeAttempts(message));
                }
                if (message.pendingNotification != null) {
                    out.write(encodeEnded(message));
                }
            }
            for (Map.Entry<String, Lot> batch : handoffBatches.entrySet()) {
                out.write(encodeBatch('H', batch.getKey(), batch.getValue(), List.of(), List.of()));
            }
            out.flush();
            newLength = newFile.position();
            Files.move(newPath, pathOf("journal"), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            newFile.close();
            Files.deleteIfExists(newPath);
            throw e;
        }
        file.close();
        file = newFile;
        validBytes = newLength;
    }

    private Path pathOf(String name) {
        return folder.resolve(name);
    }
}
