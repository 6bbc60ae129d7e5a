package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.config.Durability;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.DeduplicationCache;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.sender.util.Log;
import amberroute.sender.util.ModifiedUtf8;
import amberroute.storage.Batch;
import amberroute.storage.Disk;
import amberroute.storage.FolderDisk;
import amberroute.storage.SegmentLog;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What this sender owes, in a folder that outlasts its process: each change is written before the effect that it tells of.
 * What the kernel has outlasts the process; what is to outlast a loss of power is forced, as {@link Durability} has it.
 *
 * <p>Stands on {@link SegmentLog}: a message, a lot, a hold, a class and a place that is remembered are owners there, under a
 * number each. Every message reserves room for all that can come to stand of it, so that once taken on it can always be ended.
 * What could not be written is kept and tried again ({@link #retry}); a notice waits for that ({@link #end}), an attempt is
 * not made, and nothing is taken on meanwhile ({@link #trouble}).
 */
public final class Journal implements Closeable {
    // What an owner has. Numbers are in files: never used for anything else.
    private static final int MESSAGE = 1;
    private static final int STANDING = 2;
    private static final int LOT = 3;
    private static final int HOLD = 4;
    private static final int MEMORY = 5;
    private static final int CLASS = 6;
    private static final int RANK = 7;
    /** How far the estate's record has come, and who holds copies of it; for whoever keeps copies. */
    public static final int REPLICATION_POSITION = 8;

    public static final int REPLICA_SET = 9;
    // Forms of a message.
    private static final int WHOLE = 0;
    private static final int ENDED = 1;
    private static final int GONE = 2;

    /** Bytes that an item has beside its content. */
    private static final int ITEM = 24;
    /**
     * What can stand of a message beside its acceptance: its attempts with two uids of up to 128 characters, its rank, its
     * notice.
     */
    private static final int LATER = 480;
    /** The share of the budget that ids of ended messages may take, and the most of them in bytes. */
    private static final int REMEMBERED_SHARE = 32;

    private static final long MOST_REMEMBERED = 4 << 20;
    /**
     * What is remembered of destinations that are out or cold may take so much of the budget, the longest unchanged forgotten
     * first: 1,950 of them with 3 MB. One that is forgotten is taken for well by the next process, which its trials mend.
     */
    private static final int MEMORIES_SHARE = 16;

    private static final int LEAST_MEMORIES = 128;
    private static final int MEMORY_BYTES = 96;
    /** Lots of which something is known; with more, none is offered or taken. */
    private static final int MOST_LOTS = 4_096;
    /** Room for a lot, but for the numbers of its messages: names have 128 and 64 characters at most. */
    private static final int LOT_BYTES = 256;
    /** Room for one origin's hold on one key. */
    private static final int HOLD_BYTES = 112;
    /** Part of the budget that holds on keys may take, and another that lots may, so that messages keep their room. */
    private static final int HOLDS_SHARE = 8;

    private static final int LOTS_SHARE = 8;
    /** Changes that could not be written are tried again so many at a time. */
    private static final int RETRIED = 64;
    /** Bytes copied on between two turns at most; some tens of microseconds. */
    private static final long SLICE = 16 * 1_024;
    /** When to come again where the disk is in the way. */
    private static final long AGAIN_MS = 1_000;

    private static final int PEEKS = 5;
    private static final int MOST_FORCES = 5;

    /** What the module wants to know of a place again, {@code uid} empty for a whole destination; wall time. */
    public record HealthRecord(
            int destination,
            String uid,
            DeliveryScheduler.UpstreamStatus health,
            long sinceMillis,
            double callsPerSecond,
            double usualLatencyMicros) {
        String upstreamKey() {
            return destination + " " + uid;
        }
    }

    /**
     * What is known of a lot that moved or was to move: whose it is, until when that has to be kept (wall time), and the
     * numbers of its messages here.
     */
    public record HandoffBatchRecord(Ownership ownership, long untilMillis, List<Long> messageNumbers) {}

    /** What an owner has to have on the disk and has not yet; what then may follow. */
    private record PendingWrite(Batch batch, Runnable then) {}

    /** Lets slow work run beside the event loop. */
    public interface BackgroundExecutor {
        /** {@code work} on another thread, then {@code then} on the loop. */
        void runInBackground(Runnable work, Runnable then);

        /** On the loop, behind what is due there now: what comes together is forced together. */
        void runOnLoop(Runnable work);
    }

    /** Takes each change on to where copies of this journal are kept. */
    public interface ChangeListener {
        /** What stands with the next change of its place in the estate's record; null where that is not counted now. */
        byte[] replicationPosition();

        /** The change is on the disk. */
        void batchWritten(Batch batch);

        /** Runs an effect when all that was written so far is copied; {@code failed}, if there is one, when it is not in time. */
        void whenReplicated(Runnable effect, Runnable failed);
    }

    /** What may happen once all up to a record is on the disk for good; {@code failed} is null where it just waits on. */
    private record DeferredEffect(long sequence, Runnable effect, Runnable failed) {}

    private final Path folder;
    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor helper;
    private final Deque<DeferredEffect> waiting = new ArrayDeque<>();
    private SegmentLog.PendingForce forcing;
    private boolean forceDue;
    /** Of the force that is under way: that it has run, and what has to follow on the loop. */
    private CountDownLatch ended;

    private Runnable completion;
    /** Live contents may have so many bytes. */
    private final long room;

    private final Map<Long, AcceptedMessage> live = new LinkedHashMap<>();
    private final Map<String, Integer> liveIds = new HashMap<>();
    private final DeduplicationCache remembered;
    private final int mostMemories;
    private final Map<String, HealthRecord> memories = new LinkedHashMap<>();
    private final Map<String, HandoffBatchRecord> lots = new LinkedHashMap<>();
    /** Versions of classes that were taken on in, by number: at most {@link MessageClassRegistry#MOST}. */
    private final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();

    private final KeyHolds holds = new KeyHolds();
    /** Owners' numbers of lots, holds, memories and classes, by what they are of. */
    private final Map<String, Long> numbers = new HashMap<>();
    /** By owner; at most one for each live message and place. */
    private final Map<Long, PendingWrite> owed = new LinkedHashMap<>();

    private final LongSupplier clock = System::nanoTime;
    /** Looked for behind each record, null where nobody may take the folder over. */
    private File fence;
    /** Null where nobody keeps copies. */
    private ChangeListener copies;

    private byte[] place;
    private byte[] holders;
    private Runnable onFenced = () -> {};
    /** When old lots were last looked for, by the clock that their times are told by. */
    private long told;

    private long reserved;
    /** Bytes of an earlier version's file that could not be read, where that is what was looked at. */
    private long oldUnread;

    private String trouble = "";
    private boolean doubtful;

    private Journal(Path folder, SegmentLog log, Durability durability, BackgroundExecutor helper) {
        this.folder = folder;
        this.log = log;
        this.durability = durability;
        this.helper = helper;
        long budget = log.limits().budgetBytes();
        room = budget - log.reservedBytes();
        long most = Math.min(MOST_REMEMBERED, budget / REMEMBERED_SHARE);
        remembered = new DeduplicationCache(most);
        mostMemories = (int) Math.min(1 << 16, Math.max(LEAST_MEMORIES, budget / MEMORIES_SHARE / MEMORY_BYTES));
        reserved = most;
    }

    /** Opens or begins the journal; one that an earlier version wrote is moved into segments. Nothing is forced. */
    public static Journal open(Path folder, long budget) throws IOException {
        return open(folder, new FolderDisk(folder), budget);
    }

    /** The same on a disk of the tests' own, where there is no earlier version's journal. */
    static Journal open(Path folder, Disk disk, long budget) throws IOException {
        return open(folder, disk, budget, Durability.NONE, null);
    }

    /** {@code helper} forces off the event loop, for {@link Durability#BATCH}. */
    public static Journal open(Path folder, Disk disk, long budget, Durability durability, BackgroundExecutor helper)
            throws IOException {
        if (budget - 4_096 < SegmentLog.Limits.MIN_BUDGET_BYTES) {
            throw new IOException("the journal needs " + (SegmentLog.Limits.MIN_BUDGET_BYTES + 4_096)
                    + " bytes of disk, and has " + budget);
        }
        SegmentLog.Limits limits = SegmentLog.Limits.of(budget - 4_096, durability != Durability.NONE);
        LegacyJournalReader old = folder == null ? null : LegacyJournalReader.read(folder);
        boolean moves = old != null && !old.moved;
        if (moves) {
            // What a move that was not finished left; the old file still has all of it.
            for (String name : disk.list()) {
                if (SegmentLog.isSegment(name)) {
                    disk.delete(name);
                }
            }
        }
        Journal journal = new Journal(folder, SegmentLog.open(disk, limits, Journal::salt), durability, helper);
        try {
            journal.read(true);
            if (moves) {
                journal.moveIn(old);
            }
            if (durability != Durability.NONE && !journal.forceNow()) {
                throw new IOException("the journal in " + folder + " cannot be forced to the disk");
            }
            if (folder != null && (old == null || moves)) {
                Path fresh = folder.resolve(LegacyJournalReader.NAME + ".new");
                Files.write(fresh, LegacyJournalReader.mark());
                Files.move(fresh, folder.resolve(LegacyJournalReader.NAME), StandardCopyOption.ATOMIC_MOVE);
            }
        } catch (IOException | RuntimeException e) {
            journal.close();
            throw e;
        }
        journal.tell();
        return journal;
    }

    /** Reads a folder's journal and leaves it as it is, also while its process writes; for looking only. */
    public static Journal openReadOnly(Path folder) throws IOException {
        LegacyJournalReader old = LegacyJournalReader.read(folder);
        if (old == null) {
            throw new NoSuchFileException(
                    folder.resolve(LegacyJournalReader.NAME).toString());
        }
        for (int attempt = 1; ; attempt++) {
            try {
                Journal journal =
                        new Journal(folder, SegmentLog.openReadOnly(new FolderDisk(folder)), Durability.NONE, null);
                if (old.moved) {
                    journal.read(false);
                } else {
                    journal.take(old);
                    journal.oldUnread = old.unread;
                }
                return journal;
            } catch (NoSuchFileException e) {
                // A segment was retired between its being listed and its being read.
                if (attempt == PEEKS) {
                    throw e;
                }
            }
        }
    }

    /** Eight bytes that nobody outside knows; the JDK's own source would load its security providers at each start. */
    private static long salt() {
        try (InputStream random = Files.newInputStream(Path.of("/dev/urandom"))) {
            return ByteBuffer.wrap(random.readNBytes(Long.BYTES)).getLong();
        } catch (IOException | RuntimeException e) {
            return new SecureRandom().nextLong();
        }
    }

    private void tell() {
        if (log.tornBytes() > 0) {
            Log.warn("journal: passed over " + log.tornBytes() + " bytes of torn ends");
        }
        for (SegmentLog.DataLoss loss : log.losses()) {
            Log.warn("journal: DAMAGED: "
                    + (loss.damage().to() == 0
                            ? "segment " + loss.segment() + " is missing"
                            : "segment " + loss.segment() + " from byte "
                                    + loss.damage().from() + " to "
                                    + loss.damage().to() + " cannot be read")
                    + "; what it held is lost, all else was read");
        }
    }

    /** What could not be read: damage first, then torn ends; empty where everything could. */
    List<String> unread() {
        List<String> out = new ArrayList<>();
        log.losses()
                .forEach(loss -> out.add(
                        loss.damage().to() == 0
                                ? "segment " + loss.segment() + " is missing"
                                : "segment " + loss.segment() + ": bytes "
                                        + loss.damage().from() + " to "
                                        + loss.damage().to()));
        if (log.tornBytes() > 0) {
            out.add(log.tornBytes() + " bytes of torn ends");
        }
        if (oldUnread > 0) {
            out.add(oldUnread + " bytes at the end of an earlier version's file");
        }
        return out;
    }

    /** Whether more than a torn end could not be read. */
    boolean damaged() {
        return !log.losses().isEmpty() || oldUnread > 0;
    }

    /** Bytes on the disk, and of them those that are wanted. */
    public long usedBytes() {
        return log.usedBytes();
    }

    public long liveBytes() {
        return log.liveBytes();
    }

    /**
     * From now on a raised {@link FencingToken} is noticed behind each record and before any effect that it allows; then this is
     * run, which has to end the process.
     */
    public void watchFence(Runnable fenced) {
        fence = FencingToken.file(folder);
        onFenced = fenced;
    }

    /** To be called right before an effect that comes later than its record. */
    public void checkFence() {
        if (fence != null && fence.exists()) {
            onFenced.run();
            throw new IllegalStateException("this folder was taken over");
        }
    }

    // ---- Writing. ----

    private boolean write(Batch batch) {
        byte[] at = copies == null || batch.isEmpty() ? null : copies.replicationPosition();
        Batch whole = at == null ? batch : new Batch().addAll(batch).put(numberOf("estate"), REPLICATION_POSITION, at);
        try {
            log.write(whole);
        } catch (IOException e) {
            failed(e);
            return false;
        }
        if (at != null) {
            place = at;
            copies.batchWritten(whole);
        }
        if (durability == Durability.EACH) {
            forceNow();
        }
        if (!trouble.isEmpty() && owed.isEmpty() && !log.uncertain() && !log.needsRewrite()) {
            Log.warn("journal: can be written again");
            trouble = "";
        }
        checkFence();
        return true;
    }

    // ---- Power. ----

    /**
     * Runs an effect as soon as all that was written for it outlasts what it has to: a loss of power where that is forced, a
     * loss of the machine where copies are kept; at once where neither is. Where that fails, or takes too long, {@code failed}
     * runs in its place; with null it waits until what was written is safe by other ways.
     */
    public void whenDurable(Runnable effect, Runnable failed) {
        if (copies == null) {
            whenForced(effect, failed);
        } else {
            copies.whenReplicated(() -> whenForced(effect, failed), failed);
        }
    }

    private void whenForced(Runnable effect, Runnable failed) {
        if (durability == Durability.NONE
                || waiting.isEmpty() && !log.needsRewrite() && log.forcedSequence() >= log.sequence()) {
            effect.run();
            return;
        }
        waiting.add(new DeferredEffect(log.sequence(), effect, failed));
        if (!forceDue && helper != null) {
            forceDue = true;
            helper.runOnLoop(this::force);
        }
    }

    /** One force for all that has been written by now; while one runs, what comes waits for the next. */
    private void force() {
        forceDue = false;
        if (forcing != null || durability == Durability.NONE) {
            return;
        }
        forcing = log.prepareForce();
        if (forcing == null) {
            runSafe();
            return;
        }
        SegmentLog.PendingForce mine = forcing;
        IOException[] error = new IOException[1];
        CountDownLatch ran = new CountDownLatch(1);
        ended = ran;
        completion = () -> {
            // Once: whoever waits for it on the loop completes it ahead of the helper.
            if (forcing == mine) {
                forcing = null;
                forced(mine, error[0]);
            }
        };
        Runnable complete = completion;
        helper.runInBackground(
                () -> {
                    try {
                        mine.run();
                    } catch (IOException e) {
                        error[0] = e;
                    } finally {
                        ran.countDown();
                    }
                },
                () -> {
                    complete.run();
                    if (!waiting.isEmpty() && !log.needsRewrite()) {
                        force();
                    }
                });
    }

    private void forced(SegmentLog.PendingForce force, IOException error) {
        log.forceCompleted(force, error == null);
        if (error == null) {
            runSafe();
            return;
        }
        failed(new IOException(
                "forcing failed, what was written since the last one is written anew: " + error.getMessage()));
        List<DeferredEffect> all = List.copyOf(waiting);
        waiting.clear();
        for (DeferredEffect one : all) {
            if (one.failed() == null) {
                waiting.add(one);
            } else {
                one.failed().run();
            }
        }
    }

    private void runSafe() {
        while (!log.needsRewrite() && !waiting.isEmpty() && waiting.peek().sequence() <= log.forcedSequence()) {
            waiting.poll().effect().run();
        }
    }

    /** Forces on this thread; slow. False where what was written is not safe. */
    private boolean forceNow() {
        SegmentLog.PendingForce force = forcing == null ? log.prepareForce() : null;
        if (force != null) {
            IOException error = null;
            try {
                force.run();
            } catch (IOException e) {
                error = e;
            }
            forced(force, error);
        }
        return !log.needsRewrite() && log.forcedSequence() >= log.sequence();
    }

    /**
     * For what others are told at once, as between daemons: all that was written is on the disk for good when this returns
     * true, which takes a force, or several where one fails. Slow.
     */
    public boolean forceAll() {
        if (durability == Durability.NONE) {
            return true;
        }
        if (forcing != null) {
            // The helper's own comes first: its files must not be closed under it.
            try {
                ended.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
            completion.run();
        }
        for (int i = 0; i < MOST_FORCES; i++) {
            if (forceNow()) {
                return true;
            }
            copyOn();
        }
        return false;
    }

    /** What a failed force has left in doubt is copied on, so that the next one covers it. */
    private void copyOn() {
        try {
            while (log.needsRewrite() && log.compact(SLICE)) {
                // A slice after another.
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Effects that wait for a force. */
    public int deferredEffects() {
        return waiting.size();
    }

    private void failed(IOException e) {
        String now =
                e instanceof SegmentLog.LogFullException ? "the disk budget is spent" : String.valueOf(e.getMessage());
        if (!now.equals(trouble)) {
            Log.warn("journal: cannot be written: " + e);
        }
        trouble = now;
    }

    /** Why nothing is taken on just now; empty while all is well. */
    public String writeFailure() {
        return trouble;
    }

    /** When a client that is turned away for it should come again, in milliseconds; 0 where nothing is in the way. */
    public long retryAfterMillis() {
        return trouble.isEmpty() ? 0 : AGAIN_MS;
    }

    /**
     * Whether the message that was not taken on last may be found after all: then a refusal must not promise that coming
     * again is harmless.
     */
    public boolean uncertain() {
        return doubtful;
    }

    /** Changes that are not on the disk yet. */
    int pendingWriteCount() {
        return owed.size();
    }

    /** The owner's last state has to be written: now, or as soon as it can be. */
    private void mustWrite(long number, Batch batch, Runnable then) {
        if (owed.isEmpty() && write(batch)) {
            then.run();
        } else {
            owed.put(number, new PendingWrite(batch, then));
            retry();
        }
    }

    /** Tries again what could not be written; to be called from time to time. */
    public void retry() {
        if (log.needsRewrite() && forcing == null) {
            copyOn();
            force();
        }
        if (trouble.isEmpty() && owed.isEmpty()) {
            return;
        }
        try {
            log.resolveUncertainWrite();
        } catch (IOException e) {
            failed(e);
            return;
        }
        for (int i = 0; i < RETRIED && !owed.isEmpty(); i++) {
            Iterator<Map.Entry<Long, PendingWrite>> first = owed.entrySet().iterator();
            Map.Entry<Long, PendingWrite> next = first.next();
            if (!write(next.getValue().batch())) {
                return;
            }
            first.remove();
            next.getValue().then().run();
        }
        log.refillReserve();
        if (owed.isEmpty() && !log.uncertain() && !log.needsRewrite() && log.hasReserve() && !trouble.isEmpty()) {
            Log.warn("journal: can be written again");
            trouble = "";
        }
    }

    /** Copies a slice on, where room should be won back; to be called between turns. Returns whether there is more to do. */
    public boolean compactSlice() {
        if (!log.shouldCompact()) {
            return false;
        }
        if (log.awaitsForce() && helper != null && forcing == null) {
            force();
        }
        try {
            return log.compact(SLICE) && log.shouldCompact();
        } catch (IOException e) {
            failed(e);
            return false;
        }
    }

    private boolean fits(long more) {
        return reserved + more <= room;
    }

    // ---- Copies of it elsewhere. ----

    /** From now on each change goes on to copies, and effects wait for them. */
    public void replicateTo(ChangeListener to) {
        copies = to;
    }

    /** Where the estate's record had come to when this journal was last written, null where it never was copied. */
    public byte[] replicationPosition() {
        return place;
    }

    /** Who holds copies, as last written; null where nobody ever did. */
    public byte[] replicaSet() {
        return holders;
    }

    /** The place as a change of its own, for the end of a whole copy. */
    public Batch replicationPositionBatch() {
        return new Batch().put(numberOf("estate"), REPLICATION_POSITION, place);
    }

    /** Writes who holds copies: a change like others. */
    public boolean replicaSet(byte[] group) {
        if (!write(new Batch().put(numberOf("estate"), REPLICA_SET, group))) {
            return false;
        }
        holders = group;
        return true;
    }

    // ---- Messages. ----

    /** Messages that have not been concluded, in the order of acceptance. */
    public Collection<AcceptedMessage> pendingMessages() {
        return live.values();
    }

    public long nextNumber() {
        return log.nextOwner();
    }

    /** Whether this id was taken on, now or not long ago. */
    public boolean knows(String id) {
        return liveIds.containsKey(id) || remembered.knows(id);
    }

    /** Whether what is known under this id is another message, as far as can be told. */
    public boolean differs(String id, int content) {
        int known = liveIds.containsKey(id) ? liveIds.get(id) : remembered.content(id);
        return known != 0 && known != content;
    }

    /** Takes a message on; false where the budget or the disk has no room for it, or trouble is not over. */
    public boolean accept(AcceptedMessage m) {
        doubtful = false;
        if (!fits(reserve(m)) || !owed.isEmpty() || log.uncertain() || log.needsRewrite()) {
            return false;
        }
        if (!write(new Batch().put(m.number, MESSAGE, whole(m)))) {
            doubtful = log.uncertain();
            return false;
        }
        add(m);
        return true;
    }

    /** To be called before the attempt's first byte; false where it could not be written. */
    public boolean attempt(AcceptedMessage m, String uid, long wall) {
        AcceptedMessage.Attempts before = m.attempts();
        m.attempt(uid, wall);
        // What is owed of it stands in this as well.
        if (owed.containsKey(m.number) && owed.get(m.number).then() != NOTHING
                || !write(new Batch().put(m.number, STANDING, standing(m)))) {
            m.restore(before);
            doubtful = log.uncertain();
            return false;
        }
        owed.remove(m.number);
        return true;
    }

    /**
     * An attempt whose record the disk does not take now, of a message that may be repeated without harm: it is recorded as soon as it
     * can be, and a restart before that makes the attempt once more.
     */
    public void attemptUnrecorded(AcceptedMessage m, String uid, long wall) {
        m.attempt(uid, wall);
        mustWrite(m.number, new Batch().put(m.number, STANDING, standing(m)), NOTHING);
    }

    /** Whether a change of this message is not on the disk yet. */
    public boolean hasPendingWrite(AcceptedMessage m) {
        return live.containsKey(m.number) && owed.containsKey(m.number);
    }

    private static final Runnable NOTHING = () -> {};

    public void outcome(AcceptedMessage m, boolean mayHaveRun) {
        m.outcome(mayHaveRun);
        if (live.containsKey(m.number) && m.notice == null) {
            mustWrite(m.number, new Batch().put(m.number, STANDING, standing(m)), NOTHING);
        }
    }

    /** The end is decided and its notice owed; {@code written} runs once that is on the disk, and sends it. */
    public void end(AcceptedMessage m, String notice, Runnable written) {
        reserved -= reserve(m);
        m.end(notice);
        reserved += reserve(m);
        mustWrite(m.number, new Batch().putExclusive(m.number, MESSAGE, ended(m)), written);
    }

    public void end(AcceptedMessage m, String notice) {
        end(m, notice, NOTHING);
    }

    /** Nothing more is owed: it was delivered, or its notice has been answered. */
    public void conclude(AcceptedMessage m) {
        if (live.containsKey(m.number)) {
            Batch batch = new Batch().putExclusive(m.number, MESSAGE, gone(m));
            drop(m).forEach(batch::delete);
            mustWrite(m.number, batch, NOTHING);
        }
    }

    private void add(AcceptedMessage m) {
        live.put(m.number, m);
        liveIds.put(m.id, m.content);
        reserved += reserve(m);
    }

    /** Of a message that is over its id is left, for a while; returns what is forgotten for it. */
    private List<Long> drop(AcceptedMessage m) {
        live.remove(m.number);
        liveIds.remove(m.id);
        reserved -= reserve(m);
        return remembered.add(m.id, m.content, effect(m), m.number, clock.getAsLong());
    }

    private DeliveryScheduler.Idempotency effect(AcceptedMessage m) {
        MessageClassRegistry.Version version = classes.get(m.type);
        return version == null
                ? DeliveryScheduler.Idempotency.NON_IDEMPOTENT
                : version.type().idempotency();
    }

    private byte[] gone(AcceptedMessage m) {
        return gone(m.id, m.content, effect(m));
    }

    private static byte[] gone(String id, int content, DeliveryScheduler.Idempotency effect) {
        return bytes(out -> {
            out.writeByte(GONE);
            out.writeUTF(id);
            out.writeInt(content);
            out.writeByte(effect.ordinal());
        });
    }

    private static long reserve(AcceptedMessage m) {
        return 5 * ITEM
                + m.body.length
                + 3L * (m.id.length() + m.idempotencyKey.length() + m.className.length())
                + (m.notice == null ? 0 : m.notice.length())
                + LATER;
    }

    // ---- Classes and places. ----

    /** The versions of classes that were defined, by number. */
    public Map<Integer, MessageClassRegistry.Version> classes() {
        return classes;
    }

    /** To be called before a message of this version is taken on; false where it could not be written. */
    public boolean defineClass(int number, MessageClassRegistry.Version version) {
        if (version.equals(classes.get(number))) {
            return true;
        }
        if (!write(new Batch().put(numberOf("class " + number), CLASS, defined(number, version)))) {
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
        return 80 + ITEM + 3L * version.name().length();
    }

    private long numberOf(String name) {
        return numbers.computeIfAbsent(name, n -> log.nextOwner());
    }

    /** What was remembered of places, one for each. */
    public Collection<HealthRecord> healthRecords() {
        return memories.values();
    }

    /** That a place is well need not be kept. */
    public void recordHealth(HealthRecord memory) {
        Batch batch = new Batch();
        long number = keep(memory, batch);
        if (!batch.isEmpty()) {
            mustWrite(number, batch, NOTHING);
        }
    }

    private long keep(HealthRecord memory, Batch batch) {
        forget(memory.upstreamKey(), batch);
        if (memory.health() == DeliveryScheduler.UpstreamStatus.HEALTHY) {
            return 0;
        }
        long number = numberOf("place " + memory.upstreamKey());
        memories.put(memory.upstreamKey(), memory);
        reserved += MEMORY_BYTES + memory.uid().length();
        batch.put(number, MEMORY, remembered(memory));
        if (memories.size() > mostMemories) {
            forget(memories.keySet().iterator().next(), batch);
        }
        return number;
    }

    private void forget(String place, Batch batch) {
        HealthRecord old = memories.remove(place);
        if (old != null) {
            reserved -= MEMORY_BYTES + old.uid().length();
            long number = numbers.remove("place " + place);
            owed.remove(number);
            batch.delete(number);
        }
    }

    // ---- Lots. ----

    /** All lots of which something is known. */
    public Map<String, HandoffBatchRecord> handoffBatches() {
        return lots;
    }

    /** Those of these messages that are still owed here, in the order given. */
    public List<AcceptedMessage> pendingMessages(List<Long> numbers) {
        return numbers.stream()
                .map(live::get)
                .filter(m -> m != null && m.notice == null)
                .toList();
    }

    /** Writes whose a lot is. One that is given drops its messages, as they are another's now. */
    public boolean writeHandoffBatch(String name, Ownership ownership, long until, List<AcceptedMessage> messages) {
        return writeHandoffBatch(name, ownership, until, messages, new Batch());
    }

    private boolean writeHandoffBatch(
            String name, Ownership ownership, long until, List<AcceptedMessage> messages, Batch more) {
        HandoffBatchRecord lot = new HandoffBatchRecord(
                ownership, until, messages.stream().map(m -> m.number).toList());
        if (!roomForLot(name) || !mayChange(lot)) {
            return false;
        }
        Batch batch = new Batch().addAll(more).put(numberOf("lot " + name), LOT, lotContent(name, lot));
        List<AcceptedMessage> given = ownership.status() != Ownership.Status.GIVEN
                ? List.of()
                : lot.messageNumbers().stream()
                        .filter(live::containsKey)
                        .map(live::get)
                        .toList();
        given.forEach(m -> batch.putExclusive(m.number, MESSAGE, gone(m)));
        if (!write(batch)) {
            return false;
        }
        Batch forgotten = new Batch();
        given.forEach(m -> drop(m).forEach(forgotten::delete));
        // Where this cannot be written they are remembered for longer.
        write(forgotten);
        apply(name, lot);
        return true;
    }

    /** What is owed of its messages comes first. */
    private boolean mayChange(HandoffBatchRecord lot) {
        if (!owed.isEmpty()) {
            retry();
        }
        return lot.messageNumbers().stream().noneMatch(owed::containsKey);
    }

    /**
     * Writes that a lot is offered, and in the same batch that what comes of its keys after a restart has to wait; false
     * without room for either.
     */
    public boolean offerHandoffBatch(
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
        Batch batch = new Batch();
        keys.forEach(key -> holdOn(batch, origin, key, holdUntil));
        if (!writeHandoffBatch(name, ownership, until, messages, batch)) {
            return false;
        }
        keepHolds(origin, keys, holdUntil);
        return true;
    }

    /** Writes that a lot is this daemon's own again, and its keys with it; null where that could not be written. */
    public List<Long> reclaimHandoffBatch(
            String name,
            Ownership ownership,
            long until,
            List<AcceptedMessage> messages,
            String origin,
            List<Long> keys) {
        Batch batch = new Batch();
        keys.forEach(key -> letGo(batch, origin, key));
        return writeHandoffBatch(name, ownership, until, messages, batch) ? dropHolds(origin, keys) : null;
    }

    /**
     * Takes messages over from another daemon: they and whose they are stand in one batch, so never one alone. In the
     * same batch the origin's holds on the messages' keys end, and those that came here while they were held go behind.
     */
    public boolean acceptHandoffBatch(
            String name,
            Ownership ownership,
            long until,
            List<AcceptedMessage> messages,
            String origin,
            List<AcceptedMessage> behind) {
        long more = messages.stream().mapToLong(Journal::reserve).sum();
        HandoffBatchRecord lot = new HandoffBatchRecord(
                ownership, until, messages.stream().map(m -> m.number).toList());
        List<Long> keys = messages.stream()
                .map(m -> m.key)
                .filter(key -> holds.origins(key).contains(origin))
                .distinct()
                .toList();
        if (!roomForLot(name) || !fits(more) || !owed.isEmpty()) {
            return false;
        }
        Batch batch = new Batch().put(numberOf("lot " + name), LOT, lotContent(name, lot));
        for (AcceptedMessage m : messages) {
            if (m.notice == null) {
                batch.put(m.number, MESSAGE, whole(m));
                batch.put(m.number, STANDING, standing(m));
            } else {
                batch.putExclusive(m.number, MESSAGE, ended(m));
            }
        }
        keys.forEach(key -> letGo(batch, origin, key));
        List<Long> ranks = behind.stream().map(m -> log.nextOwner()).toList();
        for (int i = 0; i < ranks.size(); i++) {
            long rank = ranks.get(i);
            batch.put(behind.get(i).number, RANK, bytes(out -> out.writeLong(rank)));
        }
        if (!write(batch)) {
            return false;
        }
        messages.forEach(this::add);
        dropHolds(origin, keys);
        for (int i = 0; i < ranks.size(); i++) {
            AcceptedMessage m = behind.get(i);
            m.rank = ranks.get(i);
            if (live.remove(m.number) != null) {
                live.put(m.number, m);
            }
        }
        apply(name, lot);
        return true;
    }

    /** Without any key that another daemon may have. */
    public boolean acceptHandoffBatch(String name, Ownership ownership, long until, List<AcceptedMessage> messages) {
        return acceptHandoffBatch(name, ownership, until, messages, "", List.of());
    }

    private boolean roomForLot(String name) {
        long most = Math.min(MOST_LOTS, log.limits().budgetBytes() / LOTS_SHARE / LOT_BYTES);
        if (lots.size() >= most) {
            expireHandoffBatches(told);
        }
        return lots.size() < most || lots.containsKey(name);
    }

    /** What nobody can ask for any more: a late offer of messages whose time is up is refused for that. */
    public void expireHandoffBatches(long now) {
        told = now;
        List<String> old = lots.entrySet().stream()
                .filter(lot -> lot.getValue().untilMillis() < now
                        && lot.getValue().ownership().status() != Ownership.Status.OFFERED)
                .map(Map.Entry::getKey)
                .toList();
        Batch batch = new Batch();
        old.forEach(name -> batch.delete(numberOf("lot " + name)));
        if (write(batch)) {
            for (String name : old) {
                numbers.remove("lot " + name);
                reserved -= reserve(lots.remove(name));
            }
        }
    }

    private static long reserve(HandoffBatchRecord lot) {
        return LOT_BYTES + 8L * lot.messageNumbers().size();
    }

    private void apply(String name, HandoffBatchRecord lot) {
        HandoffBatchRecord before = lots.put(name, lot);
        reserved += reserve(lot) - (before == null ? 0 : reserve(before));
        for (long number : lot.messageNumbers()) {
            AcceptedMessage m = live.get(number);
            if (m != null && lot.ownership().status() != Ownership.Status.ENDED) {
                m.frozen = lot.ownership().status() == Ownership.Status.OFFERED;
            }
        }
    }

    // ---- Keys of which another daemon still has messages. ----

    public KeyHolds keyHolds() {
        return holds;
    }

    /** Writes that these keys are held for the origin; false where there is no room for it, or for some of them. */
    public boolean holdKeys(String origin, List<Long> keys, long until) {
        if (!roomForHolds(keys.size())) {
            return false;
        }
        int most = (int) Math.max(1, (log.limits().segmentBytes() - 1_024) / HOLD_BYTES);
        for (int from = 0; from < keys.size(); from += most) {
            List<Long> some = keys.subList(from, Math.min(keys.size(), from + most));
            Batch batch = new Batch();
            some.stream().distinct().forEach(key -> holdOn(batch, origin, key, until));
            if (!write(batch)) {
                return false;
            }
            keepHolds(origin, some, until);
        }
        return true;
    }

    private static String holdKeys(String origin, long key) {
        return "hold " + key + " " + origin;
    }

    private void holdOn(Batch batch, String origin, long key, long until) {
        batch.put(numberOf(holdKeys(origin, key)), HOLD, bytes(out -> {
            out.writeUTF(origin);
            out.writeLong(key);
            out.writeLong(until);
        }));
    }

    private void letGo(Batch batch, String origin, long key) {
        Long number = numbers.get(holdKeys(origin, key));
        if (number != null) {
            batch.delete(number);
        }
    }

    private boolean roomForHolds(int more) {
        return holds.hasCapacity(more)
                && (holds.size() + more) * (long) HOLD_BYTES <= log.limits().budgetBytes() / HOLDS_SHARE
                && fits(more * (long) HOLD_BYTES);
    }

    /** The origin has nothing of these keys any more. If that cannot be written the hold only lasts longer. */
    public List<Long> releaseKeys(String origin, List<Long> keys) {
        Batch batch = new Batch();
        keys.forEach(key -> letGo(batch, origin, key));
        write(batch);
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
        keys.forEach(key -> numbers.remove(holdKeys(origin, key)));
        reserved += (holds.size() - before) * (long) HOLD_BYTES;
        return free;
    }

    /** Ends holds whose time is up; where that cannot be written their time stands with them. */
    public List<Long> expireKeyHolds(long wall) {
        int before = holds.size();
        List<KeyHolds.KeyHold> over = holds.allHolds().stream()
                .filter(hold -> hold.untilMillis() <= wall)
                .toList();
        if (over.isEmpty()) {
            return List.of();
        }
        Batch batch = new Batch();
        for (KeyHolds.KeyHold hold : over) {
            letGo(batch, hold.origin(), hold.key());
            numbers.remove(holdKeys(hold.origin(), hold.key()));
        }
        write(batch);
        List<Long> free = holds.expire(wall);
        reserved += (holds.size() - before) * (long) HOLD_BYTES;
        return free;
    }

    @Override
    public void close() throws IOException {
        log.close();
    }

    // ---- Reading. ----

    /** What was read of one owner, in whatever order its contents stand. */
    private static final class RecoveredOwner {
        final long number;
        AcceptedMessage message;
        AttemptHistory standing;
        long rank;

        RecoveredOwner(long number) {
            this.number = number;
        }
    }

    /** A content that is whole and still ends early, as of a version that this one does not know, is an error like others. */
    private void readAll(SegmentLog.ContentReader reader) throws IOException {
        try {
            log.read(reader);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new IOException("a content of the journal cannot be read by this version", e);
        }
    }

    /** {@code mend}: contents that belong to nothing are ended. */
    private void read(boolean mend) throws IOException {
        Map<Long, RecoveredOwner> found = new HashMap<>();
        TreeMap<Long, Object[]> lotsByVersion = new TreeMap<>();
        TreeMap<Long, HealthRecord> memoriesByVersion = new TreeMap<>();
        TreeMap<Long, CompletedRecord> gone = new TreeMap<>();
        // Contents of one owner mostly stand behind one another.
        RecoveredOwner[] last = {new RecoveredOwner(0)};
        ModifiedUtf8 texts = new ModifiedUtf8();
        readAll((owner, kind, version, content) -> {
            if (kind <= STANDING || kind == RANK) {
                if (kind == MESSAGE && content.get(0) == GONE) {
                    gone.put(owner, readGone(content));
                    return;
                }
                if (last[0].number != owner) {
                    last[0] = found.computeIfAbsent(owner, RecoveredOwner::new);
                }
                switch (kind) {
                    case MESSAGE -> last[0].message = readMessage(owner, content, texts);
                    case STANDING -> last[0].standing = readStanding(content, texts);
                    default -> last[0].rank = content.getLong();
                }
                return;
            }
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(
                    content.array(), content.arrayOffset() + content.position(), content.remaining()));
            switch (kind) {
                case LOT -> {
                    String name = in.readUTF();
                    numbers.put("lot " + name, owner);
                    lotsByVersion.put(version * 4_096 + lotsByVersion.size() % 4_096, new Object[] {name, readLot(in)});
                }
                case HOLD -> {
                    String origin = in.readUTF();
                    long key = in.readLong();
                    numbers.put(holdKeys(origin, key), owner);
                    keepHolds(origin, List.of(key), in.readLong());
                }
                case MEMORY -> {
                    HealthRecord memory = new HealthRecord(
                            in.readInt(),
                            in.readUTF(),
                            DeliveryScheduler.UpstreamStatus.ofStoredName(in.readUTF()),
                            in.readLong(),
                            in.readDouble(),
                            in.readDouble());
                    numbers.put("place " + memory.upstreamKey(), owner);
                    memoriesByVersion.put(owner, memory);
                }
                case CLASS -> {
                    int number = in.readInt();
                    numbers.put("class " + number, owner);
                    keep(number, readVersion(in));
                }
                case REPLICATION_POSITION, REPLICA_SET -> {
                    numbers.put("estate", owner);
                    byte[] bytes = in.readAllBytes();
                    place = kind == REPLICATION_POSITION ? bytes : place;
                    holders = kind == REPLICA_SET ? bytes : holders;
                }
                default -> throw new IOException("content of kind " + kind + ", which this version does not know");
            }
        });
        memoriesByVersion.values().forEach(memory -> {
            memories.put(memory.upstreamKey(), memory);
            reserved += MEMORY_BYTES + memory.uid().length();
        });
        Batch orphans = new Batch();
        List<AcceptedMessage> messages = new ArrayList<>(found.size());
        for (RecoveredOwner f : found.values()) {
            if (f.message == null) {
                // Its acceptance was in a part that could not be read.
                orphans.delete(f.number);
                continue;
            }
            if (f.standing != null) {
                f.standing.apply(f.message);
            }
            f.message.rank = Math.max(f.message.rank, f.rank);
            messages.add(f.message);
        }
        messages.sort(Comparator.comparingLong(m -> m.rank));
        messages.forEach(this::add);
        for (Object[] lot : lotsByVersion.values()) {
            apply((String) lot[0], (HandoffBatchRecord) lot[1]);
        }
        for (Map.Entry<Long, CompletedRecord> entry : gone.entrySet()) {
            CompletedRecord g = entry.getValue();
            remembered
                    .add(g.id(), g.content(), g.effect(), entry.getKey(), clock.getAsLong())
                    .forEach(orphans::delete);
        }
        if (mend && !orphans.isEmpty()) {
            // On a disk that cannot be written they are met again at the next start.
            write(orphans);
        }
    }

    /** Everything that an earlier version's file has, as one owner after another. */
    private void moveIn(LegacyJournalReader old) throws IOException {
        Log.warn("journal: moves " + old.live.size() + " messages of an earlier version's file into segments");
        if (old.unread > 0) {
            Path aside = folder.resolve(LegacyJournalReader.NAME + ".damaged");
            Files.copy(folder.resolve(LegacyJournalReader.NAME), aside, StandardCopyOption.REPLACE_EXISTING);
            Log.warn("journal: the last " + old.unread + " bytes of that file cannot be read; it is kept as " + aside);
        }
        take(old);
        writeAll();
        for (Map.Entry<String, Integer> id : old.ended.entrySet()) {
            long number = log.nextOwner();
            Batch batch = new Batch()
                    .putExclusive(
                            number,
                            MESSAGE,
                            gone(id.getKey(), id.getValue(), DeliveryScheduler.Idempotency.NON_IDEMPOTENT));
            remembered
                    .add(
                            id.getKey(),
                            id.getValue(),
                            DeliveryScheduler.Idempotency.NON_IDEMPOTENT,
                            number,
                            clock.getAsLong())
                    .forEach(batch::delete);
            log.write(batch);
        }
    }

    /**
     * Writes all that can be read of a journal into another folder, which may not have one; the original is read only. The
     * copy has four times the room of what was read, at least 3 MB.
     */
    static void repair(Path from, Path into) throws IOException {
        Files.createDirectories(into);
        if (Files.exists(into.resolve(LegacyJournalReader.NAME))
                || SegmentLog.containsLog(new FolderDisk(into).list())) {
            throw new IOException("there is a journal in " + into + " already");
        }
        try (Journal source = openReadOnly(from);
                Journal copy = open(into, Math.max(3L << 20, 4 * source.liveBytes() + (1L << 20)))) {
            copy.take(
                    source.live.values(),
                    source.classes,
                    source.memories.values(),
                    source.holds,
                    source.lots,
                    source.log.nextOwner());
            copy.writeAll();
            for (DeduplicationCache.CompletedMessage known : source.remembered.all()) {
                copy.log.write(new Batch()
                        .putExclusive(
                                copy.log.nextOwner(), MESSAGE, gone(known.id(), known.content(), known.effect())));
            }
        }
    }

    /** All that is known but ids, as one owner after another. */
    private void writeAll() throws IOException {
        for (Supplier<Batch> part : parts()) {
            log.write(part.get());
        }
    }

    /**
     * All that is wanted, an owner after another and each as it is when it is asked for, empty where it is gone by then:
     * whoever takes this and each change from now on in their order has all.
     */
    public List<Supplier<Batch>> snapshotBatches() {
        List<Supplier<Batch>> parts = parts();
        for (DeduplicationCache.CompletedMessage known : remembered.all()) {
            parts.add(() -> !remembered.knows(known.id())
                    ? new Batch()
                    : new Batch()
                            .putExclusive(known.number(), MESSAGE, gone(known.id(), known.content(), known.effect())));
        }
        parts.add(() -> holders == null ? new Batch() : new Batch().put(numberOf("estate"), REPLICA_SET, holders));
        return parts;
    }

    private List<Supplier<Batch>> parts() {
        List<Supplier<Batch>> parts = new ArrayList<>();
        for (int number : classes.keySet()) {
            parts.add(() -> new Batch().put(numberOf("class " + number), CLASS, defined(number, classes.get(number))));
        }
        for (String place : memories.keySet()) {
            parts.add(() -> memories.containsKey(place)
                    ? new Batch().put(numberOf("place " + place), MEMORY, remembered(memories.get(place)))
                    : new Batch());
        }
        for (KeyHolds.KeyHold hold : holds.allHolds()) {
            parts.add(() -> {
                Batch batch = new Batch();
                if (holds.origins(hold.key()).contains(hold.origin())) {
                    holdOn(batch, hold.origin(), hold.key(), hold.untilMillis());
                }
                return batch;
            });
        }
        for (AcceptedMessage m : live.values()) {
            parts.add(() -> !live.containsKey(m.number)
                    ? new Batch()
                    : m.notice != null
                            ? new Batch().putExclusive(m.number, MESSAGE, ended(m))
                            : new Batch()
                                    .put(m.number, MESSAGE, whole(m))
                                    .put(m.number, STANDING, standing(m))
                                    .put(m.number, RANK, bytes(out -> out.writeLong(m.rank))));
        }
        for (String name : lots.keySet()) {
            parts.add(() -> lots.containsKey(name)
                    ? new Batch().put(numberOf("lot " + name), LOT, lotContent(name, lots.get(name)))
                    : new Batch());
        }
        return parts;
    }

    private void take(LegacyJournalReader old) {
        take(old.live.values(), old.classes, old.memories.values(), old.holds, old.lots, old.next);
    }

    private void take(
            Collection<AcceptedMessage> messages,
            Map<Integer, MessageClassRegistry.Version> versions,
            Collection<HealthRecord> places,
            KeyHolds held,
            Map<String, HandoffBatchRecord> known,
            long next) {
        versions.forEach(this::keep);
        for (HealthRecord memory : places) {
            memories.put(memory.upstreamKey(), memory);
            reserved += MEMORY_BYTES + memory.uid().length();
        }
        held.allHolds().forEach(hold -> keepHolds(hold.origin(), List.of(hold.key()), hold.untilMillis()));
        long rank = next;
        for (AcceptedMessage m : messages) {
            m.rank = rank++;
            add(m);
        }
        // Numbers of these messages stay theirs, and those that come later have later ranks.
        log.reserveOwnersBelow(rank);
        known.forEach(this::apply);
    }

    // ---- Contents. ----

    public interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    public static byte[] bytes(Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            content.write(out);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
        return bytes.toByteArray();
    }

    private static byte[] whole(AcceptedMessage m) {
        return message(m, WHOLE, out -> {
            out.writeInt(m.body.length);
            out.write(m.body);
        });
    }

    private static byte[] ended(AcceptedMessage m) {
        return message(m, ENDED, out -> {
            out.writeInt(m.attempts);
            out.writeUTF(m.notice == null ? "" : m.notice);
        });
    }

    private static byte[] message(AcceptedMessage m, int form, Content rest) {
        return bytes(out -> {
            out.writeByte(form);
            out.writeUTF(m.id);
            out.writeUTF(m.idempotencyKey);
            out.writeUTF(m.className);
            out.writeLong(m.key);
            out.writeInt(m.destination);
            out.writeLong(m.deadline);
            out.writeInt(m.type);
            out.writeInt(m.content);
            out.writeLong(m.rank);
            rest.write(out);
        });
    }

    private static AcceptedMessage readMessage(long number, ByteBuffer in, ModifiedUtf8 texts) throws IOException {
        int form = in.get();
        String id = ModifiedUtf8.read(in);
        String idempotencyKey = ModifiedUtf8.read(in);
        String className = texts.shared(in);
        long key = in.getLong();
        int destination = in.getInt();
        long deadline = in.getLong();
        int type = in.getInt();
        int content = in.getInt();
        long rank = in.getLong();
        if (form != WHOLE && form != ENDED) {
            throw new IOException("a message of form " + form + ", which this version does not know");
        }
        int length = form == WHOLE ? in.getInt() : 0;
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] body = new byte[length];
        in.get(body);
        AcceptedMessage m =
                new AcceptedMessage(number, id, idempotencyKey, className, key, destination, deadline, body, content);
        m.type = type;
        m.rank = rank;
        if (form == ENDED) {
            m.attempts = in.getInt();
            m.end(ModifiedUtf8.read(in));
        }
        return m;
    }

    /** The id of a message that is over. */
    private record CompletedRecord(String id, int content, DeliveryScheduler.Idempotency effect) {}

    private static CompletedRecord readGone(ByteBuffer in) throws IOException {
        in.get();
        return new CompletedRecord(
                ModifiedUtf8.read(in), in.getInt(), DeliveryScheduler.Idempotency.values()[in.get()]);
    }

    /** All that attempts have left behind. */
    private static byte[] standing(AcceptedMessage m) {
        return bytes(out -> {
            out.writeInt(m.attempts);
            out.writeLong(m.doubtSince);
            out.writeUTF(m.doubtAt);
            out.writeBoolean(m.out);
            out.writeLong(m.sentAt);
            out.writeUTF(m.sentTo);
        });
    }

    /** What attempts have left behind, as it was read. */
    private record AttemptHistory(
            int attempts, long doubtSince, String doubtAt, boolean out, long sentAt, String sentTo) {
        void apply(AcceptedMessage m) {
            m.attempts = attempts;
            m.doubtSince = doubtSince;
            m.doubtAt = doubtAt;
            m.out = out;
            m.sentAt = sentAt;
            m.sentTo = sentTo;
        }
    }

    private static AttemptHistory readStanding(ByteBuffer in, ModifiedUtf8 texts) throws IOException {
        return new AttemptHistory(
                in.getInt(), in.getLong(), texts.shared(in), in.get() != 0, in.getLong(), texts.shared(in));
    }

    private static byte[] defined(int number, MessageClassRegistry.Version version) {
        DeliveryScheduler.MessageClass c = version.type();
        return bytes(out -> {
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

    static MessageClassRegistry.Version readVersion(DataInputStream in) throws IOException {
        String name = in.readUTF();
        return new MessageClassRegistry.Version(
                name,
                new DeliveryScheduler.MessageClass(
                        in.readDouble(),
                        in.readDouble(),
                        in.readLong(),
                        in.readLong(),
                        DeliveryScheduler.Idempotency.values()[in.readByte()],
                        DeliveryScheduler.KeyScope.values()[in.readByte()],
                        in.readLong(),
                        in.readBoolean()));
    }

    private static byte[] remembered(HealthRecord memory) {
        return bytes(out -> {
            out.writeInt(memory.destination());
            out.writeUTF(memory.uid());
            out.writeUTF(memory.health().storedName());
            out.writeLong(memory.sinceMillis());
            out.writeDouble(memory.callsPerSecond());
            out.writeDouble(memory.usualLatencyMicros());
        });
    }

    private static byte[] lotContent(String name, HandoffBatchRecord lot) {
        return bytes(out -> {
            out.writeUTF(name);
            out.writeLong(lot.ownership().generation());
            out.writeUTF(lot.ownership().status().name());
            out.writeUTF(lot.ownership().peer());
            out.writeLong(lot.untilMillis());
            out.writeInt(lot.messageNumbers().size());
            for (long number : lot.messageNumbers()) {
                out.writeLong(number);
            }
        });
    }

    private static HandoffBatchRecord readLot(DataInputStream in) throws IOException {
        Ownership ownership = new Ownership(in.readLong(), Ownership.Status.valueOf(in.readUTF()), in.readUTF());
        long until = in.readLong();
        List<Long> numbers = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            numbers.add(in.readLong());
        }
        return new HandoffBatchRecord(ownership, until, numbers);
    }
}
