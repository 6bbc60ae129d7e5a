package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSetChange;
import amberroute.sender.journal.Journal;
import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Starts and ends failovers: journals of lost daemons that go on in this process under a term that was won. One is started on a thread of
 * its own, as its journal has to be read; all else lives on the event loop.
 */
final class FailoverManager {
    /** For so long after a term is won the replicas may not know its owner yet. */
    private static final long START_NANOS = 1_000_000_000;
    /** Whoever has released a journal leaves it to others for so long: they notice, ask and resume in a third of it. */
    private static final long RELEASED_NANOS = 5_000_000_000L;

    /** Called on the event loop when another daemon has a later term of a journal. */
    interface SupersededListener {
        void onSuperseded(ReplicaStore.StoredReplica replica, long term, String owner);
    }

    /** One failover, from the moment its term is won. */
    static final class RunningFailover {
        private static final long NOT_IDLE = -1;

        final ReplicaSetChange replicaSetChange;
        private final long startedAtNanos = System.nanoTime();
        /** Null until its journal is read. */
        private ReplicationCoordinator.Failover failover;

        private long idleSinceNanos = NOT_IDLE;
        private int resumedMessages;

        private RunningFailover(ReplicaSetChange replicaSetChange) {
            this.replicaSetChange = replicaSetChange;
        }

        /** Messages that were pending when it was taken over. */
        int resumedMessages() {
            return resumedMessages;
        }

        long runningForMillis() {
            return (System.nanoTime() - startedAtNanos) / 1_000_000;
        }

        private JournalReplicator replicator() {
            return failover == null ? null : failover.replicator();
        }
    }

    private final ReplicationContext context;
    private final SupersededListener superseded;
    private final Map<String, RunningFailover> running = new LinkedHashMap<>();

    FailoverManager(ReplicationContext context, SupersededListener superseded) {
        this.context = context;
        this.superseded = superseded;
    }

    /** The failover of a journal; null where it does not go on here. */
    RunningFailover of(String journalId) {
        return running.get(journalId);
    }

    /** The replicator of a journal that was taken over; null where none is. */
    JournalReplicator replicatorOf(String journalId) {
        RunningFailover each = running.get(journalId);
        return each == null ? null : each.replicator();
    }

    boolean hasJustStarted(String journalId, long now) {
        RunningFailover each = running.get(journalId);
        return each != null && now - each.startedAtNanos < START_NANOS;
    }

    /** Whether the keys that are pending in a journal that goes on here are held back by a daemon. */
    boolean isHeldBy(String journalId, String daemon) {
        RunningFailover each = running.get(journalId);
        return each != null && each.failover != null && each.failover.isHeldBy(daemon);
    }

    /** The journal of a failover that knows this id; null where none does. */
    Journal journalKnowing(String messageId) {
        return running.values().stream()
                .filter(each -> each.failover != null && each.failover.journal().containsId(messageId))
                .map(each -> each.failover.journal())
                .findFirst()
                .orElse(null);
    }

    void forEachReplicated(BiConsumer<JournalReplicator, RunningFailover> action) {
        running.values().forEach(each -> {
            if (each.replicator() != null) {
                action.accept(each.replicator(), each);
            }
        });
    }

    // ---- Start. ----

    /** A term of somebody else's journal was won. */
    void start(ReplicaStore.StoredReplica replica, long term) {
        RunningFailover started = new RunningFailover(
                new ReplicaSetChange(context.self(), context.replicaCount(), context.replaceAfterNanos()));
        running.put(replica.journalId, started);
        String formerOwner = replica.state.owner();
        Path folder = context.store().lendLog(replica);
        LogEvent.of("failover_started")
                .with("journal", replica.journalId)
                .with("term", term)
                .warn();
        new Thread(
                        () -> {
                            ReplicationCoordinator.Failover failover = open(replica, folder, term, formerOwner);
                            context.loop().execute(() -> opened(replica, started, failover));
                        },
                        "takeover")
                .start();
    }

    /** Not on the event loop; null where it fails. */
    private ReplicationCoordinator.Failover open(
            ReplicaStore.StoredReplica replica, Path folder, long term, String formerOwner) {
        try {
            return context.host().startFailover(replica, folder, term);
        } catch (IOException | RuntimeException e) {
            LogEvent.of("failover_start_failed")
                    .with("journal", replica.journalId)
                    .with("owner", formerOwner)
                    .cause(e)
                    .warn();
            return null;
        }
    }

