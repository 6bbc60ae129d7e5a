package amberroute.quota;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.MembershipView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * The slow-start limits of all destinations of one sender. Takes local observations and the reports of peers, and returns the limits that
 * have changed. At most {@value #MAX_DESTINATIONS} destinations are tracked; any others have no limit. Not thread-safe.
 */
public final class SlowStartLimits {
    static final int MAX_DESTINATIONS = 1_024;
    /** Smaller relative changes of a rate are not returned. */
    private static final double MIN_RATE_CHANGE_RATIO = 0.02;

    /** The settings of the fleet; {@code senderIndex}, from 0, is the position of this sender in it. */
    public record FleetParameters(int senderCount, int senderIndex, long leaseMicros, SlowStartLimit.Rules rules) {}

    /**
     * A new rate limit of a destination.
     *
     * @param perSecond messages per second, infinite for no limit
     * @param initialCredit part of the credit for one message that is available at once, 0 to 1
     * @param recoveredElsewhere whether the destination has recovered for another sender
     */
    public record RateLimit(int destination, double perSecond, double initialCredit, boolean recoveredElsewhere) {}

    private final FleetParameters fleet;
    private final long firstRequestNumber;
    private final long quietUntilMicros;
    private final Map<Integer, SlowStartLimit> limits = new LinkedHashMap<>();
    private final Map<Integer, Double> lastRateByDestination = new HashMap<>();
    private int updateOffset;

    /** {@code firstRequestNumber} must exceed every request number of an earlier process, such as wall-clock microseconds. */
    public SlowStartLimits(long now, FleetParameters fleet, long firstRequestNumber) {
        this.fleet = fleet;
        this.firstRequestNumber = firstRequestNumber;
        quietUntilMicros = now + QuotaShare.quietPeriodMicros(fleet.leaseMicros());
    }

    /** Returns null for a new destination if {@link #MAX_DESTINATIONS} are tracked already. */
    private SlowStartLimit limitFor(long now, int destination) {
        SlowStartLimit limit = limits.get(destination);
        if (limit == null && limits.size() < MAX_DESTINATIONS) {
            boolean restarted = now < quietUntilMicros;
            limit = new SlowStartLimit(
                    destination,
                    fleet.rules(),
                    new QuotaShare(now, firstRequestNumber, fleet.senderCount(), fleet.leaseMicros(), restarted),
                    fleet.leaseMicros());
            limits.put(destination, limit);
        }
        return limit;
    }

    /** Adds a destination; returns its limit if it is new, else null. Must be called before the first call to the destination. */
    public RateLimit onDestinationListed(long now, int destination) {
        boolean isNew = !limits.containsKey(destination);
        SlowStartLimit limit = limitFor(now, destination);
        return isNew && limit != null ? currentLimit(now, destination, limit, false) : null;
    }

    /** Counts a delivered message; returns true if the health changed, so that peers should be told at once. */
    public boolean onSuccess(long now, int destination) {
        SlowStartLimit limit = limitFor(now, destination);
        if (limit == null) {
            return false;
        }
        Health healthBefore = limit.localHealth();
        limit.onSuccess(now);
        return limit.localHealth() != healthBefore;
    }

    /** Handles a health change that the decision module detected; {@code sinceMicros} is the time of the change. */
    public void onHealthChanged(long now, int destination, Health health, long sinceMicros) {
        SlowStartLimit limit = limitFor(now, destination);
        if (limit != null) {
            limit.onHealthChanged(now, health, sinceMicros);
        }
    }

    /** Handles a peer's updates; returns the limits of destinations that recovered for the peer and are unavailable for this sender. */
    public List<RateLimit> onPeerUpdates(long now, String peer, List<Heartbeat.SlowStartUpdate> updates) {
        List<RateLimit> recovered = new ArrayList<>();
        for (Heartbeat.SlowStartUpdate update : updates) {
            SlowStartLimit limit = limitFor(now, update.destination());
            if (limit != null && limit.onPeerUpdate(now, peer, update)) {
                recovered.add(currentLimit(now, update.destination(), limit, true));
            }
        }
        return recovered;
    }

    /** Handles a peer's loan requests and grants; returns the answers to the requests. */
    public List<Heartbeat.QuotaLoan> onLoans(long now, String peer, List<Heartbeat.QuotaLoan> loans) {
        List<Heartbeat.QuotaLoan> answers = new ArrayList<>();
        for (Heartbeat.QuotaLoan loan : loans) {
            SlowStartLimit limit = limits.get(loan.destination());
            if (limit == null) {
                continue;
            }
            if (loan.granted()) {
                limit.onLoanGrant(now, peer, loan);
            } else {
                answers.add(limit.onLoanRequest(now, peer, loan));
            }
        }
        return answers;
    }

    /** Returns the limits that have changed; to be called often. {@code pendingMessages} returns the pending messages of a destination. */
    public List<RateLimit> changedLimits(long now, IntToDoubleFunction pendingMessages) {
        List<RateLimit> changed = new ArrayList<>();
        limits.forEach((destination, limit) -> {
            limit.setPendingMessages(pendingMessages.applyAsDouble(destination));
            limit.updatedPeak(now);
            double rate = limit.ownPerSecond(now);
            double previousRate = lastRateByDestination.getOrDefault(destination, Double.POSITIVE_INFINITY);
            boolean similar = !Double.isInfinite(previousRate)
                    && Math.abs(rate - previousRate) < MIN_RATE_CHANGE_RATIO * previousRate;
            if (rate != previousRate && !similar) {
                changed.add(currentLimit(now, destination, limit, false));
            }
        });
        return changed;
    }

    private RateLimit currentLimit(long now, int destination, SlowStartLimit limit, boolean recoveredElsewhere) {
        double rate = limit.ownPerSecond(now);
        lastRateByDestination.put(destination, rate);
        // Spreads the first messages of senders that start at the same time.
        double initialCredit = (double) fleet.senderIndex() / fleet.senderCount();
        return new RateLimit(destination, rate, initialCredit, recoveredElsewhere);
    }

    /** The loan requests for limited destinations, by peer. */
    public Map<String, List<Heartbeat.QuotaLoan>> loanRequests(long now, MembershipView view) {
        List<String> alivePeers = view.members(now).stream()
                .filter(MembershipView.Member::alive)
                .map(MembershipView.Member::name)
                .toList();
        Map<String, List<Heartbeat.QuotaLoan>> requestsByPeer = new LinkedHashMap<>();
        limits.forEach((destination, limit) -> {
            for (SlowStartLimit.LoanRequest request : limit.loanRequests(now, alivePeers)) {
                List<Heartbeat.QuotaLoan> requests =
                        requestsByPeer.computeIfAbsent(request.peer(), peer -> new ArrayList<>());
                if (requests.size() < Heartbeat.MAX_LOANS) {
                    requests.add(request.loan());
                }
            }
        });
        return requestsByPeer;
    }

    /** The updates for the next heartbeat: destinations that are unavailable or warm up first, the others in rotation. */
    public List<Heartbeat.SlowStartUpdate> currentUpdates(long now) {
        List<Map.Entry<Integer, SlowStartLimit>> entries = new ArrayList<>(limits.entrySet());
        if (entries.size() > Heartbeat.MAX_UPDATES) {
            updateOffset = (updateOffset + Heartbeat.MAX_UPDATES / 2) % entries.size();
            List<Map.Entry<Integer, SlowStartLimit>> rotated =
                    new ArrayList<>(entries.subList(updateOffset, entries.size()));
            rotated.addAll(entries.subList(0, updateOffset));
            rotated.sort(Comparator.comparing(entry -> isUrgent(entry.getValue()) ? 0 : 1));
            entries = rotated;
        }
        return entries.stream()
                .limit(Heartbeat.MAX_UPDATES)
                .map(entry -> entry.getValue().currentUpdate(now))
                .toList();
    }

    private static boolean isUrgent(SlowStartLimit limit) {
        return limit.localHealth() == Health.UNAVAILABLE || limit.localHealth() == Health.SLOW_START;
    }

    /** Number of destinations that have a limit now. */
    public int limitedCount(long now) {
        return (int)
                limits.values().stream().filter(limit -> limit.isLimited(now)).count();
    }
}
