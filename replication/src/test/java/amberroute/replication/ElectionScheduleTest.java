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

/** Tests when an election starts, which senders become replicas, and how acknowledgements and votes are counted. */
class ElectionScheduleTest {
    @Test
    void replicasAreInDifferentZonesAndEvenlySpread() {
        List<String> names = new ArrayList<>();
        for (int i = 10; i < 40; i++) {
            names.add("s" + i);
        }
        Map<String, Integer> replicaCountByName = new HashMap<>();
        for (String name : names) {
            List<String> replicas =
                    ElectionSchedule.chooseReplicas(name, zone(name), 3, names, ElectionScheduleTest::zone);
            assertEquals(name, replicas.get(0));
            assertEquals(
                    3,
                    replicas.stream().map(ElectionScheduleTest::zone).distinct().count(),
                    replicas.toString());
            replicas.forEach(replica -> replicaCountByName.merge(replica, 1, Integer::sum));
        }
        assertTrue(replicaCountByName.values().stream().allMatch(n -> n >= 2 && n <= 4), replicaCountByName.toString());
    }

    private static String zone(String name) {
        return "z" + Integer.parseInt(name.substring(1)) % 3;
    }

    @Test
    void fewZonesOrPeersGiveAllAvailableReplicas() {
        assertEquals(
                List.of("b", "c", "a"), ElectionSchedule.chooseReplicas("b", "", 3, List.of("a", "b", "c"), n -> ""));
        assertEquals(List.of("b", "c"), ElectionSchedule.chooseReplicas("b", "", 3, List.of("c"), n -> ""));
    }

    @Test
    void electionStartsOnlyAfterSilenceOfLeader() {
        assertFalse(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, true, 5), 6, 12));
        assertTrue(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, true, 6), 6, 12));
        assertFalse(
                ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, false, 11), 6, 12));
        assertTrue(
                ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(false, false, 12), 6, 12));
        assertTrue(ElectionSchedule.shouldStartElection(new ElectionSchedule.OwnerObservation(true, false, 0), 6, 12));
    }

    @Test
    void recordsOfQuorumAreCommittedAndReplicaSetChangeWaitsForPrevious() {
        LeaderTerm leaderTerm = new LeaderTerm("a", 3, 10, new ReplicaSet(0, List.of("a", "b", "c")));
        assertEquals(-1, leaderTerm.commitIndex());
        assertEquals(11, leaderTerm.appended());
        leaderTerm.acknowledged("b", 10);
        assertEquals(10, leaderTerm.commitIndex());
        leaderTerm.acknowledged("c", 11);
        assertEquals(11, leaderTerm.commitIndex());
        leaderTerm.acknowledgementLost("c");
        assertEquals(-1, leaderTerm.replicationLag("c"));
        assertEquals(1, leaderTerm.replicationLag("b"));
        // An index that was never written is ignored.
        leaderTerm.acknowledged("b", 99);
        assertEquals(10, leaderTerm.commitIndex());
        leaderTerm.acknowledged("b", 11);
        leaderTerm.appended();
        leaderTerm.replicaSetChanged(leaderTerm.replicaSet().withMember("d"));
        assertFalse(leaderTerm.isReplicaSetCommitted());
        assertThrows(
                IllegalStateException.class,
                () -> leaderTerm.replicaSetChanged(leaderTerm.replicaSet().withoutMember("c")));
        leaderTerm.acknowledged("b", 12);
        assertFalse(leaderTerm.isReplicaSetCommitted());
        leaderTerm.acknowledged("d", 12);
        assertTrue(leaderTerm.isReplicaSetCommitted());
        leaderTerm.end();
        assertEquals(-1, leaderTerm.commitIndex());
    }

    @Test
    void candidacyIsWonByQuorumAndLostWhenNoneIsPossible() {
        ReplicaState ownState =
                new ReplicaState(2, "b", new LogPosition(1, 7)).onVoteRequest(3, "a", new LogPosition(1, 7));
        Candidacy candidacy = new Candidacy("a", new ReplicaSet(0, List.of("a", "b", "c")), ownState);
        assertEquals(Set.of("b", "c"), candidacy.pendingVoters());
        candidacy.onVote("x", 3, true, 3);
        candidacy.onVote("b", 2, true, 3);
        assertFalse(candidacy.hasWon());
        candidacy.onVote("b", 3, false, 8);
        assertFalse(candidacy.hasLost());
        candidacy.onVote("c", 3, false, 3);
        assertTrue(candidacy.hasLost());
        assertEquals(9, candidacy.nextTerm());
        assertThrows(IllegalArgumentException.class, () -> new Candidacy("c", candidacy.replicaSet(), ownState));
    }
}
