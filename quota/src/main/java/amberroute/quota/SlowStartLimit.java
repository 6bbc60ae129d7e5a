package amberroute.quota;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.Heartbeat.SlowStartUpdate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this daemon may send to one destination: nothing limits that while the destination is healthy; while it is unavailable, warms up, or
 * nothing is known of it, all daemons together have a limit, of which this one has its {@link QuotaShare}.
 *
 * <p><b>Whether there is a limit.</b> By what the decision module saw here, and by what peers say: a destination that recovered
 * for any of them warms up for all, so that one half-open trial serves everybody. A peer's update is ignored where this
 * daemon itself was answered during the outage that it tells of: then the way there was broken, not the destination. A daemon
 * that has just started knows nothing of a destination; if a peer is answered by it, it is healthy, else it warms up from
 * its first answer.
 *
 * <p><b>How much.</b> The rule: more than {@code overloadMultiple} times what the destination can do now, kept up for {@code
 * overloadWindowMicros}, overloads it; it starts with {@code initialFraction} of its capacity and is warm after {@code warmUpMicros}. What it
 * can do when warm is taken from the peak that all daemons were answered at one time; what it can do now is at least what it answers now.
 * With neither, all daemons together begin with {@code initialPerSecond} messages a second.
 *
 * <p>Times are microseconds on the daemon's monotonic clock. At most {@value #MAX_PEERS} peers count. Not thread-safe.
 */
public final class SlowStartLimit {
    /** Used of the permitted multiple of the warm capacity: endpoints do not get even shares. */
    public static final double KNOWN_CAPACITY_RATIO = 0.85;
    /** Used of the permitted multiple of what it answers now, which averages over a while that is past. */
    public static final double OBSERVED_RATE_RATIO = 0.9;
    /** Daemons send evenly but independently: so many standard deviations in a window are allowed for. */
    private static final double ALLOWED_DEVIATIONS = 1;
    /** A peer's report counts for so long. */
    static final long REPORT_LIFE_MICROS = 1_500_000;
    /** A destination that answered a peer within this is healthy, if the peer says so. */
    static final long RECENT_SUCCESS_MICROS = 5_000_000;
    /** The peak loses half of its weight in this time, as destinations change. */
    static final double PEAK_HALF_LIFE_MICROS = 600e6;

    private static final double SMOOTHING_MICROS = 4e6;
    private static final double SERVED_WINDOW_MICROS = 1e6;
    private static final double LONG_SERVED_WINDOW_MICROS = 8e6;
    /** What is pending is to be sent within this, for how much of the limit this daemon wants. */
    private static final double QUEUE_DRAIN_MICROS = 1e6;
    /** Successes are remembered by slots of this length, for so many of them. */
    private static final long SLOT_MICROS = 250_000;

    private static final int SLOTS = 256;
    /** The first and the last slots of an outage are uncertain. */
    private static final int UNCERTAIN_SLOTS = 2;

    static final int MAX_PEERS = 4_096;
    private static final long NEVER = -1;
    private static final long NO_LIMIT = -1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    /**
     * The parameters of the rule, from the settings.
     *
     * @param initialFraction of its capacity that a destination has when it recovers
     * @param warmUpMicros until it has all of it
     * @param overloadMultiple of its capacity that overloads it
     * @param overloadWindowMicros for which that has to be kept up
     * @param initialPerSecond messages a second that all daemons together send to a destination of which nothing is known
     */
    public record Rules(
            double initialFraction,
            long warmUpMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            double initialPerSecond) {}

    /** A request to a peer. */
    public record LoanRequest(String peer, Heartbeat.QuotaLoan loan) {}

    private record PeerReport(SlowStartUpdate update, long atMicros) {
        boolean isFresh(long now) {
            return now - atMicros < REPORT_LIFE_MICROS;
        }

        /** The moment of an age that the report has. */
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

    // ---- What is seen here. ----

    /** A message was delivered. */
    void onSuccess(long now) {
        rememberSuccess(now);
        if (localHealth == Health.NEW) {
            // It warms up from now, unless peers know better.
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

    /** What the decision module has found: an outage or its end, since when. */
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

    // ---- What peers say. ----

    /** True where a peer was just answered by a destination that is unavailable for this daemon. */
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

    /** Since when it warms up as peers say, -1 where none says so against what was seen here. */
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

    /** Whether this daemon was answered in an outage that another tells of. */
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

    /** Since when it warms up; {@code now} while it has not recovered, -1 where there is no limit. */
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

    /** Whether there is a limit now. */
    boolean isLimited(long now) {
        return warmUpStart(now) >= 0;
    }

    /** What all daemons together may send now, in messages a second; infinite without a limit. */
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
     * The even flow that stays under a rate with chance allowed for: m messages in a window, from daemons that do not know
     * of one another's, are m and some square roots of m now and then.
     */
    private double steadyRateBelow(double perSecond) {
        double windowSeconds = rules.overloadWindowMicros() / MICROS_PER_SECOND;
        double root = (Math.sqrt(ALLOWED_DEVIATIONS * ALLOWED_DEVIATIONS + 4 * perSecond * windowSeconds)
                        - ALLOWED_DEVIATIONS)
                / 2;
        return root * root / windowSeconds;
    }

    /** This daemon's share of it. */
    double ownPerSecond(long now) {
        double fleetPerSecond = fleetPerSecond(now);
        return Double.isInfinite(fleetPerSecond) ? fleetPerSecond : lending.usableFraction(now) * fleetPerSecond;
    }

    /** Answered a second, here as this rate has it and at all peers that report it. */
    private double servedByFleet(long now, DecayingRate localServed) {
        double sum = localServed.perSecond(now);
        for (PeerReport report : reportByPeer.values()) {
            sum += report.isFresh(now) ? report.update().servedPerSecond() : 0;
        }
        return sum;
    }

    /** The most that was answered at one time, as far as any daemon remembers; short peaks count for little. */
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

    // ---- Lending. ----

    /** The fraction of the whole that this daemon has use for. */
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

    /** Requests to peers that are alive and seem to have quota to spare. */
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

    /** A peer asks: its answer. A daemon without a limit uses its share itself. */
    Heartbeat.QuotaLoan onLoanRequest(long now, String peer, Heartbeat.QuotaLoan loan) {
        float lent = lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction(now));
        return new Heartbeat.QuotaLoan(true, destination, loan.requestNumber(), lent);
    }

    void onLoanGrant(long now, String peer, Heartbeat.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }

    // ---- What is said to peers. ----

    SlowStartUpdate currentUpdate(long now) {
        // Notices the end of the warm-up.
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
