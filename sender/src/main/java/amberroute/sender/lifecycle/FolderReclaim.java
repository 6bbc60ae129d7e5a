package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Gets the state folder back after the process that it was given to has gone: whoever gave it away still has the clients and
 * the calls. The kernel frees a dying process's file locks before its connections, so the lock is free as soon as the line's end
 * is seen. Where it is not, another process owns the folder and may make the calls that are out here a second time: they are given
 * up at once. The lock is tried on, as that process may die too. Runs on a thread of its own, since opening a journal takes a
 * while; at most one runs for a sender.
 */
public final class FolderReclaim {
    private static final long RETRY_MS = 100;
    /** A folder that nobody has and that cannot be opened for so long: the next process would not be able to either. */
    private static final long GIVE_UP_MS = 20_000;

    /** What has to be done; all but {@link #own} is called on the event loop. */
    public interface Host {
        /** Takes the lock and opens the journal; false where another process has the lock. Not on the event loop. */
        boolean own() throws IOException;

        /** The folder is this process's again: it goes on as after a start, with the calls and clients that it has. */
        void resume();

        /** Another process may work on the same messages: nothing of them may go on here. */
        void abandon();

        /** Nobody else has the folder, and it cannot be opened, or not be gone on with. */
        void hopeless();
    }

    private final EventLoop loop;
    private final Host host;
    private final Thread thread = new Thread(this::run, "reclaim");
    private volatile boolean cancelled;
    private volatile boolean abandoned;

    public FolderReclaim(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Whether the folder may be this process's within a moment, so that it must not end yet. */
    public boolean promising() {
        return !abandoned && thread.isAlive();
    }

    /** Ends it and waits until it has ended. Not on the event loop. */
    public void cancel() {
        cancelled = true;
        try {
            thread.join(GIVE_UP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long failingSince = 0;
        String lastFailure = "";
        while (!cancelled) {
            try {
                if (host.own()) {
                    resume();
                    return;
                }
                failingSince = 0;
            } catch (IOException | RuntimeException e) {
                failingSince = failingSince == 0 ? System.nanoTime() : failingSince;
                if (!String.valueOf(e.getMessage()).equals(lastFailure)) {
                    lastFailure = String.valueOf(e.getMessage());
                    LogEvent.of("reclaim_open_failed").cause(e).warn();
                }
            }
            if (failingSince != 0 && millisSince(failingSince) > GIVE_UP_MS) {
                loop.execute(host::hopeless);
                return;
            }
            abandon();
            pause();
        }
    }

    /** One that owns the folder and does not serve would keep it from all others: it ends, and the next start goes on. */
    private void resume() {
        Throwable failure = loop.submit(host::resume).awaitUninterruptibly().cause();
        if (failure != null) {
            LogEvent.of("reclaim_resume_failed").cause(failure).warn();
            loop.execute(host::hopeless);
        }
    }

    private void abandon() {
        if (!abandoned) {
            LogEvent.of("reclaim_calls_abandoned").warn();
            abandoned = true;
            loop.submit(host::abandon).syncUninterruptibly();
        }
    }

    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            cancelled = true;
        }
    }

    private static long millisSince(long instant) {
        return (System.nanoTime() - instant) / 1_000_000;
    }
}
