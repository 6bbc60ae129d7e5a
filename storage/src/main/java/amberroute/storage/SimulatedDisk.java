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
 * An in-memory disk for tests and experiments. It kills the process, fails or fills up at an operation that is chosen by its number.
 * How much of a faulty write is stored depends on a seed, so a run can be repeated exactly. The disk tracks what was forced; {@link
 * #simulatePowerLoss} loses parts of the rest, independently for each file name and each file's end. Not thread-safe.
 */
public final class SimulatedDisk implements Disk {
    /** Thrown when the simulated process is killed, and by each later operation of that process. */
    public static final class ProcessKilledError extends Error {
        private static final long serialVersionUID = 1;
    }

    /** The fault at the chosen operation. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The process is killed; a part of a write may be stored. */
        KILL,
        /** One operation fails. */
        FAIL,
        /** One operation fails, and all later truncations fail. */
        FAIL_AND_TRUNCATE_FAILS,
        /** This and later writes fail since the disk is full. */
        FULL,
        /** This and later changes fail. */
        READ_ONLY,
        /** This and later forces fail. */
        FAIL_FORCES
    }

    /** The bytes of a file. A file that is deleted and created again is another one. */
    private static final class FileData {
        byte[] bytes = {};
        byte[] forcedBytes = {};
    }

    private TreeMap<String, FileData> files = new TreeMap<>();
    private Map<String, FileData> forcedFiles = new HashMap<>();
    private SplittableRandom random = new SplittableRandom(1);
    private Fault fault = Fault.NONE;
    private long faultOperation;
    private long faultEndOperation = Long.MAX_VALUE;
    private long operations;
    private boolean killed;
    /** Capacity for all files together, in bytes. */
    private long capacityBytes = Long.MAX_VALUE;

    private long maxUsedBytes;

    /** Starts the next process on this disk, with a fault at an operation; the first operation has number 1. */
    public void restart(long seed, Fault nextFault, long operationNumber) {
        random = new SplittableRandom(seed);
        fault = nextFault;
        faultOperation = operationNumber;
        faultEndOperation = Long.MAX_VALUE;
        operations = 0;
        killed = false;
    }

    /** Ends a persistent fault before the operation with this number. */
    public void endFaultBefore(long operationNumber) {
        faultEndOperation = operationNumber;
    }

    /** Limits the size of all files together, in bytes, each counted in whole blocks. */
    public void setCapacity(long bytes) {
        capacityBytes = bytes;
    }

    /** Returns the largest total size of all files so far, in bytes, each counted in whole blocks. */
    public long maxUsedBytes() {
        return maxUsedBytes;
    }

    /** Returns the number of operations of this process so far. */
    public long operations() {
        return operations;
    }

    /** Returns the current bytes of a file; not counted as an operation. */
    public byte[] fileBytes(String name) {
        return files.get(name).bytes;
    }

    /** Creates or replaces a file; not counted as an operation. */
    public void putFile(String name, byte[] bytes) {
        files.computeIfAbsent(name, n -> new FileData()).bytes = bytes;
    }

    /** Deletes a file; not counted as an operation. */
    public void removeFile(String name) {
        files.remove(name);
    }

    /** Returns the names of all files; not counted as an operation. */
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    /**
     * Loses a part of the data that was not forced, chosen by the seed: created files may be missing, deleted files may exist again,
     * and a file has at least its forced bytes.
     */
    public void simulatePowerLoss(long seed) {
        SplittableRandom powerLossRandom = new SplittableRandom(seed);
        TreeMap<String, FileData> remainingFiles = new TreeMap<>();
        for (Map.Entry<String, FileData> file : files.entrySet()) {
            if (file.getValue() == forcedFiles.get(file.getKey()) || powerLossRandom.nextBoolean()) {
                remainingFiles.put(file.getKey(), file.getValue());
            }
        }
        forcedFiles.forEach((name, fileData) -> {
            if (!remainingFiles.containsKey(name) && powerLossRandom.nextBoolean()) {
                remainingFiles.put(name, fileData);
            }
        });
        for (FileData fileData : remainingFiles.values()) {
            int forcedLength = Math.min(fileData.forcedBytes.length, fileData.bytes.length);
            int length = forcedLength + powerLossRandom.nextInt(fileData.bytes.length - forcedLength + 1);
            byte[] bytes = Arrays.copyOf(fileData.bytes, length);
            System.arraycopy(fileData.forcedBytes, 0, bytes, 0, forcedLength);
            if (length > forcedLength && powerLossRandom.nextBoolean()) {
                // Zeros in place of a block that was not written, while a later block was.
                Arrays.fill(
                        bytes, forcedLength, forcedLength + powerLossRandom.nextInt(length - forcedLength + 1), (byte)
                                0);
            }
            fileData.bytes = bytes;
            fileData.forcedBytes = bytes;
        }
        files = remainingFiles;
        forcedFiles = new HashMap<>(remainingFiles);
    }

    private boolean isPersistentFault() {
        return fault == Fault.FULL || fault == Fault.READ_ONLY || fault == Fault.FAIL_FORCES;
    }

    /** Counts an operation and returns whether the fault applies to it. */
    private boolean nextOperationIsFaulty() {
        if (killed) {
            throw new ProcessKilledError();
        }
        operations++;
        return fault != Fault.NONE
                && (isPersistentFault()
                        ? operations >= faultOperation && operations < faultEndOperation
                        : operations == faultOperation);
    }

    private void runOperation(boolean modifiesDisk) throws IOException {
        boolean faulty = nextOperationIsFaulty();
        if (faulty && (fault == Fault.READ_ONLY ? modifiesDisk : fault != Fault.FULL && fault != Fault.FAIL_FORCES)) {
            killIfConfigured();
            throw new IOException(fault == Fault.READ_ONLY ? "read-only file system" : "input/output error");
        }
    }

    private void killIfConfigured() {
        if (fault == Fault.KILL) {
            killed = true;
            throw new ProcessKilledError();
        }
    }

    private FileData dataOf(String name) throws IOException {
        FileData fileData = files.get(name);
        if (fileData == null) {
            throw new IOException("no such file: " + name);
        }
        return fileData;
    }

    private long usedBytes() {
        return files.values().stream()
                .mapToLong(fileData -> SegmentTotals.roundUpToBlocks(fileData.bytes.length))
                .sum();
    }

    @Override
    public List<String> list() throws IOException {
        runOperation(false);
        return new ArrayList<>(files.keySet());
    }

    @Override
    public Handle openForWriting(String name) throws IOException {
        runOperation(true);
        return new OpenFile(files.computeIfAbsent(name, n -> new FileData()));
    }

    @Override
    public Handle openForReading(String name) throws IOException {
        runOperation(false);
        return new OpenFile(dataOf(name));
    }

    @Override
    public void rename(String oldName, String newName) throws IOException {
        runOperation(true);
        files.put(newName, dataOf(oldName));
        files.remove(oldName);
    }

    @Override
    public void delete(String name) throws IOException {
        runOperation(true);
        files.remove(name);
    }

    @Override
    public void forceFolder() throws IOException {
        force(() -> forcedFiles = new HashMap<>(files));
    }

    private void force(Runnable onSuccess) throws IOException {
        if (nextOperationIsFaulty() && fault != Fault.FULL && fault != Fault.READ_ONLY) {
            killIfConfigured();
            throw new IOException("input/output error");
        }
        onSuccess.run();
    }

    private final class OpenFile implements Handle {
        private final FileData fileData;

        OpenFile(FileData fileData) {
            this.fileData = fileData;
        }

        @Override
        public long size() {
            return fileData.bytes.length;
        }

        @Override
        public int read(long offset, ByteBuffer buffer) {
            byte[] bytes = fileData.bytes;
            if (offset >= bytes.length) {
                return -1;
            }
            int readBytes = (int) Math.min(buffer.remaining(), bytes.length - offset);
            buffer.put(bytes, (int) offset, readBytes);
            return readBytes;
        }

        @Override
        public int append(ByteBuffer buffer) throws IOException {
            boolean faulty = nextOperationIsFaulty() && fault != Fault.FAIL_FORCES;
            long roomBytes = capacityBytes - SimulatedDisk.this.usedBytes() - (SegmentTotals.BLOCK_BYTES - 1);
            boolean diskFull = buffer.remaining() > roomBytes;
            int writtenBytes = chooseWrittenBytes(buffer.remaining(), faulty, diskFull, roomBytes);
            byte[] oldBytes = fileData.bytes;
            byte[] newBytes = Arrays.copyOf(oldBytes, oldBytes.length + writtenBytes);
            buffer.get(newBytes, oldBytes.length, writtenBytes);
            fileData.bytes = newBytes;
            maxUsedBytes = Math.max(maxUsedBytes, SimulatedDisk.this.usedBytes());
            if (faulty) {
                killIfConfigured();
                throw new IOException(fault == Fault.FULL ? "no space left on device" : "input/output error");
            }
            if (diskFull && writtenBytes == 0) {
                throw new IOException("no space left on device");
            }
            return writtenBytes;
        }

        private int chooseWrittenBytes(int requestedBytes, boolean faulty, boolean diskFull, long roomBytes) {
            if (faulty) {
                return fault == Fault.READ_ONLY ? 0 : random.nextInt(requestedBytes + 1);
            }
            if (diskFull) {
                return (int) Math.max(0, Math.min(requestedBytes, roomBytes));
            }
            // A write may store only a part of the bytes without an error.
            return random.nextInt(4) == 0 ? 1 + random.nextInt(requestedBytes) : requestedBytes;
        }

        @Override
        public void truncate(long size) throws IOException {
            runOperation(true);
            if (fault == Fault.FAIL_AND_TRUNCATE_FAILS && operations > faultOperation) {
                throw new IOException("input/output error");
            }
            fileData.bytes = Arrays.copyOf(fileData.bytes, (int) size);
        }

        @Override
        public void force() throws IOException {
            SimulatedDisk.this.force(() -> fileData.forcedBytes = fileData.bytes);
        }

        @Override
        public void close() {}
    }
}
