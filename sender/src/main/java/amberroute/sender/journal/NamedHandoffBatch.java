package amberroute.sender.journal;

/** A handoff batch as it is journaled: its name and its state. */
record NamedHandoffBatch(String name, HandoffBatchRecord batch) {}
