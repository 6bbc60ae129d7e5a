package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaState;
import amberroute.sender.journal.RecordKind;
import amberroute.sender.util.LogEvent;
import amberroute.storage.Batch;
import amberroute.storage.FolderDisk;
import amberroute.storage.LogLimits;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The replicas on this daemon's disk, of its own journal and of others': for each a file with the term that it has granted, and, for
 * others, the copy, which is a folder like any journal's. A snapshot is built beside the copy and takes its place once it is complete.
 * Invariant: what was promised is in the file before it is answered; the kernel has it, as with the journal.
 *
 * <p>At most {@value #MAX_REPLICAS} journals, each copy within the budget of a journal. Not thread-safe: lives on the event loop.
 */
public final class ReplicaStore {
    private static final int MAX_REPLICAS = 1_024;
    private static final Pattern JOURNAL_ID = Pattern.compile("[A-Za-z0-9._-]{1,96}");
    private static final long COMPACTION_SLICE_BYTES = 64 << 10;
    /** Bytes of a journal's budget for the state file and folders. */
    private static final int RESERVED_BYTES = 4_096;
    /** A journal that was never heard of counts as silent for so long. */
    private static final long NEVER_HEARD_NANOS = 60_000_000_000L;

    private static final long SALT_MULTIPLIER = 0x9e3779b97f4a7c15L;

    /** The replica of one journal. Its fields are changed by the store and by the parts of replication, on the event loop. */
    public static final class StoredReplica {
        /** Name of the journal. */
        public final String journalId;

        final Path folder;
        ReplicaState state = ReplicaState.NONE;
        /** As the copy names it; null where there is none. */
        ReplicaSet replicaSet;
        /** Nothing of it is pending any more; only the term is kept, so that nobody can begin it again. */
        boolean completed;
        /** Name of the copy's folder in this one's, empty where there is no complete copy. */
        String copyFolderName = "";

        SegmentLog log;
        /** A snapshot that is not complete, its log and its term; null where none is under way. */
        Path stagingFolder;

        SegmentLog stagingLog;
        long stagingTerm;
        /** The connection that the copy came on: lines of another one may be older than it. */
        Object appendSource;
        /** The same of the snapshot that is under way. */
        Object stagingSource;
        /** Monotonic nanoseconds at which its owner was last heard of it. */
        long heardAtNanos = System.nanoTime();
        /** Owned by this process: the copy is a running journal. */
        boolean runningHere;
        /** Monotonic nanoseconds before which this daemon does not stand for it. */
        long electionPausedUntilNanos = System.nanoTime();

        StoredReplica(String journalId, Path folder) {
            this.journalId = journalId;
            this.folder = folder;
        }

        /** The daemon that began the journal. */
        String originalOwner() {
            return journalId.substring(0, journalId.lastIndexOf('.'));
        }

        Path copyFolder() {
            return folder.resolve(copyFolderName);
        }

        private void complete() {
            completed = true;
            state = completedState(state);
        }

        /** Nobody's copy can be ahead of a completed journal. */
        private static ReplicaState completedState(ReplicaState state) {
            return state.withLogPosition(new LogPosition(Long.MAX_VALUE, 0));
        }
    }

    private final Path folder;
    private final long budgetBytes;
    private final int maxReplicas;
    private final Map<String, StoredReplica> replicas = new LinkedHashMap<>();
    private long snapshotCounter;

    /** Reads the replicas in a folder, which is created where it is missing; {@code budgetBytes} bounds each copy. */
    public ReplicaStore(Path folder, long budgetBytes) throws IOException {
        this(folder, budgetBytes, MAX_REPLICAS);
    }

    /** For so many journals at most. */
    ReplicaStore(Path folder, long budgetBytes, int maxReplicas) throws IOException {
        this.maxReplicas = maxReplicas;
        this.folder = folder;
        this.budgetBytes = budgetBytes;
        Files.createDirectories(folder);
        try (Stream<Path> folders = Files.list(folder)) {
            for (Path each : folders.sorted().toList()) {
                read(each);
            }
        }
    }

    /** A folder whose file cannot be read holds nothing: it is no replica until it has a snapshot again. */
    private void read(Path replicaFolder) {
        StoredReplica replica = new StoredReplica(replicaFolder.getFileName().toString(), replicaFolder);
        if (!JOURNAL_ID.matcher(replica.journalId).matches() || replica.journalId.lastIndexOf('.') < 1) {
            return;
        }
        try {
            ReplicaStateFile.Content content = ReplicaStateFile.read(replicaFolder);
            replica.copyFolderName = content.copyFolderName();
            replica.completed = content.completed();
            replica.state = content.state();
        } catch (IOException | RuntimeException e) {
            warn("replica_state_unreadable", replica, e);
            return;
        }
        if (replica.completed) {
            replica.complete();
        } else if (!replica.copyFolderName.isEmpty()) {
            openCopy(replica);
        }
        deleteStaleFolders(replica);
        replicas.put(replica.journalId, replica);
    }

    private static void warn(String event, StoredReplica replica, Exception cause) {
        LogEvent.of(event).with("journal", replica.journalId).cause(cause).warn();
    }

    /** Reads how far the copy reaches; one that is damaged is none. */
    private void openCopy(StoredReplica replica) {
        try {
            replica.log = SegmentLog.open(new FolderDisk(replica.copyFolder()), limits(), ReplicaStore::salt);
            byte[][] positionAndSet = new byte[2][];
            replica.log.readLiveContents((owner, kind, version, content) -> {
                if (kind == RecordKind.REPLICATION_POSITION) {
                    positionAndSet[0] = bytes(content);
                } else if (kind == RecordKind.REPLICA_SET) {
                    positionAndSet[1] = bytes(content);
                }
            });
            if (!replica.log.losses().isEmpty() || positionAndSet[0] == null || positionAndSet[1] == null) {
                throw new IOException("it is damaged");
            }
            replica.replicaSet = ReplicaRecords.decodeReplicaSet(positionAndSet[1]);
            replica.state = replica.state.withLogPosition(ReplicaRecords.decodePosition(positionAndSet[0]));
        } catch (IOException | RuntimeException e) {
            warn("replica_discarded", replica, e);
            discardCopy(replica);
        }
    }

    private static byte[] bytes(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private LogLimits limits() {
        return LogLimits.forBudget(budgetBytes - RESERVED_BYTES, false);
    }

    private static long salt() {
        return System.nanoTime() * SALT_MULTIPLIER;
    }

    /** Without its copy the replica is as one that never heard of the journal, but for the term. */
    private void discardCopy(StoredReplica replica) {
        close(replica.log);
        replica.log = null;
        replica.copyFolderName = "";
        replica.state = new ReplicaState(
                replica.state.term(), replica.state.owner(), LogPosition.NONE, ReplicaState.LISTED_WITHOUT_STATE);
    }

    private static void close(SegmentLog log) {
        try {
            if (log != null) {
                log.close();
            }
        } catch (IOException e) {
            // What was written is with the kernel.
        }
    }

    /** All replicas by journal. */
    Map<String, StoredReplica> all() {
        return replicas;
    }

    /** The replica of a journal, which is begun where it is unknown; null where there is no room for one more. */
    public StoredReplica findOrCreate(String journalId) {
        StoredReplica replica = replicas.get(journalId);
        if (replica == null && replicas.size() >= maxReplicas) {
            forgetOldestCompleted();
        }
        if (replica == null && replicas.size() < maxReplicas) {
            replica = new StoredReplica(journalId, folder.resolve(journalId));
            replica.heardAtNanos -= NEVER_HEARD_NANOS;
            replicas.put(journalId, replica);
        }
        return replica;
    }

    /** Its messages are long past their time. */
    private void forgetOldestCompleted() {
        StoredReplica oldest = replicas.values().stream()
                .filter(replica -> replica.completed)
                .findFirst()
                .orElse(null);
        if (oldest != null) {
            try {
                delete(oldest.folder);
                replicas.remove(oldest.journalId);
            } catch (IOException e) {
                warn("replica_folder_delete_failed", oldest, e);
            }
        }
    }

    /** Has the state on disk; false where it cannot be written, and nothing has changed. */
    public boolean persistState(StoredReplica replica, ReplicaState next) {
        ReplicaState current = replica.state;
        boolean unchangedOnDisk = next.term() == current.term()
                && next.owner().equals(current.owner())
                && next.nonVotingStage() == current.nonVotingStage();
        if (unchangedOnDisk || write(replica, next, replica.copyFolderName)) {
            replica.state = next;
            return true;
        }
        return false;
    }

    private boolean write(StoredReplica replica, ReplicaState state, String copyFolderName) {
        try {
            ReplicaStateFile.write(
                    replica.folder, new ReplicaStateFile.Content(state, copyFolderName, replica.completed));
            return true;
        } catch (IOException e) {
            warn("replica_state_write_failed", replica, e);
            return false;
        }
    }

    /** Takes a slice of a snapshot; false where it cannot be kept, and the snapshot has to begin anew. */
    boolean stageSnapshot(StoredReplica replica, boolean first, long term, List<Batch> batches, Object source) {
        try {
            if (first) {
                beginSnapshot(replica, term, source);
            }
            if (replica.stagingLog == null || replica.stagingTerm != term || replica.stagingSource != source) {
                return false;
            }
            apply(replica.stagingLog, batches);
            return true;
        } catch (IOException e) {
            warn("replica_write_failed", replica, e);
            return false;
        }
    }

    private void beginSnapshot(StoredReplica replica, long term, Object source) throws IOException {
        close(replica.stagingLog);
        replica.stagingFolder = null;
        // What an earlier snapshot left has no more room here.
        deleteStaleFolders(replica);
        replica.stagingFolder =
                replica.folder.resolve("copy-" + term + "-" + System.currentTimeMillis() + "-" + ++snapshotCounter);
        Files.createDirectories(replica.stagingFolder);
        replica.stagingLog = SegmentLog.open(new FolderDisk(replica.stagingFolder), limits(), ReplicaStore::salt);
        replica.stagingTerm = term;
        replica.stagingSource = source;
    }

    /** The snapshot is complete: it takes the place of the copy. False where that cannot be written. */
    boolean installSnapshot(StoredReplica replica, ReplicaState next) {
        String copyFolderName = replica.stagingFolder.getFileName().toString();
        if (!write(replica, next, copyFolderName)) {
            return false;
        }
        close(replica.log);
        replica.log = replica.stagingLog;
        replica.copyFolderName = copyFolderName;
        replica.state = next;
        replica.appendSource = replica.stagingSource;
        replica.stagingLog = null;
        replica.stagingFolder = null;
        deleteStaleFolders(replica);
        return true;
    }

    /** Records that follow the copy; false where they could not be written, and the copy counts for what it had. */
    boolean append(StoredReplica replica, ReplicaState next, List<Batch> batches) {
        if (replica.log == null || !persistState(replica, next.withLogPosition(replica.state.logPosition()))) {
            return false;
        }
        try {
            apply(replica.log, batches);
            replica.state = next;
            return true;
        } catch (IOException e) {
            warn("replica_write_failed", replica, e);
            // What it reaches now nobody can say without reading it.
            discardCopy(replica);
            write(replica, replica.state, "");
            return false;
        }
    }

    private static void apply(SegmentLog log, List<Batch> batches) throws IOException {
        for (Batch batch : batches) {
            log.write(batch);
        }
        if (log.shouldCompact()) {
            log.compact(COMPACTION_SLICE_BYTES);
        }
    }

    /** Hands the copy's folder to a journal, which owns it until {@link #reclaimLog}; null where there is none. */
    Path lendLog(StoredReplica replica) {
        close(replica.log);
        replica.log = null;
        replica.runningHere = true;
        return replica.copyFolderName.isEmpty() ? null : replica.copyFolder();
    }

    /** The journal that had the folder is closed. */
    void reclaimLog(StoredReplica replica) {
        replica.runningHere = false;
        if (!replica.completed) {
            openCopy(replica);
        }
    }

    /** This daemon is no replica of it any more; the term that it granted stays, and counts for nothing. */
    void dropReplica(StoredReplica replica) {
        discardCopy(replica);
        replica.replicaSet = null;
        write(replica, replica.state, "");
        deleteStaleFolders(replica);
    }

    /** Nothing of the journal is pending any more. */
    void markCompleted(StoredReplica replica) {
        close(replica.log);
        replica.log = null;
        replica.complete();
        write(replica, replica.state, "");
        replica.copyFolderName = "";
        deleteStaleFolders(replica);
    }

    /** Removes what is neither the copy nor the snapshot that is under way. */
    private void deleteStaleFolders(StoredReplica replica) {
        if (!Files.isDirectory(replica.folder)) {
            return;
        }
        List<Path> stale = new ArrayList<>();
        try (Stream<Path> folders = Files.list(replica.folder)) {
            folders.filter(Files::isDirectory)
                    .filter(each -> !each.getFileName().toString().equals(replica.copyFolderName)
                            && !each.equals(replica.stagingFolder))
                    .forEach(stale::add);
            for (Path each : stale) {
                delete(each);
            }
        } catch (IOException e) {
            warn("replica_folder_delete_failed", replica, e);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Closes the logs of all copies. */
    public void close() {
        replicas.values().forEach(replica -> {
            close(replica.log);
            close(replica.stagingLog);
        });
    }
}
