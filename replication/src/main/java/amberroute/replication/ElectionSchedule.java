package amberroute.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/** When to try for an estate, and who is to hold one. None of it matters for safety: a wrong answer costs time or work. */
public final class ElectionSchedule {
    /**
     * What a holder sees of an estate's owner: whether that is itself (its process was restarted), whether membership takes
     * it for gone, and how long nothing was heard of the estate.
     */
    public record OwnerObservation(boolean isSelf, boolean hasFailed, long silentNanos) {}

    private ElectionSchedule() {}

    /**
     * Whether to ask the group for the next term. {@code quiet} is how long nothing has to be heard of the estate from an owner that
     * is taken for gone, {@code longer} from one that is not: a process that lost its folder is there and owns nothing.
     */
    public static boolean shouldStartElection(OwnerObservation seen, long quiet, long longer) {
        return seen.isSelf() || seen.hasFailed() && seen.silentNanos() >= quiet || seen.silentNanos() >= longer;
    }

    /**
     * The owner and so many less one others: those behind it in the order of names, so that each holds for about as many,
     * and as far as there are any each in a zone that has none yet. Fewer where there are no more.
     */
    public static List<String> chooseReplicas(
            String self, String zone, int size, List<String> others, UnaryOperator<String> zones) {
        List<String> ring = new ArrayList<>(others);
        ring.remove(self);
        ring.sort((a, b) -> {
            boolean behindA = a.compareTo(self) > 0;
            boolean behindB = b.compareTo(self) > 0;
            return behindA == behindB ? a.compareTo(b) : behindA ? -1 : 1;
        });
        List<String> out = new ArrayList<>(List.of(self));
        Set<String> taken = new HashSet<>(Set.of(zone));
        for (String name : ring) {
            if (out.size() < size && taken.add(zones.apply(name))) {
                out.add(name);
            }
        }
        for (String name : ring) {
            if (out.size() < size && !out.contains(name)) {
                out.add(name);
            }
        }
        return out;
    }
}
