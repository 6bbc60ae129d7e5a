package amberroute.sender.upstream;

import io.netty.util.concurrent.Future;
import java.util.List;

/** A call to an endpoint from its start until the outcome of each of its messages is reported. Belongs to the event loop. */
public final class UpstreamCall {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Where the call goes. */
    public final UpstreamClient.Route route;
    /** The messages that the call carries; changed by {@link UpstreamClient#rebind} alone. */
    public List<UpstreamClient.CallMessage> items;

    /** Time-out of the call in microseconds from its start. */
    final long timeoutMicros;
    /** Its connection, null until one is found or opened. */
    UpstreamConnection connection;
    /** As in {@link UpstreamClient.Result}. */
    long connectionIdleMicros;

    Future<?> timeout;
    /** Whether the request was written, at least in part. */
    boolean written;
    /** Whether the call may not be written any more: its endpoint has asked for a wait or drains. */
    boolean barred;
    /** Whether the call has ended; its outcomes may still wait for its connection to close. */
    boolean done;
    /** Whether the messages belong to another process by now, so that no outcome is reported. */
    boolean disowned;

    private final long startedNanos = System.nanoTime();
    private final long writeWithinMillis;

    /** A call that starts now and may be written within so many milliseconds. */
    UpstreamCall(
            UpstreamClient.Route route,
            List<UpstreamClient.CallMessage> items,
            long timeoutMicros,
            long writeWithinMillis) {
        this.route = route;
        this.items = items;
        this.timeoutMicros = timeoutMicros;
        this.writeWithinMillis = writeWithinMillis;
    }

    /** Microseconds since the call was started. */
    long elapsedMicros() {
        return (System.nanoTime() - startedNanos) / NANOS_PER_MICRO;
    }

    /** Microseconds until the time-out. */
    long remainingMicros() {
        return timeoutMicros - elapsedMicros();
    }

    /** Whether it is too late to write the call, or forbidden since it was started. */
    boolean mayNotBeWritten() {
        // Behind the time-out another owner of the messages may make an attempt, if this process stood still.
        return barred || remainingMicros() <= 0 || elapsedMicros() / MICROS_PER_MILLI > writeWithinMillis;
    }

    /** Whether the call carries several messages. */
    boolean isBatch() {
        return items.size() > 1;
    }
}
