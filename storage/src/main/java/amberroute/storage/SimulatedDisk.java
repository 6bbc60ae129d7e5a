package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A disk in memory, for tests and experiments. It kills the process, fails or fills up at an operation chosen by its number. How
 * much of a write lands is drawn from a seed, so a run can be repeated exactly. It records what was forced, and {@link
 * #failPower} loses the rest, each name and each file's end on its own. Not thread-safe.
 */
public final class SimulatedDisk implements Disk {
    /** The simulated process was killed: it must not do anything more. */
    public static final class ProcessKilledError extends Error {
        private static final long serialVersionUID = 1;
    }

    /** What happens at the chosen operation. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** The process dies; a write lands in part. */
        KILL,
        /** One operation fails. */
        FAIL,
        /** One operation fails, and truncating does too from then on. */
        FAIL_AND_TRUNCATE_FAILS,
        /** Writes fail from then on for want of room. */
        FULL,
        /** All changes fail from then on. */
        READ_ONLY,
        /** Forces fail from then on. */
        FAIL_FORCES
    }

    /** One file's bytes; a name that is deleted and created again is another file. */
    private static final class Content {
        byte[] bytes = {};
        byte[] forced = {};
    }

    private TreeMap<String, Content> files = new TreeMap<>();
    private Map<String, Content> forcedNames = new HashMap<>();
    private SplittableRandom random = new SplittableRandom(1);
    private Fault fault = Fault.NONE;
    private long faultAt;
    private long until = Long.MAX_VALUE;
    private long operations;
    private boolean killed;
    /** Room for all files together, in bytes. */
    private long capacityBytes = Long.MAX_VALUE;

    private long maxUsedBytes;

    /** Begins the next process on this disk. The fault comes at the operation with this number, the first one being 1. */
    public void restart(long seed, Fault next, long at) {
        random = new SplittableRandom(seed);
        fault = next;
        faultAt = at;
        until = Long.MAX_VALUE;
        operations = 0;
        killed = false;
    }

    /** Ends a fault that lasts before the operation with this number. */
    public void endFaultBefore(long operation) {
        until = operation;
    }

    /** Bounds all files together, in bytes, each counted in whole blocks. */
    public void capacity(long bytes) {
        capacityBytes = bytes;
    }

    /** Returns the largest sum of all files so far, in bytes of whole blocks. */
    public long maxUsedBytes() {
        return maxUsedBytes;
    }

    /** Returns the operations of this process so far. */
    public long operations() {
        return operations;
    }

    /** Returns a file's bytes as they are now. */
    public byte[] bytes(String name) {
        return files.get(name).bytes;
    }

    /** Creates or replaces a file without the process. */
    public void put(String name, byte[] bytes) {
        files.computeIfAbsent(name, n -> new Content()).bytes = bytes;
    }

    /** Deletes a file without the process. */
    public void remove(String name) {
        files.remove(name);
    }

    /** Returns the names of all files; not counted as an operation. */
    public List<String> names() {
        return List.copyOf(files.keySet());
    }

    /**
     * Loses some of what was not forced, drawn from the seed: a name that was created may be missing, one that was deleted may be
     * there again, and a file has at least what was forced of it.
     */
    public void failPower(long seed) {
        SplittableRandom draw = new SplittableRandom(seed);
        TreeMap<String, Content> after = new TreeMap<>();
        for (Map.Entry<String, Content> file : files.entrySet()) {
            if (file.getValue() == forcedNames.get(file.getKey()) || draw.nextBoolean()) {
                after.put(file.getKey(), file.getValue());
            }
        }
        forcedNames.forEach((name, content) -> {
            if (!after.containsKey(name) && draw.nextBoolean()) {
                after.put(name, content);
            }
        });
        for (Content content : after.values()) {
            int forced = Math.min(content.forced.length, content.bytes.length);
            int length = forced + draw.nextInt(content.bytes.length - forced + 1);
            byte[] bytes = Arrays.copyOf(content.bytes, length);
            System.arraycopy(content.forced, 0, bytes, 0, forced);
            if (length > forced && draw.nextBoolean()) {
                // A block that was never written behind one that was.
                Arrays.fill(bytes, forced, forced + draw.nextInt(length - forced + 1), (byte) 0);
            }
            content.bytes = bytes;
            content.forced = bytes;
        }
        files = after;
        forcedNames = new HashMap<>(after);
    }

    private boolean faultLasts() {
        return fault == Fault.FULL || fault == Fault.READ_ONLY || fault == Fault.FAIL_FORCES;
    }

    /** Whether the fault strikes now. */
    private boolean strikes() {
        if (killed) {
            throw new ProcessKilledError();
        }
        operations++;
        return fault != Fault.NONE
                && (faultLasts() ? operations >= faultAt && operations < until : operations == faultAt);
    }

    private void operate(boolean changes) throws IOException {
        boolean struck = strikes();
        if (struck && (fault == Fault.READ_ONLY ? changes : fault != Fault.FULL && fault != Fault.FAIL_FORCES)) {
            killIfAsked();
            throw new IOException(fault == Fault.READ_ONLY ? "read-only file system" : "input/output error");
        }
    }

    private void killIfAsked() {
        if (fault == Fault.KILL) {
            killed = true;
            throw new ProcessKilledError();
        }
    }

    private Content contentOf(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new IOException("no such file: " + name);
        }
        return content;
    }

    private long usedBytes() {
        return files.values().stream()
                .mapToLong(f -> SegmentTotals.roundUp(f.bytes.length))
                .sum();
    }

    @Override
    public List<String> list() throws IOException {
        operate(false);
        return new ArrayList<>(files.keySet());
    }

    @Override
    public Handle open(String name) throws IOException {
        operate(true);
        return new File(files.computeIfAbsent(name, n -> new Content()));
    }

    @Override
    public Handle read(String name) throws IOException {
        operate(false);
        return new File(contentOf(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        operate(true);
        files.put(to, contentOf(from));
        files.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        operate(true);
        files.remove(name);
    }

    @Override
    public void forceFolder() throws IOException {
        force(() -> forcedNames = new HashMap<>(files));
    }

    private void force(Runnable done) throws IOException {
        if (strikes() && fault != Fault.FULL && fault != Fault.READ_ONLY) {
            killIfAsked();
            throw new IOException("input/output error");
        }
        done.run();
    }

    private final class File implements Handle {
        private final Content content;

        File(Content content) {
            this.content = content;
        }

        @Override
        public long size() {
            return content.bytes.length;
        }

        @Override
        public int read(long at, ByteBuffer into) {
            byte[] bytes = content.bytes;
            if (at >= bytes.length) {
                return -1;
            }
            int n = (int) Math.min(into.remaining(), bytes.length - at);
            into.put(bytes, (int) at, n);
            return n;
        }

        @Override
        public int append(ByteBuffer from) throws IOException {
            boolean struck = strikes() && fault != Fault.FAIL_FORCES;
            long room = capacityBytes - SimulatedDisk.this.usedBytes() - (SegmentTotals.BLOCK_BYTES - 1);
            boolean full = from.remaining() > room;
            int n = landedBytes(from.remaining(), struck, full, room);
            byte[] before = content.bytes;
            byte[] after = Arrays.copyOf(before, before.length + n);
            from.get(after, before.length, n);
            content.bytes = after;
            maxUsedBytes = Math.max(maxUsedBytes, SimulatedDisk.this.usedBytes());
            if (struck) {
                killIfAsked();
                throw new IOException(fault == Fault.FULL ? "no space left on device" : "input/output error");
            }
            if (full && n == 0) {
                throw new IOException("no space left on device");
            }
            return n;
        }

        private int landedBytes(int asked, boolean struck, boolean full, long room) {
            if (struck) {
                return fault == Fault.READ_ONLY ? 0 : random.nextInt(asked + 1);
            }
            if (full) {
                return (int) Math.max(0, Math.min(asked, room));
            }
            // A write may take a part of the bytes without an error.
            return random.nextInt(4) == 0 ? 1 + random.nextInt(asked) : asked;
        }

        @Override
        public void truncate(long size) throws IOException {
            operate(true);
            if (fault == Fault.FAIL_AND_TRUNCATE_FAILS && operations > faultAt) {
                throw new IOException("input/output error");
            }
            content.bytes = Arrays.copyOf(content.bytes, (int) size);
        }

        @Override
        public void force() throws IOException {
            SimulatedDisk.this.force(() -> content.forced = content.bytes);
        }

        @Override
        public void close() {}
    }
}
