package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;

/**
 * What is journaled of a completed message, so that a client that submits it again is answered as for a duplicate.
 *
 * @param id the message's id
 * @param contentHash hash of its content, 0 where that is unknown
 * @param idempotency of its class
 */
record CompletedRecord(String id, int contentHash, DeliveryScheduler.Idempotency idempotency) {}
