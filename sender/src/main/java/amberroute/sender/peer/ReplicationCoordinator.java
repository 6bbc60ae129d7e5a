package amberroute.sender.peer;

import amberroute.replication.ReplicaSet;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.journal.Journal;
import amberroute.sender.util.Log;
import com.google.gson.JsonArray;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Keeps this daemon's pending messages alive beyond its machine, and others' on this one: its journal is replicated to a replica set, it keeps
 * replicas for others, and takes over the journal of a daemon that is lost. Composes the parts: {@link ElectionCoordinator},
 * {@link VoteHandler}, {@link JournalReplicator} of the owner, {@link ReplicaRequestHandler} and {@link ReplicaStore} of a replica,
 * {@link FailoverManager} and {@link ReplicaSetMaintainer}. What may be granted, committed and had is decided in
 * {@code amberroute.replication}. Lives on the event loop.
 */
public final class ReplicationCoordinator implements HandoffCoordinator.ReplicationRequests {
    private static final long TICK_MILLIS = 50;
    private static final long MAINTAIN_MILLIS = 500;
    private static final int JOURNAL_ID_RADIX = 36;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    /** What the sender does for it. */
    public interface Host {
        /** This daemon's own journal is another's: nothing of it may have an effect from here. */
        void fenced(String why);

        /** Goes on with a journal, whose replica is in this folder, under a term that was won; not on the event loop. */
        Failover startFailover(ReplicaStore.StoredReplica kept, Path folder, long term) throws IOException;

        /** How long a client may ask for a message of a class at most, in milliseconds. */
        long maxMessageLifeMillis();
    }

    /** A journal of a lost daemon that goes on here. */
    public interface Failover {
        /** The journal that was taken over. */
        Journal journal();

        /** Its replicator; null until the replication has started. */
        JournalReplicator replicator();

        /** Whether nothing of it is pending any more. */
        boolean isIdle();

        /** Whether a daemon holds back what comes of the keys that are pending here. */
        boolean isHeldBy(String daemon);

        /** Lets go of it; nothing more has an effect when this returns. On the event loop. */
        void stop();
    }

    private final ReplicationContext context;
    private final OwnedJournals owned;
    private final ReplicaSetMaintainer replicaSets;
    private final ElectionCoordinator elections;
    private final ReplicaRequestHandler requests;
    private final ReplicaReport report;
    /** No earlier process has begun this daemon's journal. */
    private final boolean newJournal;

    /** Reads the replicas that are kept here; an {@link IOException} where that is not possible. */
    public ReplicationCoordinator(
            EventLoop loop, SenderConfig config, Journal journal, SwimTransport membership, Host host)
            throws IOException {
        StandaloneConfig.Standalone settings = config.standalone();
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>(settings.peers());
        peers.remove(config.name());
        Path folder = config.state().resolve("copies");
        ReplicaStore store = new ReplicaStore(folder, config.diskBytes());
        context = new ReplicationContext(
                loop,
                config.name(),
                peers,
                membership,
                store,
                host,
                settings.replication().copies(),
                settings.replication().replaceMillis() * NANOS_PER_MILLISECOND);
        newJournal = journal.replicaSet() == null;
        ReplicaStore.StoredReplica own = store.findOrCreate(journalId(config.name(), journal));
        if (own == null) {
            throw new IOException("copies of too many estates in " + folder);
        }
        own.runningHere = true;
        own.state = own.state.withLogPosition(ReplicaRecords.decodePosition(journal.replicationPosition()));
        ReplicaSet recorded = newJournal ? null : ReplicaRecords.decodeReplicaSet(journal.replicaSet());
        owned = new OwnedJournals(context, own, journal);
        replicaSets = new ReplicaSetMaintainer(context, owned, recorded);
        elections = new ElectionCoordinator(context, owned, replicaSets::initialReplicaSet);
        requests = new ReplicaRequestHandler(context, owned, elections, new VoteHandler(context, owned, elections));
        report = new ReplicaReport(context, owned);
    }

    private static String journalId(String name, Journal journal) throws IOException {
        return journal.replicaSet() == null
                ? name + "." + Long.toString(System.currentTimeMillis(), JOURNAL_ID_RADIX)
                : ReplicaRecords.decodeJournalId(journal.replicaSet());
    }

    /** Begins to stand for what is this daemon's, and to watch others'. */
    public void start() {
        // A tick that ends in an exception would be the last one.
        context.loop()
                .scheduleWithFixedDelay(
                        () -> Log.guarded("replication", this::tick), 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        context.loop()
                .scheduleWithFixedDelay(
                        () -> Log.guarded("replication", replicaSets::maintain),
                        MAINTAIN_MILLIS,
                        MAINTAIN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void tick() {
        if (owned.isFenced()) {
            return;
        }
        replicaSets.chooseInitial();
        long now = System.nanoTime();
        elections.poll(now);
        owned.failovers().poll(now);
    }

    /** Whether what is accepted now is replicated in time. */
    public boolean isReady() {
        return owned.ownReplicator().isReady();
    }

    /** This process ends for a restart, and the next one is back within so many milliseconds. */
    public void announceRestart(long backMillis) {
        owned.ownReplicator().announceRestart(backMillis);
    }

    /** The journal of a failover that knows this message id; null where none does. */
    public Journal failoverJournalKnowing(String id) {
        return owned.failovers().journalKnowing(id);
    }

    /** An earlier process may have begun the journal, and then it may be another's by now, with all that is said here. */
    @Override
    public boolean hasStarted() {
        return !newJournal || owned.ownReplicator().leaderTerm() != null;
    }

    @Override
    public void handle(ChannelHandlerContext channel, ReplicationProtocolMessage request) {
        requests.onRequest(channel, request);
    }

    /** To be called on the event loop as soon as the journal of a failover is open, before anything of it is resumed. */
    public JournalReplicator startReplication(ReplicaStore.StoredReplica kept, Failover failover, long term)
            throws IOException {
        return owned.failovers().startReplication(kept, failover, term);
    }

    /** All journals that are known here, as the control socket shows them. */
    public JsonArray describeReplicas() {
        return report.describeAll();
    }

    /**
     * An operator wants this daemon to let go of a journal that it has taken over: another replica stands for it, and this daemon only
     * where nobody has after a while. Null, or why it cannot.
     */
    public String releaseFailover(String journalId) {
        if (owned.failovers().isReplicated(journalId)) {
            return owned.failovers().release(journalId);
        }
        return journalId.equals(owned.own().journalId)
                ? "it is this daemon's own: stop it for good instead"
                : "it does not go on here";
    }

    /** An operator wants this daemon to stand for a journal now; null, or why it cannot. */
    public String requestFailover(String journalId) {
        ReplicaStore.StoredReplica replica = context.store().all().get(journalId);
        if (replica == null) {
            return "no such estate here";
        }
        if (replica.completed || replica.copyFolderName.isEmpty() || replica.runningHere || !replica.state.isVoter()) {
            return replica.runningHere ? "it goes on here" : "there is no copy of it here";
        }
        if (owned.hearsOwner(replica)) {
            return "its owner " + replica.state.owner() + " was heard of just now";
        }
        elections.standForOperator(replica);
        return null;
    }

    /** Ends all failovers and closes the connections and the replicas. */
    public void close() {
        owned.close();
        context.store().close();
        context.membership().close();
    }
}
