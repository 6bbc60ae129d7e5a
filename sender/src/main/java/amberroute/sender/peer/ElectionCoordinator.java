package amberroute.sender.peer;

import amberroute.replication.Candidacy;
import amberroute.replication.ElectionSchedule;
import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaState;
import amberroute.sender.util.LogEvent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Stands for election: for this daemon's own journal after its start, and for journals whose owner is lost. Invariant: a term is granted to
 * this daemon on its own disk before it asks others for their vote; a pre-vote is not recorded. The transitions of an attempt are in {@link #advance}. Lives on the
 * event loop.
 */
final class ElectionCoordinator {
    private static final long REPEAT_NANOS = 200_000_000;
    /** An attempt that has not won by then ends; the next one comes after a random pause. */
    private static final long ATTEMPT_NANOS = 1_000_000_000;

    private static final int MAX_PAUSE_MILLIS = 300;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** So long the first pre-vote waits for each voter that is alive. */
    private static final long VOTER_PATIENCE_NANOS = 500_000_000;
    /** Any term that is later than the last one will do. */
    private static final long ANY_TERM = 0;

    private final ReplicationContext context;
    private final OwnedJournals owned;
    private final Supplier<ReplicaSet> initialReplicaSet;
    private final VoteRequester requester;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<String, ElectionAttempt> attempts = new LinkedHashMap<>();

    /** {@code initialReplicaSet} is the own journal's, null while it is not chosen. */
    ElectionCoordinator(ReplicationContext context, OwnedJournals owned, Supplier<ReplicaSet> initialReplicaSet) {
        this.context = context;
        this.owned = owned;
        this.initialReplicaSet = initialReplicaSet;
        requester = new VoteRequester(context, (attempt, reply) -> {
            if (attempts.get(attempt.replica.journalId) == attempt) {
                advance(attempt, System.nanoTime());
            }
        });
    }

    /** Begins attempts that are due and advances those that are under way. */
    void poll(long now) {
        for (ReplicaStore.StoredReplica replica :
                List.copyOf(context.store().all().values())) {
            if (!attempts.containsKey(replica.journalId) && isDue(replica, now)) {
                stand(replica, ElectionAttempt.Phase.PRE_VOTE, ANY_TERM);
            }
        }
        List.copyOf(attempts.values()).forEach(attempt -> advance(attempt, now));
    }

    /** The journal has an owner, or another candidate: this daemon stands back. */
    void cancel(ReplicaStore.StoredReplica replica) {
        attempts.remove(replica.journalId);
    }

    /** An operator wants this daemon to stand for a journal. */
    void standForOperator(ReplicaStore.StoredReplica replica) {
        if (!attempts.containsKey(replica.journalId)) {
            stand(replica, ElectionAttempt.Phase.PRE_VOTE, ANY_TERM);
            attempts.get(replica.journalId).requestedByOperator = true;
        }
    }

    private boolean isDue(ReplicaStore.StoredReplica replica, long now) {
        if (replica.completed || now - replica.electionPausedUntilNanos < 0) {
            return false;
        }
        if (owned.isOwn(replica)) {
            return owned.ownReplicator().leaderTerm() == null && initialReplicaSet.get() != null;
        }
        if (!isElectable(replica)) {
            return false;
        }
        String owner = replica.state.owner();
        ElectionSchedule.OwnerObservation observation = new ElectionSchedule.OwnerObservation(
                owner.equals(context.self()), context.membership().view().hasFailed(owner), now - replica.heardAtNanos);
        return ElectionSchedule.shouldStartElection(
                observation, ReplicationContext.SILENT_NANOS, ReplicationContext.LONG_SILENT_NANOS);
    }

    private boolean isElectable(ReplicaStore.StoredReplica replica) {
        return !replica.runningHere
                && !replica.copyFolderName.isEmpty()
                && replica.state.isVoter()
                && replica.replicaSet != null
                && replica.replicaSet.members().contains(context.self());
    }

    private void stand(ReplicaStore.StoredReplica replica, ElectionAttempt.Phase phase, long leastTerm) {
        ReplicaState current = owned.currentState(replica);
        ReplicaState granted =
                current.onVoteRequest(Math.max(leastTerm, current.term() + 1), context.self(), current.logPosition());
        if (!granted.hasGranted(granted.term(), context.self())) {
            // Its own promises are not here any more: the others have what was committed, and one of them goes on with
            // it.
            replica.electionPausedUntilNanos = System.nanoTime() + ReplicationContext.LONG_SILENT_NANOS;
            if (owned.isOwn(replica)) {
                owned.lose(replica, "this folder has lost what it promised");
            }
            return;
        }
        if (phase == ElectionAttempt.Phase.VOTE && !context.store().persistState(replica, granted)) {
            attempts.remove(replica.journalId);
            return;
        }
        ReplicaSet replicaSet = owned.isOwn(replica) ? initialReplicaSet.get() : replica.replicaSet;
        ElectionAttempt attempt =
                new ElectionAttempt(replica, phase, new Candidacy(context.self(), replicaSet, granted));
        attempts.put(replica.journalId, attempt);
        requester.request(attempt);
    }

    /** What an attempt does next: waits and repeats, steps back, goes on from pre-vote to vote, wins, or ends. */
    private void advance(ElectionAttempt attempt, long now) {
        if (waitsForVoters(attempt, now)) {
            repeatRequest(attempt, now);
        } else if (!owned.isOwn(attempt.replica) && attempt.isPreVote() && attempt.voterAhead) {
            // Whoever has more, and counts, is the one to go on: this copy is behind, or its folder an old one put
            // back.
            attempts.remove(attempt.replica.journalId);
            attempt.replica.electionPausedUntilNanos = now + (long) (REPEAT_NANOS * (1 + random.nextDouble()));
        } else if (attempt.candidacy.hasWon() && !attempt.formerJournalOpen) {
            onMajority(attempt, now);
        } else if (attempt.formerJournalOpen
                || attempt.candidacy.hasLost()
                || now - attempt.startedAtNanos > ATTEMPT_NANOS) {
            onFailure(attempt, now);
        } else {
            repeatRequest(attempt, now);
        }
    }

    /**
     * A new journal waits for all voters that are alive, as one may know of an earlier journal. An owner that is alive is waited for as
     * well: it may have more than all who have answered, should a folder be an old one.
     */
    private boolean waitsForVoters(ElectionAttempt attempt, long now) {
        if (!attempt.isPreVote() || attempt.formerJournalOpen || now - attempt.startedAtNanos >= VOTER_PATIENCE_NANOS) {
            return false;
        }
        boolean newJournal = attempt.candidacy.logPosition().equals(LogPosition.NONE);
        if (!newJournal && owned.isOwn(attempt.replica)) {
            return false;
        }
        String owner = attempt.replica.state.owner();
        return attempt.candidacy.pendingVoters().stream()
                .anyMatch(voter -> (newJournal || voter.equals(owner))
                        && !context.membership().view().hasFailed(voter));
    }

    private void repeatRequest(ElectionAttempt attempt, long now) {
        if (now - attempt.askedAtNanos > REPEAT_NANOS) {
            requester.request(attempt);
        }
    }

    private void onMajority(ElectionAttempt attempt, long now) {
        attempts.remove(attempt.replica.journalId);
        if (!attempt.isPreVote()) {
            onTermWon(attempt);
        } else if (attempt.requestedByOperator || isDue(attempt.replica, now)) {
            stand(attempt.replica, ElectionAttempt.Phase.VOTE, attempt.candidacy.term());
        }
    }

    private void onFailure(ElectionAttempt attempt, long now) {
        attempts.remove(attempt.replica.journalId);
        attempt.replica.electionPausedUntilNanos = now + random.nextInt(MAX_PAUSE_MILLIS) * NANOS_PER_MILLISECOND;
        if (owned.isOwn(attempt.replica) && attempt.voterAhead) {
            // An old folder was put back, or another daemon owned it meanwhile.
            owned.lose(attempt.replica, "others have more of it than this folder, which is older or was taken over");
        }
    }

    private void onTermWon(ElectionAttempt attempt) {
        Candidacy candidacy = attempt.candidacy;
        if (!attempt.replica.state.hasGranted(candidacy.term(), context.self())) {
            return;
        }
        if (!owned.isOwn(attempt.replica)) {
            owned.failovers().start(attempt.replica, candidacy.term());
        } else if (owned.ownReplicator().startTerm(candidacy.term(), candidacy.logPosition(), candidacy.replicaSet())) {
            LogEvent.of("leadership_acquired")
                    .with("journal", attempt.replica.journalId)
                    .with("term", candidacy.term())
                    .with("replicas", candidacy.replicaSet().members())
                    .warn();
        }
    }
}
