package amberroute.sender.upstream;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import java.util.List;
import java.util.function.IntFunction;

/**
 * How long a message that may have run may be sent again: one with an idempotency key only while the destination remembers the key, which
 * began with the first attempt that may have run. The scheduler chooses within that time, but a call that waits for its connection is
 * written later. Stateless; times are milliseconds.
 */
public final class IdempotencyWindow {
    /** Allowed for the way to the endpoint; the scheduler allows for more, as its calls may still have to connect. */
    public static final long MARGIN_MS = 100;

    /** Result where nothing bounds the time. */
    public static final long UNBOUNDED = Long.MAX_VALUE;

    private IdempotencyWindow() {}

    /** Milliseconds from {@code wall} within which a call with these messages may be written, below 0 where it may not. */
    public static long left(
            List<UpstreamClient.CallMessage> items, IntFunction<DeliveryScheduler.MessageClass> types, long wall) {
        long left = UNBOUNDED;
        for (UpstreamClient.CallMessage item : items) {
            AcceptedMessage message = item.message();
            DeliveryScheduler.MessageClass messageClass = types.apply(message.classNumber);
            if (message.unknownOutcomeSinceMillis != 0
                    && messageClass.idempotency() == DeliveryScheduler.Idempotency.KEYED) {
                left = Math.min(
                        left,
                        message.unknownOutcomeSinceMillis + messageClass.keyLifeMicros() / 1_000 - MARGIN_MS - wall);
            }
        }
        return left;
    }
}
