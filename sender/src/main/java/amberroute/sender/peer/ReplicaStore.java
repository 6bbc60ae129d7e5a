package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaState;
import amberroute.sender.journal.Journal;
import amberroute.sender.util.Log;
import amberroute.storage.Batch;
import amberroute.storage.FolderDisk;
import amberroute.storage.SegmentLog;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What this daemon holds of estates, its own and others': for each a file with the term that it has granted, and, for
 * others, the copy, which is a journal's folder like any. A new whole is built beside the copy and takes its place once it is all there.
 * What was promised is in the file before it is answered; the kernel has it, as with the journal.
 *
 * <p>At most {@value #MOST} estates, each copy within the budget of a journal. Not thread-safe: lives on the event loop.
 */
public final class ReplicaStore {
    private static final int MOST = 1_024;
    private static final String FILE = "holding";
    private static final long SLICE = 64 << 10;
    /** Of what was never heard of. */
    private static final long LONG_AGO_NANOS = 60_000_000_000L;

    /** One estate. */
    public static final class StoredReplica {
        public final String journalId;
        final Path folder;
        ReplicaState state = ReplicaState.NONE;
        /** As the copy names it; null where there is none. */
        ReplicaSet replicaSet;
        /** Nothing is owed of it any more; only the term is kept, so that nobody can begin it again. */
        boolean completed;
        /** Name of the copy's folder in this one's, empty where there is no whole copy. */
        String copyFolderName = "";

        SegmentLog log;
        /** A whole that is not all there, and by which term. */
        Path stagingFolder;

        SegmentLog stagingLog;
        long stagingTerm;
        /** The connection that the copy, and the whole that is under way, came on: others' lines may be older than they. */
        Object appendSource;

        Object stagingSource;
        /** Monotonic nanoseconds at which its owner last spoke of it. */
        long heardAtNanos = System.nanoTime();
        /** Owned by this process: the copy is a running journal. */
        boolean runningHere;
        /** Monotonic nanoseconds before which it is not tried for again. */
        long electionPausedUntilNanos = System.nanoTime();

        StoredReplica(String estate, Path folder) {
            this.journalId = estate;
            this.folder = folder;
        }

        /** The daemon whose estate it was at first. */
        String originalOwner() {
            return journalId.substring(0, journalId.lastIndexOf('.'));
        }

        Path copyFolder() {
            return folder.resolve(copyFolderName);
        }
    }

    private final Path folder;
    private final long budget;
    private final int most;
    private final Map<String, StoredReplica> all = new LinkedHashMap<>();
    private long staged;

    public ReplicaStore(Path folder, long budget) throws IOException {
        this(folder, budget, MOST);
    }

    /** For so many estates at most. */
    ReplicaStore(Path folder, long budget, int most) throws IOException {
        this.most = most;
        this.folder = folder;
        this.budget = budget;
        Files.createDirectories(folder);
        try (Stream<Path> folders = Files.list(folder)) {
            for (Path each : folders.sorted().toList()) {
                read(each);
            }
        }
    }

    /** A folder whose file cannot be read holds nothing: it is no holder until it has the whole again. */
    private void read(Path each) throws IOException {
        StoredReplica kept = new StoredReplica(each.getFileName().toString(), each);
        if (!kept.journalId.matches("[A-Za-z0-9._-]{1,96}") || kept.journalId.lastIndexOf('.') < 1) {
            return;
        }
        try {
            JsonObject json =
                    JsonParser.parseString(Files.readString(each.resolve(FILE))).getAsJsonObject();
            kept.copyFolderName = json.get("copy").getAsString();
            kept.completed = json.get("done").getAsBoolean();
            kept.state = new ReplicaState(
                    json.get("term").getAsLong(),
                    json.get("owner").getAsString(),
                    LogPosition.NONE,
                    json.get("fresh").getAsInt());
        } catch (IOException | RuntimeException e) {
            Log.warn("survival: " + each.resolve(FILE) + " cannot be read, nothing is held of " + kept.journalId + ": "
                    + e);
            return;
        }
        if (kept.completed) {
            kept.state = done(kept.state);
        } else if (!kept.copyFolderName.isEmpty()) {
            openCopy(kept);
        }
        deleteStaleFolders(kept);
        all.put(kept.journalId, kept);
    }

    private static ReplicaState done(ReplicaState holding) {
        return holding.withLogPosition(new LogPosition(Long.MAX_VALUE, 0));
    }

    /** Reads how far the copy reaches; one that is damaged is none. */
    private void openCopy(StoredReplica kept) {
        try {
            kept.log = SegmentLog.open(new FolderDisk(kept.copyFolder()), limits(), ReplicaStore::salt);
            byte[][] found = new byte[2][];
            kept.log.read((owner, kind, version, content) -> {
                if (kind == Journal.PLACE || kind == Journal.GROUP) {
                    found[kind == Journal.PLACE ? 0 : 1] = bytes(content);
                }
            });
            if (!kept.log.losses().isEmpty() || found[0] == null || found[1] == null) {
                throw new IOException("it is damaged");
            }
            kept.replicaSet = ReplicationMessages.group(found[1]);
            kept.state = kept.state.withLogPosition(ReplicationMessages.place(found[0]));
        } catch (IOException | RuntimeException e) {
            Log.warn("survival: the copy of " + kept.journalId + " counts for nothing until it is made anew: "
                    + e.getMessage());
            dropCopy(kept);
        }
    }

    private static byte[] bytes(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private SegmentLog.Limits limits() {
        return SegmentLog.Limits.of(budget - 4_096, false);
    }

    private static long salt() {
        return System.nanoTime() * 0x9e3779b97f4a7c15L;
    }

    private void dropCopy(StoredReplica kept) {
        close(kept.log);
        kept.log = null;
        kept.copyFolderName = "";
        // What it had counted; without it this holder is as one that never heard of the estate.
        kept.state = new ReplicaState(
                kept.state.term(), kept.state.owner(), LogPosition.NONE, ReplicaState.LISTED_WITHOUT_STATE);
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

    Map<String, StoredReplica> all() {
        return all;
    }

    /** What is known of an estate; null where there is no room for one more. */
    public StoredReplica findOrCreate(String estate) {
        StoredReplica kept = all.get(estate);
        if (kept == null && all.size() >= most) {
            forgetOldest();
        }
        if (kept == null && all.size() < most) {
            kept = new StoredReplica(estate, folder.resolve(estate));
            kept.heardAtNanos -= LONG_AGO_NANOS;
            all.put(estate, kept);
        }
        return kept;
    }

    /** Of those that are done the one known longest: what it owed is long past its time. */
    private void forgetOldest() {
        StoredReplica oldest =
                all.values().stream().filter(k -> k.completed).findFirst().orElse(null);
        if (oldest != null) {
            try {
                delete(oldest.folder);
                all.remove(oldest.journalId);
            } catch (IOException e) {
                Log.warn("survival: cannot remove " + oldest.folder + ": " + e.getMessage());
            }
        }
    }

    /** Has the term on disk; false where it cannot be written, and nothing has changed. */
    public boolean persistState(StoredReplica kept, ReplicaState next) {
        boolean same = next.term() == kept.state.term()
                && next.owner().equals(kept.state.owner())
                && next.nonVotingStage() == kept.state.nonVotingStage();
        if (same || write(kept, next, kept.copyFolderName)) {
            kept.state = next;
            return true;
        }
        return false;
    }

    private boolean write(StoredReplica kept, ReplicaState holding, String copy) {
        JsonObject json = new JsonObject();
        json.addProperty("term", holding.term());
        json.addProperty("owner", holding.owner());
        json.addProperty("copy", copy);
        json.addProperty("done", kept.completed);
        json.addProperty("fresh", holding.nonVotingStage());
        try {
            Files.createDirectories(kept.folder);
            Path aside = kept.folder.resolve(FILE + ".new");
            Files.writeString(aside, json.toString());
            Files.move(
                    aside,
                    kept.folder.resolve(FILE),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            return true;
        } catch (IOException e) {
            Log.warn("survival: cannot write what is held of " + kept.journalId + ": " + e);
            return false;
        }
    }

    /** Takes part of a whole; false where it cannot be kept, and the whole has to begin anew. */
    boolean stageSnapshot(StoredReplica kept, boolean first, long term, List<Batch> batches, Object from) {
        try {
            if (first) {
                close(kept.stagingLog);
                kept.stagingFolder = null;
                // What an earlier try left has no more room here.
                deleteStaleFolders(kept);
                kept.stagingFolder =
                        kept.folder.resolve("copy-" + term + "-" + System.currentTimeMillis() + "-" + ++staged);
                Files.createDirectories(kept.stagingFolder);
                kept.stagingLog = SegmentLog.open(new FolderDisk(kept.stagingFolder), limits(), ReplicaStore::salt);
                kept.stagingTerm = term;
                kept.stagingSource = from;
            }
            if (kept.stagingLog == null || kept.stagingTerm != term || kept.stagingSource != from) {
                return false;
            }
            apply(kept.stagingLog, batches);
            return true;
        } catch (IOException e) {
            Log.warn("survival: cannot keep the copy of " + kept.journalId + ": " + e.getMessage());
            return false;
        }
    }

    /** The whole is all there: it takes the place of the copy that was. */
    boolean installSnapshot(StoredReplica kept, ReplicaState next) {
        if (!write(kept, next, kept.stagingFolder.getFileName().toString())) {
            return false;
        }
        close(kept.log);
        kept.log = kept.stagingLog;
        kept.copyFolderName = kept.stagingFolder.getFileName().toString();
        kept.state = next;
        kept.appendSource = kept.stagingSource;
        kept.stagingLog = null;
        kept.stagingFolder = null;
        deleteStaleFolders(kept);
        return true;
    }

    /** Changes that follow what is there; false where they could not be written, and the copy counts for what it had. */
    boolean append(StoredReplica kept, ReplicaState next, List<Batch> batches) {
        if (kept.log == null || !persistState(kept, next.withLogPosition(kept.state.logPosition()))) {
            return false;
        }
        try {
            apply(kept.log, batches);
            kept.state = next;
            return true;
        } catch (IOException e) {
            Log.warn("survival: cannot keep the copy of " + kept.journalId + ": " + e.getMessage());
            // What it reaches now nobody can say without reading it.
            dropCopy(kept);
            write(kept, kept.state, "");
            return false;
        }
    }

    private static void apply(SegmentLog log, List<Batch> batches) throws IOException {
        for (Batch batch : batches) {
            log.write(batch);
        }
        if (log.worthCompacting()) {
            log.compact(SLICE);
        }
    }

    /** Hands the copy's folder to a journal; null where there is none. */
    Path lendLog(StoredReplica kept) {
        close(kept.log);
        kept.log = null;
        kept.runningHere = true;
        return kept.copyFolderName.isEmpty() ? null : kept.copyFolder();
    }

    /** The journal that had the folder is closed. */
    void reclaimLog(StoredReplica kept) {
        kept.runningHere = false;
        if (!kept.completed) {
            openCopy(kept);
        }
    }

    /** This daemon is no holder of it any more; the term that it promised stays, and counts for nothing. */
    void dropReplica(StoredReplica kept) {
        dropCopy(kept);
        kept.replicaSet = null;
        write(kept, kept.state, "");
        deleteStaleFolders(kept);
    }

    /** Nothing is owed of it any more. */
    void markCompleted(StoredReplica kept) {
        close(kept.log);
        kept.log = null;
        kept.completed = true;
        kept.state = done(kept.state);
        write(kept, kept.state, "");
        kept.copyFolderName = "";
        deleteStaleFolders(kept);
    }

    /** Removes what is no copy any more. */
    private void deleteStaleFolders(StoredReplica kept) {
        if (!Files.isDirectory(kept.folder)) {
            return;
        }
        List<Path> old = new ArrayList<>();
        try (Stream<Path> folders = Files.list(kept.folder)) {
            folders.filter(Files::isDirectory)
                    .filter(f ->
                            !f.getFileName().toString().equals(kept.copyFolderName) && !f.equals(kept.stagingFolder))
                    .forEach(old::add);
            for (Path each : old) {
                delete(each);
            }
        } catch (IOException e) {
            Log.warn("survival: cannot remove an old copy of " + kept.journalId + ": " + e.getMessage());
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    public void close() {
        all.values().forEach(kept -> {
            close(kept.log);
            close(kept.stagingLog);
        });
    }
}
