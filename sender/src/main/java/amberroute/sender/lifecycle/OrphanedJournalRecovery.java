package amberroute.sender.lifecycle;

import amberroute.sender.message.AcceptedMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Divides the messages of an orphaned state folder into batches and copies each message for its new owner. Decides only: the caller
 * has raised the fencing token and read the journal after it. Times are milliseconds of the folder's {@code SteadyClock}.
 *
 * <p>The names of the batches depend on the fencing token and the journal only, so that an interrupted adoption is continued: a batch
 * whose name the adopter's journal has was adopted before.
 */
public final class OrphanedJournalRecovery {
    /** Prefix of the names of adopted batches. */
    public static final String PREFIX = "adopted-";
    /** Bounds a batch so that its record stays within the bound of the journal. */
    public static final int MAX_BATCH_MESSAGES = 64;

    static final long MAX_BATCH_BYTES = 96 << 10;
    /** A message that expired longer ago is not adopted, as no client waits for its outcome. */
    public static final long EXPIRED_RETENTION_MS = 3_600_000;

    private OrphanedJournalRecovery() {}

    /** Batches in the order of acceptance by name; messages of one key may be in several successive batches. */
    public static Map<String, List<AcceptedMessage>> batches(
            String token, Collection<AcceptedMessage> live, long nowMillis) {
        Map<String, List<AcceptedMessage>> batches = new LinkedHashMap<>();
        List<AcceptedMessage> batch = new ArrayList<>();
        long bytes = 0;
        for (AcceptedMessage message : live) {
            if (message.deadlineMillis + EXPIRED_RETENTION_MS < nowMillis) {
                continue;
            }
            long size = message.body.length + 1_024L;
            if (!batch.isEmpty() && (batch.size() == MAX_BATCH_MESSAGES || bytes + size > MAX_BATCH_BYTES)) {
                batches.put(PREFIX + token + "-" + batch.get(0).number, batch);
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(message);
            bytes += size;
        }
        if (!batch.isEmpty()) {
            batches.put(PREFIX + token + "-" + batch.get(0).number, batch);
        }
        return batches;
    }

    /**
     * The message as its new owner has it: with the call that was in flight, and a notification that is not acknowledged is sent again. A
     * message that was offered to a peer may be that peer's, and only its old owner could ask: it has failed, which promises nothing.
     *
     * @param ownerMayLive whether the old owner's process may live, so that a call of it may still be in flight
     */
    public static AcceptedMessage copy(AcceptedMessage message, LongSupplier numbers, boolean ownerMayLive) {
        AcceptedMessage copy = new AcceptedMessage(
                numbers.getAsLong(),
                message.id,
                message.idempotencyKey,
                message.className,
                message.key,
                message.destination,
                message.deadlineMillis,
                message.body);
        copy.attempts = message.attempts;
        copy.unknownOutcomeSinceMillis = message.unknownOutcomeSinceMillis;
        copy.unknownOutcomeEndpoint = message.unknownOutcomeEndpoint;
        copy.attemptSentAtMillis = message.attemptSentAtMillis;
        copy.attemptGiveUpMillis = message.attemptGiveUpMillis;
        copy.attemptEndpoint = message.attemptEndpoint;
        copy.attemptInFlight = message.attemptInFlight;
        copy.attemptByFormerOwner = message.attemptInFlight && ownerMayLive;
        if (message.pendingNotification != null || message.offeredToPeer) {
            copy.end(message.pendingNotification != null ? message.pendingNotification : message.failed());
        }
        return copy;
    }
}
