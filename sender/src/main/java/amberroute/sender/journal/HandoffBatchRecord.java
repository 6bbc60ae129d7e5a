package amberroute.sender.journal;

import amberroute.handoff.Ownership;
import java.util.List;

/**
 * The journaled state of one handoff batch.
 *
 * @param ownership who owns the messages of the batch
 * @param retainUntilMillis time of the steady clock until which the record has to be retained
 * @param messageNumbers this journal's numbers of the messages in the batch
 */
public record HandoffBatchRecord(Ownership ownership, long retainUntilMillis, List<Long> messageNumbers) {}
