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
 * Writes random batches to a log on a faulty disk and compares the contents with an in-memory model. An interrupted batch must be
 * recovered completely or not at all.
 */
final class StorageScenario {
    /** Opens the log of each process. */
    interface LogOpener {
        SegmentLog open(Disk disk, LogLimits limits, long seed) throws IOException;
    }

    final SimulatedDisk disk = new SimulatedDisk();
    final LogLimits limits;
    private final SplittableRandom random;
    private final LogOpener opener;
    /** The contents of each owner by kind, in hexadecimal; a deleted owner has no entry. */
    private TreeMap<Long, TreeMap<Integer, String>> model = new TreeMap<>();
    /** The model at the last successful force, and each later one, whose changes may survive a power loss. */
    private final List<TreeMap<Long, TreeMap<Integer, String>>> modelsSinceForce = new ArrayList<>();
    /** The model after a batch whose outcome is unknown; null if there is none. */
    private TreeMap<Long, TreeMap<Integer, String>> pending;
    /** Owners for which an exclusive content was written, including by a failed batch. */
    private final Set<Long> exclusiveOwnerIds = new HashSet<>();

    SegmentLog log;
    long failedOperations;
    long writtenBatches;
    long retiredSegments;

    StorageScenario(LogLimits limits, long seed, LogOpener opener) {
        this.limits = limits;
        this.opener = opener;
        random = new SplittableRandom(seed);
        modelsSinceForce.add(model);
    }

    static SegmentLog openLog(Disk disk, LogLimits limits, long seed) throws IOException {
        return SegmentLog.open(disk, limits, new SplittableRandom(seed)::nextLong);
    }

    void openAndCheck(String context) throws IOException {
        log = opener.open(disk, limits, random.nextLong());
        assertContents(model, context);
    }

    private static TreeMap<Long, TreeMap<Integer, String>> copyOf(TreeMap<Long, TreeMap<Integer, String>> original) {
        TreeMap<Long, TreeMap<Integer, String>> copy = new TreeMap<>();
        original.forEach((ownerId, kinds) -> copy.put(ownerId, new TreeMap<>(kinds)));
        return copy;
    }

