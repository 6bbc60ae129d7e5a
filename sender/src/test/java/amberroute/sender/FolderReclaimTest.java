package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import amberroute.sender.lifecycle.FolderReclaim;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a process is told while it tries to own its folder again. */
@Timeout(60)
class FolderReclaimTest {
    private static final long WAIT_S = 20;

    /** One outcome of a try to own the folder. */
    private enum Try {
        OWNED,
        TAKEN,
        FAILS
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    @Test
    void goesOnWhereTheFolderIsFree() throws Exception {
        FolderReclaim reclaim = reclaim(List.of(Try.OWNED), false);
        assertEquals("resume", told.poll(WAIT_S, TimeUnit.SECONDS));
        reclaim.cancel();
        assertNull(told.poll());
    }

    /** One that owns the folder and does not serve would keep everybody out of it. */
    @Test
    void endsWhereItOwnsTheFolderAndCannotGoOn() throws Exception {
        FolderReclaim reclaim = reclaim(List.of(Try.OWNED), true);
        assertEquals("resume", told.poll(WAIT_S, TimeUnit.SECONDS));
        assertEquals("hopeless", told.poll(WAIT_S, TimeUnit.SECONDS));
        reclaim.cancel();
        assertFalse(reclaim.possible());
        assertNull(told.poll());
    }

    /** The other owner may make the calls that are out here a second time, so they are given up at once, and once only. */
    @Test
    void givesUpItsCallsOnceAndTriesOnWhereAnotherOwnsTheFolder() throws Exception {
        FolderReclaim reclaim = reclaim(List.of(Try.TAKEN, Try.TAKEN, Try.OWNED), false);
        assertEquals("abandon", told.poll(WAIT_S, TimeUnit.SECONDS));
        assertEquals("resume", told.poll(WAIT_S, TimeUnit.SECONDS));
        reclaim.cancel();
        assertNull(told.poll());
    }

    /** A disk that fails for a moment is no reason to end. */
    @Test
    void triesOnWhereTheFolderCannotBeOpenedForAMoment() throws Exception {
        reclaim(List.of(Try.FAILS, Try.FAILS, Try.OWNED), false);
        assertEquals("abandon", told.poll(WAIT_S, TimeUnit.SECONDS));
        assertEquals("resume", told.poll(WAIT_S, TimeUnit.SECONDS));
    }

    private FolderReclaim reclaim(List<Try> tries, boolean resumeFails) {
        AtomicInteger made = new AtomicInteger();
        FolderReclaim reclaim = new FolderReclaim(loop, new FolderReclaim.Host() {
            @Override
            public boolean tryAcquire() throws IOException {
                Try now = tries.get(made.getAndIncrement());
                if (now == Try.FAILS) {
                    throw new IOException("no space");
                }
                return now == Try.OWNED;
            }

            @Override
            public void resume() {
                told.add("resume");
                if (resumeFails) {
                    throw new IllegalStateException("the journal holds what nobody knows");
                }
            }

            @Override
            public void abandon() {
                told.add("abandon");
            }

            @Override
            public void failed() {
                told.add("hopeless");
            }
        });
        reclaim.start();
        return reclaim;
    }
}
