package amberroute.sender.lifecycle;

import amberroute.sender.message.AcceptedMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * How the messages of an orphaned folder are cut into lots, and what each of them is for its new owner. Decides only:
 * whoever carries it out has raised the fence and read the journal behind it.
 *
 * <p>The names of the lots depend on nothing but the fence and the journal, so that an adoption that was cut off goes on
 * where it stood: a lot whose name the adopter's journal knows has been taken.
 */
public final class OrphanedJournalRecovery {
    /** Of the names of lots that were adopted. */
    public static final String PREFIX = "adopted-";
    /** Of one lot, so that its record stays within the journal's bound. */
    public static final int MOST_MESSAGES = 64;

    static final long MOST_BYTES = 96 << 10;
    /** What no client waits for any more, and no notice can help, is left where it is. */
    public static final long FORGOTTEN_MS = 3_600_000;

    private OrphanedJournalRecovery() {}

    /** Lots in the order of acceptance; a key's messages may be in several, which come one behind the other. */
    public static Map<String, List<AcceptedMessage>> lots(String fence, Collection<AcceptedMessage> live, long wall) {
        Map<String, List<AcceptedMessage>> lots = new LinkedHashMap<>();
        List<AcceptedMessage> lot = new ArrayList<>();
        long bytes = 0;
        for (AcceptedMessage m : live) {
            if (m.deadline + FORGOTTEN_MS < wall) {
                continue;
            }
            long size = m.body.length + 1_024L;
            if (!lot.isEmpty() && (lot.size() == MOST_MESSAGES || bytes + size > MOST_BYTES)) {
                lots.put(PREFIX + fence + "-" + lot.get(0).number, lot);
                lot = new ArrayList<>();
                bytes = 0;
            }
            lot.add(m);
            bytes += size;
        }
        if (!lot.isEmpty()) {
            lots.put(PREFIX + fence + "-" + lot.get(0).number, lot);
        }
        return lots;
    }

    /**
     * The message as its new owner has it: what was out may have run, and a notice that is owed stays owed. One that had
     * been offered to a peer may be that peer's by now, and only its old owner could ask: it has failed, which promises
     * nothing.
     */
    public static AcceptedMessage copy(AcceptedMessage m, LongSupplier numbers) {
        AcceptedMessage own = new AcceptedMessage(
                numbers.getAsLong(), m.id, m.idempotencyKey, m.className, m.key, m.destination, m.deadline, m.body);
        own.attempts = m.attempts;
        own.doubtSince = m.doubtSince;
        own.doubtAt = m.doubtAt;
        own.sentAt = m.sentAt;
        own.sentTo = m.sentTo;
        if (m.out) {
            own.outcome(true);
        }
        if (m.notice != null || m.frozen) {
            own.end(m.notice != null ? m.notice : m.failed());
        }
        return own;
    }
}
