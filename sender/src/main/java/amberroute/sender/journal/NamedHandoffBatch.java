package amberroute.sender.journal;

/** A journaled handoff batch: its name and state. */
record NamedHandoffBatch(String name, HandoffBatchRecord batch) {}
