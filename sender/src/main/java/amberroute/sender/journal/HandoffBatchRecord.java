package amberroute.sender.journal;

import amberroute.handoff.Ownership;
import java.util.List;

/**
 * The journaled state of one handoff batch.
 *
 * @param ownership who owns the messages of the batch
 * @param retainUntilMillis steady-clock time until which the record has to be retained
 * @param messageNumbers numbers of the batch's messages in this journal
 */
public record HandoffBatchRecord(Ownership ownership, long retainUntilMillis, List<Long> messageNumbers) {}
