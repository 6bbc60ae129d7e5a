package amberroute.sender.lifecycle;

import amberroute.sender.journal.BackgroundExecutor;
import io.netty.channel.EventLoop;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Runs the journal's forces on a thread of its own, one at a time, and their completion on the event loop. */
final class JournalForceExecutor implements BackgroundExecutor {
    private final EventLoop loop;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(work -> {
        Thread force = new Thread(work, "force");
        force.setDaemon(true);
        return force;
    });

    JournalForceExecutor(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void runInBackground(Runnable work, Runnable then) {
        thread.execute(() -> {
            work.run();
            loop.execute(then);
        });
    }

    @Override
    public void runOnLoop(Runnable work) {
        loop.execute(work);
    }
}
