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
    /** In the order of the library's pairs. */
    enum Call {
        ACCEPT,
        CONNECT,
        WRITE,
        SYNC
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
        ENOBUFS(105);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final int PAIR = 2 * Integer.BYTES;
    private final Path library;
    private final Path pairs;

    /** Skips the test where the machine has no C compiler. */
    FailingCalls(Path folder) throws IOException, InterruptedException {
        library = PreloadedLibrary.build(folder, "fail-calls");
        pairs = folder.resolve("calls");
        Files.write(pairs, new byte[Call.values().length * PAIR]);
    }

    /** The next so many of these calls fail, in all processes with {@link #with}. */
    void fail(Call call, Errno error, int times) throws IOException {
        put(call, error.number, times);
    }

    /** All of these calls fail until {@link #heal}. */
    void fail(Call call, Errno error) throws IOException {
        put(call, error.number, -1);
    }

    void heal(Call call) throws IOException {
        put(call, 0, 0);
    }

    /** Whether none is left of those that were to fail. */
    boolean used(Call call) {
        try (FileChannel file = FileChannel.open(pairs, StandardOpenOption.READ)) {
            ByteBuffer left = ByteBuffer.allocate(Integer.BYTES).order(ByteOrder.nativeOrder());
            file.read(left, call.ordinal() * PAIR + Integer.BYTES);
            return left.getInt(0) == 0;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void put(Call call, int error, int times) throws IOException {
        ByteBuffer pair = ByteBuffer.allocate(PAIR)
                .order(ByteOrder.nativeOrder())
                .putInt(error)
                .putInt(times)
                .flip();
        try (FileChannel file = FileChannel.open(pairs, StandardOpenOption.WRITE)) {
            file.write(pair, call.ordinal() * PAIR);
        }
    }

    Map<String, String> with(Map<String, String> environment) {
        Map<String, String> failing = new HashMap<>(environment);
        failing.put("LD_PRELOAD", library.toString());
        failing.put("FAIL_CALLS_FILE", pairs.toString());
        return failing;
    }
}
