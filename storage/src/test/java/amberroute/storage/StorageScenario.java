package amberroute.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Random batches on a log on a disk that fails, compared with a model that never saw the disk. An interrupted batch is found whole
 * or not at all.
 */
final class StorageScenario {
    /** Opens the log of each process. */
    interface Opener {
        SegmentLog open(Disk disk, LogLimits limits, long seed) throws IOException;
    }

    final SimulatedDisk disk = new SimulatedDisk();
    final LogLimits limits;
    private final SplittableRandom random;
    private final Opener opener;
    /** What each owner has, by kind, as text; a deleted owner has no entry. */
    private TreeMap<Long, TreeMap<Integer, String>> model = new TreeMap<>();
    /** The model as of the last force that succeeded, and each one since, which may count after a loss of power. */
    private final List<TreeMap<Long, TreeMap<Integer, String>>> modelsSinceForce = new ArrayList<>();

    private TreeMap<Long, TreeMap<Integer, String>> pending;
    /** Owners that were given an exclusive content, perhaps by a batch that failed. */
    private final Set<Long> sole = new HashSet<>();

    SegmentLog log;
    long failedOperations;
    long writtenBatches;
    long retiredSegments;

    StorageScenario(LogLimits limits, long seed, Opener opener) {
        this.limits = limits;
        this.opener = opener;
        random = new SplittableRandom(seed);
        modelsSinceForce.add(model);
    }

    static SegmentLog openLog(Disk disk, LogLimits limits, long seed) throws IOException {
        return SegmentLog.open(disk, limits, new SplittableRandom(seed)::nextLong);
    }

    void open(String at) throws IOException {
        log = opener.open(disk, limits, random.nextLong());
        assertContents(model, at);
    }

    private static TreeMap<Long, TreeMap<Integer, String>> copy(TreeMap<Long, TreeMap<Integer, String>> of) {
        TreeMap<Long, TreeMap<Integer, String>> copy = new TreeMap<>();
        of.forEach((owner, kinds) -> copy.put(owner, new TreeMap<>(kinds)));
        return copy;
    }

