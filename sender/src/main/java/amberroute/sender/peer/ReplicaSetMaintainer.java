package amberroute.sender.peer;

import amberroute.membership.MembershipView;
import amberroute.membership.SwimMembership;
import amberroute.replication.ElectionSchedule;
import amberroute.replication.LeaderTerm;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaSetChange;
import amberroute.sender.util.LogEvent;
import java.util.List;

/**
 * Chooses the first replica set of this daemon's journal and carries out changes of the sets of all journals that it owns, one step at a
 * time. {@link ReplicaSetChange} decides them. Lives on the event loop.
 */
final class ReplicaSetMaintainer {
    /** How long a new daemon waits for members of other zones before it takes those that it knows. */
    private static final long INITIAL_CHOICE_NANOS = 2_000_000_000L;

    private static final long NANOS_PER_MICROSECOND = 1_000;

    private final ReplicationContext context;
    private final OwnedJournals owned;
    private final ReplicaSetChange ownChange;
    private final long startedAtNanos = System.nanoTime();
    /** Null until it is chosen. */
    private ReplicaSet initialReplicaSet;

    /** {@code recorded} is the replica set that the own journal names, null for a new one. */
    ReplicaSetMaintainer(ReplicationContext context, OwnedJournals owned, ReplicaSet recorded) {
        this.context = context;
        this.owned = owned;
        initialReplicaSet = recorded;
        ownChange = new ReplicaSetChange(context.self(), context.replicaCount(), context.replaceAfterNanos());
    }

    /** The replica set to begin with; null until it is chosen. */
    ReplicaSet initialReplicaSet() {
        return initialReplicaSet;
    }

    /** Chooses the first replica set once enough peers are alive. */
    void chooseInitial() {
        if (initialReplicaSet != null) {
            return;
        }
        SwimMembership view = context.membership().view();
        List<String> alive = alive(view, System.nanoTime());
        boolean waited = System.nanoTime() - startedAtNanos > INITIAL_CHOICE_NANOS;
        int required = waited ? context.replicaCount() - 1 : context.peers().size();
        if (alive.size() >= required) {
            initialReplicaSet = new ReplicaSet(
                    0,
                    ElectionSchedule.chooseReplicas(
                            context.self(), view.zoneOf(context.self()), context.replicaCount(), alive, view::zoneOf));
        }
    }

    private static List<String> alive(SwimMembership view, long now) {
        return view.members(now / NANOS_PER_MICROSECOND).stream()
                .filter(MembershipView.Member::alive)
                .map(MembershipView.Member::name)
                .toList();
    }

    /** Carries out the next step of each journal. */
    void maintain() {
        if (owned.isFenced()) {
            return;
        }
        maintain(owned.ownReplicator(), ownChange);
        owned.forEachFailover((replicator, failover) -> maintain(replicator, failover.replicaSetChange));
    }

    private void maintain(JournalReplicator replicator, ReplicaSetChange change) {
        LeaderTerm term = replicator.leaderTerm();
        if (term == null || !replicator.isReady() || !term.isReplicaSetCommitted()) {
            return;
        }
        long now = System.nanoTime();
        SwimMembership view = context.membership().view();
        ReplicaSetChange.View replicas = new ReplicaSetChange.View(
                view::hasFailed, replicator::hasLostState, replicator::isCaughtUp, alive(view, now), view::zoneOf);
        ReplicaSetChange.Step step = change.nextStep(now, term.replicaSet(), replicas);
        switch (step.kind()) {
            case REMOVE -> remove(replicator, step.member());
            case CATCH_UP -> replicator.startCatchUp(step.member());
            case ADD -> add(replicator, step.member());
            default -> {}
        }
    }

    private static void remove(JournalReplicator replicator, String member) {
        LogEvent.of("replica_removed")
                .with("journal", replicator.journalId())
                .with("replica", member)
                .with("reason", replicator.hasLostState(member) ? "state_lost" : "failed")
                .warn();
        replicator.changeReplicaSet(replicator.leaderTerm().replicaSet().withoutMember(member));
    }

    private static void add(JournalReplicator replicator, String member) {
        if (replicator.changeReplicaSet(replicator.leaderTerm().replicaSet().withMember(member))) {
            LogEvent.of("replica_added")
                    .with("journal", replicator.journalId())
                    .with("replica", member)
                    .warn();
        }
    }
}
