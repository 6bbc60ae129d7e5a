package amberroute.fleet;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The process of one daemon, a child of the supervisor or one that it found running. Used by the supervisor's thread only. */
final class ManagedDaemon {
    /** Directories that one daemon may recover: one for each daemon that a fleet may have. */
    private static final int MAX_ORPHANED_DIRECTORIES = 4_096;

    final FleetDefinition.Instance instance;
    /** The child process, null while there is none. */
    Process child;
    /** A process that this supervisor did not start holds the state directory. */
    boolean found;
    /** Id of the found process as its lock file gives it, 0 where it gives none. */
    long foundPid;
    /** When the lock of a found process was checked last, in milliseconds of the monotonic clock. */
    long lockCheckedMillis;
    /** The state directory of the running process, or of the next one. */
    Path stateDirectory;
    /** The control connection to the process in {@link #stateDirectory}. */
    DaemonControlClient control;
    /** Directories whose journals the next process recovers, the newest first. */
    final Set<Path> orphanedDirectories = new LinkedHashSet<>();
    /** The process runs as an earlier definition had it and has to be restarted. */
    boolean definitionChanged;

    ManagedDaemon(FleetDefinition.Instance instance) {
        this.instance = instance;
        orphanedDirectories.addAll(instance.orphanedDirectories());
        useStateDirectory(instance.state());
    }

    /** Makes the next process recover this directory before all others. */
    void recoverFirst(Path directory) {
        List<Path> earlier = List.copyOf(orphanedDirectories);
        orphanedDirectories.clear();
        orphanedDirectories.add(directory);
        earlier.stream().limit(MAX_ORPHANED_DIRECTORIES).forEach(orphanedDirectories::add);
    }

    /** Sets the state directory, and with it the control socket. */
    void useStateDirectory(Path directory) {
        stateDirectory = directory;
        control = new DaemonControlClient(directory.resolve("control"));
    }

    /** Whether a process is known to run. */
    boolean running() {
        return child != null || found;
    }

    /** Id of the running process, 0 where there is none or it is not known. */
    long pid() {
        if (child != null) {
            return child.pid();
        }
        return found ? foundPid : 0;
    }

    /**
     * Checks the lock of the state directory and takes note of its owner's process id. Only the supervisor starts daemons, so a
     * lock that is free stays free.
     *
     * @return whether a process holds the lock; false also where the lock file cannot be read, since a second process on the
     *     directory would fail to get the lock itself
     */
    boolean checkLockHeld() {
        StateDirectoryLock.Owner owner = StateDirectoryLock.owner(stateDirectory);
        if (owner == null) {
            return false;
        }
        foundPid = owner.pid();
        return true;
    }
}
