package amberroute.sender.lifecycle;

import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.client.OrderlyClose;

/**
 * The steps of a stop: when calls are cancelled, when messages are completed, and when the process may end. Decides only; times are
 * milliseconds on the caller's clock, and the caller asks {@link #next} again and again.
 *
 * <p>A stop for a restart delivers until no message is pending or its deadline comes; the journal has the rest for the next process. A
 * stop for good gives each message its final outcome: it delivers for {@link #DELIVERY_SHARE} of its time, then cancels calls in
 * flight, completes the messages that are left, and waits until the notifications are acknowledged.
 */
public final class ShutdownSequence {
    /** What to do now. */
    public enum Step {
        /** Delivers, but accepts nothing new. */
        DELIVER,
        /** Cancels all calls in flight, and starts none. */
        CANCEL_CALLS,
        /** Completes all pending messages as undelivered. */
        COMPLETE_ALL,
        /** Waits until notifications are acknowledged. */
        AWAIT_NOTIFICATIONS,
        /** Accepts no connection and closes idle ones, so that the last answers still leave. */
        CLOSE,
        /** The process may end. */
        DONE
    }

    /** The remaining work; {@code clientConnections} includes those that are closing. */
    public record Load(int pendingMessages, int callsInFlight, int pendingNotifications, int clientConnections) {}

    /** The share of a final stop's time for deliveries; the rest is for cancelled calls and for notifications. */
    static final double DELIVERY_SHARE = 0.7;
    /** The longest time for cancelled calls and for notifications. */
    static final long MAX_COMPLETION_MS = 3_000;
    /** After a final stop rejected clients return so far apart, within {@link #MAX_RETRY_SPREAD_MS}. */
    static final long RETRY_SPREAD_MS = 5;

    public static final long MAX_RETRY_SPREAD_MS = 1_000;
    /** How long the last answers may take to leave; slow readers have {@link #MAX_LINGER_MS}. */
    static final long LINGER_MS = 60;

    static final long MAX_LINGER_MS = OrderlyClose.LINGER_MS;

    private final ShutdownMode mode;
    private final long deadline;
    private final long deliveryEndsAt;
    private final long restartMillis;
    private long idleSince = -1;

    /** {@code restartMillis} is how long after its end a restarted sender serves again. */
    public ShutdownSequence(ShutdownMode mode, long nowMillis, long withinMillis, long restartMillis) {
        this.mode = mode;
        this.restartMillis = restartMillis;
        deadline = nowMillis + withinMillis;
        deliveryEndsAt = deadline - Math.min(MAX_COMPLETION_MS, (long) (withinMillis * (1 - DELIVERY_SHARE)));
    }

    /** Who continues after this stop. */
    public ShutdownMode mode() {
        return mode;
    }

    long left(long nowMillis) {
        return Math.max(0, deadline - nowMillis);
    }

    /** How long calls may still take, for decisions that look ahead. */
    public long deliveryMillisLeft(long nowMillis) {
        return Math.max(0, (mode == ShutdownMode.FINAL ? deliveryEndsAt : deadline) - nowMillis);
    }

    /**
     * When a rejected client may come again: to this sender after a restart; after a final stop to others, {@link #RETRY_SPREAD_MS}
     * apart for each connection so that they are not overloaded. {@code place}, from 0 to 1, is the client's random place in that.
     */
    public long retryAdviceMillis(long nowMillis, int connections, double place) {
        return mode != ShutdownMode.FINAL
                ? left(nowMillis) + restartMillis
                : (long) (place * Math.min(MAX_RETRY_SPREAD_MS, RETRY_SPREAD_MS * connections));
    }

    /** The step to carry out now. */
    public Step next(long nowMillis, Load load) {
        boolean over = nowMillis >= deadline;
        if (load.pendingMessages() > 0 && !over) {
            if (mode != ShutdownMode.FINAL || nowMillis < deliveryEndsAt) {
                idleSince = -1;
                return Step.DELIVER;
            }
            return load.callsInFlight() > 0 ? Step.CANCEL_CALLS : Step.COMPLETE_ALL;
        }
        if (load.pendingNotifications() > 0 && !over) {
            return Step.AWAIT_NOTIFICATIONS;
        }
        if (idleSince < 0) {
            idleSince = nowMillis;
        }
        return nowMillis - idleSince >= (load.clientConnections() > 0 && !over ? MAX_LINGER_MS : LINGER_MS)
                ? Step.DONE
                : Step.CLOSE;
    }

    /**
     * Whether a message without a further call is completed as rejected, and not as failed. A rejection promises that submitting it
     * again does no harm: so only where it surely has not run, or where running twice does none.
     */
    public static boolean mayReject(boolean mayHaveRun, boolean idempotent, boolean keyKnownAtWholeDestination) {
        return !mayHaveRun || idempotent || keyKnownAtWholeDestination;
    }
}
