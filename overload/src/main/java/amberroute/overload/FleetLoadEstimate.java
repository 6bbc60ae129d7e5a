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
    static final long FRESH = 2_000_000;

    private record ReceivedReport(long at, DestinationLoad load) {}

    private static final class Peer {
        long incarnation = -1;
        long number = -1;
        long heardAt = Long.MIN_VALUE;
        final Map<Integer, ReceivedReport> loads = new HashMap<>();
    }

    private final Map<String, Peer> peers = new HashMap<>();
    /** The chance that a peer that is there was heard while a digest counts. */
    private final double chance;

    /** {@code fan} peers are told in each of {@code rounds} while a digest counts. */
    FleetLoadEstimate(List<String> names, int fan, double rounds) {
        names.forEach(name -> peers.put(name, new Peer()));
        chance = names.isEmpty() ? 1 : 1 - Math.pow(1 - Math.min(1, (double) fan / names.size()), rounds);
    }

    /** False for one that is older than what is known, from a stranger, or of an earlier process. */
    boolean heard(long now, LoadReport digest) {
        Peer peer = peers.get(digest.from());
        if (peer == null
                || digest.incarnation() < peer.incarnation
                || digest.incarnation() == peer.incarnation && digest.number() <= peer.number) {
            return false;
        }
        if (digest.incarnation() > peer.incarnation) {
            peer.loads.clear();
        }
        peer.incarnation = digest.incarnation();
        peer.number = digest.number();
        peer.heardAt = now;
        digest.loads().forEach((destination, load) -> {
            if (peer.loads.containsKey(destination) || peer.loads.size() < FleetAdmissionControl.MOST) {
                peer.loads.put(destination, new ReceivedReport(now, load));
            }
        });
        return true;
    }

    /** With this sender's own load. */
    DestinationLoad all(long now, int destination, DestinationLoad own) {
        List<DestinationLoad> heard = new ArrayList<>();
        for (Peer peer : peers.values()) {
            ReceivedReport h = peer.loads.get(destination);
            if (h != null && now - h.at() < FRESH) {
                heard.add(h.load());
            }
        }
        DestinationLoad sum = own;
        for (DestinationLoad load : heard) {
            sum = sum.plus(load, 1 / chance);
        }
        if (heard.size() > 1) {
            // Two cannot tell which of them tells nonsense.
            DestinationLoad all = sum;
            for (DestinationLoad load : heard) {
                DestinationLoad rest = all.plus(load, -1 / chance);
                DestinationLoad most = load.within(rest, chance);
                sum = sum.plus(load, -1 / chance).plus(most, 1 / chance);
            }
        }
        return sum;
    }

    /** Peers that were heard of lately and do less at a destination than this. */
    List<String> below(long now, int destination, double perSecond) {
        List<String> out = new ArrayList<>();
        peers.forEach((name, peer) -> {
            ReceivedReport h = peer.loads.get(destination);
            boolean there = peer.heardAt != Long.MIN_VALUE && now - peer.heardAt < FRESH;
            if (there
                    && (h == null
                            || now - h.at() >= FRESH
                            || h.load().served() + h.load().waiting() < perSecond)) {
                out.add(name);
            }
        });
        return out;
    }

    /** Peers that were heard of lately. */
    int heardOf(long now) {
        return (int) peers.values().stream()
                .filter(p -> p.heardAt != Long.MIN_VALUE && now - p.heardAt < FRESH)
                .count();
    }
}
