package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
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
 * Fixed operations on a journal, over one restart, and a description of all that a journal holds. The same operations were
 * recorded with an earlier version: {@link JournalCompatibilityTest}.
 */
final class CompatibilityScenario {
    static final long BUDGET = 100_000;
    private static final long DEADLINE = 4_000_000_000_000L;
    private static final long WALL = 1_700_000_000_000L;
    private static final int COMPACTION_STEPS = 8;
    private static final int CHURNED_MESSAGES = 60;

    private CompatibilityScenario() {}

    /** Numbers each change, and notes the changes as they would be replicated. */
    private static final class Listener implements JournalChangeListener {
        final List<String> batches = new ArrayList<>();

        @Override
        public byte[] replicationPosition() {
            return ByteBuffer.allocate(16)
                    .putLong(3)
                    .putLong(batches.size() + 1)
                    .array();
        }

        @Override
        public void batchWritten(Batch batch) {
            batches.add(checksum(batch.encode()));
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

    /** Carries out all operations in a new folder; returns the changes as they were given to the listener. */
    static List<String> write(Path folder) throws IOException {
        try (Journal journal = Journal.open(folder, BUDGET)) {
            defineClasses(journal);
            pendingMessages(journal);
            health(journal);
            churn(journal, "first", COMPACTION_STEPS);
        }
        try (Journal journal = Journal.open(folder, BUDGET)) {
            Listener listener = new Listener();
            journal.replicateTo(listener);
            journal.replicaSet(new byte[] {5, 4, 3});
            handoff(journal);
            holds(journal);
            churn(journal, "second", 1);
            moreHealth(journal);
            return listener.batches;
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

    private static AcceptedMessage message(Journal journal, String id, int type, long key, int bytes) {
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = (byte) (i * 31 + id.hashCode());
        }
        AcceptedMessage message = new AcceptedMessage(
                journal.nextNumber(),
                id,
                type == 0 ? "key-of-" + id : "",
                type == 0 ? "orders" : "übung",
                key,
                type + 1,
                DEADLINE + bytes,
                body);
        message.classNumber = type;
        return message;
    }

    private static AcceptedMessage accept(Journal journal, String id, int type, long key, int bytes) {
        AcceptedMessage message = message(journal, id, type, key, bytes);
        if (!journal.accept(message)) {
            throw new IllegalStateException("not accepted: " + id);
        }
        return message;
    }

    /** A message in each state that a restart can find it in. */
    private static void pendingMessages(Journal journal) {
        accept(journal, "untried", 0, 7, 300);
        accept(journal, "empty", 3, 0, 0);
        AcceptedMessage inFlight = accept(journal, "in-flight", 0, 8, 500);
        journal.attempt(inFlight, "endpoint-1", WALL);
        AcceptedMessage unknown = accept(journal, "unknown", 0, 9, 200);
        journal.attempt(unknown, "endpoint-2", WALL + 1);
        journal.outcome(unknown, true);
        journal.attempt(unknown, "endpoint-3", WALL + 2);
        journal.outcome(unknown, false);
        AcceptedMessage notRun = accept(journal, "not-run", 3, 0, 100);
        journal.attempt(notRun, "endpoint-1", WALL + 3);
        journal.outcome(notRun, false);
        journal.attemptUnrecorded(notRun, "endpoint-4", WALL + 4);
        AcceptedMessage failed = accept(journal, "failed", 0, 9, 400);
        journal.attempt(failed, "endpoint-1", WALL + 5);
        journal.end(failed, failed.failed());
        AcceptedMessage returned = accept(journal, "returned", 3, 0, 50);
        journal.end(returned, returned.returned(2_500));
        AcceptedMessage completed = accept(journal, "completed", 0, 1, 800);
        journal.attempt(completed, "endpoint-1", WALL + 6);
        journal.conclude(completed);
        journal.conclude(accept(journal, "completed-idempotent", 3, 0, 30));
        AcceptedMessage unclassified = message(journal, "unclassified", 3, 0, 20);
        unclassified.classNumber = -1;
        journal.accept(unclassified);
        journal.conclude(unclassified);
    }

    private static HealthRecord record(int destination, String uid, DeliveryScheduler.UpstreamStatus status, int step) {
        return new HealthRecord(destination, uid, status, WALL + step, 12.5 + step, 800.25 * step);
    }

    private static void health(Journal journal) {
        journal.recordHealth(record(1, "", DeliveryScheduler.UpstreamStatus.UNAVAILABLE, 1));
        journal.recordHealth(record(1, "endpoint-1", DeliveryScheduler.UpstreamStatus.SLOW_START, 2));
        journal.recordHealth(record(2, "endpoint-9", DeliveryScheduler.UpstreamStatus.UNAVAILABLE, 3));
        journal.recordHealth(record(1, "endpoint-1", DeliveryScheduler.UpstreamStatus.UNAVAILABLE, 4));
        journal.recordHealth(record(2, "endpoint-9", DeliveryScheduler.UpstreamStatus.HEALTHY, 5));
    }

    private static void moreHealth(Journal journal) {
        journal.recordHealth(record(1, "", DeliveryScheduler.UpstreamStatus.SLOW_START, 6));
        journal.recordHealth(record(4, "endpoint-é", DeliveryScheduler.UpstreamStatus.UNAVAILABLE, 7));
    }

    /** Messages that come and go, so that segments fill up, are compacted and retired. */
    private static void churn(Journal journal, String name, int compactionSteps) {
        for (int i = 0; i < CHURNED_MESSAGES; i++) {
            AcceptedMessage message = accept(journal, name + "-" + i, i % 2 == 0 ? 0 : 3, i % 5, 300 + 13 * i);
            journal.attempt(message, "endpoint-" + i % 4, WALL + 100 + i);
            journal.outcome(message, i % 3 == 0);
            if (i % 10 == 9) {
                journal.end(message, message.failed());
            } else {
                journal.conclude(message);
            }
            for (int step = 0; step < compactionSteps && i % 4 == 3; step++) {
                journal.compactSlice();
            }
        }
    }

    private static Ownership ownership(long generation, Ownership.Status status, String peer) {
        return new Ownership(generation, status, peer);
    }

    private static void handoff(Journal journal) {
        AcceptedMessage offered = accept(journal, "offered", 0, 21, 150);
        AcceptedMessage given = accept(journal, "given", 0, 22, 160);
        AcceptedMessage reclaimed = accept(journal, "reclaimed", 0, 23, 170);
        Ownership offer = ownership(2, Ownership.Status.OFFERED, "peer-a");
        journal.offerHandoffBatch("batch-offered", offer, DEADLINE, List.of(offered), "self", List.of(21L), DEADLINE);
        journal.writeHandoffBatch("batch-given", offer, DEADLINE, List.of(given));
        Ownership handedOff = ownership(2, Ownership.Status.GIVEN, "peer-a");
        journal.writeHandoffBatch("batch-given", handedOff, DEADLINE, List.of(given));
        journal.offerHandoffBatch("batch-back", offer, DEADLINE, List.of(reclaimed), "self", List.of(23L), DEADLINE);
        Ownership own = ownership(3, Ownership.Status.OWNED, "");
        journal.reclaimHandoffBatch("batch-back", own, DEADLINE, List.of(reclaimed), "self", List.of(23L));
        Ownership rejected = ownership(2, Ownership.Status.REFUSED, "");
        journal.writeHandoffBatch("batch-rejected", rejected, DEADLINE, List.of());
        journal.writeHandoffBatch("batch-expired", rejected, WALL, List.of());
        journal.expireHandoffBatches(WALL + 1);
        journal.holdKeys("peer-b", List.of(31L, 32L), DEADLINE);
        AcceptedMessage behind = accept(journal, "behind", 0, 31, 140);
        AcceptedMessage adopted = message(journal, "adopted", 0, 31, 210);
        adopted.attempts = 2;
        adopted.unknownOutcomeSinceMillis = WALL + 7;
        adopted.unknownOutcomeEndpoint = "endpoint-5";
        AcceptedMessage notice = message(journal, "adopted-notice", 0, 33, 90);
        notice.end(notice.failed());
        List<AcceptedMessage> taken = List.of(adopted, notice);
        Ownership mine = ownership(4, Ownership.Status.OWNED, "");
        journal.acceptHandoffBatch("batch-accepted", mine, DEADLINE, taken, "peer-b", List.of(behind));
    }

    private static void holds(Journal journal) {
        journal.holdKeys("peer-c", List.of(41L, 42L, 43L), DEADLINE);
        journal.holdKeys("peer-d", List.of(42L), DEADLINE + 1);
        journal.holdKeys("peer-e", List.of(44L), WALL);
        journal.releaseKeys("peer-c", List.of(43L));
        journal.expireKeyHolds(WALL + 1);
    }

    /** All that a journal holds, one line for each item. Allocates numbers, so nothing may be written behind it. */
    static List<String> describe(Journal journal) {
        List<String> out = new ArrayList<>();
        for (AcceptedMessage m : journal.pendingMessages()) {
            out.add("message " + m.number + " " + m.id + " key=" + m.idempotencyKey + " class=" + m.className + " "
                    + m.key + " " + m.destination + " " + m.deadlineMillis + " content=" + m.contentHash + " body="
                    + checksum(m.body) + " type=" + m.classNumber + " attempts=" + m.attempts + " since="
                    + m.unknownOutcomeSinceMillis
                    + " at=" + m.unknownOutcomeEndpoint + " out=" + m.attemptInFlight + " frozen=" + m.offeredToPeer
                    + " sent=" + m.attemptSentAtMillis + " to="
                    + m.attemptEndpoint + " notice=" + m.pendingNotification + " rank=" + m.rank);
        }
        for (String id :
                List.of("completed", "completed-idempotent", "unclassified", "given", "first-1", "second-58")) {
            out.add("completed " + id + " " + journal.knows(id) + " " + journal.differs(id, 1));
        }
        journal.healthRecords()
                .forEach(h -> out.add("health " + h.destination() + " " + h.uid() + " "
                        + h.health().storedName() + " " + h.sinceMillis() + " " + h.callsPerSecond() + " "
                        + h.usualLatencyMicros()));
        journal.handoffBatches()
                .forEach((name, batch) ->
                        out.add("batch " + name + " " + batch.ownership().generation() + " "
                                + batch.ownership().status().name() + " "
                                + batch.ownership().peer() + " " + batch.untilMillis() + " " + batch.messageNumbers()));
        for (KeyHolds.KeyHold hold : journal.keyHolds().allHolds()) {
            out.add("hold " + hold.origin() + " " + hold.key() + " " + hold.untilMillis());
        }
        journal.classes()
                .forEach((number, version) -> out.add("class " + number + " " + version.name() + " "
                        + version.type().priorityWeight() + " " + version.type().lateValueShare() + " "
                        + version.type().latencyObjectiveMicros() + " "
                        + version.type().deadlineMicros() + " "
                        + version.type().idempotency().ordinal() + " "
                        + version.type().keyScope().ordinal() + " "
                        + version.type().keyLifeMicros() + " " + version.type().ordered()));
        out.add("replica set " + Arrays.toString(journal.replicaSet()));
        out.add("position " + Arrays.toString(journal.replicationPosition()));
        out.add("unreadable " + journal.dataLoss().lines());
        out.add("live bytes " + journal.liveBytes());
        out.add("next number " + journal.nextNumber());
        for (Supplier<Batch> part : journal.snapshotBatches()) {
            out.add("snapshot " + checksum(part.get().encode()));
        }
        return out;
    }
}