    static byte[] toBytes(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private byte[] randomContent() {
        byte[] content = new byte[random.nextInt(60)];
        random.nextBytes(content);
        return content;
    }

    private void put(Batch batch, long ownerId, int kind) {
        byte[] content = randomContent();
        batch.put(ownerId, kind, content);
        pending.computeIfAbsent(ownerId, o -> new TreeMap<>())
                .put(kind, HexFormat.of().formatHex(content));
    }

    private long randomOwnerId() {
        List<Long> ownerIds = List.copyOf(model.keySet());
        return ownerIds.get(random.nextInt(ownerIds.size()));
    }

    /** Adds an exclusive content; the owner may already have an exclusive one. */
    private void putExclusive(Batch batch, long ownerId) {
        byte[] content = randomContent();
        batch.putExclusive(ownerId, 1, content);
        TreeMap<Integer, String> exclusiveContent = new TreeMap<>();
        exclusiveContent.put(1, HexFormat.of().formatHex(content));
        pending.put(ownerId, exclusiveContent);
        exclusiveOwnerIds.add(ownerId);
    }

    /** Writes one batch; returns whether the write succeeded. */
    boolean writeRandomBatch(int maxOwners) {
        pending = copyOf(model);
        Batch batch = new Batch();
        int action = random.nextInt(10);
        if (model.size() >= maxOwners || action < 3 && !model.isEmpty()) {
            for (int i = random.nextInt(3); i >= 0; i--) {
                long ownerId = randomOwnerId();
                batch.delete(ownerId);
                pending.remove(ownerId);
            }
        } else if (action < 6 && !model.isEmpty()) {
            long ownerId = randomOwnerId();
            if (action == 5 || exclusiveOwnerIds.contains(ownerId)) {
                putExclusive(batch, ownerId);
            } else {
                put(batch, ownerId, 1 + random.nextInt(3));
            }
        } else {
            for (int i = random.nextInt(3); i >= 0; i--) {
                long ownerId = log.nextOwnerId();
                put(batch, ownerId, 1);
                if (random.nextBoolean()) {
                    put(batch, ownerId, 2);
                }
            }
        }
        if (action == 0 && !model.isEmpty()) {
            // Deletes one owner and adds another in the same batch, which must not be applied in part.
            long ownerId = randomOwnerId();
            batch.delete(ownerId);
            put(batch, log.nextOwnerId(), 1);
            pending.remove(ownerId);
        }
        try {
            log.write(batch);
        } catch (IOException e) {
            failedOperations++;
            if (!log.hasUncertainWrite()) {
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

    boolean compact(long maxBytes) {
        long retiredBefore = log.retiredSegments();
        try {
            boolean progressed = log.compact(maxBytes);
            retiredSegments += log.retiredSegments() - retiredBefore;
            return progressed;
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

    /** Runs a process until it is killed or all steps are done. */
    void runProcess(int steps, int maxOwners, String context) {
        try {
            openAndCheck(context);
            for (int i = 0; i < steps; i++) {
                writeRandomBatch(maxOwners);
                if (random.nextInt(3) == 0) {
                    compact(100 + random.nextInt(300));
                }
                if (limits.forceRequired() && random.nextInt(3) == 0) {
                    force();
                }
            }
        } catch (SimulatedDisk.ProcessKilledError e) {
            // Expected: the next process recovers the log.
        } catch (IOException e) {
            failedOperations++;
        }
    }

    /** Reads the disk without changing it, as the next process will, and decides whether an interrupted batch was written. */
    void resolvePendingBatch(String context) throws IOException {
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = readContents(SegmentLog.openReadOnly(disk));
        if (pending != null && found.equals(pending)) {
            model = pending;
            modelsSinceForce.add(model);
        }
        pending = null;
        assertEquals(model, found, context);
        assertEquals(List.of(), SegmentLog.openReadOnly(disk).losses(), context);
    }

    /** Simulates a power loss: forced contents must be recovered, and no deleted or unknown owner may appear. */
    void simulatePowerLoss(long seed, String context) throws IOException {
        disk.simulatePowerLoss(seed);
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = readContents(SegmentLog.openReadOnly(disk));
        TreeMap<Long, TreeMap<Integer, String>> forced = modelsSinceForce.get(0);
        // Any selection of the batches since then may be present; an owner that none of them changed must be unchanged.
        for (long ownerId : forced.keySet()) {
            boolean changedSinceForce =
                    modelsSinceForce.stream().anyMatch(m -> !forced.get(ownerId).equals(m.get(ownerId)))
                            || pending != null && !forced.get(ownerId).equals(pending.get(ownerId));
            assertTrue(
                    changedSinceForce || forced.get(ownerId).equals(found.get(ownerId)),
                    context + ": owner " + ownerId + " had " + forced.get(ownerId) + " and has " + found.get(ownerId));
        }
        for (long ownerId : found.keySet()) {
            assertTrue(
                    modelsSinceForce.stream().anyMatch(m -> m.containsKey(ownerId))
                            || pending != null && pending.containsKey(ownerId),
                    context + ": owner " + ownerId + " is present but not in any model since the last force");
        }
        model = found;
        pending = null;
        modelsSinceForce.clear();
        modelsSinceForce.add(model);
    }

    private static TreeMap<Long, TreeMap<Integer, String>> readContents(SegmentLog log) throws IOException {
        TreeMap<Long, TreeMap<Integer, String>> found = new TreeMap<>();
        log.readLiveContents((ownerId, kind, version, content) -> {
            String previous = found.computeIfAbsent(ownerId, o -> new TreeMap<>())
                    .put(kind, HexFormat.of().formatHex(toBytes(content)));
            assertEquals(null, previous, "owner " + ownerId + " has two contents of kind " + kind);
        });
        return found;
    }

    void assertContents(TreeMap<Long, TreeMap<Integer, String>> expected, String context) throws IOException {
        assertEquals(expected, readContents(log), context);
    }

    /** Compares the model with the contents of a newly opened log. */
    void assertStoredContents(String context) throws IOException {
        assertEquals(model, readContents(SegmentLog.openReadOnly(disk)), context);
    }

    int ownerCount() {
        return model.size();
    }
}
