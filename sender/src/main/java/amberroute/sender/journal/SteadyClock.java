package amberroute.sender.journal;

import amberroute.sender.util.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32;

/**
 * The clock that a state folder's times are told by, in milliseconds: it goes on evenly for as long as the machine runs, over
 * restarts of the process too, whatever becomes of the wall clock. It is the machine's monotonic clock, which on Linux all processes
 * share until the machine boots again ({@code CLOCK_MONOTONIC}), and an offset that makes it look like the wall clock of the moment
 * in which the folder was first used. The offset stands in the folder's file {@value #NAME}, with the boot's id and a checksum.
 *
 * <p>Behind a boot, on another machine, or where that file cannot be read, nobody knows how long the folder lay still: the wall
 * clock is asked again, and {@link #interrupted} says that spans over the gap cannot be trusted.
 */
public final class SteadyClock {
    private static final String NAME = "clock";
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    private final Path file;
    private final String boot;
    private final long offset;
    private final long interruptedAt;
    private boolean recorded;

    private SteadyClock(Path folder, String boot, long offset, boolean interrupted, boolean recorded) {
        file = folder.resolve(NAME);
        this.boot = boot;
        this.offset = offset;
        this.recorded = recorded;
        interruptedAt = interrupted ? millis() : Long.MIN_VALUE;
    }

    /**
     * The clock of this folder, whose lock has to be held. Times in a folder without a clock are of an earlier version of this
     * program, which told them by the wall clock.
     */
    public static SteadyClock open(Path folder) {
        String boot = boot();
        String[] read = read(folder.resolve(NAME));
        if (read != null && read[0].equals(boot)) {
            return new SteadyClock(folder, boot, Long.parseLong(read[1]), false, true);
        }
        SteadyClock clock =
                new SteadyClock(folder, boot, System.currentTimeMillis() - monotonic(), read != null, false);
        clock.record();
        return clock;
    }

    private static long monotonic() {
        return System.nanoTime() / 1_000_000;
    }

    /** Empty where the kernel does not tell it: then all processes are taken to be of one boot. */
    private static String boot() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return "-";
        }
    }

    /** Boot id and offset; null where there is no whole file. */
    private static String[] read(Path file) {
        try {
            String[] words = Files.readString(file, StandardCharsets.US_ASCII).split(" ");
            return words.length == 3 && words[2].equals(checksum(words[0], words[1])) ? words : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static String checksum(String boot, String offset) {
        CRC32 sum = new CRC32();
        sum.update((boot + " " + offset).getBytes(StandardCharsets.US_ASCII));
        return Long.toHexString(sum.getValue());
    }

    /** Milliseconds that only grow, about those of the wall clock where that was never stepped. */
    public long millis() {
        return monotonic() + offset;
    }

    /** Whether an instant lies before a gap that nobody knows the length of. */
    public boolean interrupted(long instant) {
        return instant < interruptedAt;
    }

    /** Tries again to write what a full or failing disk did not take; to be called from time to time by the folder's owner. */
    public void record() {
        if (recorded) {
            return;
        }
        String text = boot + " " + offset + " " + checksum(boot, Long.toString(offset));
        Path fresh = file.resolveSibling(NAME + ".new");
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(fresh, text, StandardCharsets.US_ASCII);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            recorded = true;
        } catch (IOException e) {
            Log.warn("clock: cannot be recorded yet: " + e);
        }
    }
}
