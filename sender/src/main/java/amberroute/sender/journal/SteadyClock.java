package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32;

/**
 * The clock of a state folder, in milliseconds. It runs steadily while the machine runs, also across restarts of the
 * process, and is not affected by steps of the wall clock: it is the machine's monotonic clock, which on Linux all
 * processes share until the next boot ({@code CLOCK_MONOTONIC}), plus an offset that made it equal to the wall clock
 * when the folder was first used. The folder's file {@value #FILE_NAME} has the offset, the boot id and a checksum.
 *
 * <p>After a boot or on another machine, it is unknown how long the folder was unused: a new offset is taken from the
 * wall clock, and {@link #isBeforeGap} reports that durations across the gap are unknown. If the file is missing or
 * cannot be read, the offset is also new, but no gap is reported.
 */
public final class SteadyClock {
    private static final String FILE_NAME = "clock";
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    private final Path file;
    private final String bootId;
    private final long offsetMillis;
    private final long gapEndMillis;
    private boolean persisted;

    private SteadyClock(Path folder, String bootId, long offsetMillis, boolean afterGap, boolean persisted) {
        file = folder.resolve(FILE_NAME);
        this.bootId = bootId;
        this.offsetMillis = offsetMillis;
        this.persisted = persisted;
        gapEndMillis = afterGap ? millis() : Long.MIN_VALUE;
    }

    /**
     * Opens the clock of a folder whose lock this process has. Times in a folder without a clock file were written by
     * an earlier version, which used the wall clock.
     */
    public static SteadyClock open(Path folder) {
        String bootId = readBootId();
        String[] storedFields = readFile(folder.resolve(FILE_NAME));
        if (storedFields != null && storedFields[0].equals(bootId)) {
            return new SteadyClock(folder, bootId, Long.parseLong(storedFields[1]), false, true);
        }
        SteadyClock clock = new SteadyClock(
                folder, bootId, System.currentTimeMillis() - monotonicMillis(), storedFields != null, false);
        clock.persist();
        return clock;
    }

    private static long monotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the id of the current boot; if the kernel provides none, all processes are assumed to share one boot. */
    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException e) {
            return "-";
        }
    }

    /** Returns the boot id, the offset and the checksum; null if there is no valid file. */
    private static String[] readFile(Path file) {
        try {
            String[] fields = Files.readString(file, StandardCharsets.US_ASCII).split(" ");
            return fields.length == 3 && fields[2].equals(checksum(fields[0], fields[1])) ? fields : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static String checksum(String bootId, String offsetMillis) {
        CRC32 crc = new CRC32();
        crc.update((bootId + " " + offsetMillis).getBytes(StandardCharsets.US_ASCII));
        return Long.toHexString(crc.getValue());
    }

    /** Returns a time in milliseconds that never decreases; close to the wall clock unless that was stepped. */
    public long millis() {
        return monotonicMillis() + offsetMillis;
    }

    /** Returns whether a time in milliseconds lies before a gap of unknown length. */
    public boolean isBeforeGap(long instantMillis) {
        return instantMillis < gapEndMillis;
    }

    /** Writes the file if that has failed before; has to be called periodically by the folder's owner. */
    public void persist() {
        if (persisted) {
            return;
        }
        String text = bootId + " " + offsetMillis + " " + checksum(bootId, Long.toString(offsetMillis));
        Path temporaryFile = file.resolveSibling(FILE_NAME + ".new");
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(temporaryFile, text, StandardCharsets.US_ASCII);
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
            persisted = true;
        } catch (IOException e) {
            LogEvent.of("steady_clock_record_failed").cause(e).warn();
        }
    }
}
