package amberroute.quota;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.Heartbeat.SlowStartUpdate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rate limit of this sender for one destination. A healthy destination has no limit. While the destination is unavailable, warms up, or
 * nothing is known of it, the fleet as a whole has a limit, and this sender may use its {@link QuotaShare} of it.
 *
 * <p><b>Whether there is a limit</b> follows from what the decision module of this sender observed and from what peers report. A destination
 * that recovered for any sender warms up for all of them, so the fleet needs only one half-open trial. A peer's report of an outage is
 * ignored if this sender had successes during that outage: then the network path from the peer failed, not the destination. A sender that
 * has just started knows nothing of a destination; if it is healthy for a peer, it counts as healthy, else it warms up from its first success.
 *
 * <p><b>How high it is.</b> A destination is overloaded by more than {@code overloadMultiple} times its current capacity for {@code
 * overloadWindowMicros}. Its capacity starts at {@code initialFraction} of the full one and is full after {@code warmUpMicros}. The full
 * capacity is taken from the peak of the rate that it served to all senders; its current capacity is at least the rate that it serves now.
 * If neither is known, the fleet starts with {@code initialPerSecond} messages per second.
 *
 * <p>Times are microseconds on the sender's monotonic clock. At most {@value #MAX_PEERS} peers are tracked. Not thread-safe.
 */
public final class SlowStartLimit {
    /** Part used of the permitted multiple of the known capacity; a margin, as endpoints do not get equal shares of the load. */
    public static final double KNOWN_CAPACITY_RATIO = 0.85;
    /** Part used of the permitted multiple of the served rate; a margin, as that rate is an average over the recent past. */
    public static final double OBSERVED_RATE_RATIO = 0.9;
    /** Standard deviations of the messages in a window that the limit allows for: senders send evenly, but independently. */
    private static final double ALLOWED_DEVIATIONS = 1;
    /** How long a peer's report is valid. */
    static final long REPORT_LIFE_MICROS = 1_500_000;
    /** A destination that a peer reports as healthy is taken as healthy if it served the peer within this time. */
    static final long RECENT_SUCCESS_MICROS = 5_000_000;
    /** Time in which the remembered peak decays by half, as the capacity of a destination may change. */
    static final double PEAK_HALF_LIFE_MICROS = 600e6;

    private static final double SMOOTHING_MICROS = 4e6;
    private static final double SERVED_WINDOW_MICROS = 1e6;
    private static final double LONG_SERVED_WINDOW_MICROS = 8e6;
    /** Time in which the pending messages are to be sent; determines the part of the limit that this sender requests. */
    private static final double QUEUE_DRAIN_MICROS = 1e6;
    /** Successes are remembered by time slot, for the last {@link #SLOTS} slots of this length. */
    private static final long SLOT_MICROS = 250_000;

    private static final int SLOTS = 256;
    /** Slots at each end of an outage that are left out, as the times of its start and end are not exact. */
    private static final int UNCERTAIN_SLOTS = 2;

    static final int MAX_PEERS = 4_096;
    private static final long NEVER = -1;
    private static final long NO_LIMIT = -1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    /**
     * The configured parameters of slow start.
     *
     * @param initialFraction part of its full capacity that a destination has when it recovers
     * @param warmUpMicros time from the recovery to the full capacity
     * @param overloadMultiple multiple of the current capacity that overloads a destination
     * @param overloadWindowMicros time for which such a load has to last to overload it
     * @param initialPerSecond messages per second that the fleet sends to a destination of unknown capacity
     */
    public record Rules(
            double initialFraction,
            long warmUpMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            double initialPerSecond) {}

    /** A loan request to a peer. */
    public record LoanRequest(String peer, Heartbeat.QuotaLoan loan) {}

    private record PeerReport(SlowStartUpdate update, long atMicros) {
        boolean isFresh(long now) {
            return now - atMicros < REPORT_LIFE_MICROS;
        }

        /** Converts an age in the report to a time on the local clock, {@link #NEVER} for a negative age. */
        long timeAtAge(int ageMillis) {
            return ageMillis < 0 ? NEVER : atMicros - ageMillis * MICROS_PER_MILLISECOND;
        }
    }

