package amberroute.sender.journal;

import amberroute.decisions.UpstreamStatus;
import amberroute.storage.Batch;

/**
 * Journals the health of upstreams that are not healthy. The number of records is bounded; beyond it the record that
 * has been unchanged for longest is deleted, and the next process assumes that upstream to be healthy until its calls
 * fail. Used on the event loop only.
 */
final class HealthJournal {
    private static final int BUDGET_DIVISOR = 16;
    private static final int MIN_RECORDS = 128;
    private static final int MAX_RECORDS = 1 << 16;

    private final JournalContents contents;
    private final JournalWriter writer;
    private final int maxRecords;

    HealthJournal(JournalContents contents, JournalWriter writer) {
        this.contents = contents;
        this.writer = writer;
        long fittingRecords = contents.space.budgetBytes() / BUDGET_DIVISOR / RecordSizes.HEALTH_BYTES;
        maxRecords = (int) Math.min(MAX_RECORDS, Math.max(MIN_RECORDS, fittingRecords));
    }

    /** Writes a record, now or when the disk accepts it; that of a healthy upstream only deletes an earlier one. */
    void record(HealthRecord record) {
        Batch batch = new Batch();
        remove(record.upstreamKey(), batch);
        long owner = record.status() == UpstreamStatus.HEALTHY ? 0 : put(record, batch);
        if (!batch.isEmpty()) {
            writer.writeEventually(owner, batch, PendingWrites.NO_EFFECT);
        }
    }

    private long put(HealthRecord record, Batch batch) {
        long owner = contents.owners.getOrAllocate(OwnerNumbers.upstream(record));
        contents.putHealth(record);
        batch.put(owner, RecordKind.HEALTH, JournalRecordCodec.encodeHealth(record));
        if (contents.health.size() > maxRecords) {
            remove(contents.health.keySet().iterator().next(), batch);
        }
        return owner;
    }

    private void remove(String upstreamKey, Batch batch) {
        if (contents.removeHealth(upstreamKey) != null) {
            long owner = contents.owners.remove(OwnerNumbers.upstream(upstreamKey));
            writer.pendingWrites().remove(owner);
            batch.delete(owner);
        }
    }
}
