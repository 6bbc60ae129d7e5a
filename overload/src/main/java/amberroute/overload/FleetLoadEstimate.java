package amberroute.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What all daemons together have to do with a destination, as far as one of them has heard. In a large fleet each hears only some
 * of the others in the time for which a report counts; those that it heard stand for all by the probability of having been heard, so
 * the estimate is right in the mean, and off by about one part in the root of how many were heard. A daemon that is not alive is
 * heard by nobody and counts for nothing.
 *
 * <p>Invariant: no peer counts for more than all others together, whatever it says: half of the traffic may be at one daemon, and one
 * that reports nonsense can at most double what the fleet believes. Times are microseconds. Not thread-safe.
 */
final class FleetLoadEstimate {
    /** A report counts for so long. */
    static final long REPORT_LIFE_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private record ReceivedReport(long atMicros, DestinationLoad load) {
        boolean isFresh(long now) {
            return now - atMicros < REPORT_LIFE_MICROS;
        }
    }

    private static final class Peer {
        long incarnation = -1;
        long sequence = -1;
        long lastReportAtMicros = NEVER;
        final Map<Integer, ReceivedReport> reportByDestination = new HashMap<>();

        boolean isReachable(long now) {
            return lastReportAtMicros != NEVER && now - lastReportAtMicros < REPORT_LIFE_MICROS;
        }
    }

    private final Map<String, Peer> peers = new HashMap<>();
    /** The probability that a peer that is alive was heard while a report counts. */
    private final double reachProbability;

    /** Each daemon reports to {@code fanOut} peers in each of {@code rounds} while a report counts. */
    FleetLoadEstimate(List<String> names, int fanOut, double rounds) {
        names.forEach(name -> peers.put(name, new Peer()));
        reachProbability = names.isEmpty() ? 1 : 1 - Math.pow(1 - Math.min(1, (double) fanOut / names.size()), rounds);
    }

    /** False for a report that is older than what is known, from a stranger, or of an earlier process. */
    boolean onReport(long now, LoadReport report) {
        Peer peer = peers.get(report.sender());
        if (peer == null
                || report.incarnation() < peer.incarnation
                || report.incarnation() == peer.incarnation && report.sequence() <= peer.sequence) {
            return false;
        }
        if (report.incarnation() > peer.incarnation) {
            peer.reportByDestination.clear();
        }
        peer.incarnation = report.incarnation();
        peer.sequence = report.sequence();
        peer.lastReportAtMicros = now;
        report.loads().forEach((destination, load) -> {
            if (peer.reportByDestination.containsKey(destination)
                    || peer.reportByDestination.size() < FleetAdmissionControl.MAX_DESTINATIONS) {
                peer.reportByDestination.put(destination, new ReceivedReport(now, load));
            }
        });
        return true;
    }

    /** The load of all, with this daemon's own. */
    DestinationLoad fleetLoad(long now, int destination, DestinationLoad localLoad) {
        List<DestinationLoad> reportedLoads = new ArrayList<>();
        for (Peer peer : peers.values()) {
            ReceivedReport report = peer.reportByDestination.get(destination);
            if (report != null && report.isFresh(now)) {
                reportedLoads.add(report.load());
            }
        }
        DestinationLoad sum = localLoad;
        for (DestinationLoad load : reportedLoads) {
            sum = sum.plusScaled(load, 1 / reachProbability);
        }
        // Of two nobody can say which of them reports nonsense.
        return reportedLoads.size() > 1 ? withoutOutliers(sum, reportedLoads) : sum;
    }

    private DestinationLoad withoutOutliers(DestinationLoad totalLoad, List<DestinationLoad> reportedLoads) {
        DestinationLoad sum = totalLoad;
        for (DestinationLoad load : reportedLoads) {
            DestinationLoad others = totalLoad.plusScaled(load, -1 / reachProbability);
            DestinationLoad capped = load.cappedAt(others, reachProbability);
            sum = sum.plusScaled(load, -1 / reachProbability).plusScaled(capped, 1 / reachProbability);
        }
        return sum;
    }

    /** Peers that were heard of lately and do less at a destination than this. */
    List<String> peersWithLoadBelow(long now, int destination, double perSecond) {
        List<String> below = new ArrayList<>();
        peers.forEach((name, peer) -> {
            ReceivedReport report = peer.reportByDestination.get(destination);
            boolean isBelow = report == null
                    || !report.isFresh(now)
                    || report.load().servedPerSecond() + report.load().pendingMessages() < perSecond;
            if (peer.isReachable(now) && isBelow) {
                below.add(name);
            }
        });
        return below;
    }

    /** Peers that were heard of lately. */
    int reachablePeers(long now) {
        return (int)
                peers.values().stream().filter(peer -> peer.isReachable(now)).count();
    }
}
