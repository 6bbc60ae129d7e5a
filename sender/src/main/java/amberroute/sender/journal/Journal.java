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
 * The write-ahead journal of a sender: each change is written before the effect that it allows. What was written survives the end
 * of the process; what has to survive a loss of power is forced, as {@link Durability} says.
 *
 * <p>Messages, handoff batches, key holds, health records and classes are owners in a {@link SegmentLog}. Each message reserves
 * room for all its later records, so that an accepted one can always be completed. What the disk does not take is retried ({@link
 * #retryFailedWrites}): meanwhile no message is accepted, no recorded attempt is made, and the effect of an outcome waits for its record.
 *
 * <p>Used on the event loop only. The state is in {@link JournalContents}, the write path in {@link JournalWriter}, the byte
 * layout in {@link JournalRecordCodec}.
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

    /** Opens or begins the journal without forcing it; one of an earlier version is migrated into segments. */
    public static Journal open(Path folder, long budgetBytes) throws IOException {
        return open(folder, new FolderDisk(folder), budgetBytes);
    }

    /** As {@link #open(Path, long)}, on a given disk. */
    static Journal open(Path folder, Disk disk, long budgetBytes) throws IOException {
        return open(folder, disk, budgetBytes, Durability.NONE, null);
    }

    /**
     * Opens or begins the journal.
     *
     * @param budgetBytes bound of all files together
     * @param executor forces off the event loop, for {@link Durability#BATCH}
     * @throws IOException where the budget is too small, the folder cannot be written, or a later version has written it
     */
    public static Journal open(
            Path folder, Disk disk, long budgetBytes, Durability durability, BackgroundExecutor executor)
            throws IOException {
        return new JournalOpener(folder, disk, durability, executor).open(budgetBytes);
    }

    /**
     * Reads a folder's journal without changing it, also while its process writes.
     *
     * @throws java.nio.file.NoSuchFileException where there is none
     */
    public static Journal openReadOnly(Path folder) throws IOException {
        return JournalOpener.openReadOnly(folder);
    }

    /** Reads the log, and deletes records that belong to nothing; where that fails the next start finds them again. */
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

    /** Takes the records of another journal and writes them. */
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

    /** Writes a completed message that this process itself need not know. */
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

    /** Returns the bytes of all files of the log. */
    public long usedBytes() {
        return log.usedBytes();
    }

    /** Returns the bytes of all live records. */
    public long liveBytes() {
        return log.liveBytes();
    }

    /**
     * From now on the {@link FencingToken} is checked behind each write, and by {@link #checkFencingToken}.
     *
     * @param onFenced runs when the token is there; it has to end the process
     */
    public void watchFencingToken(Runnable onFenced) {
        writer.watchFencingToken(folder, onFenced);
    }

    /**
     * Has to be called right before an effect that comes later than its record.
     *
     * @throws IllegalStateException where the folder was taken over
     */
    public void checkFencingToken() {
        writer.checkFencingToken();
    }

    /**
     * Runs an effect when all that was written so far survives what it has to: a loss of power where that is forced, the loss of
     * the machine where the journal is replicated; at once where neither is.
     *
     * @param onFailure runs in its place where that fails or takes too long; null to wait without bound
     */
    public void whenDurable(Runnable effect, Runnable onFailure) {
        writer.whenDurable(effect, onFailure);
    }

    /** Forces all that was written so far on this thread. Slow. Returns whether that succeeded. */
    public boolean forceAll() {
        return writer.forces().forceAll();
    }

    /** Returns the number of effects that wait for a force. */
    public int deferredEffectCount() {
        return writer.forces().deferredEffectCount();
    }

    /** Returns why the journal cannot be written just now, empty while it can. */
    public String writeFailureReason() {
        return writer.failure().reason();
    }

    /** Returns when a client that is rejected for it should retry, in milliseconds; 0 while the journal can be written. */
    public long retryAfterMillis() {
        return writer.failure().isPresent() ? RETRY_AFTER_MILLIS : 0;
    }

    /** Returns whether the last rejected message may be found after a restart: then a retry is not known to be harmless. */
    public boolean lastWriteUncertain() {
        return lastWriteUncertain;
    }

    /** Returns the number of changes that are not on the disk yet. */
    int pendingWriteCount() {
        return writer.pendingWrites().size();
    }

    /** Tries again what the disk did not take; to be called from time to time. */
    public void retryFailedWrites() {
        writer.retryFailedWrites();
    }

    /** Does a step of compaction where that is needed, between other work; returns whether there is more to do. */
    public boolean compactStep() {
        return writer.compactStep();
    }

    /** From now on each change is given to the listener, and {@link #whenDurable} waits for it. */
    public void replicateTo(JournalChangeListener listener) {
        writer.replicateTo(listener);
    }

    /** Returns the position in the replicated log that was last written, null where the journal was never replicated. */
    public byte[] replicationPosition() {
        return contents.replicationPosition;
    }

    /** Returns the replica set that was last written, null where there never was one. */
    public byte[] replicaSet() {
        return contents.replicaSet;
    }

    /** Returns the replication position as a change of its own, for the end of a snapshot. */
    public Batch replicationPositionBatch() {
        return new Batch()
                .put(
                        contents.owners.getOrAllocate(OwnerNumbers.replication()),
                        RecordKind.REPLICATION_POSITION,
                        contents.replicationPosition);
    }

    /** Writes the replica set; false where the disk does not take it. */
    public boolean writeReplicaSet(byte[] writeReplicaSet) {
        long owner = contents.owners.getOrAllocate(OwnerNumbers.replication());
        if (!writer.write(new Batch().put(owner, RecordKind.REPLICA_SET, writeReplicaSet))) {
            return false;
        }
        contents.replicaSet = writeReplicaSet;
        return true;
    }

    /** Returns all live records as batches, each encoded when it is asked for; see {@link JournalSnapshot}. */
    public List<Supplier<Batch>> snapshotBatches() {
        return JournalSnapshot.allRecords(contents, keyHoldJournal);
    }

    /** Returns the messages that are not completed, in the order of acceptance. */
    public Collection<AcceptedMessage> pendingMessages() {
        return contents.pending.values();
    }

    /** Returns those of these messages that are still to be delivered, in the order given. */
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

    /** Returns whether a message of this id is pending or was completed not long ago. */
    public boolean containsId(String id) {
        return contents.containsId(id);
    }

    /** Returns whether the message known under this id has another content hash, as far as that is known. */
    public boolean hasDifferentContent(String id, int contentHash) {
        return contents.hasDifferentContent(id, contentHash);
    }

    /** Writes a new message; false where there is no room for it, or the disk does not take it. */
    public boolean accept(AcceptedMessage message) {
        lastWriteUncertain = false;
        if (!contents.space.fits(RecordSizes.of(message)) || !writer.allWritesResolved()) {
            return false;
        }
        if (!writer.write(MessageRecords.putPending(new Batch(), message))) {
            lastWriteUncertain = writer.lastWriteUncertain();
            return false;
        }
        contents.addPending(message);
        return true;
    }

    /**
     * Writes an attempt, before its first byte is sent: a restart must know that the upstream may have carried the message out.
     *
     * @return false where the disk does not take it; then the attempt must not be made, and the message is as before
     */
    public boolean recordAttempt(AcceptedMessage message, String uid, long nowMillis) {
        AcceptedMessage.Attempts previous = message.attempts();
        message.attempt(uid, nowMillis);
        if (writer.pendingWrites().hasEffect(message.number)
                || !writer.write(MessageRecords.putAttempts(new Batch(), message))) {
            message.restore(previous);
            lastWriteUncertain = writer.lastWriteUncertain();
            return false;
        }
        // This record has the outcome of the attempt before, too.
        writer.pendingWrites().remove(message.number);
        return true;
    }

    /**
     * Notes an attempt, of an idempotent message, that is made although the disk does not take its record now. A restart before it
     * does makes the attempt once more.
     */
    public void recordAttemptEventually(AcceptedMessage message, String uid, long nowMillis) {
        message.attempt(uid, nowMillis);
        writeAttempts(message);
    }

    private void writeAttempts(AcceptedMessage message) {
        Batch batch = MessageRecords.putAttempts(new Batch(), message);
        writer.writeEventually(message.number, batch, PendingWrites.NO_EFFECT);
    }

    /** Returns whether a change of this message is not on the disk yet. */
    public boolean hasPendingWrite(AcceptedMessage message) {
        return contents.isPending(message) && writer.pendingWrites().contains(message.number);
    }

    /** Writes the outcome of an attempt, now or as soon as the disk takes it. */
    public void recordOutcome(AcceptedMessage message, boolean mayHaveRun) {
        message.outcome(mayHaveRun);
        if (contents.isPending(message) && message.pendingNotification == null) {
            writeAttempts(message);
        }
    }

    /** Writes the end of a message and its notice; {@code written} runs when that is on the disk, and sends the notice. */
    public void endWithNotice(AcceptedMessage message, String notice, Runnable onWritten) {
        contents.endWithNotice(message, notice);
        writer.writeEventually(message.number, MessageRecords.putEnded(new Batch(), message), onWritten);
    }

    /** Writes the end of a message and its notice, now or as soon as the disk takes it. */
    public void endWithNotice(AcceptedMessage message, String notice) {
        endWithNotice(message, notice, PendingWrites.NO_EFFECT);
    }

    /** Completes a message: it was delivered, or its notice was answered. Its id is remembered for a while. */
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

    /** Writes a version of a class, before a message of it is accepted; false where the disk does not take it. */
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

    /** Writes a health record, now or as soon as the disk takes it; that of a healthy upstream deletes an earlier one. */
    public void recordHealth(HealthRecord record) {
        healthJournal.record(record);
    }

    /** Returns all handoff batches by name. */
    public Map<String, HandoffBatchRecord> handoffBatches() {
        return contents.handoffBatches;
    }

    /** Writes who owns a batch; false where there is no room or the disk does not take it. One given away has no message here. */
    public boolean writeHandoffBatch(
            String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return handoffJournal.write(name, handoffRecord(ownership, untilMillis, messages));
    }

    private static HandoffBatchRecord handoffRecord(
            Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        List<Long> numbers = messages.stream().map(message -> message.number).toList();
        return new HandoffBatchRecord(ownership, untilMillis, numbers);
    }

    /** Writes an offer of a batch and holds on its keys, in one write; false where there is no room for either. */
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

    /** Writes that a batch and its keys are this daemon's again; returns the free keys, null where it was not written. */
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
     * Accepts the messages of another daemon's batch, in one write with who owns them, the end of the origin's holds on their
     * keys, and the new rank of the messages that waited for these keys.
     *
     * @param rankedAfter messages that go behind the accepted ones
     * @return false where there is no room or the disk does not take it
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

    /** As the other, without any key that another daemon may hold. */
    public boolean acceptHandoffBatch(
            String name, Ownership ownership, long untilMillis, List<AcceptedMessage> messages) {
        return acceptHandoffBatch(name, ownership, untilMillis, messages, "", List.of());
    }

    /** Deletes batches whose time is over, but for such as are offered. */
    public void expireHandoffBatches(long nowMillis) {
        handoffJournal.expire(nowMillis);
    }

    /** Returns the holds of other daemons on keys. */
    public KeyHolds keyHolds() {
        return contents.keyHolds;
    }

    /** For each held key the rank of its first hold: messages of a lower rank were accepted before it. */
    public Map<Long, Long> keyHoldRanks() {
        return keyHoldJournal.ranks();
    }

    /** Writes that the origin holds these keys; false where there is no room for it, or for some of them. */
    public boolean holdKeys(String origin, List<Long> keys, long untilMillis) {
        return keyHoldJournal.hold(origin, keys, untilMillis);
    }

    /** Releases the origin's holds; returns the keys that nobody holds any more. */
    public List<Long> releaseKeys(String origin, List<Long> keys) {
        return keyHoldJournal.release(origin, keys);
    }

    /** Ends holds whose time is over; returns the keys that nobody holds any more. */
    public List<Long> expireKeyHolds(long nowMillis) {
        return keyHoldJournal.expire(nowMillis);
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
