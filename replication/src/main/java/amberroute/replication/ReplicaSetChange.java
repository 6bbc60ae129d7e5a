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
        WITHOUT,
        TEACH,
        WITH
    }

    /** One step. */
    public record Step(Kind kind, String name) {
        static final Step NONE = new Step(Kind.NONE, "");
    }

    /**
     * How others stand: taken for gone by membership, came back with nothing, has all that there is; who is there, and where.
     */
    public record View(
            Predicate<String> gone,
            Predicate<String> fresh,
            Predicate<String> taught,
            List<String> alive,
            UnaryOperator<String> zones) {}

    private final String self;
    private final int size;
    private final long patience;
    private final Map<String, Long> awaySince = new HashMap<>();
    private String learner = "";

    /** A group of so many; a holder that is gone for longer than {@code patience} is replaced. */
    public ReplicaSetChange(String self, int size, long patience) {
        this.self = self;
        this.size = size;
        this.patience = patience;
    }

    /** The next step for a group that has settled. */
    public Step next(long now, ReplicaSet group, View view) {
        List<String> others =
                group.holders().stream().filter(h -> !h.equals(self)).toList();
        awaySince.keySet().retainAll(others);
        for (String holder : others) {
            if (view.gone().test(holder)) {
                awaySince.putIfAbsent(holder, now);
            } else {
                awaySince.remove(holder);
            }
        }
        String away = others.stream()
                .filter(h -> awaySince.containsKey(h) && now - awaySince.get(h) > patience)
                .findFirst()
                .orElse("");
        String fresh = others.stream().filter(view.fresh()).findFirst().orElse("");
        if (!fresh.isEmpty() && others.size() > 1) {
            return new Step(Kind.WITHOUT, fresh);
        }
        if (!away.isEmpty() && group.holders().size() > size) {
            return new Step(Kind.WITHOUT, away);
        }
        if (!learner.isEmpty() && (view.gone().test(learner) || group.holders().contains(learner))) {
            learner = "";
        }
        if (group.holders().size() > size || away.isEmpty() && group.holders().size() == size) {
            return Step.NONE;
        }
        if (learner.isEmpty()) {
            List<String> free = view.alive().stream()
                    .filter(n -> !group.holders().contains(n))
                    .toList();
            List<String> next = ElectionSchedule.holders(self, view.zones().apply(self), 2, free, view.zones());
            if (next.size() < 2) {
                return Step.NONE;
            }
            learner = next.get(1);
            return new Step(Kind.TEACH, learner);
        }
        return view.taught().test(learner) ? new Step(Kind.WITH, learner) : Step.NONE;
    }
}
