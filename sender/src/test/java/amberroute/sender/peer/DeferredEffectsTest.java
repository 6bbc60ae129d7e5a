package amberroute.sender.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Effects that wait for a quorum, in a process that stands still. */
class DeferredEffectsTest {
    private static final long LONGER_THAN_PATIENCE_NANOS = 250_000_000;

    private final EventLoop loop = new DefaultEventLoop();
    private final DeferredEffects effects = new DeferredEffects(loop);
    private final List<String> ran = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void standStill() {
        long from = System.nanoTime();
        while (System.nanoTime() - from < LONGER_THAN_PATIENCE_NANOS) {
            Thread.onSpinWait();
        }
    }

    /** Guards against calls that a process makes on waking, as acknowledgements from before it stood still allow them. */
    @Test
    void acknowledgementsFromBeforeAStandstillAllowNoEffectThatCanFail() throws Exception {
        loop.submit(() -> {
                    effects.add(1, () -> ran.add("call"), () -> ran.add("aborted"));
                    effects.add(2, () -> ran.add("reply"), null);
                    effects.scheduleTimeout();
                    standStill();
                    effects.add(3, () -> ran.add("later call"), () -> ran.add("later aborted"));
                    effects.releaseUpTo(3);
                })
                .sync();
        assertEquals(List.of("aborted", "reply", "later call"), ran);
        assertEquals(1, effects.timedOut());
    }
}
