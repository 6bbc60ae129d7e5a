package amberroute.sender.peer;

import amberroute.replication.LeaderTerm;
import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.Journal;
import amberroute.sender.journal.JournalChangeListener;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendEntries;
import amberroute.sender.peer.ReplicationProtocolMessage.JournalCompleted;
import amberroute.sender.peer.ReplicationProtocolMessage.OwnerRestarting;
import amberroute.sender.peer.ReplicationProtocolMessage.ReplicaRemoved;
import amberroute.sender.util.Backoff;
import amberroute.storage.Batch;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The owner's side of one replicated journal: sends each record to the members of the replica set, and lets an effect happen once a
 * quorum has the record that allows it, as {@link LeaderTerm} counts. The records of one event loop iteration travel together. A replica
 * whose connection is new gets a snapshot first ({@link ReplicaConnection}). Lives on the event loop.
 */
public final class JournalReplicator implements JournalChangeListener {
    /** Each wake-up costs an idle daemon more than what it does then; a heartbeat may be late by so much. */
    private static final long TICK_MILLIS = 50;
    /** A record that allows no effect yet travels with the next one that does, or after so long. */
    private static final long LAZY_FLUSH_MILLIS = 10;
    /**
     * Records that effects wait for travel at least so far apart: under load they share lines, whose number is what replication
     * costs. Small beside a call, as a message waits for its replicas up to three times.
     */
    private static final long FLUSH_SPACING_NANOS = 2_000_000;
    /** The pause before a replica is connected to again, or gets a snapshot again: at least, the first span, and the longest. */
    private static final long MIN_PAUSE_MILLIS = 25;

    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 3_000;
    /** A replica that has not answered for so long is not counted on for new messages: three heartbeats and some delay. */
    private static final long SILENT_NANOS = 400_000_000;

    /** Records of one span as a line, with a replica set of this version, {@link #NO_REPLICA_SET} for none. */
    private record EncodedLine(long previousIndex, long lastIndex, long replicaSetVersion, byte[] bytes) {}

    private static final long NO_REPLICA_SET = -1;

    /** Called on the event loop when another daemon has a later term. */
    interface LeadershipLostListener {
        void onLeadershipLost(long term, String owner);
    }

    private final EventLoop loop;
    private final String self;
    private final String journalId;
    private final Journal journal;
    private final Map<String, InetSocketAddress> peers;
    private final LeadershipLostListener leadershipLost;
    private final Map<String, ReplicaConnection> connections = new LinkedHashMap<>();
    private final DeferredEffects effects;
    /** What each replica has acknowledged in this term: a snapshot says so, which shows a replica that its folder is older. */
    private final Map<String, Long> acknowledgedIndex = new LinkedHashMap<>();

    private final ScheduledFuture<?> ticks;
    /** Null until the term is won. */
    private LeaderTerm leaderTerm;

    private long committedIndex = -1;
    private boolean flushScheduled;
    private long flushedAtNanos = System.nanoTime() - FLUSH_SPACING_NANOS;
    private boolean lazyFlushScheduled;
    private boolean closed;
    /** The line that was encoded last: replicas that are equally far get the same. */
    private EncodedLine lastEncoded = new EncodedLine(-1, -1, NO_REPLICA_SET, new byte[0]);

