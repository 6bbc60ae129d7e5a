package amberroute.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Decides when to start an election and which senders become replicas. Neither affects safety: a wrong decision
 * costs only time or work. Stateless.
 */
public final class ElectionSchedule {
    /**
     * What a replica observes of the leader of a journal.
     *
     * @param isSelf whether the leader is this sender itself, after a process restart
     * @param hasFailed whether membership considers the leader failed
     * @param silentNanos time since the last message about the journal
     */
    public record OwnerObservation(boolean isSelf, boolean hasFailed, long silentNanos) {}

    private ElectionSchedule() {}

    /**
     * Whether to start an election for the next term.
     *
     * @param failedSilenceNanos minimum silence of a leader that is considered failed
     * @param aliveSilenceNanos minimum silence of a leader that is not considered failed: a process that lost its
     *     state folder is alive but leads no journal
     */
    public static boolean shouldStartElection(
            OwnerObservation observation, long failedSilenceNanos, long aliveSilenceNanos) {
        return observation.isSelf()
                || observation.hasFailed() && observation.silentNanos() >= failedSilenceNanos
                || observation.silentNanos() >= aliveSilenceNanos;
    }

    /**
     * Returns the leader and up to {@code size - 1} others. The others are chosen in the order of names, starting
     * after the leader, so that each sender holds about the same number of replicas. Senders in zones that have no
     * replica yet come first. Returns fewer if there are not enough senders.
     */
    public static List<String> chooseReplicas(
            String self, String zone, int size, List<String> others, UnaryOperator<String> zoneOf) {
        List<String> ring = ringAfter(self, others);
        List<String> chosen = new ArrayList<>(List.of(self));
        Set<String> zones = new HashSet<>(Set.of(zone));
        for (String name : ring) {
            if (chosen.size() < size && zones.add(zoneOf.apply(name))) {
                chosen.add(name);
            }
        }
        for (String name : ring) {
            if (chosen.size() < size && !chosen.contains(name)) {
                chosen.add(name);
            }
        }
        return chosen;
    }

    /** Returns the others in the order of names, starting after {@code self} and wrapping around. */
    private static List<String> ringAfter(String self, List<String> others) {
        List<String> ring = new ArrayList<>(others);
        ring.remove(self);
        ring.sort((left, right) -> {
            boolean leftIsAfterSelf = left.compareTo(self) > 0;
            boolean rightIsAfterSelf = right.compareTo(self) > 0;
            if (leftIsAfterSelf == rightIsAfterSelf) {
                return left.compareTo(right);
            }
            return leftIsAfterSelf ? -1 : 1;
        });
        return ring;
    }
}
