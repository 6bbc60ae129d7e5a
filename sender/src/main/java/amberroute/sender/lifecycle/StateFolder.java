package amberroute.sender.lifecycle;

import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.config.Durability;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.journal.FencingToken;
import amberroute.sender.journal.Journal;
import amberroute.sender.journal.JournalAge;
import amberroute.sender.journal.StateLock;
import amberroute.sender.journal.SteadyClock;
import amberroute.sender.util.LogEvent;
import amberroute.storage.FolderDisk;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The state folder of a sender: its lock, and the journal and clock that only the holder of the lock may open. Opened and closed off
 * the event loop or before it serves; the journal is used on the event loop only. Times are milliseconds.
 */
public final class StateFolder {
    /** Exit code of a process whose memory is ahead of what its disk keeps. */
    private static final int EXIT_NOT_DURABLE = 6;
    /** Exit code of a process whose state folder was taken over. */
    public static final int EXIT_FENCED = 5;
    /** Interval of the check for a fencing token in a process that writes nothing. */
    private static final long FENCE_CHECK_MS = 100;

    /** Opens what may be open only while the lock is held. */
    public interface OpenListener {
        /** Called with the lock held and no fencing token found. Not on the event loop. */
        void lockHeld() throws IOException;
    }

    private final SenderConfig config;
    /** Null while another process has the folder. */
    private volatile StateLock lock;

    private Journal journal;
    private SteadyClock clock;
    private long journalBegunMillis;
    private boolean fenceChecked;

    /** Takes no lock and opens nothing. */
    public StateFolder(SenderConfig config) {
        this.config = config;
    }

    /** Takes the lock. Fails where another process has it. */
    public void lock() throws IOException {
        lock = StateLock.acquire(config.state(), config.standalone() != null);
    }

    /** Takes the lock and returns true, or returns false where another process has it. */
    public boolean tryLock() throws IOException {
        lock = StateLock.tryAcquireAndLog(config.state(), config.standalone() != null);
        return lock != null;
    }

    /** Whether this process holds the lock. */
    public boolean locked() {
        return lock != null;
    }

    /** Frees the lock, with the journal left as it is, after {@link #open} has failed. */
    public void unlock() throws IOException {
        lock.close();
    }

    /** The journal, null until the folder has been opened. */
    public Journal journal() {
        return journal;
    }

    /** The clock that goes on over restarts, null until the folder has been opened. */
    public SteadyClock clock() {
        return clock;
    }

    /** Milliseconds by the folder's clock, for times that must survive a restart. */
    public long steadyMillis() {
        return clock.millis();
    }

    /** When the journal was begun, in milliseconds of {@link #steadyMillis}; 0 if that is not known, as on the platform. */
    public long journalBegunMillis() {
        return journalBegunMillis;
    }

    /**
     * Opens the journal and the clock; the lock has to be held. Not on the event loop.
     *
     * @throws InvalidSettingsException if another instance has taken over the folder
     */
    public void open(EventLoop loop, OpenListener listener) throws IOException {
        FencingToken fence = FencingToken.read(config.state());
        if (fence != null) {
            throw new InvalidSettingsException("state folder " + config.state() + " was taken over by "
                    + fence.successor() + "; this instance needs another one");
        }
        listener.lockHeld();
        StandaloneConfig.Standalone standalone = config.standalone();
        clock = SteadyClock.open(config.state());
        journalBegunMillis = standalone == null ? 0 : JournalAge.begunAtMillis(config.state(), steadyMillis());
        openJournal(loop, standalone == null ? Durability.NONE : standalone.durability());
        if (standalone != null && standalone.adoption()) {
            guardWithFence(loop);
        }
    }

    private void openJournal(EventLoop loop, Durability durability) throws IOException {
        journal = Journal.open(
                config.state(),
                new FolderDisk(config.state()),
                config.diskBytes(),
                durability,
                durability == Durability.NONE ? null : new JournalForceExecutor(loop));
    }

    private void guardWithFence(EventLoop loop) throws IOException {
        lock.recordFencingChecked();
        if (!fenceChecked) {
            fenceChecked = true;
            loop.scheduleWithFixedDelay(this::checkFence, FENCE_CHECK_MS, FENCE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        journal.watchFencingToken(() -> {
            // No orderly stop: all messages of this process belong to another one already.
            LogEvent.of("state_folder_fenced")
                    .with("folder", config.state())
                    .with("exit_code", EXIT_FENCED)
                    .warn();
            Runtime.getRuntime().halt(EXIT_FENCED);
        });
    }

    private void checkFence() {
        if (lock != null) {
            journal.checkFencingToken();
        }
    }

    /**
     * Forces the journal before another daemon is told of what was written. Where the disk fails the process ends: its memory is
     * ahead of its folder, and the next process goes on from the folder.
     */
    public void forceOrHalt() {
        if (!journal.forceAll()) {
            LogEvent.of("journal_not_durable")
                    .with("folder", config.state())
                    .with("exit_code", EXIT_NOT_DURABLE)
                    .warn();
            Runtime.getRuntime().halt(EXIT_NOT_DURABLE);
        }
    }

    /** Closes the journal, then frees the lock: in this order, as another process may wait for it. */
    public void close() {
        StateLock current = lock;
        lock = null;
        if (current == null) {
            return;
        }
        try {
            if (journal != null) {
                journal.close();
            }
            current.close();
            LogEvent.of("state_folder_unlocked").with("folder", config.state()).warn();
        } catch (IOException e) {
            LogEvent.of("state_folder_close_failed")
                    .with("folder", config.state())
                    .cause(e)
                    .warn();
        }
    }
}
