package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32;

/**
 * The clock of a state folder's times, in milliseconds. It runs evenly while the machine runs, over restarts of the process too,
 * whatever becomes of the wall clock: it is the machine's monotonic clock, which on Linux all processes share until the next boot
 * ({@code CLOCK_MONOTONIC}), plus an offset that makes it equal the wall clock when the folder was first used. The offset is in
 * the folder's file {@value #NAME}, with the boot's id and a checksum.
 *
 * <p>After a boot, on another machine, or where that file cannot be read, it is unknown how long the folder was unused: the offset
 * is taken anew from the wall clock, and {@link #interrupted} says that spans over the gap cannot be trusted.
 */
public final class SteadyClock {
    private static final String NAME = "clock";
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    private final Path file;
    private final String boot;
    private final long offsetMillis;
    private final long interruptedAtMillis;
    private boolean recorded;

    private SteadyClock(Path folder, String boot, long offsetMillis, boolean interrupted, boolean recorded) {
        file = folder.resolve(NAME);
        this.boot = boot;
        this.offsetMillis = offsetMillis;
        this.recorded = recorded;
        interruptedAtMillis = interrupted ? millis() : Long.MIN_VALUE;
    }

    /**
     * Opens the clock of a folder whose lock this process has. Times in a folder without a clock file are of an earlier version,
     * which used the wall clock.
     */
    public static SteadyClock open(Path folder) {
        String boot = boot();
        String[] read = read(folder.resolve(NAME));
        if (read != null && read[0].equals(boot)) {
            return new SteadyClock(folder, boot, Long.parseLong(read[1]), false, true);
        }
        SteadyClock clock =
                new SteadyClock(folder, boot, System.currentTimeMillis() - monotonicMillis(), read != null, false);
        clock.record();
        return clock;
    }

    private static long monotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the id of this boot; without one from the kernel all processes are taken to be of one boot. */
    private static String boot() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return "-";
        }
    }

    /** Returns the boot id, the offset and the checksum; null where there is no whole file. */
    private static String[] read(Path file) {
        try {
            String[] words = Files.readString(file, StandardCharsets.US_ASCII).split(" ");
            return words.length == 3 && words[2].equals(checksum(words[0], words[1])) ? words : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static String checksum(String boot, String offsetMillis) {
        CRC32 sum = new CRC32();
        sum.update((boot + " " + offsetMillis).getBytes(StandardCharsets.US_ASCII));
        return Long.toHexString(sum.getValue());
    }

    /** Returns milliseconds that never decrease; close to the wall clock's where that was never stepped. */
    public long millis() {
        return monotonicMillis() + offsetMillis;
    }

    /** Returns whether an instant in milliseconds lies before a gap of unknown length. */
    public boolean interrupted(long instantMillis) {
        return instantMillis < interruptedAtMillis;
    }

    /** Writes the file where the disk did not take it before; to be called from time to time by the folder's owner. */
    public void record() {
        if (recorded) {
            return;
        }
        String text = boot + " " + offsetMillis + " " + checksum(boot, Long.toString(offsetMillis));
        Path fresh = file.resolveSibling(NAME + ".new");
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(fresh, text, StandardCharsets.US_ASCII);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            recorded = true;
        } catch (IOException e) {
            LogEvent.of("steady_clock_record_failed").cause(e).warn();
        }
    }
}