    private void opened(
            ReplicaStore.StoredReplica replica, RunningFailover started, ReplicationCoordinator.Failover failover) {
        if (failover != null) {
            started.resumedMessages = failover.journal().pendingMessages().size();
            return;
        }
        running.remove(replica.journalId, started);
        replica.electionPausedUntilNanos = System.nanoTime() + ReplicationContext.LONG_SILENT_NANOS;
        if (replica.runningHere) {
            // Unless it was lost meanwhile, which has closed its journal already.
            context.store().reclaimLog(replica);
        }
    }

    /** Starts the replication of a journal that is open, before anything of it is resumed. */
    JournalReplicator startReplication(
            ReplicaStore.StoredReplica replica, ReplicationCoordinator.Failover failover, long term)
            throws IOException {
        RunningFailover started = running.get(replica.journalId);
        if (started == null) {
            throw new IOException("the term is over");
        }
        LogPosition position = ReplicaRecords.decodePosition(failover.journal().replicationPosition());
        JournalReplicator replicator = new JournalReplicator(
                context.loop(),
                context.self(),
                replica.journalId,
                failover.journal(),
                context.peers(),
                (laterTerm, owner) -> superseded.onSuperseded(replica, laterTerm, owner));
        failover.journal().replicateTo(replicator);
        started.failover = failover;
        if (!replica.state.hasGranted(term, context.self())
                || !replicator.startTerm(
                        term,
                        position,
                        ReplicaRecords.decodeReplicaSet(failover.journal().replicaSet()))) {
            replicator.close();
            throw new IOException("the term is over");
        }
        return replicator;
    }

    // ---- End. ----

    /** Completes failovers whose messages are delivered and whose ids no client may ask for any more. */
    void poll(long now) {
        List.copyOf(running.entrySet()).forEach(each -> poll(each.getKey(), each.getValue(), now));
    }

    private void poll(String journalId, RunningFailover each, long now) {
        if (each.replicator() == null) {
            return;
        }
        if (!each.failover.isIdle()) {
            each.idleSinceNanos = RunningFailover.NOT_IDLE;
        } else if (each.idleSinceNanos < 0) {
            each.idleSinceNanos = now;
            LogEvent.of("failover_drained").with("journal", journalId).warn();
        } else if (now - each.idleSinceNanos > context.maxMessageLifeNanos()) {
            complete(journalId, each);
        }
    }

    private void complete(String journalId, RunningFailover each) {
        each.replicator().announceCompletion();
        running.remove(journalId);
        each.failover.stop();
        ReplicaStore.StoredReplica replica = context.store().findOrCreate(journalId);
        context.store().markCompleted(replica);
        replica.runningHere = false;
    }

    /** Another daemon has a later term: nothing more has an effect from here. */
    void supersede(ReplicaStore.StoredReplica replica, String reason) {
        RunningFailover ended = running.remove(replica.journalId);
        if (ended != null && ended.failover != null) {
            LogEvent.of("failover_superseded")
                    .with("journal", replica.journalId)
                    .with("reason", reason)
                    .warn();
            ended.failover.stop();
            context.store().reclaimLog(replica);
        }
    }

    /** Whether a journal was taken over and is replicated from here. */
    boolean isReplicated(String journalId) {
        return replicatorOf(journalId) != null;
    }

    /** Lets go of a journal at an operator's wish; null, or why it cannot. */
    String release(String journalId) {
        RunningFailover each = running.get(journalId);
        JournalReplicator replicator = each.replicator();
        List<String> successors = replicator.leaderTerm().replicaSet().members().stream()
                .filter(member -> !member.equals(context.self())
                        && replicator.leaderTerm().replicationLag(member) == 0)
                .toList();
        if (successors.isEmpty()) {
            return "no other holder has all of it just now";
        }
        LogEvent.of("failover_released")
                .with("journal", journalId)
                .with("successors", successors)
                .warn();
        // What is not committed has no effect from here on, and its replicas hear of it no more.
        replicator.endTerm();
        running.remove(journalId);
        each.failover.stop();
        ReplicaStore.StoredReplica replica = context.store().findOrCreate(journalId);
        context.store().reclaimLog(replica);
        replica.electionPausedUntilNanos = System.nanoTime() + RELEASED_NANOS;
        return null;
    }

    void close() {
        List.copyOf(running.values()).forEach(each -> {
            if (each.failover != null) {
                each.failover.stop();
            }
        });
    }
}
