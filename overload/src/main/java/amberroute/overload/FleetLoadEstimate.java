package amberroute.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the load of the whole fleet for each destination from the reports that one sender received. In a large fleet, a sender
 * receives valid reports from only some of its peers. Each report is scaled by the inverse of the probability that it arrives, so the
 * estimate is unbiased, with a relative error of about one over the square root of the number of reports. A failed sender sends no reports
 * and does not count.
 *
 * <p>Invariant: no peer counts for more than all others together, whatever it reports. One sender may carry half of the traffic, and one that
 * reports wrong values can at most double the estimate. Times are in microseconds. Not thread-safe.
 */
final class FleetLoadEstimate {
    /** How long a report is valid. */
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
    /** Probability that a live peer has a valid report at this sender. */
    private final double reachProbability;

    /** Each sender reports to {@code fanOut} peers in each of the {@code rounds} for which a report is valid. */
    FleetLoadEstimate(List<String> names, int fanOut, double rounds) {
        names.forEach(name -> peers.put(name, new Peer()));
        reachProbability = names.isEmpty() ? 1 : 1 - Math.pow(1 - Math.min(1, (double) fanOut / names.size()), rounds);
    }

    /** Returns false for a report that is not newer than the last one, of an unknown sender, or of an earlier process. */
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

    /** The estimated load of the whole fleet, including this sender's own. */
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
        // With a single report, it cannot be told whether that or the local load is the outlier.
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

    /** Reachable peers whose load at a destination is below {@code perSecond} or unknown. */
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

    /** Number of peers with a valid report. */
    int reachablePeers(long now) {
        return (int)
                peers.values().stream().filter(peer -> peer.isReachable(now)).count();
    }
}
