package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.Batch;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import java.util.zip.CRC32;

/**
 * A fixed sequence of journal operations with one restart, and a textual description of a journal's contents. The same
 * operations were recorded with an earlier version, see {@link JournalCompatibilityTest}.
 */
final class CompatibilityScenario {
    static final long BUDGET_BYTES = 100_000;
    private static final long DEADLINE_MILLIS = 4_000_000_000_000L;
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final int COMPACTION_STEPS = 8;
    private static final int SHORT_LIVED_MESSAGES = 60;

    private CompatibilityScenario() {}

    /** Numbers each change and records the checksum of the batch that would be replicated. */
    private static final class RecordingListener implements JournalChangeListener {
        final List<String> batchChecksums = new ArrayList<>();

        @Override
        public byte[] replicationPosition() {
            return ByteBuffer.allocate(16)
                    .putLong(3)
                    .putLong(batchChecksums.size() + 1)
                    .array();
        }

        @Override
        public void batchWritten(Batch batch) {
            batchChecksums.add(checksum(batch.encode()));
        }

        @Override
        public void whenReplicated(Runnable effect, Runnable failed) {
            effect.run();
        }
    }

    private static String checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return bytes.length + ":" + Long.toHexString(crc.getValue());
    }

    /** Runs all operations in a new folder; returns the checksums of the replicated batches. */
    static List<String> write(Path folder) throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            defineClasses(journal);
            writePendingMessages(journal);
            recordHealth(journal);
            acceptAndFinishMessages(journal, "first", COMPACTION_STEPS);
        }
        try (Journal journal = Journal.open(folder, BUDGET_BYTES)) {
            RecordingListener listener = new RecordingListener();
            journal.replicateTo(listener);
            journal.writeReplicaSet(new byte[] {5, 4, 3});
            writeHandoffBatches(journal);
            writeKeyHolds(journal);
            acceptAndFinishMessages(journal, "second", 1);
            recordMoreHealth(journal);
            return listener.batchChecksums;
        }
    }

    private static void defineClasses(Journal journal) {
        journal.defineClass(
                0,
                new MessageClassRegistry.Version(
                        "orders",
                        new DeliveryScheduler.MessageClass(
                                8.5,
                                0.25,
                                1_500_000,
                                6_000_000,
                                DeliveryScheduler.Idempotency.NON_IDEMPOTENT,
                                DeliveryScheduler.KeyScope.ENDPOINT,
                                0,
                                true)));
        journal.defineClass(
                3,
                new MessageClassRegistry.Version(
                        "übung",
                        new DeliveryScheduler.MessageClass(
                                1,
                                0.5,
                                900_000,
                                3_000_000,
                                DeliveryScheduler.Idempotency.IDEMPOTENT,
                                DeliveryScheduler.KeyScope.DESTINATION,
                                60_000_000,
                                false)));
        journal.defineClass(
                0,
                new MessageClassRegistry.Version(
                        "orders",
                        new DeliveryScheduler.MessageClass(
                                9,
                                0.25,
                                1_500_000,
                                6_000_000,
                                DeliveryScheduler.Idempotency.KEYED,
                                DeliveryScheduler.KeyScope.ZONE,
                                30_000_000,
                                true)));
    }

    private static AcceptedMessage message(Journal journal, String id, int classNumber, long key, int bodyBytes) {
        byte[] body = new byte[bodyBytes];
        for (int i = 0; i < bodyBytes; i++) {
            body[i] = (byte) (i * 31 + id.hashCode());
        }
        AcceptedMessage message = new AcceptedMessage(
                journal.nextNumber(),
                id,
                classNumber == 0 ? "key-of-" + id : "",
                classNumber == 0 ? "orders" : "übung",
                key,
                classNumber + 1,
                DEADLINE_MILLIS + bodyBytes,
                body);
        message.classNumber = classNumber;
        return message;
    }

    private static AcceptedMessage accept(Journal journal, String id, int classNumber, long key, int bodyBytes) {
        AcceptedMessage message = message(journal, id, classNumber, key, bodyBytes);
        if (!journal.accept(message)) {
            throw new IllegalStateException("journal rejected message " + id);
        }
        return message;
    }

    /** Writes a message in each state that a restart can find. */
    private static void writePendingMessages(Journal journal) {
        accept(journal, "untried", 0, 7, 300);
        accept(journal, "empty", 3, 0, 0);
        AcceptedMessage inFlight = accept(journal, "in-flight", 0, 8, 500);
        journal.recordAttempt(inFlight, "endpoint-1", START_MILLIS, 0);
        AcceptedMessage unknown = accept(journal, "unknown", 0, 9, 200);
        journal.recordAttempt(unknown, "endpoint-2", START_MILLIS + 1, 0);
        journal.recordOutcome(unknown, true);
        journal.recordAttempt(unknown, "endpoint-3", START_MILLIS + 2, 0);
        journal.recordOutcome(unknown, false);
        AcceptedMessage notRun = accept(journal, "not-run", 3, 0, 100);
        journal.recordAttempt(notRun, "endpoint-1", START_MILLIS + 3, 0);
        journal.recordOutcome(notRun, false);
        journal.recordAttemptEventually(notRun, "endpoint-4", START_MILLIS + 4, 0);
        AcceptedMessage failed = accept(journal, "failed", 0, 9, 400);
        journal.recordAttempt(failed, "endpoint-1", START_MILLIS + 5, 0);
        journal.endWithNotice(failed, failed.failed());
        AcceptedMessage returned = accept(journal, "returned", 3, 0, 50);
        journal.endWithNotice(returned, returned.returned(2_500));
        AcceptedMessage completed = accept(journal, "completed", 0, 1, 800);
        journal.recordAttempt(completed, "endpoint-1", START_MILLIS + 6, 0);
        journal.complete(completed);
        journal.complete(accept(journal, "completed-idempotent", 3, 0, 30));
        AcceptedMessage unclassified = message(journal, "unclassified", 3, 0, 20);
        unclassified.classNumber = -1;
        journal.accept(unclassified);
        journal.complete(unclassified);
    }

    private static HealthRecord healthRecord(int destination, String uid, UpstreamStatus status, int step) {
        return new HealthRecord(destination, uid, status, START_MILLIS + step, 12.5 + step, 800.25 * step);
    }

    private static void recordHealth(Journal journal) {
        journal.recordHealth(healthRecord(1, "", UpstreamStatus.UNAVAILABLE, 1));
        journal.recordHealth(healthRecord(1, "endpoint-1", UpstreamStatus.SLOW_START, 2));
        journal.recordHealth(healthRecord(2, "endpoint-9", UpstreamStatus.UNAVAILABLE, 3));
        journal.recordHealth(healthRecord(1, "endpoint-1", UpstreamStatus.UNAVAILABLE, 4));
        journal.recordHealth(healthRecord(2, "endpoint-9", UpstreamStatus.HEALTHY, 5));
    }

    private static void recordMoreHealth(Journal journal) {
        journal.recordHealth(healthRecord(1, "", UpstreamStatus.SLOW_START, 6));
        journal.recordHealth(healthRecord(4, "endpoint-é", UpstreamStatus.UNAVAILABLE, 7));
    }

    /** Writes and ends short-lived messages, so that segments are filled, compacted and deleted. */
    private static void acceptAndFinishMessages(Journal journal, String idPrefix, int compactionSteps) {
        for (int i = 0; i < SHORT_LIVED_MESSAGES; i++) {
            AcceptedMessage message = accept(journal, idPrefix + "-" + i, i % 2 == 0 ? 0 : 3, i % 5, 300 + 13 * i);
            journal.recordAttempt(message, "endpoint-" + i % 4, START_MILLIS + 100 + i, 0);
            journal.recordOutcome(message, i % 3 == 0);
            if (i % 10 == 9) {
                journal.endWithNotice(message, message.failed());
            } else {
                journal.complete(message);
            }
            for (int step = 0; step < compactionSteps && i % 4 == 3; step++) {
                journal.compactStep();
            }
        }
    }

    private static Ownership ownership(long generation, Ownership.Status status, String peer) {
        return new Ownership(generation, status, peer);
    }

    private static void writeHandoffBatches(Journal journal) {
        AcceptedMessage offered = accept(journal, "offered", 0, 21, 150);
        AcceptedMessage given = accept(journal, "given", 0, 22, 160);
        AcceptedMessage reclaimed = accept(journal, "reclaimed", 0, 23, 170);
        Ownership offer = ownership(2, Ownership.Status.OFFERED, "peer-a");
        journal.offerHandoffBatch(
                "batch-offered", offer, DEADLINE_MILLIS, List.of(offered), "self", List.of(21L), DEADLINE_MILLIS);
        journal.writeHandoffBatch("batch-given", offer, DEADLINE_MILLIS, List.of(given));
        Ownership handedOff = ownership(2, Ownership.Status.GIVEN, "peer-a");
        journal.writeHandoffBatch("batch-given", handedOff, DEADLINE_MILLIS, List.of(given));
        journal.offerHandoffBatch(
                "batch-back", offer, DEADLINE_MILLIS, List.of(reclaimed), "self", List.of(23L), DEADLINE_MILLIS);
        Ownership ownedAgain = ownership(3, Ownership.Status.OWNED, "");
        journal.reclaimHandoffBatch(
                "batch-back", ownedAgain, DEADLINE_MILLIS, List.of(reclaimed), "self", List.of(23L));
        Ownership rejected = ownership(2, Ownership.Status.REFUSED, "");
        journal.writeHandoffBatch("batch-rejected", rejected, DEADLINE_MILLIS, List.of());
        journal.writeHandoffBatch("batch-expired", rejected, START_MILLIS, List.of());
        journal.expireHandoffBatches(START_MILLIS + 1);
        journal.holdKeys("peer-b", List.of(31L, 32L), DEADLINE_MILLIS);
        AcceptedMessage waiting = accept(journal, "behind", 0, 31, 140);
        AcceptedMessage accepted = message(journal, "adopted", 0, 31, 210);
        accepted.attempts = 2;
        accepted.unknownOutcomeSinceMillis = START_MILLIS + 7;
        accepted.unknownOutcomeEndpoint = "endpoint-5";
        AcceptedMessage notice = message(journal, "adopted-notice", 0, 33, 90);
        notice.end(notice.failed());
        List<AcceptedMessage> acceptedMessages = List.of(accepted, notice);
        Ownership owned = ownership(4, Ownership.Status.OWNED, "");
        journal.acceptHandoffBatch(
                "batch-accepted", owned, DEADLINE_MILLIS, acceptedMessages, "peer-b", List.of(waiting));
    }

    private static void writeKeyHolds(Journal journal) {
        journal.holdKeys("peer-c", List.of(41L, 42L, 43L), DEADLINE_MILLIS);
        journal.holdKeys("peer-d", List.of(42L), DEADLINE_MILLIS + 1);
        journal.holdKeys("peer-e", List.of(44L), START_MILLIS);
        journal.releaseKeys("peer-c", List.of(43L));
        journal.expireKeyHolds(START_MILLIS + 1);
    }

    /** Describes all contents, one line for each item. Allocates numbers, so nothing may be written afterwards. */
    static List<String> describe(Journal journal) {
        List<String> lines = new ArrayList<>();
        for (AcceptedMessage message : journal.pendingMessages()) {
            lines.add("message " + message.number + " " + message.id + " key=" + message.idempotencyKey + " class="
                    + message.className + " "
                    + message.key + " " + message.destination + " " + message.deadlineMillis + " content="
                    + message.contentHash + " body="
                    + checksum(message.body) + " type=" + message.classNumber + " attempts=" + message.attempts
                    + " since="
                    + message.unknownOutcomeSinceMillis
                    + " at=" + message.unknownOutcomeEndpoint + " out=" + message.attemptInFlight + " frozen="
                    + message.offeredToPeer
                    + " sent=" + message.attemptSentAtMillis + " to="
                    + message.attemptEndpoint + " notice=" + message.pendingNotification + " rank=" + message.rank);
        }
        for (String id :
                List.of("completed", "completed-idempotent", "unclassified", "given", "first-1", "second-58")) {
            lines.add("completed " + id + " " + journal.containsId(id) + " " + journal.hasDifferentContent(id, 1));
        }
        journal.healthRecords()
                .forEach(record -> lines.add("health " + record.destination() + " " + record.uid() + " "
                        + record.status().storedName() + " " + record.sinceMillis() + " " + record.callsPerSecond()
                        + " "
                        + record.usualLatencyMicros()));
        journal.handoffBatches()
                .forEach((name, batch) -> lines.add("batch " + name + " "
                        + batch.ownership().generation() + " "
                        + batch.ownership().status().name() + " "
                        + batch.ownership().peer() + " " + batch.retainUntilMillis() + " " + batch.messageNumbers()));
        for (KeyHolds.KeyHold hold : journal.keyHolds().allHolds()) {
            lines.add("hold " + hold.origin() + " " + hold.key() + " " + hold.untilMillis());
        }
        journal.classes()
                .forEach((number, version) -> lines.add("class " + number + " " + version.name() + " "
                        + version.type().priorityWeight() + " " + version.type().lateValueShare() + " "
                        + version.type().latencyObjectiveMicros() + " "
                        + version.type().deadlineMicros() + " "
                        + version.type().idempotency().ordinal() + " "
                        + version.type().keyScope().ordinal() + " "
                        + version.type().keyLifeMicros() + " " + version.type().ordered()));
        lines.add("replica set " + Arrays.toString(journal.replicaSet()));
        lines.add("position " + Arrays.toString(journal.replicationPosition()));
        lines.add("unreadable " + journal.dataLoss().lines());
        lines.add("live bytes " + journal.liveBytes());
        lines.add("next number " + journal.nextNumber());
        for (Supplier<Batch> batch : journal.snapshotBatches()) {
            lines.add("snapshot " + checksum(batch.get().encode()));
        }
        return lines;
    }
}