    private final int destination;
    private final Rules rules;
    private final QuotaLending lending;
    private final DecayingRate served = new DecayingRate(SERVED_WINDOW_MICROS);
    private final DecayingRate longWindowServed = new DecayingRate(LONG_SERVED_WINDOW_MICROS);
    private final Map<String, PeerReport> reportByPeer = new HashMap<>();
    private final boolean[] successSlots = new boolean[SLOTS];
    private long latestSlot = Long.MIN_VALUE;
    private Health localHealth = Health.NEW;
    private long outageAtMicros = NEVER;
    private long recoveryAtMicros = NEVER;
    private long successAtMicros = NEVER;
    private double peakPerSecond;
    private long peakAtMicros;
    private double smoothedPerSecond;
    private long smoothedAtMicros;
    private double pendingMessages;

    SlowStartLimit(int destination, Rules rules, QuotaShare share, long leaseMicros) {
        this.destination = destination;
        this.rules = rules;
        lending = new QuotaLending(share, leaseMicros / 2);
    }

    // ---- Local observations. ----

    /** A message was delivered. */
    void onSuccess(long now) {
        rememberSuccess(now);
        if (localHealth == Health.NEW) {
            // It warms up from now, unless peers report a warm-up that has begun or a healthy destination.
            long recoveryMicros = warmUpStartFromPeers(now);
            localHealth = isHealthyForAnyPeer(now) ? Health.HEALTHY : Health.SLOW_START;
            recoveryAtMicros = recoveryMicros >= 0 ? recoveryMicros : now;
        }
        successAtMicros = now;
        served.add(now, 1);
        longWindowServed.add(now, 1);
    }

    private void rememberSuccess(long now) {
        long slot = Math.floorDiv(now, SLOT_MICROS);
        for (long clearedSlot = Math.max(latestSlot + 1, slot - SLOTS + 1); clearedSlot <= slot; clearedSlot++) {
            successSlots[Math.floorMod(clearedSlot, SLOTS)] = false;
        }
        latestSlot = Math.max(latestSlot, slot);
        successSlots[Math.floorMod(slot, SLOTS)] = true;
    }

    /** Handles the start or end of an outage that the decision module detected; {@code sinceMicros} is the time of the change. */
    void onHealthChanged(long now, Health health, long sinceMicros) {
        if (health == Health.UNAVAILABLE) {
            outageAtMicros = sinceMicros;
        } else if (health == Health.SLOW_START) {
            outageAtMicros = localHealth == Health.UNAVAILABLE ? outageAtMicros : sinceMicros;
            recoveryAtMicros = sinceMicros;
        }
        localHealth = health;
    }

    void setPendingMessages(double messages) {
        pendingMessages = messages;
    }

    // ---- Reports of peers. ----

    /**
     * Returns true if a destination that is unavailable for this sender has served the peer after the start of the outage, and the peer
     * reports it as healthy or in slow start. Returns false if the peer's previous report is still valid and has the same health.
     */
    boolean onPeerUpdate(long now, String peer, SlowStartUpdate update) {
        if (!reportByPeer.containsKey(peer) && reportByPeer.size() >= MAX_PEERS) {
            return false;
        }
        PeerReport previousReport = reportByPeer.put(peer, new PeerReport(update, now));
        boolean available = update.health() == Health.HEALTHY || update.health() == Health.SLOW_START;
        boolean unchanged = previousReport != null
                && previousReport.isFresh(now)
                && previousReport.update().health() == update.health();
        return localHealth == Health.UNAVAILABLE
                && available
                && !unchanged
                && update.successAgoMillis() >= 0
                && now - update.successAgoMillis() * MICROS_PER_MILLISECOND > outageAtMicros;
    }

    private boolean isHealthyForAnyPeer(long now) {
        return reportByPeer.values().stream()
                .anyMatch(report -> report.isFresh(now)
                        && report.update().health() == Health.HEALTHY
                        && report.update().successAgoMillis() >= 0
                        && now - report.timeAtAge(report.update().successAgoMillis()) < RECENT_SUCCESS_MICROS);
    }

