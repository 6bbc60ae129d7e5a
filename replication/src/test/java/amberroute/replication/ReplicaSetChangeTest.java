package amberroute.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.replication.ReplicaSetChange.Kind;
import amberroute.replication.ReplicaSetChange.Step;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which change of a group comes next, step by step as its host carries them out. */
class ReplicaSetChangeTest {
    private static final long PATIENCE = 10;
    private final Set<String> gone = new HashSet<>();
    private final Set<String> fresh = new HashSet<>();
    private final Set<String> taught = new HashSet<>();
    private final List<String> all = new ArrayList<>(List.of("b", "c", "d", "e"));
    private final ReplicaSetChange regrouping = new ReplicaSetChange("a", 3, PATIENCE);
    private ReplicaSet group = new ReplicaSet(0, List.of("a", "b", "c"));

    private Step next(long now) {
        List<String> alive = all.stream().filter(n -> !gone.contains(n)).toList();
        Step step = regrouping.nextStep(
                now,
                group,
                new ReplicaSetChange.View(
                        gone::contains, fresh::contains, taught::contains, alive, n -> n.equals("e") ? "far" : "near"));
        switch (step.kind()) {
            case REMOVE -> {
                group = group.withoutMember(step.member());
                fresh.remove(step.member());
                taught.remove(step.member());
            }
            case ADD -> group = group.withMember(step.member());
            default -> {}
        }
        return step;
    }

    @Test
    void aWholeGroupIsLeftAlone() {
        assertEquals(Kind.NONE, next(0).kind());
        assertEquals(Kind.NONE, next(1_000).kind());
    }

    @Test
    void whoIsAwayForLongLeavesOnceAnotherHasTakenItsPlace() {
        gone.add("b");
        assertEquals(Kind.NONE, next(0).kind());
        assertEquals(Kind.NONE, next(PATIENCE).kind());
        // One in another zone where there is one.
        assertEquals(new Step(Kind.CATCH_UP, "e"), next(PATIENCE + 1));
        assertEquals(Kind.NONE, next(PATIENCE + 2).kind());
        taught.add("e");
        assertEquals(new Step(Kind.ADD, "e"), next(PATIENCE + 3));
        assertEquals(new Step(Kind.REMOVE, "b"), next(PATIENCE + 4));
        assertEquals(List.of("a", "c", "e"), group.members());
        assertEquals(Kind.NONE, next(PATIENCE + 5).kind());
    }

    @Test
    void whoComesBackInTimeStays() {
        gone.add("b");
        next(0);
        gone.clear();
        next(PATIENCE);
        gone.add("b");
        assertEquals(Kind.NONE, next(PATIENCE + 1).kind());
        assertEquals(Kind.NONE, next(2 * PATIENCE).kind());
    }

    @Test
    void whoLostItsFolderLeavesAtOnceAndTheGroupIsFilledAgain() {
        all.removeAll(List.of("d", "e"));
        fresh.add("c");
        assertEquals(new Step(Kind.REMOVE, "c"), next(0));
        assertEquals(new Step(Kind.CATCH_UP, "c"), next(1));
        taught.add("c");
        assertEquals(new Step(Kind.ADD, "c"), next(2));
        assertEquals(Kind.NONE, next(3).kind());
    }

    @Test
    void aLearnerThatIsLostGivesWayToAnother() {
        gone.add("b");
        next(0);
        assertEquals(new Step(Kind.CATCH_UP, "e"), next(PATIENCE + 1));
        gone.add("e");
        assertEquals(new Step(Kind.CATCH_UP, "d"), next(PATIENCE + 2));
    }

    /** Whatever comes and goes: one change at a time, never below two, never the owner, and whole again in the end. */
    @Test
    void anyOrderOfEventsEndsInAWholeGroup() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            gone.clear();
            fresh.clear();
            taught.clear();
            group = new ReplicaSet(0, List.of("a", "b", "c"));
            long now = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextInt(8);
                String one = all.get(random.nextInt(all.size()));
                switch (random.nextInt(5)) {
                    case 0 -> gone.add(one);
                    case 1 -> gone.remove(one);
                    case 2 -> fresh.add(one);
                    default -> taught.add(one);
                }
                long before = group.version();
                next(now);
                assertTrue(
                        group.version() <= before + 1
                                && group.members().contains("a")
                                && group.members().size() >= 2
                                && group.members().size() <= 4,
                        "seed " + seed + ": " + group);
            }
            gone.clear();
            fresh.clear();
            taught.addAll(all);
            for (int i = 0; i < 10; i++) {
                now += PATIENCE + 1;
                next(now);
            }
            assertTrue(group.members().size() >= 3, "seed " + seed + ": " + group);
        }
    }
}