    static byte[] bytes(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private byte[] randomContent() {
        byte[] content = new byte[random.nextInt(60)];
        random.nextBytes(content);
        return content;
    }

    private void put(Batch batch, long owner, int kind) {
        byte[] content = randomContent();
        batch.put(owner, kind, content);
        pending.computeIfAbsent(owner, o -> new TreeMap<>())
                .put(kind, HexFormat.of().formatHex(content));
    }

    private long randomOwner() {
        List<Long> all = List.copyOf(model.keySet());
        return all.get(random.nextInt(all.size()));
    }

    /** Puts an exclusive content, over an earlier exclusive one at times. */
    private void putSole(Batch batch, long owner) {
        byte[] content = randomContent();
        batch.putExclusive(owner, 1, content);
        TreeMap<Integer, String> alone = new TreeMap<>();
        alone.put(1, HexFormat.of().formatHex(content));
        pending.put(owner, alone);
        sole.add(owner);
    }

    /** Writes one batch; returns whether it was written. */
    boolean writeRandomBatch(int most) {
        pending = copy(model);
        Batch batch = new Batch();
        int what = random.nextInt(10);
        if (model.size() >= most || what < 3 && !model.isEmpty()) {
            for (int i = random.nextInt(3); i >= 0; i--) {
                long owner = randomOwner();
                batch.delete(owner);
                pending.remove(owner);
            }
        } else if (what < 6 && !model.isEmpty()) {
            long owner = randomOwner();
            if (what == 5 || sole.contains(owner)) {
                putSole(batch, owner);
            } else {
                put(batch, owner, 1 + random.nextInt(3));
            }
        } else {
            for (int i = random.nextInt(3); i >= 0; i--) {
                long owner = log.nextOwner();
                put(batch, owner, 1);
                if (random.nextBoolean()) {
                    put(batch, owner, 2);
                }
            }
        }
        if (what == 0 && !model.isEmpty()) {
            // A batch that deletes one owner and puts another: never one alone.
            long owner = randomOwner();
            batch.delete(owner);
            put(batch, log.nextOwner(), 1);
            pending.remove(owner);
        }
        try {
            log.write(batch);
        } catch (IOException e) {
            failedOperations++;
            if (!log.uncertain()) {
                pending = null;
            }
            return false;
        }
        writtenBatches++;
        model = pending;
        pending = null;
        modelsSinceForce.add(model);
        return true;
    }

    boolean compact(long most) {
        long before = log.retired();
        try {
            boolean did = log.compact(most);
            retiredSegments += log.retired() - before;
            return did;
        } catch (IOException e) {
            failedOperations++;
            return false;
        }
    }

    /** Returns whether the force succeeded. */
    boolean force() {
        PendingForce force = log.prepareForce();
        if (force == null) {
            return true;
        }
        boolean succeeded = true;
        try {
            force.run();
        } catch (IOException e) {
            succeeded = false;
            failedOperations++;
        }
        log.forceCompleted(force, succeeded);
        if (succeeded && !log.needsRewrite()) {
            modelsSinceForce.clear();
            modelsSinceForce.add(model);
        }
        return succeeded;
    }

    /** Runs a process until it is killed or its steps are done. */
    void runProcess(int steps, int most, String at) {
        try {
            open(at);
            for (int i = 0; i < steps; i++) {
                writeRandomBatch(most);
                if (random.nextInt(3) == 0) {
                    compact(100 + random.nextInt(300));
                }
                if (limits.forceRequired() && random.nextInt(3) == 0) {
                    force();
                }
            }
        } catch (SimulatedDisk.ProcessKilledError e) {
            // Expected: the next process recovers.
        } catch (IOException e) {
            failedOperations++;
        }
    }

    /** Reads the disk as the next process will find it, without changing it, and resolves a batch that was interrupted. */
    void resolvePending(String at) throws IOException {
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = readContents(SegmentLog.openReadOnly(disk));
        if (pending != null && found.equals(pending)) {
            model = pending;
            modelsSinceForce.add(model);
        }
        pending = null;
        assertEquals(model, found, at);
        assertEquals(List.of(), SegmentLog.openReadOnly(disk).losses(), at);
    }

    /** Power fails: forced contents are there, and each batch since is whole or absent. */
    void failPower(long seed, String at) throws IOException {
        disk.failPower(seed);
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = readContents(SegmentLog.openReadOnly(disk));
        TreeMap<Long, TreeMap<Integer, String>> forced = modelsSinceForce.get(0);
        // Batches since then may be there or not, in any selection; an owner that none of them changed has to be as it
        // was.
        for (long owner : forced.keySet()) {
            boolean touched =
                    modelsSinceForce.stream().anyMatch(m -> !forced.get(owner).equals(m.get(owner)))
                            || pending != null && !forced.get(owner).equals(pending.get(owner));
            assertTrue(
                    touched || forced.get(owner).equals(found.get(owner)),
                    at + ": owner " + owner + " had " + forced.get(owner) + " and has " + found.get(owner));
        }
        for (long owner : found.keySet()) {
            assertTrue(
                    modelsSinceForce.stream().anyMatch(m -> m.containsKey(owner))
                            || pending != null && pending.containsKey(owner),
                    at + ": owner " + owner + " is back");
        }
        model = found;
        pending = null;
        modelsSinceForce.clear();
        modelsSinceForce.add(model);
    }

    private static TreeMap<Long, TreeMap<Integer, String>> readContents(SegmentLog log) throws IOException {
        TreeMap<Long, TreeMap<Integer, String>> found = new TreeMap<>();
        log.read((owner, kind, version, content) -> {
            String before = found.computeIfAbsent(owner, o -> new TreeMap<>())
                    .put(kind, HexFormat.of().formatHex(bytes(content)));
            assertEquals(null, before, "owner " + owner + " has two of kind " + kind);
        });
        return found;
    }

    void assertContents(TreeMap<Long, TreeMap<Integer, String>> expected, String at) throws IOException {
        assertEquals(expected, readContents(log), at);
    }

    /** Compares the model with what a new reading of the disk finds. */
    void assertStoredContents(String at) throws IOException {
        assertEquals(model, readContents(SegmentLog.openReadOnly(disk)), at);
    }

    int owners() {
        return model.size();
    }
}