    /** Latest start of a warm-up that a peer reports, -1 for none; reports that contradict local successes do not count. */
    private long warmUpStartFromPeers(long now) {
        long latestMicros = NEVER;
        for (PeerReport report : reportByPeer.values()) {
            long recoveryMicros = report.timeAtAge(report.update().recoveryAgoMillis());
            if (report.isFresh(now)
                    && report.update().health() == Health.SLOW_START
                    && recoveryMicros >= 0
                    && now - recoveryMicros < rules.warmUpMicros()
                    && !hadSuccessBetween(report.timeAtAge(report.update().outageAgoMillis()), recoveryMicros)) {
                latestMicros = Math.max(latestMicros, recoveryMicros);
            }
        }
        return latestMicros;
    }

    /** Whether this sender had a success during an outage that a peer reports. */
    private boolean hadSuccessBetween(long outageMicros, long recoveryMicros) {
        if (outageMicros < 0 || latestSlot == Long.MIN_VALUE) {
            return false;
        }
        long first = Math.max(Math.floorDiv(outageMicros, SLOT_MICROS) + UNCERTAIN_SLOTS, latestSlot - SLOTS + 1);
        long last = Math.min(Math.floorDiv(recoveryMicros, SLOT_MICROS) - UNCERTAIN_SLOTS, latestSlot);
        for (long slot = first; slot <= last; slot++) {
            if (successSlots[Math.floorMod(slot, SLOTS)]) {
                return true;
            }
        }
        return false;
    }

    // ---- The limit. ----

    /** Start of the warm-up; {@code now} while the destination has not recovered, -1 if there is no limit. */
    private long warmUpStart(long now) {
        if (localHealth == Health.SLOW_START && now - recoveryAtMicros >= rules.warmUpMicros()) {
            localHealth = Health.HEALTHY;
        }
        long peerWarmUpStartMicros = warmUpStartFromPeers(now);
        return switch (localHealth) {
            case UNAVAILABLE -> now;
            case NEW -> isHealthyForAnyPeer(now) ? NO_LIMIT : peerWarmUpStartMicros >= 0 ? peerWarmUpStartMicros : now;
            case SLOW_START -> Math.max(recoveryAtMicros, peerWarmUpStartMicros);
            case HEALTHY -> peerWarmUpStartMicros;
        };
    }

    /** Whether the destination has a limit now. */
    boolean isLimited(long now) {
        return warmUpStart(now) >= 0;
    }

    /** The limit of the whole fleet in messages per second; infinite if there is none. */
    double fleetPerSecond(long now) {
        long startMicros = warmUpStart(now);
        if (startMicros < 0) {
            return Double.POSITIVE_INFINITY;
        }
        double progress = Math.min(1, (double) (now - startMicros) / Math.max(1, rules.warmUpMicros()));
        double capacityFraction = rules.initialFraction() + (1 - rules.initialFraction()) * progress;
        double limitFromPeak = KNOWN_CAPACITY_RATIO * rules.overloadMultiple() * capacityFraction * updatedPeak(now);
        double limitFromServedRate = OBSERVED_RATE_RATIO * rules.overloadMultiple() * servedByFleet(now, served);
        return Math.max(rules.initialPerSecond(), steadyRateBelow(Math.max(limitFromPeak, limitFromServedRate)));
    }

    /**
     * The steady rate whose random peaks stay below the given rate. Senders do not coordinate the times of their calls, so a window with an
     * expected m messages may hold m plus {@link #ALLOWED_DEVIATIONS} times the square root of m.
     */
    private double steadyRateBelow(double perSecond) {
        double windowSeconds = rules.overloadWindowMicros() / MICROS_PER_SECOND;
        double root = (Math.sqrt(ALLOWED_DEVIATIONS * ALLOWED_DEVIATIONS + 4 * perSecond * windowSeconds)
                        - ALLOWED_DEVIATIONS)
                / 2;
        return root * root / windowSeconds;
    }

    /** This sender's share of the limit, in messages per second. */
    double ownPerSecond(long now) {
        double fleetPerSecond = fleetPerSecond(now);
        return Double.isInfinite(fleetPerSecond) ? fleetPerSecond : lending.usableFraction(now) * fleetPerSecond;
    }

    /** Messages per second that the destination serves, by the given local rate and the valid reports of peers. */
    private double servedByFleet(long now, DecayingRate localServed) {
        double sum = localServed.perSecond(now);
        for (PeerReport report : reportByPeer.values()) {
            sum += report.isFresh(now) ? report.update().servedPerSecond() : 0;
        }
        return sum;
    }

