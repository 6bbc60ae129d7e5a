package amberroute.sender;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;

/** System calls that tests let fail under running processes; needs a C compiler. */
final class FailingCalls {
    /** In the order of the library's entries. */
    enum Call {
        ACCEPT,
        CONNECT,
        WRITE,
        SYNC,
        READ,
        SHORT
    }

    /** Some of Linux's errors, with their numbers. */
    enum Errno {
        EIO(5),
        EMFILE(24),
        ENFILE(23),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final int ENTRY = 3 * Integer.BYTES;
    private final Path library;
    private final Path entries;

    /** Skips the test where the machine has no C compiler. */
    FailingCalls(Path folder) throws IOException, InterruptedException {
        library = PreloadedLibrary.build(folder, "fail-calls");
        entries = folder.resolve("calls");
        Files.write(entries, new byte[Call.values().length * ENTRY]);
    }

    /** The next so many of these calls fail, in all processes with {@link #with}. */
    void fail(Call call, Errno error, int times) throws IOException {
        put(call, error.number, times, 0);
    }

    /** All of these calls fail until {@link #heal}. */
    void fail(Call call, Errno error) throws IOException {
        put(call, error.number, -1, 0);
    }

    /** The next so many reads from sockets whose peer has this port fail. */
    void failReads(int port, Errno error, int times) throws IOException {
        put(Call.READ, error.number, times, port);
    }

    /** Each read from and write to a socket moves at most so many bytes, until {@link #heal}. */
    void shorten(int mostBytes) throws IOException {
        put(Call.SHORT, mostBytes, -1, 0);
    }

    void heal(Call call) throws IOException {
        put(call, 0, 0, 0);
    }

    /** Whether none is left of those that were to fail. */
    boolean used(Call call) {
        return number(call, 1) == 0;
    }

    /** How many reads and writes were made short so far. */
    int shortened() {
        return number(Call.SHORT, 2);
    }

    private int number(Call call, int place) {
        try (FileChannel file = FileChannel.open(entries, StandardOpenOption.READ)) {
            ByteBuffer number = ByteBuffer.allocate(Integer.BYTES).order(ByteOrder.nativeOrder());
            file.read(number, call.ordinal() * ENTRY + place * Integer.BYTES);
            return number.getInt(0);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void put(Call call, int error, int times, int port) throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(ENTRY)
                .order(ByteOrder.nativeOrder())
                .putInt(error)
                .putInt(times)
                .putInt(port)
                .flip();
        try (FileChannel file = FileChannel.open(entries, StandardOpenOption.WRITE)) {
            file.write(entry, call.ordinal() * ENTRY);
        }
    }

    Map<String, String> with(Map<String, String> environment) {
        Map<String, String> failing = new HashMap<>(environment);
        failing.put("LD_PRELOAD", library.toString());
        failing.put("FAIL_CALLS_FILE", entries.toString());
        return failing;
    }
}
