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
 * For tests and rigs: a disk in memory that dies, fails or fills up at an operation chosen by its number; how much of a write still lands is
 * drawn from a seed, so a run can be played again exactly. It remembers what was forced, and {@link #powerFails} loses the rest,
 * names and bytes each on their own.
 */
public final class SimulatedDisk implements Disk {
    /** The process was killed here: nothing more is done by it. */
    public static final class Killed extends Error {
        private static final long serialVersionUID = 1;
    }

    /** What happens at the chosen operation; the last ones only where that is a force, or a write of any kind. */
    public enum Fault {
        NONE,
        KILL,
        FAIL,
        FAIL_AND_TRUNCATE_FAILS,
        FULL,
        READ_ONLY,
        FAIL_FORCES
    }

    /** One file's bytes; a name that goes and comes is another file. */
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
    private boolean dead;
    /** All files together have room for so many bytes. */
    private long capacity = Long.MAX_VALUE;

    private long most;

    /** The next process on this disk, with its own fault. */
    public void restart(long seed, Fault next, long at) {
        random = new SplittableRandom(seed);
        fault = next;
        faultAt = at;
        until = Long.MAX_VALUE;
        operations = 0;
        dead = false;
    }

    /** The fault, where it lasts, is over from this operation on. */
    public void until(long operation) {
        until = operation;
    }

    /** All files together get room for so many bytes. */
    public void capacity(long bytes) {
        capacity = bytes;
    }

    /** The largest sum of all files so far, each in whole blocks of 512 bytes. */
    public long most() {
        return most;
    }

    /** Operations of this process so far. */
    public long operations() {
        return operations;
    }

    /** A file's bytes, as they are now. */
    public byte[] bytes(String name) {
        return files.get(name).bytes;
    }

    /** Makes or replaces a file behind the process's back. */
    public void put(String name, byte[] bytes) {
        files.computeIfAbsent(name, n -> new Content()).bytes = bytes;
    }

    /** A file vanishes behind the process's back. */
    public void remove(String name) {
        files.remove(name);
    }

    /** The names that are there, without counting as an operation. */
    public List<String> names() {
        return List.copyOf(files.keySet());
    }

    /**
     * What was not forced is lost or not, each name and each file's end as the seed has it: a name that was made may be gone,
     * one that was deleted may be back, and a file has at least what was forced of it.
     */
    public void powerFails(long seed) {
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
            int kept = Math.min(content.forced.length, content.bytes.length);
            int length = kept + draw.nextInt(content.bytes.length - kept + 1);
            byte[] bytes = Arrays.copyOf(content.bytes, length);
            System.arraycopy(content.forced, 0, bytes, 0, kept);
            if (length > kept && draw.nextBoolean()) {
                // A block that was never written behind one that was.
                Arrays.fill(bytes, kept, kept + draw.nextInt(length - kept + 1), (byte) 0);
            }
            content.bytes = bytes;
            content.forced = bytes;
        }
        files = after;
        forcedNames = new HashMap<>(after);
    }

    private boolean lasting() {
        return fault == Fault.FULL || fault == Fault.READ_ONLY || fault == Fault.FAIL_FORCES;
    }

    /** Whether the fault strikes now. */
    private boolean strikes() {
        if (dead) {
            throw new Killed();
        }
        operations++;
        return fault != Fault.NONE && (lasting() ? operations >= faultAt && operations < until : operations == faultAt);
    }

    private void simple(boolean changes) throws IOException {
        boolean struck = strikes();
        if (struck && (fault == Fault.READ_ONLY ? changes : fault != Fault.FULL && fault != Fault.FAIL_FORCES)) {
            die();
            throw new IOException(fault == Fault.READ_ONLY ? "read-only file system" : "input/output error");
        }
    }

    private void die() {
        if (fault == Fault.KILL) {
            dead = true;
            throw new Killed();
        }
    }

    private Content there(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new IOException("no such file: " + name);
        }
        return content;
    }

    private long size() {
        return files.values().stream()
                .mapToLong(f -> (f.bytes.length + 511) / 512 * 512)
                .sum();
    }

    @Override
    public List<String> list() throws IOException {
        simple(false);
        return new ArrayList<>(files.keySet());
    }

    @Override
    public Handle open(String name) throws IOException {
        simple(true);
        return new File(files.computeIfAbsent(name, n -> new Content()));
    }

    @Override
    public Handle read(String name) throws IOException {
        simple(false);
        return new File(there(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        simple(true);
        files.put(to, there(from));
        files.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        simple(true);
        files.remove(name);
    }

    @Override
    public void forceFolder() throws IOException {
        force(() -> forcedNames = new HashMap<>(files));
    }

    private void force(Runnable done) throws IOException {
        if (strikes() && fault != Fault.FULL && fault != Fault.READ_ONLY) {
            die();
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
            long room = capacity - SimulatedDisk.this.size() - 511;
            boolean full = from.remaining() > room;
            // The kernel may take a part at a time as well.
            int n = struck && fault == Fault.READ_ONLY
                    ? 0
                    : struck
                            ? random.nextInt(from.remaining() + 1)
                            : full
                                    ? (int) Math.max(0, Math.min(from.remaining(), room))
                                    : random.nextInt(4) == 0 ? 1 + random.nextInt(from.remaining()) : from.remaining();
            byte[] before = content.bytes;
            byte[] after = Arrays.copyOf(before, before.length + n);
            from.get(after, before.length, n);
            content.bytes = after;
            most = Math.max(most, SimulatedDisk.this.size());
            if (struck) {
                die();
                throw new IOException(fault == Fault.FULL ? "no space left on device" : "input/output error");
            }
            if (full && n == 0) {
                throw new IOException("no space left on device");
            }
            return n;
        }

        @Override
        public void truncate(long size) throws IOException {
            simple(true);
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
