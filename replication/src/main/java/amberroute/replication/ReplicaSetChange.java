package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Decides the next change of the replica set of a journal. A member that lost its state is removed immediately. A
 * member that has failed is removed once a replacement was added. A new member is caught up before it is added.
 * Changes are made one at a time; the caller asks for the next one when the last is committed. Times are
 * nanoseconds on the caller's clock. Not thread-safe.
 */
public final class ReplicaSetChange {
    /** What to do with a sender; NONE names no sender. */
    public enum Kind {
        NONE,
        REMOVE,
        CATCH_UP,
        ADD
    }

    /** One step of a replica set change. */
    public record Step(Kind kind, String member) {
        static final Step NONE = new Step(Kind.NONE, "");
    }

    /**
     * The state of the other senders.
     *
     * @param hasFailed whether membership considers the sender failed
     * @param hasLostState whether the sender restarted without its previous votes and records
     * @param isCaughtUp whether the sender has all records
     * @param alive the senders that could be added
     * @param zoneOf the zone of each sender
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

    /**
     * Maintains a replica set of {@code targetSize} members. A member that has failed for longer than {@code
     * replaceAfterNanos} is replaced.
     */
    public ReplicaSetChange(String self, int targetSize, long replaceAfterNanos) {
        this.self = self;
        this.targetSize = targetSize;
        this.replaceAfterNanos = replaceAfterNanos;
    }

    /** Returns the next step for a replica set whose last change is committed. */
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

    /** Chooses a learner if there is none, and adds the learner once it has caught up. */
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
