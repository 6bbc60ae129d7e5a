package amberroute.sender.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaState;
import amberroute.sender.journal.Journal;
import amberroute.sender.journal.JournalChangeListener;
import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.Batch;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a holder has on its disk, over restarts and spoilt files; a copy is a journal's folder. */
class ReplicaStoreTest {
    private static final long BUDGET = 1 << 20;
    private static final String ESTATE = "s1.abc";

    @TempDir
    Path folder;

    /** An owner's journal, whose changes are caught as a copy gets them. */
    private final class Owner implements JournalChangeListener, AutoCloseable {
        final Journal journal;
        final java.util.ArrayList<Batch> changes = new java.util.ArrayList<>();
        long number;

        Owner() throws IOException {
            journal = Journal.open(folder.resolve("owner"), BUDGET);
            journal.replicateTo(this);
            journal.writeReplicaSet(
                    ReplicaRecords.encodeReplicaSet(ESTATE, new ReplicaSet(1, List.of("s1", "s2", "s3"))));
        }

        @Override
        public byte[] replicationPosition() {
            return ReplicaRecords.encodePosition(new LogPosition(1, number + 1));
        }

        @Override
        public void batchWritten(Batch batch) {
            number++;
            changes.add(Batch.decode(batch.encode()));
        }

        @Override
        public void whenReplicated(Runnable effect, Runnable failed) {
            effect.run();
        }

        AcceptedMessage accept(String id) {
            AcceptedMessage m = new AcceptedMessage(
                    journal.nextNumber(),
                    id,
                    "k" + id,
                    "keyed",
                    7,
                    1,
                    System.currentTimeMillis() + 60_000,
                    ("body of " + id).getBytes(StandardCharsets.UTF_8));
            assertTrue(journal.accept(m));
            return m;
        }

        @Override
        public void close() throws IOException {
            journal.close();
        }
    }

    private ReplicaStore store() throws IOException {
        return new ReplicaStore(folder.resolve("copies"), BUDGET);
    }

    private static ReplicaStore.StoredReplica whole(ReplicaStore store, Owner owner, Object on) {
        ReplicaStore.StoredReplica kept = store.findOrCreate(ESTATE);
        List<Batch> all = owner.journal.snapshotBatches().stream()
                .map(part -> part.get())
                .filter(b -> !b.isEmpty())
                .toList();
        assertTrue(store.stageSnapshot(kept, true, 1, all, on));
        assertTrue(store.stageSnapshot(kept, false, 1, List.of(owner.journal.replicationPositionBatch()), on));
        assertTrue(store.installSnapshot(kept, kept.state.onSnapshot(1, "s1", owner.number, true)));
        return kept;
    }

    @Test
    void aCopyIsAJournalThatGoesOnWhereItsOwnerStood() throws IOException {
        try (Owner owner = new Owner()) {
            AcceptedMessage first = owner.accept("first");
            AcceptedMessage over = owner.accept("over");
            owner.journal.complete(over);
            ReplicaStore store = store();
            ReplicaStore.StoredReplica kept = whole(store, owner, this);
            long had = owner.number;
            owner.changes.clear();
            assertTrue(owner.journal.recordAttempt(first, "p1", 5, 0));
            owner.accept("second");
            assertTrue(store.append(kept, kept.state.onAppend(1, "s1", had, owner.number), owner.changes));
            store.close();

            ReplicaStore again = store();
            ReplicaStore.StoredReplica read = again.all().get(ESTATE);
            assertEquals(new LogPosition(1, owner.number), read.state.logPosition());
            assertEquals(List.of("s1", "s2", "s3"), read.replicaSet.members());
            try (Journal copy = Journal.open(again.lendLog(read), BUDGET)) {
                assertEquals(
                        List.of("first", "second"),
                        copy.pendingMessages().stream().map(m -> m.id).toList());
                assertTrue(copy.pendingMessages().iterator().next().attemptInFlight);
                assertTrue(copy.containsId("over"));
                assertEquals(
                        new LogPosition(1, owner.number), ReplicaRecords.decodePosition(copy.replicationPosition()));
            }
        }
    }

    @Test
    void linesOfAnEarlierConnectionDoNotMixIntoAWhole() throws IOException {
        try (Owner owner = new Owner()) {
            owner.accept("first");
            ReplicaStore store = store();
            ReplicaStore.StoredReplica kept = store.findOrCreate(ESTATE);
            List<Batch> all = owner.journal.snapshotBatches().stream()
                    .map(part -> part.get())
                    .filter(b -> !b.isEmpty())
                    .toList();
            assertTrue(store.stageSnapshot(kept, true, 1, all, "new"));
            assertFalse(store.stageSnapshot(kept, false, 1, all, "old"));
            assertTrue(store.stageSnapshot(kept, false, 1, List.of(owner.journal.replicationPositionBatch()), "new"));
            store.close();
        }
    }

