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

/** Tests which change of a replica set comes next, as the caller carries out each step. */
class ReplicaSetChangeTest {
    private static final long REPLACE_AFTER_NANOS = 10;
    private final Set<String> failedDaemons = new HashSet<>();
    private final Set<String> daemonsWithoutState = new HashSet<>();
    private final Set<String> caughtUpDaemons = new HashSet<>();
    private final List<String> otherDaemons = new ArrayList<>(List.of("b", "c", "d", "e"));
    private final ReplicaSetChange replicaSetChange = new ReplicaSetChange("a", 3, REPLACE_AFTER_NANOS);
    private ReplicaSet replicaSet = new ReplicaSet(0, List.of("a", "b", "c"));

    private Step applyNextStep(long nowNanos) {
        List<String> alive =
                otherDaemons.stream().filter(n -> !failedDaemons.contains(n)).toList();
        Step step = replicaSetChange.nextStep(
                nowNanos,
                replicaSet,
                new ReplicaSetChange.View(
                        failedDaemons::contains,
                        daemonsWithoutState::contains,
                        caughtUpDaemons::contains,
                        alive,
                        n -> n.equals("e") ? "far" : "near"));
        switch (step.kind()) {
            case REMOVE -> {
                replicaSet = replicaSet.withoutMember(step.member());
                daemonsWithoutState.remove(step.member());
                caughtUpDaemons.remove(step.member());
            }
            case ADD -> replicaSet = replicaSet.withMember(step.member());
            default -> {}
        }
        return step;
    }

    @Test
    void completeReplicaSetIsNotChanged() {
        assertEquals(Kind.NONE, applyNextStep(0).kind());
        assertEquals(Kind.NONE, applyNextStep(1_000).kind());
    }

    @Test
    void failedMemberIsRemovedAfterReplacementIsAdded() {
        failedDaemons.add("b");
        assertEquals(Kind.NONE, applyNextStep(0).kind());
        assertEquals(Kind.NONE, applyNextStep(REPLACE_AFTER_NANOS).kind());
        // A sender in another zone is preferred.
        assertEquals(new Step(Kind.CATCH_UP, "e"), applyNextStep(REPLACE_AFTER_NANOS + 1));
        assertEquals(Kind.NONE, applyNextStep(REPLACE_AFTER_NANOS + 2).kind());
        caughtUpDaemons.add("e");
        assertEquals(new Step(Kind.ADD, "e"), applyNextStep(REPLACE_AFTER_NANOS + 3));
        assertEquals(new Step(Kind.REMOVE, "b"), applyNextStep(REPLACE_AFTER_NANOS + 4));
        assertEquals(List.of("a", "c", "e"), replicaSet.members());
        assertEquals(Kind.NONE, applyNextStep(REPLACE_AFTER_NANOS + 5).kind());
    }

    @Test
    void memberThatRecoversInTimeIsKept() {
        failedDaemons.add("b");
        applyNextStep(0);
        failedDaemons.clear();
        applyNextStep(REPLACE_AFTER_NANOS);
        failedDaemons.add("b");
        assertEquals(Kind.NONE, applyNextStep(REPLACE_AFTER_NANOS + 1).kind());
        assertEquals(Kind.NONE, applyNextStep(2 * REPLACE_AFTER_NANOS).kind());
    }

    @Test
    void memberWithoutStateIsRemovedAtOnceAndAddedAgain() {
        otherDaemons.removeAll(List.of("d", "e"));
        daemonsWithoutState.add("c");
        assertEquals(new Step(Kind.REMOVE, "c"), applyNextStep(0));
        assertEquals(new Step(Kind.CATCH_UP, "c"), applyNextStep(1));
        caughtUpDaemons.add("c");
        assertEquals(new Step(Kind.ADD, "c"), applyNextStep(2));
        assertEquals(Kind.NONE, applyNextStep(3).kind());
    }

    @Test
    void failedLearnerIsReplaced() {
        failedDaemons.add("b");
        applyNextStep(0);
        assertEquals(new Step(Kind.CATCH_UP, "e"), applyNextStep(REPLACE_AFTER_NANOS + 1));
        failedDaemons.add("e");
        assertEquals(new Step(Kind.CATCH_UP, "d"), applyNextStep(REPLACE_AFTER_NANOS + 2));
    }

    /**
     * For any order of events: one change at a time, never fewer than two members, the leader always among them,
     * and a complete replica set in the end.
     */
    @Test
    void randomEventsEndInCompleteReplicaSet() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            failedDaemons.clear();
            daemonsWithoutState.clear();
            caughtUpDaemons.clear();
            replicaSet = new ReplicaSet(0, List.of("a", "b", "c"));
            long now = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextInt(8);
                String name = otherDaemons.get(random.nextInt(otherDaemons.size()));
                switch (random.nextInt(5)) {
                    case 0 -> failedDaemons.add(name);
                    case 1 -> failedDaemons.remove(name);
                    case 2 -> daemonsWithoutState.add(name);
                    default -> caughtUpDaemons.add(name);
                }
                long previousVersion = replicaSet.version();
                applyNextStep(now);
                assertTrue(
                        replicaSet.version() <= previousVersion + 1
                                && replicaSet.members().contains("a")
                                && replicaSet.members().size() >= 2
                                && replicaSet.members().size() <= 4,
                        "seed " + seed + ": " + replicaSet);
            }
            failedDaemons.clear();
            daemonsWithoutState.clear();
            caughtUpDaemons.addAll(otherDaemons);
            for (int i = 0; i < 10; i++) {
                now += REPLACE_AFTER_NANOS + 1;
                applyNextStep(now);
            }
            assertTrue(replicaSet.members().size() >= 3, "seed " + seed + ": " + replicaSet);
        }
    }
}
