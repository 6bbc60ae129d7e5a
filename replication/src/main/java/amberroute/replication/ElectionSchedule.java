package amberroute.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/** When to stand for election, and who is to have replicas. Neither matters for safety: a wrong answer costs time or work. Stateless. */
public final class ElectionSchedule {
    /**
     * What a replica sees of a journal's owner.
     *
     * @param isSelf it is this daemon, whose process was restarted
     * @param hasFailed membership takes it for failed
     * @param silentNanos how long nothing was heard of the journal
     */
    public record OwnerObservation(boolean isSelf, boolean hasFailed, long silentNanos) {}

    private ElectionSchedule() {}

    /**
     * Whether to ask the replica set for the next term.
     *
     * @param failedSilenceNanos how long nothing has to be heard of the journal from an owner that is taken for failed
     * @param aliveSilenceNanos the same of one that is not: a process that lost its folder is alive and owns nothing
     */
    public static boolean shouldStartElection(
            OwnerObservation observation, long failedSilenceNanos, long aliveSilenceNanos) {
        return observation.isSelf()
                || observation.hasFailed() && observation.silentNanos() >= failedSilenceNanos
                || observation.silentNanos() >= aliveSilenceNanos;
    }

    /**
     * The owner and so many less one others: those behind it in the order of names, so that each has about as many replicas,
     * and as far as there are any each in a zone that has none yet. Fewer where there are no more.
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

    /** The others in the order of names, beginning behind this one. */
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
