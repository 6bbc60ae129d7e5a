package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.ModifiedUtf8;
import amberroute.storage.Batch;
import amberroute.storage.SegmentLog;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Fills a journal's contents from its log. Records are read in the order of segments, so they are collected first and
 * then sorted: messages by rank, handoff batches by version, health records and completed ids by owner.
 */
final class JournalRecovery {
    /** Number of batches with the same version that recovery can tell apart; batches of one write share a version. */
    private static final int BATCHES_PER_VERSION = 4_096;

    /** The records of one message, in any order. */
    private static final class RecoveredMessage {
        final long number;
        AcceptedMessage message;
        AttemptHistory attempts;
        long rank;

        RecoveredMessage(long number) {
            this.number = number;
        }
    }

    private final SegmentLog log;
    private final JournalContents contents;
    private final Map<Long, RecoveredMessage> messages = new HashMap<>();
    private final TreeMap<Long, NamedHandoffBatch> batches = new TreeMap<>();
    private final TreeMap<Long, HealthRecord> health = new TreeMap<>();
    private final TreeMap<Long, CompletedRecord> completed = new TreeMap<>();
    private final ModifiedUtf8 stringCache = new ModifiedUtf8();
    /** The message that was read last: records of one message are mostly adjacent. */
    private RecoveredMessage lastMessage = new RecoveredMessage(0);

    JournalRecovery(SegmentLog log, JournalContents contents) {
        this.log = log;
        this.contents = contents;
    }

    /**
     * Reads the log.
     *
     * @return deletions of orphaned records, whose message could not be read, and of evicted ids of completed messages
     * @throws IOException if a record was written by a later version
     */
    Batch run() throws IOException {
        try {
            log.readLiveContents(this::readRecord);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new IOException("a journal record has a layout that this version cannot read", e);
        }
        health.values().forEach(contents::putHealth);
        Batch orphans = new Batch();
        recoverMessages(orphans);
        batches.values().forEach(namedBatch -> contents.putHandoffBatch(namedBatch.name(), namedBatch.batch()));
        completed.forEach(
                (number, record) -> contents.addCompleted(number, record).forEach(orphans::delete));
        return orphans;
    }

    private void readRecord(long owner, int kind, long version, ByteBuffer content) throws IOException {
        switch (kind) {
            case RecordKind.MESSAGE -> readMessage(owner, content);
            case RecordKind.ATTEMPTS -> recoveredMessage(owner).attempts =
                    JournalRecordCodec.decodeAttempts(content, stringCache);
            case RecordKind.RANK -> recoveredMessage(owner).rank = content.getLong();
            default -> readOther(owner, kind, version, content);
        }
    }

    private void readMessage(long owner, ByteBuffer content) throws IOException {
        if (JournalRecordCodec.isCompleted(content)) {
            completed.put(owner, JournalRecordCodec.decodeCompleted(content));
        } else {
            recoveredMessage(owner).message = JournalRecordCodec.decodeMessage(owner, content, stringCache);
        }
    }

    private RecoveredMessage recoveredMessage(long owner) {
        if (lastMessage.number != owner) {
            lastMessage = messages.computeIfAbsent(owner, RecoveredMessage::new);
        }
        return lastMessage;
    }

    private void readOther(long owner, int kind, long version, ByteBuffer content) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(
                content.array(), content.arrayOffset() + content.position(), content.remaining()));
        switch (kind) {
            case RecordKind.HANDOFF_BATCH -> {
                NamedHandoffBatch namedBatch = JournalRecordCodec.decodeHandoffBatch(in);
                contents.owners.restore(OwnerNumbers.handoffBatch(namedBatch.name()), owner);
                batches.put(version * BATCHES_PER_VERSION + batches.size() % BATCHES_PER_VERSION, namedBatch);
            }
            case RecordKind.KEY_HOLD -> {
                var hold = JournalRecordCodec.decodeKeyHold(in);
                contents.owners.restore(OwnerNumbers.keyHold(hold.origin(), hold.key()), owner);
                contents.holdKeys(hold.origin(), List.of(hold.key()), hold.untilMillis());
            }
            case RecordKind.HEALTH -> {
                HealthRecord record = JournalRecordCodec.decodeHealth(in);
                contents.owners.restore(OwnerNumbers.upstream(record), owner);
                health.put(owner, record);
            }
            case RecordKind.MESSAGE_CLASS -> {
                NumberedClass numberedClass = JournalRecordCodec.decodeClass(in);
                contents.owners.restore(OwnerNumbers.messageClass(numberedClass.number()), owner);
                contents.putClass(numberedClass.number(), numberedClass.version());
            }
            case RecordKind.REPLICATION_POSITION -> {
                contents.owners.restore(OwnerNumbers.replication(), owner);
                contents.replicationPosition = in.readAllBytes();
            }
            case RecordKind.REPLICA_SET -> {
                contents.owners.restore(OwnerNumbers.replication(), owner);
                contents.replicaSet = in.readAllBytes();
            }
            default -> throw new IOException("unknown journal record kind " + kind);
        }
    }

    private void recoverMessages(Batch orphans) {
        List<AcceptedMessage> recovered = new ArrayList<>(messages.size());
        for (RecoveredMessage records : messages.values()) {
            if (records.message == null) {
                // The acceptance record was in bytes that could not be read.
                orphans.delete(records.number);
                continue;
            }
            if (records.attempts != null) {
                records.attempts.applyTo(records.message);
            }
            records.message.rank = Math.max(records.message.rank, records.rank);
            recovered.add(records.message);
        }
        recovered.sort(Comparator.comparingLong(message -> message.rank));
        recovered.forEach(contents::addPending);
    }
}