    @Test
    void whatWasPromisedOutlastsTheProcessAndADamagedCopyCountsForNothing() throws IOException {
        try (Owner owner = new Owner()) {
            owner.accept("first");
            ReplicaStore store = store();
            ReplicaStore.StoredReplica kept = whole(store, owner, this);
            // It came to a group that named it already: out and in again before it counts.
            assertEquals(ReplicaState.LISTED_WITHOUT_STATE, kept.state.nonVotingStage());
            assertTrue(store.persistState(kept, kept.state.onReplicaSet(false).onReplicaSet(true)));
            assertTrue(store.persistState(kept, kept.state.onVoteRequest(4, "s3", new LogPosition(2, 1))));
            store.close();
            ReplicaStore again = store();
            assertTrue(again.all().get(ESTATE).state.hasGranted(4, "s3"));
            Path copy = again.all().get(ESTATE).copyFolder();
            again.close();
            try (Stream<Path> files = Files.list(copy)) {
                Path segment = files.filter(f -> f.getFileName().toString().endsWith(".seg"))
                        .sorted()
                        .findFirst()
                        .orElseThrow();
                byte[] bytes = Files.readAllBytes(segment);
                // A flipped bit in the first record, with whole ones behind it.
                bytes[70] ^= 4;
                Files.write(segment, bytes);
            }
            ReplicaStore damaged = store();
            ReplicaStore.StoredReplica read = damaged.all().get(ESTATE);
            assertEquals(LogPosition.NONE, read.state.logPosition());
            assertFalse(read.state.isVoter());
            assertEquals(4, read.state.term());
            damaged.close();
        }
    }

    @Test
    void anEstateThatIsDoneIsNeverBegunAgain() throws IOException {
        try (Owner owner = new Owner()) {
            ReplicaStore store = store();
            ReplicaStore.StoredReplica kept = whole(store, owner, this);
            assertTrue(store.persistState(kept, kept.state.onReplicaSet(false).onReplicaSet(true)));
            assertTrue(
                    kept.state.onVoteRequest(9, "s1", new LogPosition(8, 1_000)).hasGranted(9, "s1"));
            store.markCompleted(kept);
            store.close();
            ReplicaStore again = store();
            ReplicaState holding = again.all().get(ESTATE).state;
            assertTrue(holding.isVoter());
            assertFalse(
                    holding.onVoteRequest(9, "s1", new LogPosition(8, 1_000)).hasGranted(9, "s1"));
            again.close();
        }
    }

    /** A whole that does not fit is refused and begun anew; what was held before still counts. */
    @Test
    void aFullFolderKeepsWhatItHad() throws IOException {
        try (Owner owner = new Owner()) {
            owner.accept("first");
            ReplicaStore store = new ReplicaStore(folder.resolve("copies"), 96 << 10);
            ReplicaStore.StoredReplica kept = whole(store, owner, this);
            LogPosition had = kept.state.logPosition();
            AcceptedMessage large = new AcceptedMessage(
                    owner.journal.nextNumber(),
                    "large",
                    "",
                    "keyed",
                    7,
                    1,
                    System.currentTimeMillis() + 60_000,
                    new byte[60 << 10]);
            assertTrue(owner.journal.accept(large));
            List<Batch> all = owner.journal.snapshotBatches().stream()
                    .map(part -> part.get())
                    .filter(b -> !b.isEmpty())
                    .toList();
            assertFalse(
                    store.stageSnapshot(kept, true, 1, all, this) && store.stageSnapshot(kept, false, 1, all, this));
            assertEquals(had, kept.state.logPosition());
            store.close();
        }
    }

    @Test
    void whatIsDoneLongestGivesWayToWhatIsNew() throws IOException {
        ReplicaStore store = new ReplicaStore(folder.resolve("copies"), BUDGET, 256);
        for (int i = 0; i < 300; i++) {
            ReplicaStore.StoredReplica kept = store.findOrCreate("s1.e" + i);
            assertTrue(store.persistState(kept, new ReplicaState(1, "s1", LogPosition.NONE)));
            store.markCompleted(kept);
        }
        assertTrue(store.all().size() <= 256
                && store.all().containsKey("s1.e299")
                && !store.all().containsKey("s1.e0"));
        store.close();
        assertEquals(store.all().size(), store().all().size());
    }
}
