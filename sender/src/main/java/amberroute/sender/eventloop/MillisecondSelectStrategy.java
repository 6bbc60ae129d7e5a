package amberroute.sender.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * Makes an event loop wait for its next timer in whole milliseconds, rounded up. Netty's selector sleeps for milliseconds at
 * least and goes round without sleeping while a timer is due in less than half of one: hundreds of times before each timer, which
 * costs CPU time. Timers are up to a millisecond late by this.
 */
public final class MillisecondSelectStrategy implements IoHandler {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private final IoHandler inner;

    private MillisecondSelectStrategy(IoHandler inner) {
        this.inner = inner;
    }

    /** Handlers of this factory, but for their waits. */
    public static IoHandlerFactory around(IoHandlerFactory factory) {
        return executor -> new MillisecondSelectStrategy(factory.newHandler(executor));
    }

    /** Nanoseconds rounded up; what is due, and a wait without end, stay as they are. */
    static long rounded(long delayNanos) {
        if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - MILLISECOND) {
            return delayNanos;
        }
        return (delayNanos + MILLISECOND - 1) / MILLISECOND * MILLISECOND;
    }

    @Override
    public int run(IoHandlerContext context) {
        return inner.run(new RoundedContext(context));
    }

    @Override
    public void initialize() {
        inner.initialize();
    }

    @Override
    public void prepareToDestroy() {
        inner.prepareToDestroy();
    }

    @Override
    public void destroy() {
        inner.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return inner.register(handle);
    }

    @Override
    public void wakeup() {
        inner.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return inner.isCompatible(handleType);
    }

    /** A loop's context as it is, but for the time until its next timer. */
    private record RoundedContext(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return rounded(context.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
