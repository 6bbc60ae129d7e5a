package amberroute.sender.journal;

import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.config.Durability;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.Batch;
import amberroute.storage.Disk;
import amberroute.storage.FolderDisk;
import amberroute.storage.SegmentLog;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The write-ahead journal of a sender: each change is written before the effect that it allows. Written records survive
 * the end of the process; records that have to survive a power loss are forced, as {@link Durability} says.
 *
 * <p>Messages, handoff batches, key holds, health records and message classes are owners in a {@link SegmentLog}. Each
 * message reserves space for all its later records, so that an accepted message can always be completed. Changes that
 * the disk rejects are retried ({@link #retryFailedWrites}): meanwhile no message is accepted, no attempt that has to
 * be recorded is made, and the effect of an outcome waits for its record.
 *
 * <p>Used on the event loop only. The state is in {@link JournalContents}, the write path in {@link JournalWriter}, the
 * byte layout in {@link JournalRecordCodec}.
 */
public final class Journal implements Closeable {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Path folder;
    private final SegmentLog log;
    private final JournalContents contents;
    private final JournalWriter writer;
    private final HealthJournal healthJournal;
    private final KeyHoldJournal keyHoldJournal;
    private final HandoffJournal handoffJournal;
    private final DataLossReport dataLoss;
    /** Whether the record of the last failed acceptance or attempt may be found after a restart. */
    private boolean lastWriteUncertain;

    Journal(Path folder, SegmentLog log, Durability durability, BackgroundExecutor executor, long legacyUnreadBytes) {
        this.folder = folder;
        this.log = log;
        contents = new JournalContents(log);
        writer = new JournalWriter(log, durability, executor, contents);
        healthJournal = new HealthJournal(contents, writer);
        keyHoldJournal = new KeyHoldJournal(contents, writer, log.limits());
        handoffJournal = new HandoffJournal(log, contents, writer, keyHoldJournal);
        dataLoss = new DataLossReport(log, legacyUnreadBytes);
    }

    /** Opens or creates the journal without forcing it; the file of an earlier version is migrated into segments. */
    public static Journal open(Path folder, long budgetBytes) throws IOException {
        return open(folder, new FolderDisk(folder), budgetBytes);
    }

    /** Same as {@link #open(Path, long)}, on a given disk. */
    static Journal open(Path folder, Disk disk, long budgetBytes) throws IOException {
        return open(folder, disk, budgetBytes, Durability.NONE, null);
    }

    /**
     * Opens or creates the journal.
     *
     * @param budgetBytes upper bound of the size of all files together
     * @param executor forces off the event loop, for {@link Durability#BATCH}
     * @throws IOException if the budget is too small, the folder cannot be written, or a later version has written it
     */
    public static Journal open(
            Path folder, Disk disk, long budgetBytes, Durability durability, BackgroundExecutor executor)
            throws IOException {
        return new JournalOpener(folder, disk, durability, executor).open(budgetBytes);
    }

    /** Reads a journal without changing it, even while its process writes; NoSuchFileException if there is none. */
    public static Journal openReadOnly(Path folder) throws IOException {
        return JournalOpener.openReadOnly(folder);
    }

    /** Reads the log and deletes orphaned records; if the deletion fails, the next start finds them again. */
    void recover() throws IOException {
        Batch orphans = new JournalRecovery(log, contents).run();
        if (!orphans.isEmpty()) {
            writer.write(orphans);
        }
    }

    void recoverReadOnly() throws IOException {
        new JournalRecovery(log, contents).run();
    }

    void loadWithoutWriting(JournalImport records) {
        records.applyTo(contents, log);
    }

    /** Adds the records of another journal and writes them. */
    void importAll(JournalImport records) throws IOException {
        records.applyTo(contents, log);
        for (Supplier<Batch> batch : JournalSnapshot.withoutCompleted(contents, keyHoldJournal)) {
            log.write(batch.get());
        }
    }

    void importCompleted(CompletedRecord completed) throws IOException {
        long number = log.nextOwnerId();
        Batch batch = MessageRecords.putCompleted(new Batch(), number, completed);
        contents.addCompleted(number, completed).forEach(batch::delete);
        log.write(batch);
    }

    /** Writes a completed message without adding it to the deduplication cache of this process. */
    void importCompletedWithoutCache(CompletedRecord completed) throws IOException {
        log.write(MessageRecords.putCompleted(new Batch(), log.nextOwnerId(), completed));
    }

    JournalImport exportAll() {
        return new JournalImport(
                contents.pending.values(),
                contents.classes,
                contents.health.values(),
                contents.keyHolds,
                contents.handoffBatches,
                log.nextOwnerId());
    }

    List<CompletedRecord> completedRecords() {
        return contents.completed.all().stream()
                .map(JournalSnapshot::completedRecord)
                .toList();
    }

    DataLossReport dataLoss() {
        return dataLoss;
    }

    boolean forceNow() {
        return writer.forces().forceNow();
    }

    /** Returns the size of all files of the log in bytes. */
    public long usedBytes() {
        return log.usedBytes();
    }

    /** Returns the size of all live records in bytes. */
    public long liveBytes() {
        return log.liveBytes();
    }

    /**
     * Enables the check of the {@link FencingToken} after each write and in {@link #checkFencingToken}.
     *
     * @param onFenced runs if the token exists; has to end the process
     */
    public void watchFencingToken(Runnable onFenced) {
        writer.watchFencingToken(folder, onFenced);
    }

    /** Call immediately before an effect later than its record; IllegalStateException if the folder was taken over. */
    public void checkFencingToken() {
        writer.checkFencingToken();
    }

    /**
     * Runs an effect when everything written so far is as durable as configured: it survives a power loss if it is
     * forced, and the loss of the machine if the journal is replicated. Runs it immediately if it is neither.
     *
     * @param onFailure runs instead if that fails or takes too long; null to wait without a time limit
     */
    public void whenDurable(Runnable effect, Runnable onFailure) {
        writer.whenDurable(effect, onFailure);
    }

    /** Forces everything written so far on the calling thread, which blocks it. Returns whether that succeeded. */
    public boolean forceAll() {
        return writer.forces().forceAll();
    }

    /** Returns the number of effects that wait for a force. */
    public int deferredEffectCount() {
        return writer.forces().deferredEffectCount();
    }

    /** Returns why the journal cannot be written at present, empty while it can. */
    public String writeFailureReason() {
        return writer.failure().reason();
    }

    /** Returns after how many milliseconds a rejected client should retry; 0 while the journal is writable. */
    public long retryAfterMillis() {
        return writer.failure().isPresent() ? RETRY_AFTER_MILLIS : 0;
    }

    /** Returns whether the last rejected message may be found after a restart: then a retry may cause a duplicate. */
    public boolean lastWriteUncertain() {
        return lastWriteUncertain;
    }

    /** Returns the number of changes that are not on disk yet. */
    int pendingWriteCount() {
        return writer.pendingWrites().size();
    }

    /** Retries the writes that the disk has rejected; has to be called periodically. */
    public void retryFailedWrites() {
        writer.retryFailedWrites();
    }

    /** Runs one step of compaction if it is needed; returns whether there is more to do. */
    public boolean compactStep() {
        return writer.compactStep();
    }

    /** Makes the listener receive each further change and {@link #whenDurable} wait for it. */
    public void replicateTo(JournalChangeListener listener) {
        writer.replicateTo(listener);
    }

    /** Returns the last written position in the replicated log, null if the journal was never replicated. */
    public byte[] replicationPosition() {
        return contents.replicationPosition;
    }

    /** Returns the last written replica set, null if there never was one. */
    public byte[] replicaSet() {
        return contents.replicaSet;
    }

    /** Returns a batch of the replication position alone, for the end of a snapshot. */
    public Batch replicationPositionBatch() {
        return new Batch()
                .put(
                        contents.owners.getOrAllocate(OwnerNumbers.replication()),
                        RecordKind.REPLICATION_POSITION,
                        contents.replicationPosition);
    }

    /** Writes the replica set; false if the disk rejects it. */
    public boolean writeReplicaSet(byte[] replicaSet) {
        long owner = contents.owners.getOrAllocate(OwnerNumbers.replication());
        if (!writer.write(new Batch().put(owner, RecordKind.REPLICA_SET, replicaSet))) {
            return false;
        }
        contents.replicaSet = replicaSet;
        return true;
    }

    /** Returns all live records as batches, each encoded on demand; see {@link JournalSnapshot}. */
    public List<Supplier<Batch>> snapshotBatches() {
        return JournalSnapshot.allRecords(contents, keyHoldJournal);
    }

    /** Returns the messages that are not completed, in the order of acceptance. */
    public Collection<AcceptedMessage> pendingMessages() {
        return contents.pending.values();
    }

    /** Returns those of the given messages that are still to be delivered, in the given order. */
    public List<AcceptedMessage> undeliveredMessages(List<Long> numbers) {
        return numbers.stream()
                .map(contents.pending::get)
                .filter(message -> message != null && message.pendingNotification == null)
                .toList();
    }

    /** Returns a number for a new message. */
    public long nextNumber() {
        return log.nextOwnerId();
    }

    /** Returns whether a message with this id is pending or was completed recently. */
    public boolean containsId(String id) {
        return contents.containsId(id);
    }

    /** Returns whether the message known under this id has another content hash; false if that is unknown. */
    public boolean hasDifferentContent(String id, int contentHash) {
        return contents.hasDifferentContent(id, contentHash);
    }

    /** Writes a new message; false if there is no space for it or the disk rejects it. */
    public boolean accept(AcceptedMessage message) {
        lastWriteUncertain = false;
        if (!contents.space.fits(RecordSizes.of(message)) || !writer.allWritesResolved()) {
            return false;
        }
        if (!writer.write(MessageRecords.putPending(new Batch(), message))) {
            lastWriteUncertain = writer.hasUncertainWrite();
            return false;
        }
        contents.addPending(message);
        return true;
    }

    /**
     * Writes an attempt before its first byte is sent: a restart has to know that the upstream may have executed it.
     *
     * @param giveUpMillis time at which the attempt is given up; another owner makes no second one before
     * @return false if the disk rejects it; then the attempt must not be made, and the message is unchanged
     */
    public boolean recordAttempt(AcceptedMessage message, String uid, long nowMillis, long giveUpMillis) {
        AcceptedMessage.Attempts previous = message.attempts();
        message.attempt(uid, nowMillis, giveUpMillis);
        if (writer.pendingWrites().hasEffect(message.number)
                || !writer.write(MessageRecords.putAttempts(new Batch(), message))) {
            message.restore(previous);
            lastWriteUncertain = writer.hasUncertainWrite();
            return false;
        }
        // This record includes the outcome of the previous attempt.
        writer.pendingWrites().remove(message.number);
        return true;
    }

    /**
     * Writes an attempt of an idempotent message, now or when the disk accepts it. The attempt may be made meanwhile: a
     * restart before the write repeats it.
     */
    public void recordAttemptEventually(AcceptedMessage message, String uid, long nowMillis, long giveUpMillis) {
        message.attempt(uid, nowMillis, giveUpMillis);
        writeAttempts(message);
    }

    private void writeAttempts(AcceptedMessage message) {
        Batch batch = MessageRecords.putAttempts(new Batch(), message);
        writer.writeEventually(message.number, batch, PendingWrites.NO_EFFECT);
    }

    /** Returns whether a change of this message is not on disk yet. */
    public boolean hasPendingWrite(AcceptedMessage message) {
        return contents.isPending(message) && writer.pendingWrites().contains(message.number);
    }

    /** Writes the outcome of an attempt, now or when the disk accepts it. */
    public void recordOutcome(AcceptedMessage message, boolean mayHaveRun) {
        message.outcome(mayHaveRun);
        if (contents.isPending(message) && message.pendingNotification == null) {
            writeAttempts(message);
        }
    }

    /** Writes the end of a message with its notice; {@code onWritten} sends the notice after that is on disk. */
    public void endWithNotice(AcceptedMessage message, String notice, Runnable onWritten) {
        contents.endWithNotice(message, notice);
        writer.writeEventually(message.number, MessageRecords.putEnded(new Batch(), message), onWritten);
    }

    /** Writes the end of a message with its notice, now or when the disk accepts it. */
    public void endWithNotice(AcceptedMessage message, String notice) {
        endWithNotice(message, notice, PendingWrites.NO_EFFECT);
    }

    /** Completes a message that was delivered or whose notice was acknowledged; its id is retained for a while. */
    public void complete(AcceptedMessage message) {
        if (contents.isPending(message)) {
            CompletedRecord record = contents.completedRecord(message);
            Batch batch = MessageRecords.putCompleted(new Batch(), message.number, record);
            contents.complete(message, record).forEach(batch::delete);
            writer.writeEventually(message.number, batch, PendingWrites.NO_EFFECT);
        }
    }

    /** Returns the versions of message classes by number. */
    public Map<Integer, MessageClassRegistry.Version> classes() {
        return contents.classes;
    }

    /** Writes a version of a class before a message of it is accepted; false if the disk rejects it. */
    public boolean defineClass(int number, MessageClassRegistry.Version version) {
        if (version.equals(contents.classes.get(number))) {
            return true;
        }
        long owner = contents.owners.getOrAllocate(OwnerNumbers.messageClass(number));
        byte[] content = JournalRecordCodec.encodeClass(number, version);
        if (!writer.write(new Batch().put(owner, RecordKind.MESSAGE_CLASS, content))) {
            return false;
        }
        contents.putClass(number, version);
        return true;
    }

    /** Returns the health records, one for each upstream that is not healthy. */
    public Collection<HealthRecord> healthRecords() {
        return contents.health.values();
    }

    /** Writes a health record, now or when the disk accepts it; that of a healthy upstream deletes an earlier one. */
    public void recordHealth(HealthRecord record) {
        healthJournal.record(record);
    }

    /** Returns all handoff batches by name. */
    public Map<String, HandoffBatchRecord> handoffBatches() {
        return contents.handoffBatches;
    }

    /** Writes a batch's owner and completes messages given away; false if there is no space or the disk rejects it. */
    public boolean writeHandoffBatch(
            String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return handoffJournal.write(name, handoffRecord(ownership, untilMillis, messages));
    }

    private static HandoffBatchRecord handoffRecord(
            Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        List<Long> numbers = messages.stream().map(message -> message.number).toList();
        return new HandoffBatchRecord(ownership, untilMillis, numbers);
    }

    /** Writes an offer of a batch and holds on its keys in one write; false if there is no space for either. */
    public boolean offerHandoffBatch(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys,
            long holdUntilMillis) {
        return handoffJournal.offer(
                name, handoffRecord(ownership, untilMillis, messages), origin, keys, holdUntilMillis);
    }

    /** Writes that this sender owns a batch and its keys again; returns the keys that became free, null on failure. */
    public List<Long> reclaimHandoffBatch(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys) {
        return handoffJournal.reclaim(name, handoffRecord(ownership, untilMillis, messages), origin, keys);
    }

    /**
     * Accepts the messages of another sender's batch. The same write records their ownership, ends the origin's holds
     * on their keys, and ranks the messages that waited for these keys after them.
     *
     * @param rankedAfter messages to rank after the accepted ones
     * @return false if there is no space or the disk rejects the write
     */
    public boolean acceptHandoffBatch(
            String name,
            Ownership ownership,
            long untilMillis,
            List<AcceptedMessage> messages,
            String origin,
            List<AcceptedMessage> rankedAfter) {
        return handoffJournal.accept(
                name, handoffRecord(ownership, untilMillis, messages), messages, origin, rankedAfter);
    }

    /** Same as the other overload, for messages whose keys no other sender holds. */
    public boolean acceptHandoffBatch(
            String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return acceptHandoffBatch(name, ownership, untilMillis, messages, "", List.of());
    }

    /** Deletes expired batches, except those that are offered. */
    public void expireHandoffBatches(long nowMillis) {
        handoffJournal.expire(nowMillis);
    }

    /** Returns the holds of other senders on keys. */
    public KeyHolds keyHolds() {
        return contents.keyHolds;
    }

    /** Returns the rank of the first hold of each held key: messages with a lower rank were accepted before it. */
    public Map<Long, Long> keyHoldRanks() {
        return keyHoldJournal.ranks();
    }

    /** Writes that the origin holds these keys; false if there is no space or the disk rejects some of them. */
    public boolean holdKeys(String origin, List<Long> keys, long untilMillis) {
        return keyHoldJournal.hold(origin, keys, untilMillis);
    }

    /** Releases the origin's holds; returns the keys that are not held any more. */
    public List<Long> releaseKeys(String origin, List<Long> keys) {
        return keyHoldJournal.release(origin, keys);
    }

    /** Ends expired holds; returns the keys that are not held any more. */
    public List<Long> expireKeyHolds(long nowMillis) {
        return keyHoldJournal.expire(nowMillis);
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
