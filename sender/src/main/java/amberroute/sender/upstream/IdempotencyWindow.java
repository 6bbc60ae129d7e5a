package amberroute.sender.upstream;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Until when what may have run may be written again: a keyed message only within its key's life, which began with the first attempt
 * that may have run. The module chooses within it; but a call that waits for its connection is written later, and a connection may
 * come up after the life is over. Decides only; times are milliseconds.
 */
public final class IdempotencyWindow {
    /** Transit to the receiver; the module allows for more, as its calls may still have to connect. */
    public static final long MARGIN_MS = 100;

    public static final long UNBOUNDED = Long.MAX_VALUE;

    private IdempotencyWindow() {}

    /** How much longer a call with these messages may be written, below 0 where it must not be any more. */
    public static long left(
            List<UpstreamClient.CallMessage> items, IntFunction<DeliveryScheduler.MessageClass> types, long wall) {
        long left = UNBOUNDED;
        for (UpstreamClient.CallMessage item : items) {
            AcceptedMessage m = item.message();
            DeliveryScheduler.MessageClass type = types.apply(m.type);
            if (m.doubtSince != 0 && type.idempotency() == DeliveryScheduler.Idempotency.KEYED) {
                left = Math.min(left, m.doubtSince + type.keyLifeMicros() / 1_000 - MARGIN_MS - wall);
            }
        }
        return left;
    }
}
