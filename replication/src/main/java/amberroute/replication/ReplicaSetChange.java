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

    private static final String NO_MEMBER = "";

    private final String self;
    private final int targetSize;
    private final long replaceAfterNanos;
    private final Map<String, Long> failedSinceNanos = new HashMap<>();
    private String learner = NO_MEMBER;

    /** A replica set of so many; a member that has failed for longer than {@code replaceAfterNanos} is replaced. */
    public ReplicaSetChange(String self, int targetSize, long replaceAfterNanos) {
        this.self = self;
        this.targetSize = targetSize;
        this.replaceAfterNanos = replaceAfterNanos;
    }

    /** The next step for a replica set whose last change is committed. */
    public Step nextStep(long nowNanos, ReplicaSet replicaSet, View view) {
        List<String> others = replicaSet.members().stream()
                .filter(member -> !member.equals(self))
                .toList();
        trackFailures(nowNanos, others, view);
        String failedMember = others.stream()
                .filter(member -> hasExceededReplaceDelay(nowNanos, member))
                .findFirst()
                .orElse(NO_MEMBER);
        String memberWithoutState =
                others.stream().filter(view.hasLostState()).findFirst().orElse(NO_MEMBER);
        int size = replicaSet.members().size();
        if (!memberWithoutState.isEmpty() && others.size() > 1) {
            return new Step(Kind.REMOVE, memberWithoutState);
        }
        if (!failedMember.isEmpty() && size > targetSize) {
            return new Step(Kind.REMOVE, failedMember);
        }
        if (!learner.isEmpty()
                && (view.hasFailed().test(learner) || replicaSet.members().contains(learner))) {
            learner = NO_MEMBER;
        }
        if (size > targetSize || failedMember.isEmpty() && size == targetSize) {
            return Step.NONE;
        }
        return nextLearnerStep(replicaSet, view);
    }

    private void trackFailures(long nowNanos, List<String> others, View view) {
        failedSinceNanos.keySet().retainAll(others);
        for (String member : others) {
            if (view.hasFailed().test(member)) {
                failedSinceNanos.putIfAbsent(member, nowNanos);
            } else {
                failedSinceNanos.remove(member);
            }
        }
    }

    private boolean hasExceededReplaceDelay(long nowNanos, String member) {
        return failedSinceNanos.containsKey(member) && nowNanos - failedSinceNanos.get(member) > replaceAfterNanos;
    }

    /** Chooses a learner where there is none, and adds it once it has caught up. */
    private Step nextLearnerStep(ReplicaSet replicaSet, View view) {
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
