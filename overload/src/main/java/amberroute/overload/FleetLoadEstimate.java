package amberroute.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What all senders together have to do with a destination, as far as one of them has heard. In a large fleet each hears only some
 * of the others in the time for which a digest counts; those that it heard stand for all by the chance of having been heard, so
 * the estimate is right in the mean, and off by about one part in the root of how many were heard. Whoever is not there is
 * heard by nobody and counts for nothing.
 *
 * <p>No peer counts for more than all others together, whatever it says: half of the traffic may be at one sender, and one
 * that tells nonsense can at most double what the fleet believes.
 */
final class FleetLoadEstimate {
    /** A digest counts for so long, in microseconds. */
    static final long REPORT_LIFE_MICROS = 2_000_000;

    private record ReceivedReport(long atMicros, DestinationLoad load) {}

    private static final class Peer {
        long incarnation = -1;
        long sequence = -1;
        long heardAtMicros = Long.MIN_VALUE;
        final Map<Integer, ReceivedReport> reportByDestination = new HashMap<>();
    }

    private final Map<String, Peer> peers = new HashMap<>();
    /** The chance that a peer that is there was heard while a digest counts. */
    private final double reachProbability;

    /** {@code fan} peers are told in each of {@code rounds} while a digest counts. */
    FleetLoadEstimate(List<String> names, int fan, double rounds) {
        names.forEach(name -> peers.put(name, new Peer()));
        reachProbability = names.isEmpty() ? 1 : 1 - Math.pow(1 - Math.min(1, (double) fan / names.size()), rounds);
    }

    /** False for one that is older than what is known, from a stranger, or of an earlier process. */
    boolean onReport(long now, LoadReport digest) {
        Peer peer = peers.get(digest.sender());
        if (peer == null
                || digest.incarnation() < peer.incarnation
                || digest.incarnation() == peer.incarnation && digest.sequence() <= peer.sequence) {
            return false;
        }
        if (digest.incarnation() > peer.incarnation) {
            peer.reportByDestination.clear();
        }
        peer.incarnation = digest.incarnation();
        peer.sequence = digest.sequence();
        peer.heardAtMicros = now;
        digest.loads().forEach((destination, load) -> {
            if (peer.reportByDestination.containsKey(destination)
                    || peer.reportByDestination.size() < FleetAdmissionControl.MAX_DESTINATIONS) {
                peer.reportByDestination.put(destination, new ReceivedReport(now, load));
            }
        });
        return true;
    }

    /** With this sender's own load. */
    DestinationLoad fleetLoad(long now, int destination, DestinationLoad own) {
        List<DestinationLoad> heard = new ArrayList<>();
        for (Peer peer : peers.values()) {
            ReceivedReport h = peer.reportByDestination.get(destination);
            if (h != null && now - h.atMicros() < REPORT_LIFE_MICROS) {
                heard.add(h.load());
            }
        }
        DestinationLoad sum = own;
        for (DestinationLoad load : heard) {
            sum = sum.plusScaled(load, 1 / reachProbability);
        }
        if (heard.size() > 1) {
            // Two cannot tell which of them tells nonsense.
            DestinationLoad all = sum;
            for (DestinationLoad load : heard) {
                DestinationLoad rest = all.plusScaled(load, -1 / reachProbability);
                DestinationLoad most = load.cappedAt(rest, reachProbability);
                sum = sum.plusScaled(load, -1 / reachProbability).plusScaled(most, 1 / reachProbability);
            }
        }
        return sum;
    }

    /** Peers that were heard of lately and do less at a destination than this. */
    List<String> peersBelow(long now, int destination, double perSecond) {
        List<String> out = new ArrayList<>();
        peers.forEach((name, peer) -> {
            ReceivedReport h = peer.reportByDestination.get(destination);
            boolean there = peer.heardAtMicros != Long.MIN_VALUE && now - peer.heardAtMicros < REPORT_LIFE_MICROS;
            if (there
                    && (h == null
                            || now - h.atMicros() >= REPORT_LIFE_MICROS
                            || h.load().servedPerSecond() + h.load().pendingMessages() < perSecond)) {
                out.add(name);
            }
        });
        return out;
    }

    /** Peers that were heard of lately. */
    int reachablePeers(long now) {
        return (int) peers.values().stream()
                .filter(p -> p.heardAtMicros != Long.MIN_VALUE && now - p.heardAtMicros < REPORT_LIFE_MICROS)
                .count();
    }
}
