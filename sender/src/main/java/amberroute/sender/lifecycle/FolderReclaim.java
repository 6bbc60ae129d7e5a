package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Reclaims the state folder after the successor process has gone: this process still has the clients and the calls in flight. The
 * kernel frees the file locks of a dying process before its connections, so the lock is free as soon as the end of the transfer
 * channel is seen. Where it is not, another process owns the folder and may repeat the calls in flight here: they are cancelled at
 * once. The lock is tried again and again, as that process may die too. Runs on a thread of its own, as opening a journal takes a
 * while; a sender runs at most one.
 */
public final class FolderReclaim {
    private static final long RETRY_MS = 100;
    /** After so long with a free lock and a folder that cannot be opened, the next process could not open it either. */
    private static final long TIMEOUT_MS = 20_000;

    /** What has to be done; all but {@link #tryAcquire} is called on the event loop. */
    public interface Host {
        /** Takes the lock and opens the journal; false where another process has the lock. Not on the event loop. */
        boolean tryAcquire() throws IOException;

        /** This process owns the folder again: it goes on as after a start, with its calls in flight and its clients. */
        void resume();

        /** Another process may deliver the same messages: all calls here end. */
        void abandon();

        /** The folder cannot be opened, or its messages cannot be resumed; the process has to end. */
        void failed();
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

    /** Whether this process may own the folder again within a moment, and must not end yet. */
    public boolean possible() {
        return !abandoned && thread.isAlive();
    }

    /** Ends the reclaim and waits until it has ended. Not on the event loop. */
    public void cancel() {
        cancelled = true;
        try {
            thread.join(TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long failingSince = 0;
        String lastFailure = "";
        while (!cancelled) {
            try {
                if (host.tryAcquire()) {
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
            if (failingSince != 0 && millisSince(failingSince) > TIMEOUT_MS) {
                loop.execute(host::failed);
                return;
            }
            abandon();
            pause();
        }
    }

    /** A process that owns the folder without serving would block all others: on a failure it ends, and the next start goes on. */
    private void resume() {
        Throwable failure = loop.submit(host::resume).awaitUninterruptibly().cause();
        if (failure != null) {
            LogEvent.of("reclaim_resume_failed").cause(failure).warn();
            loop.execute(host::failed);
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