    /** Updates and returns the highest served rate of the fleet that any sender remembers; smoothing keeps short peaks out. */
    double updatedPeak(long now) {
        double peakOfPeers = 0;
        for (PeerReport report : reportByPeer.values()) {
            peakOfPeers =
                    report.isFresh(now) ? Math.max(peakOfPeers, report.update().peakPerSecond()) : peakOfPeers;
        }
        smoothedPerSecond += (servedByFleet(now, longWindowServed) - smoothedPerSecond)
                * -Math.expm1((smoothedAtMicros - now) / SMOOTHING_MICROS);
        smoothedAtMicros = now;
        double decayedPeak = peakPerSecond * Math.pow(0.5, (now - peakAtMicros) / PEAK_HALF_LIFE_MICROS);
        peakPerSecond = Math.max(decayedPeak, Math.max(smoothedPerSecond, peakOfPeers));
        peakAtMicros = now;
        return peakPerSecond;
    }

    // ---- Quota lending. ----

    /** The fraction of the limit that this sender needs. */
    private double neededFraction(long now) {
        double fleetPerSecond = fleetPerSecond(now);
        if (Double.isInfinite(fleetPerSecond)) {
            return 1;
        }
        return Math.min(1, neededPerSecond(pendingMessages, served.perSecond(now)) / fleetPerSecond);
    }

    private static double neededPerSecond(double pendingMessages, double servedPerSecond) {
        return pendingMessages * MICROS_PER_SECOND / QUEUE_DRAIN_MICROS + servedPerSecond;
    }

    /** Loan requests to peers that are alive and, by their reports, need less than they own. */
    List<LoanRequest> loanRequests(long now, List<String> alivePeers) {
        double missingFraction = isLimited(now) ? neededFraction(now) - lending.usableFraction(now) : 0;
        if (missingFraction <= 0) {
            return List.of();
        }
        double fleetPerSecond = fleetPerSecond(now);
        List<String> lenders = alivePeers.stream()
                .filter(peer -> hasQuotaToSpare(reportByPeer.get(peer), fleetPerSecond))
                .toList();
        return lending.requestLoans(now, missingFraction, lenders).stream()
                .map(request -> new LoanRequest(
                        request.peer(),
                        new Heartbeat.QuotaLoan(false, destination, request.requestNumber(), request.fraction())))
                .toList();
    }

    private boolean hasQuotaToSpare(PeerReport report, double fleetPerSecond) {
        double usedFraction = report == null
                ? 0
                : neededPerSecond(
                                report.update().pendingMessages(),
                                report.update().servedPerSecond())
                        / fleetPerSecond;
        return usedFraction < lending.ownFraction();
    }

    /** Answers a peer's loan request. A sender that sees no limit needs its whole share itself and lends nothing. */
    Heartbeat.QuotaLoan onLoanRequest(long now, String peer, Heartbeat.QuotaLoan loan) {
        float lent = lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction(now));
        return new Heartbeat.QuotaLoan(true, destination, loan.requestNumber(), lent);
    }

    void onLoanGrant(long now, String peer, Heartbeat.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }

    // ---- Reports to peers. ----

    SlowStartUpdate currentUpdate(long now) {
        // Updates the local health if the warm-up has ended.
        warmUpStart(now);
        boolean hasRecovered = localHealth == Health.SLOW_START || localHealth == Health.HEALTHY;
        return new SlowStartUpdate(
                destination,
                localHealth,
                millisSince(now, outageAtMicros),
                millisSince(now, hasRecovered ? recoveryAtMicros : NEVER),
                millisSince(now, successAtMicros),
                (float) served.perSecond(now),
                (float) updatedPeak(now),
                (float) pendingMessages);
    }

    private static int millisSince(long now, long timeMicros) {
        if (timeMicros < 0) {
            return -1;
        }
        long millis = (now - timeMicros) / MICROS_PER_MILLISECOND;
        return (int) Math.max(0, Math.min(Heartbeat.MAX_AGE_MILLIS, millis));
    }

    Health localHealth() {
        return localHealth;
    }

    long successAtMicros() {
        return successAtMicros;
    }
}
