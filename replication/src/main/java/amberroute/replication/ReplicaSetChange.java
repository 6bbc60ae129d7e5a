package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Which change of a journal's replica set comes next. A member that lost its state is removed at once, one that has failed is removed
 * once another has taken its place, and whoever is to join is caught up first. One step at a time; whoever carries
 * it out asks again when it is committed. Times are nanoseconds on the caller's clock. Not thread-safe.
 */
public final class ReplicaSetChange {
    /** What to do with a daemon; NONE names nobody. */
    public enum Kind {
        NONE,
        REMOVE,
        CATCH_UP,
        ADD
    }

    /** One step. */
    public record Step(Kind kind, String member) {
        static final Step NONE = new Step(Kind.NONE, "");
    }

    /**
     * How the other daemons are.
     *
     * @param hasFailed membership takes it for failed
     * @param hasLostState it came back without what it had promised
     * @param isCaughtUp it has all records
     * @param alive who could join
     * @param zoneOf where each is
     */
    public record View(
            Predicate<String> hasFailed,
            Predicate<String> hasLostState,
            Predicate<String> isCaughtUp,
            List<String> alive,
            UnaryOperator<String> zoneOf) {}

    private static final String NOBODY = "";

    private final String self;
    private final int targetSize;
    private final long replaceAfterNanos;
    private final Map<String, Long> failedSinceNanos = new HashMap<>();
    private String learner = NOBODY;

    /** A replica set of so many; a member that has failed for longer than {@code replaceAfterNanos} is replaced. */
    public ReplicaSetChange(String self, int targetSize, long replaceAfterNanos) {
        this.self = self;
        this.targetSize = targetSize;
        this.replaceAfterNanos = replaceAfterNanos;
    }

    /** The next step for a replica set whose last change is committed. */
    public Step nextStep(long now, ReplicaSet replicaSet, View view) {
        List<String> others = replicaSet.members().stream()
                .filter(member -> !member.equals(self))
                .toList();
        trackFailures(now, others, view);
        String failed = others.stream()
                .filter(member -> hasFailedForLong(now, member))
                .findFirst()
                .orElse(NOBODY);
        String withoutState =
                others.stream().filter(view.hasLostState()).findFirst().orElse(NOBODY);
        int size = replicaSet.members().size();
        if (!withoutState.isEmpty() && others.size() > 1) {
            return new Step(Kind.REMOVE, withoutState);
        }
        if (!failed.isEmpty() && size > targetSize) {
            return new Step(Kind.REMOVE, failed);
        }
        if (!learner.isEmpty()
                && (view.hasFailed().test(learner) || replicaSet.members().contains(learner))) {
            learner = NOBODY;
        }
        if (size > targetSize || failed.isEmpty() && size == targetSize) {
            return Step.NONE;
        }
        return stepOfLearner(replicaSet, view);
    }

    private void trackFailures(long now, List<String> others, View view) {
        failedSinceNanos.keySet().retainAll(others);
        for (String member : others) {
            if (view.hasFailed().test(member)) {
                failedSinceNanos.putIfAbsent(member, now);
            } else {
                failedSinceNanos.remove(member);
            }
        }
    }

    private boolean hasFailedForLong(long now, String member) {
        return failedSinceNanos.containsKey(member) && now - failedSinceNanos.get(member) > replaceAfterNanos;
    }

    /** Chooses a learner where there is none, and adds it once it has caught up. */
    private Step stepOfLearner(ReplicaSet replicaSet, View view) {
        if (!learner.isEmpty()) {
            return view.isCaughtUp().test(learner) ? new Step(Kind.ADD, learner) : Step.NONE;
        }
        List<String> candidates = view.alive().stream()
                .filter(name -> !replicaSet.members().contains(name))
                .toList();
        List<String> chosen =
                ElectionSchedule.chooseReplicas(self, view.zoneOf().apply(self), 2, candidates, view.zoneOf());
        if (chosen.size() < 2) {
            return Step.NONE;
        }
        learner = chosen.get(1);
        return new Step(Kind.CATCH_UP, learner);
    }
}
