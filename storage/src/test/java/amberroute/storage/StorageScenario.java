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
 * Random batches on a log on a disk that fails, beside a model that never saw the disk. What a batch that was cut short may
 * have done is all of it or nothing.
 */
final class StorageScenario {
    interface Opener {
        SegmentLog open(Disk disk, SegmentLog.Limits limits, long seed) throws IOException;
    }

    final SimulatedDisk disk = new SimulatedDisk();
    final SegmentLog.Limits limits;
    private final SplittableRandom random;
    private final Opener opener;
    /** What each owner has, by kind, as text; an owner that is over has no entry. */
    private TreeMap<Long, TreeMap<Integer, String>> model = new TreeMap<>();
    /** The same as of the last force that succeeded, and all that may count behind a loss of power. */
    private final List<TreeMap<Long, TreeMap<Integer, String>>> sinceForced = new ArrayList<>();

    private TreeMap<Long, TreeMap<Integer, String>> pending;
    /** Owners that were given a last content, perhaps by a batch that failed. */
    private final Set<Long> sole = new HashSet<>();

    SegmentLog log;
    long failed;
    long written;
    long retired;

    StorageScenario(SegmentLog.Limits limits, long seed, Opener opener) {
        this.limits = limits;
        this.opener = opener;
        random = new SplittableRandom(seed);
        sinceForced.add(model);
    }

    static SegmentLog normal(Disk disk, SegmentLog.Limits limits, long seed) throws IOException {
        return SegmentLog.open(disk, limits, new SplittableRandom(seed)::nextLong);
    }

    void open(String at) throws IOException {
        log = opener.open(disk, limits, random.nextLong());
        same(model, at);
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

    private byte[] content() {
        byte[] content = new byte[random.nextInt(60)];
        random.nextBytes(content);
        return content;
    }

    private void put(Batch batch, long owner, int kind) {
        byte[] content = content();
        batch.put(owner, kind, content);
        pending.computeIfAbsent(owner, o -> new TreeMap<>())
                .put(kind, HexFormat.of().formatHex(content));
    }

    private long any() {
        List<Long> all = List.copyOf(model.keySet());
        return all.get(random.nextInt(all.size()));
    }

    /** From here on the owner has this alone; now and then that is said anew. */
    private void putSole(Batch batch, long owner) {
        byte[] content = content();
        batch.putExclusive(owner, 1, content);
        TreeMap<Integer, String> alone = new TreeMap<>();
        alone.put(1, HexFormat.of().formatHex(content));
        pending.put(owner, alone);
        sole.add(owner);
    }

    /** One batch; returns whether it was written. */
    boolean step(int most) {
        pending = copy(model);
        Batch batch = new Batch();
        int what = random.nextInt(10);
        if (model.size() >= most || what < 3 && !model.isEmpty()) {
            for (int i = random.nextInt(3); i >= 0; i--) {
                long owner = any();
                batch.delete(owner);
                pending.remove(owner);
            }
        } else if (what < 6 && !model.isEmpty()) {
            long owner = any();
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
            // One comes as another goes: never one alone.
            long owner = any();
            batch.delete(owner);
            put(batch, log.nextOwner(), 1);
            pending.remove(owner);
        }
        try {
            log.write(batch);
        } catch (IOException e) {
            failed++;
            if (!log.uncertain()) {
                pending = null;
            }
            return false;
        }
        written++;
        model = pending;
        pending = null;
        sinceForced.add(model);
        return true;
    }

    boolean compact(long most) {
        long before = log.retired();
        try {
            boolean did = log.compact(most);
            retired += log.retired() - before;
            return did;
        } catch (IOException e) {
            failed++;
            return false;
        }
    }

    /** Returns whether all that was written is on the disk for good. */
    boolean force() {
        SegmentLog.PendingForce force = log.prepareForce();
        if (force == null) {
            return true;
        }
        boolean succeeded = true;
        try {
            force.run();
        } catch (IOException e) {
            succeeded = false;
            failed++;
        }
        log.forceCompleted(force, succeeded);
        if (succeeded && !log.needsRewrite()) {
            sinceForced.clear();
            sinceForced.add(model);
        }
        return succeeded;
    }

    /** A whole life, until something kills it. */
    void live(int steps, int most, String at) {
        try {
            open(at);
            for (int i = 0; i < steps; i++) {
                step(most);
                if (random.nextInt(3) == 0) {
                    compact(100 + random.nextInt(300));
                }
                if (limits.forceRequired() && random.nextInt(3) == 0) {
                    force();
                }
            }
        } catch (SimulatedDisk.Killed e) {
            // As it was to be.
        } catch (IOException e) {
            failed++;
        }
    }

    /** Reads the disk as the next process will find it, without changing it; the batch that was cut short is settled. */
    void settle(String at) throws IOException {
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = found(SegmentLog.openReadOnly(disk));
        if (pending != null && found.equals(pending)) {
            model = pending;
            sinceForced.add(model);
        }
        pending = null;
        assertEquals(model, found, at);
        assertEquals(List.of(), SegmentLog.openReadOnly(disk).losses(), at);
    }

    /** The power fails: what was forced is there, and what was written since is a batch at a time or not at all. */
    void powerFails(long seed, String at) throws IOException {
        disk.powerFails(seed);
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        TreeMap<Long, TreeMap<Integer, String>> found = found(SegmentLog.openReadOnly(disk));
        TreeMap<Long, TreeMap<Integer, String>> forced = sinceForced.get(0);
        // Batches since then may be there or not, in any selection; what nobody touched since has to be as it was.
        for (long owner : forced.keySet()) {
            boolean touched =
                    sinceForced.stream().anyMatch(m -> !forced.get(owner).equals(m.get(owner)))
                            || pending != null && !forced.get(owner).equals(pending.get(owner));
            assertTrue(
                    touched || forced.get(owner).equals(found.get(owner)),
                    at + ": owner " + owner + " had " + forced.get(owner) + " and has " + found.get(owner));
        }
        for (long owner : found.keySet()) {
            assertTrue(
                    sinceForced.stream().anyMatch(m -> m.containsKey(owner))
                            || pending != null && pending.containsKey(owner),
                    at + ": owner " + owner + " is back");
        }
        model = found;
        pending = null;
        sinceForced.clear();
        sinceForced.add(model);
    }

    private static TreeMap<Long, TreeMap<Integer, String>> found(SegmentLog log) throws IOException {
        TreeMap<Long, TreeMap<Integer, String>> found = new TreeMap<>();
        log.read((owner, kind, version, content) -> {
            String before = found.computeIfAbsent(owner, o -> new TreeMap<>())
                    .put(kind, HexFormat.of().formatHex(bytes(content)));
            assertEquals(null, before, "owner " + owner + " has two of kind " + kind);
        });
        return found;
    }

    void same(TreeMap<Long, TreeMap<Integer, String>> expected, String at) throws IOException {
        assertEquals(expected, found(log), at);
    }

    /** What the model has now against what a fresh reading of the disk finds. */
    void check(String at) throws IOException {
        assertEquals(model, found(SegmentLog.openReadOnly(disk)), at);
    }

    int owners() {
        return model.size();
    }
}
