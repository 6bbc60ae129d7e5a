package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Which change of an estate's group comes next. A holder that came back with nothing leaves at once, one that is away leaves
 * once another has taken its place, and whoever is to join is brought up to date first. One step at a time; whoever carries
 * it out asks again when it is agreed on. Times are nanoseconds on the caller's clock.
 */
public final class ReplicaSetChange {
    /** What to do with somebody; NONE names nobody. */
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
     * How others stand: taken for gone by membership, came back with nothing, has all that there is; who is there, and where.
     */
    public record View(
            Predicate<String> hasFailed,
            Predicate<String> hasLostState,
            Predicate<String> isCaughtUp,
            List<String> alive,
            UnaryOperator<String> zoneOf) {}

    private final String self;
    private final int targetSize;
    private final long replaceAfterNanos;
    private final Map<String, Long> failedSinceNanos = new HashMap<>();
    private String learner = "";

    /** A group of so many; a holder that is gone for longer than {@code patience} is replaced. */
    public ReplicaSetChange(String self, int size, long patience) {
        this.self = self;
        this.targetSize = size;
        this.replaceAfterNanos = patience;
    }

    /** The next step for a group that has settled. */
    public Step nextStep(long now, ReplicaSet group, View view) {
        List<String> others =
                group.members().stream().filter(h -> !h.equals(self)).toList();
        failedSinceNanos.keySet().retainAll(others);
        for (String holder : others) {
            if (view.hasFailed().test(holder)) {
                failedSinceNanos.putIfAbsent(holder, now);
            } else {
                failedSinceNanos.remove(holder);
            }
        }
        String away = others.stream()
                .filter(h -> failedSinceNanos.containsKey(h) && now - failedSinceNanos.get(h) > replaceAfterNanos)
                .findFirst()
                .orElse("");
        String fresh = others.stream().filter(view.hasLostState()).findFirst().orElse("");
        if (!fresh.isEmpty() && others.size() > 1) {
            return new Step(Kind.REMOVE, fresh);
        }
        if (!away.isEmpty() && group.members().size() > targetSize) {
            return new Step(Kind.REMOVE, away);
        }
        if (!learner.isEmpty()
                && (view.hasFailed().test(learner) || group.members().contains(learner))) {
            learner = "";
        }
        if (group.members().size() > targetSize
                || away.isEmpty() && group.members().size() == targetSize) {
            return Step.NONE;
        }
        if (learner.isEmpty()) {
            List<String> free = view.alive().stream()
                    .filter(n -> !group.members().contains(n))
                    .toList();
            List<String> next =
                    ElectionSchedule.chooseReplicas(self, view.zoneOf().apply(self), 2, free, view.zoneOf());
            if (next.size() < 2) {
                return Step.NONE;
            }
            learner = next.get(1);
            return new Step(Kind.CATCH_UP, learner);
        }
        return view.isCaughtUp().test(learner) ? new Step(Kind.ADD, learner) : Step.NONE;
    }
}
