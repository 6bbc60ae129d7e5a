package amberroute.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When to try, who is to hold, and how holders are counted. */
class ElectionScheduleTest {
    @Test
    void holdersStandInDifferentZonesAndEachHoldsForAboutAsMany() {
        List<String> names = new ArrayList<>();
        for (int i = 10; i < 40; i++) {
            names.add("s" + i);
        }
        Map<String, Integer> holds = new HashMap<>();
        for (String name : names) {
            List<String> group =
                    ElectionSchedule.chooseReplicas(name, zone(name), 3, names, ElectionScheduleTest::zone);
            assertEquals(name, group.get(0));
            assertEquals(
                    3, group.stream().map(ElectionScheduleTest::zone).distinct().count(), group.toString());
            group.forEach(h -> holds.merge(h, 1, Integer::sum));
        }
        assertTrue(holds.values().stream().allMatch(n -> n >= 2 && n <= 4), holds.toString());
    }

    private static String zone(String name) {
        return "z" + Integer.parseInt(name.substring(1)) % 3;
    }

    @Test
    void withFewZonesOrFewPeersAsManyAsThereAre() {
        assertEquals(
                List.of("b", "c", "a"), ElectionSchedule.chooseReplicas("b", "", 3, List.of("a", "b", "c"), n -> ""));
        assertEquals(List.of("b", "c"), ElectionSchedule.chooseReplicas("b", "", 3, List.of("c"), n -> ""));
    }

    @Test
    void anOwnerThatIsHeardIsLeftAlone() {
        assertFalse(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, true, 5), 6, 12));
        assertTrue(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, true, 6), 6, 12));
        assertFalse(
                ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, false, 11), 6, 12));
        assertTrue(
                ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, false, 12), 6, 12));
        assertTrue(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(true, false, 0), 6, 12));
    }

    @Test
    void whatAMajorityHasIsAgreedOnAndAChangeOfTheGroupWaitsForTheLast() {
        LeaderTerm tenure = new LeaderTerm("a", 3, 10, new ReplicaSet(0, List.of("a", "b", "c")));
        assertEquals(-1, tenure.commitIndex());
        assertEquals(11, tenure.appended());
        tenure.acknowledged("b", 10);
        assertEquals(10, tenure.commitIndex());
        tenure.acknowledged("c", 11);
        assertEquals(11, tenure.commitIndex());
        tenure.acknowledgementLost("c");
        assertEquals(-1, tenure.replicationLag("c"));
        assertEquals(1, tenure.replicationLag("b"));
        // A number that was never written is nobody's.
        tenure.acknowledged("b", 99);
        assertEquals(10, tenure.commitIndex());
        tenure.acknowledged("b", 11);
        tenure.appended();
        tenure.replicaSetChanged(tenure.replicaSet().withMember("d"));
        assertFalse(tenure.isReplicaSetCommitted());
        assertThrows(
                IllegalStateException.class,
                () -> tenure.replicaSetChanged(tenure.replicaSet().withoutMember("c")));
        tenure.acknowledged("b", 12);
        assertFalse(tenure.isReplicaSetCommitted());
        tenure.acknowledged("d", 12);
        assertTrue(tenure.isReplicaSetCommitted());
        tenure.end();
        assertEquals(-1, tenure.commitIndex());
    }

    @Test
    void aClaimIsWonByAMajorityAndLostWhereNoneIsLeft() {
        ReplicaState own = new ReplicaState(2, "b", new LogPosition(1, 7)).onVoteRequest(3, "a", new LogPosition(1, 7));
        Candidacy claim = new Candidacy("a", new ReplicaSet(0, List.of("a", "b", "c")), own);
        assertEquals(Set.of("b", "c"), claim.pendingVoters());
        claim.onVote("x", 3, true, 3);
        claim.onVote("b", 2, true, 3);
        assertFalse(claim.hasWon());
        claim.onVote("b", 3, false, 8);
        assertFalse(claim.hasLost());
        claim.onVote("c", 3, false, 3);
        assertTrue(claim.hasLost());
        assertEquals(9, claim.nextTerm());
        assertThrows(IllegalArgumentException.class, () -> new Candidacy("c", claim.replicaSet(), own));
    }
}