    JournalReplicator(
            EventLoop loop,
            String self,
            String journalId,
            Journal journal,
            Map<String, InetSocketAddress> peers,
            LeadershipLostListener leadershipLost) {
        this.loop = loop;
        this.self = self;
        this.journalId = journalId;
        this.journal = journal;
        this.peers = peers;
        this.leadershipLost = leadershipLost;
        effects = new DeferredEffects(loop);
        ticks = loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    // ---- Term and replica set. ----

    /** The term is this daemon's; false where that cannot be written. */
    boolean startTerm(long term, LogPosition position, ReplicaSet replicaSet) {
        leaderTerm = new LeaderTerm(self, term, position.index(), replicaSet);
        if (!journal.writeReplicaSet(ReplicaRecords.encodeReplicaSet(journalId, replicaSet))) {
            leaderTerm = null;
            return false;
        }
        replicaSet.members().forEach(this::connect);
        return true;
    }

    /** Adds or removes one member; false before the last change is committed, or where it cannot be written. */
    boolean changeReplicaSet(ReplicaSet next) {
        if (leaderTerm == null
                || !leaderTerm.isReplicaSetCommitted()
                || !journal.writeReplicaSet(ReplicaRecords.encodeReplicaSet(journalId, next))) {
            return false;
        }
        List<String> before = leaderTerm.replicaSet().members();
        leaderTerm.replicaSetChanged(next);
        next.members().forEach(this::connect);
        // What a new member has said so far was said by one that catches up.
        connections.forEach((name, connection) -> connection.replicaSetChanged(before.contains(name)));
        List.copyOf(connections.keySet()).stream()
                .filter(name -> !next.members().contains(name))
                .forEach(this::remove);
        releaseEffects();
        return true;
    }

    private void remove(String name) {
        ReplicaConnection connection = connections.remove(name);
        acknowledgedIndex.remove(name);
        connection.send(new ReplicaRemoved(self, journalId, leaderTerm.term()));
        connection.close();
    }

    /** Brings somebody up to date who may then become a member. */
    void startCatchUp(String name) {
        connect(name);
    }

    /** Whether it has all records, be it a member or not. */
    boolean isCaughtUp(String name) {
        return connections.containsKey(name) && connections.get(name).isCaughtUp();
    }

    /** Whether what it has does not count, as it lost what it had promised. */
    boolean hasLostState(String name) {
        return connections.containsKey(name) && connections.get(name).hasLostState();
    }

    private void connect(String name) {
        if (!name.equals(self) && peers.containsKey(name) && !connections.containsKey(name)) {
            int seed = (journalId + name).hashCode();
            open(name, new Backoff(MIN_PAUSE_MILLIS, FIRST_PAUSE_MILLIS, MAX_PAUSE_MILLIS, seed));
        }
    }

    private void open(String name, Backoff pauses) {
        ReplicaConnection connection = new ReplicaConnection(this, name, pauses);
        connections.put(name, connection);
        connection.connect(loop, peers.get(name));
    }

    /** Null before the term is won. */
    LeaderTerm leaderTerm() {
        return leaderTerm;
    }

    /** How far this daemon's own journal has come, null before the term is won. */
    LogPosition logPosition() {
        return leaderTerm == null ? null : new LogPosition(leaderTerm.term(), leaderTerm.lastIndex());
    }

    /** Whether what is accepted now can be replicated: a quorum has the snapshot and answers. */
    boolean isReady() {
        if (leaderTerm == null || leaderTerm.hasEnded()) {
            return false;
        }
        long now = System.nanoTime();
        ReplicaSet replicaSet = leaderTerm.replicaSet();
        return replicaSet.hasQuorum(replicaSet.members().stream()
                .filter(member -> member.equals(self) || isResponsive(member, now))
                .toList());
    }

    private boolean isResponsive(String member, long now) {
        return leaderTerm.replicationLag(member) >= 0
                && connections.containsKey(member)
                && now - connections.get(member).heardAtNanos() < SILENT_NANOS;
    }

    /** Effects that were not allowed in time, since the start. */
    long lateEffects() {
        return effects.timedOut();
    }

    /** Tells the replicas that nothing is pending any more. */
    void announceCompletion() {
        if (leaderTerm != null) {
            sendToAll(new JournalCompleted(self, journalId, leaderTerm.term()));
        }
    }

    /** Tells the replicas that this process ends, and that the next one is back on its folder within so many milliseconds. */
    void announceRestart(long backMillis) {
        if (leaderTerm != null) {
            sendToAll(new OwnerRestarting(self, journalId, leaderTerm.term(), backMillis));
        }
    }

    private void sendToAll(ReplicationProtocolMessage message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    /** Nothing more is committed. */
    void endTerm() {
        if (leaderTerm != null) {
            leaderTerm.end();
        }
    }

    /** Closes the connections to replicas; nothing more is sent or timed out. */
    public void close() {
        closed = true;
        effects.close();
        ticks.cancel(false);
        List.copyOf(connections.values()).forEach(ReplicaConnection::close);
        connections.clear();
    }

    // ---- The journal's side. ----

    @Override
    public byte[] replicationPosition() {
        return leaderTerm == null || leaderTerm.hasEnded()
                ? null
                : ReplicaRecords.encodePosition(new LogPosition(leaderTerm.term(), leaderTerm.lastIndex() + 1));
    }

    @Override
    public void batchWritten(Batch batch) {
        leaderTerm.appended();
        if (!connections.isEmpty()) {
            EncodedBatch encoded = EncodedBatch.of(batch);
            connections.values().forEach(connection -> connection.add(encoded));
            if (!lazyFlushScheduled) {
                lazyFlushScheduled = true;
                loop.schedule(this::flushLazily, LAZY_FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    @Override
    public void whenReplicated(Runnable effect, Runnable failed) {
        long index = leaderTerm == null ? 0 : leaderTerm.lastIndex();
        boolean committed = leaderTerm != null && !leaderTerm.hasEnded() && committedIndex >= index;
        if (effects.isEmpty() && committed) {
            effect.run();
            return;
        }
        effects.add(index, effect, failed);
        scheduleFlush();
        effects.scheduleTimeout();
    }

    private void scheduleFlush() {
        if (flushScheduled || connections.isEmpty()) {
            return;
        }
        flushScheduled = true;
        long delayNanos = flushedAtNanos + FLUSH_SPACING_NANOS - System.nanoTime();
        if (delayNanos <= 0) {
            loop.execute(this::flush);
        } else {
            loop.schedule(this::flush, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    // ---- Flushes. ----

    /**
     * An effect waits for a quorum, so as many replicas as that takes get its record at once, of those that answer promptly; the
     * others get it with what comes within {@value #LAZY_FLUSH_MILLIS} ms.
     */
    private void flush() {
        flushScheduled = false;
        long now = System.nanoTime();
        flushedAtNanos = now;
        int wanted = leaderTerm == null ? 0 : leaderTerm.replicaSet().members().size() / 2;
        List<ReplicaConnection> prompt = connections.values().stream()
                .filter(connection -> connection.isPrompt(now))
                .limit(wanted)
                .toList();
        (prompt.size() < wanted ? List.copyOf(connections.values()) : prompt).forEach(ReplicaConnection::sendPending);
    }

    private void flushAll() {
        List.copyOf(connections.values()).forEach(ReplicaConnection::sendPending);
    }

    private void flushLazily() {
        lazyFlushScheduled = false;
        if (!closed) {
            flushAll();
        }
    }

    private void tick() {
        flushAll();
        long now = System.nanoTime();
        List.copyOf(connections.values()).forEach(connection -> connection.heartbeat(now));
    }

    private void releaseEffects() {
        if (leaderTerm == null || leaderTerm.hasEnded()) {
            return;
        }
        committedIndex = Math.max(committedIndex, leaderTerm.commitIndex());
        effects.releaseUpTo(committedIndex);
    }

    // ---- What the connections need. ----

    EventLoop loop() {
        return loop;
    }

    String self() {
        return self;
    }

    String journalId() {
        return journalId;
    }

    Journal journal() {
        return journal;
    }

    /** Whether this is the connection to its replica, and the replicator runs. */
    boolean isCurrent(ReplicaConnection connection) {
        return !closed && connections.get(connection.replica()) == connection;
    }

    /** The connection is gone: another takes its place, and begins with a snapshot. */
    void reconnect(ReplicaConnection closedConnection, Backoff pauses) {
        if (isCurrent(closedConnection)) {
            open(closedConnection.replica(), pauses);
        }
    }

    /** What a replica has acknowledged in this term, 0 for nothing. */
    long acknowledgedIndex(String replica) {
        return acknowledgedIndex.getOrDefault(replica, 0L);
    }

    /** A replica that counts has all records up to an index on its disk. */
    void acknowledged(String replica, long index) {
        acknowledgedIndex.merge(replica, index, Math::max);
        leaderTerm.acknowledged(replica, index);
        releaseEffects();
    }

    /** Somebody has a later term. */
    void superseded(long term, String owner) {
        leaderTerm.end();
        leadershipLost.onLeadershipLost(term, owner);
    }

    /** The line of these records. Their span says what they are, so what another replica got serves as well. */
    byte[] encodeAppend(long previousIndex, long lastIndex, List<EncodedBatch> batches, boolean withReplicaSet) {
        ReplicaSet replicaSet = leaderTerm.replicaSet();
        long version = withReplicaSet ? replicaSet.version() : NO_REPLICA_SET;
        boolean same = lastEncoded.previousIndex() == previousIndex
                && lastEncoded.lastIndex() == lastIndex
                && lastEncoded.replicaSetVersion() == version;
        if (!same) {
            AppendEntries append = new AppendEntries(
                    self,
                    journalId,
                    leaderTerm.term(),
                    previousIndex,
                    lastIndex,
                    batches,
                    withReplicaSet ? Optional.of(replicaSet) : Optional.empty());
            lastEncoded = new EncodedLine(previousIndex, lastIndex, version, ReplicationCodec.encodeBytes(append));
        }
        return lastEncoded.bytes();
    }
}
