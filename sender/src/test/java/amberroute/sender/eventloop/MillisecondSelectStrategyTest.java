package amberroute.sender.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MillisecondSelectStrategyTest {
    private static final int TIMERS = 800;
    /** A pass before and one behind each timer, and some more for a machine that wakes up early or late. */
    private static final int PASSES_A_TIMER = 5;

    @Test
    void aLoopDoesNotSpinUntilItsNextTimer() throws InterruptedException {
        AtomicLong passes = new AtomicLong();
        SelectStrategyFactory counting = () -> (supplier, hasTasks) -> {
            passes.incrementAndGet();
            return hasTasks ? supplier.get() : -1;
        };
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, MillisecondSelectStrategy.around(NioIoHandler.newFactory(SelectorProvider.provider(), counting)));
        try {
            CountDownLatch due = new CountDownLatch(TIMERS);
            for (int i = 1; i <= TIMERS; i++) {
                // Between whole milliseconds, and far enough apart that the loop has nothing else to do.
                group.schedule(due::countDown, 2_300L * i, TimeUnit.MICROSECONDS);
            }
            assertTrue(due.await(60, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        System.out.println(passes.get() + " passes for " + TIMERS + " timers");
        assertTrue(passes.get() < TIMERS * PASSES_A_TIMER, passes + " passes for " + TIMERS + " timers");
    }

    @Test
    void onlyWaitsThatHaveAnEndAreRounded() {
        assertEquals(1_000_000, MillisecondSelectStrategy.rounded(1));
        assertEquals(1_000_000, MillisecondSelectStrategy.rounded(1_000_000));
        assertEquals(2_000_000, MillisecondSelectStrategy.rounded(1_000_001));
        assertEquals(0, MillisecondSelectStrategy.rounded(0));
        assertEquals(-5, MillisecondSelectStrategy.rounded(-5));
        assertEquals(Long.MAX_VALUE, MillisecondSelectStrategy.rounded(Long.MAX_VALUE));
    }
}
