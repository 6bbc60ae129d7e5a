package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;

/**
 * The part of a completed message that is kept, so that a client that submits it again gets the reply for a duplicate.
 *
 * @param id the message's id
 * @param contentHash hash of its content, 0 if unknown
 * @param idempotency idempotency of its message class
 */
record CompletedRecord(String id, int contentHash, DeliveryScheduler.Idempotency idempotency) {}
