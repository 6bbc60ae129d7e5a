package amberroute.quota;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.Heartbeat.SlowStartUpdate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this daemon may give one partner: nothing limits that while the partner is well; while it is out, cold, or nothing
 * is known of it, all daemons together have a limit, of which this one has its {@link QuotaShare}.
 *
 * <p><b>Whether there is a limit.</b> By what the decision module saw here, and by what peers tell: a partner that came
 * back to any of them is cold for all, as news of one trial serves everybody. A peer's word is passed over where this
 * daemon itself was answered during the outage that it tells of: then the way there was broken, not the partner. A daemon
 * that has just started knows nothing of a partner; if a peer is answered by it, it is well, else it counts as cold from
 * its first answer.
 *
 * <p><b>How much.</b> The rule: more than {@code multiple} times what the partner can do now, kept up for {@code window},
 * brings it down; it starts with {@code from} of its capacity and is warm after {@code span}. What it can do when warm is
 * taken from the most that all daemons were answered at one time; what it can do now is at least what it answers now. With
 * neither, all daemons together begin with {@code first} messages a second.
 *
 * <p>Times are microseconds on the daemon's monotonic clock. At most {@value #MAX_PEERS} peers count.
 */
public final class SlowStartLimit {
    /** Share of the permitted push that is used by what it did when warm: endpoints do not get even parts. */
    public static final double KNOWN_CAPACITY_RATIO = 0.85;
    /** The same by what it answers now, which averages over a while that is past. */
    public static final double OBSERVED_RATE_RATIO = 0.9;
    /** Daemons send evenly but apart: so many deviations of chance in a window are allowed for. */
    private static final double ALLOWED_DEVIATIONS = 1;
    /** News of peers are believed for so long. */
    static final long REPORT_LIFE_MICROS = 1_500_000;
    /** A partner that answered a peer within this is well, if it says so. */
    static final long RECENT_SUCCESS_MICROS = 5_000_000;
    /** The most that was ever answered loses half of its weight in this time, as partners change. */
    static final double PEAK_HALF_LIFE_MICROS = 600e6;

    private static final double SMOOTHING_MICROS = 4e6;
    /** What waits is to leave within this, for how much of the limit this daemon wants. */
    private static final double QUEUE_DRAIN_MICROS = 1e6;
    /** Answers are remembered by spans of this length, for so many of them. */
    private static final long SLOT_MICROS = 250_000;

    private static final int SLOTS = 256;
    static final int MAX_PEERS = 4_096;

    /**
     * The figures of the rule, as the settings tell them; spans in microseconds. {@code first} is how many messages a second
     * all daemons together give a partner of which nothing is known.
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
        long atMicrosOf(int millis, long now) {
            return millis < 0 ? -1 : atMicros - millis * 1_000L;
        }
    }

    private final int destination;
    private final Rules rules;
    private final QuotaLending lending;
    private final DecayingRate served = new DecayingRate(1e6);
    private final DecayingRate slowServed = new DecayingRate(8e6);
    private final Map<String, PeerReport> reportByPeer = new HashMap<>();
    private final boolean[] successSlots = new boolean[SLOTS];
    private long latestSlot = Long.MIN_VALUE;
    private Health localHealth = Health.NEW;
    private long outageAtMicros = -1;
    private long recoveryAtMicros = -1;
    private long successAtMicros = -1;
    private double peakPerSecond;
    private long peakAtMicros;
    private double smoothedPerSecond;
    private long smoothedAtMicros;
    private double pendingMessages;

    SlowStartLimit(int destination, Rules rules, QuotaShare share, long lease) {
        this.destination = destination;
        this.rules = rules;
        lending = new QuotaLending(share, lease / 2);
    }

    // ---- What is seen here. ----

    /** A message was answered as done. */
    void onSuccess(long now) {
        long at = Math.floorDiv(now, SLOT_MICROS);
        for (long s = Math.max(latestSlot + 1, at - SLOTS + 1); s <= at; s++) {
            successSlots[Math.floorMod(s, SLOTS)] = false;
        }
        latestSlot = Math.max(latestSlot, at);
        successSlots[Math.floorMod(at, SLOTS)] = true;
        if (localHealth == Health.NEW) {
            // Cold from now, unless peers know better.
            long back = slowStartSincePeers(now);
            localHealth = isHealthyElsewhere(now) ? Health.HEALTHY : Health.SLOW_START;
            recoveryAtMicros = back >= 0 ? back : now;
        }
        successAtMicros = now;
        served.add(now, 1);
        slowServed.add(now, 1);
    }

    /** What the decision module has found: an outage or its end, since when. */
    void onHealthChanged(long now, Health health, long since) {
        if (health == Health.UNAVAILABLE) {
            outageAtMicros = since;
        } else if (health == Health.SLOW_START) {
            outageAtMicros = localHealth == Health.UNAVAILABLE ? outageAtMicros : since;
            recoveryAtMicros = since;
        }
        localHealth = health;
    }

    void setPendingMessages(double messages) {
        pendingMessages = messages;
    }

    // ---- What peers tell. ----

    /** True where a peer was just answered by a partner that is out for this daemon. */
    boolean onPeerUpdate(long now, String peer, SlowStartUpdate news) {
        if (!reportByPeer.containsKey(peer) && reportByPeer.size() >= MAX_PEERS) {
            return false;
        }
        PeerReport before = reportByPeer.put(peer, new PeerReport(news, now));
        boolean well = news.health() == Health.HEALTHY || news.health() == Health.SLOW_START;
        boolean wasWell = before != null
                && now - before.atMicros() < REPORT_LIFE_MICROS
                && before.update().health() == news.health();
        return localHealth == Health.UNAVAILABLE
                && well
                && !wasWell
                && news.successAgoMillis() >= 0
                && now - news.successAgoMillis() * 1_000L > outageAtMicros;
    }

    private boolean isFresh(long now, PeerReport t) {
        return now - t.atMicros() < REPORT_LIFE_MICROS;
    }

    private boolean isHealthyElsewhere(long now) {
        return reportByPeer.values().stream()
                .anyMatch(t -> isFresh(now, t)
                        && t.update().health() == Health.HEALTHY
                        && t.update().successAgoMillis() >= 0
                        && now - t.atMicrosOf(t.update().successAgoMillis(), now) < RECENT_SUCCESS_MICROS);
    }

    /** Since when it is cold by peers' word, -1 where no word stands against what was seen here. */
    private long slowStartSincePeers(long now) {
        long latest = -1;
        for (PeerReport t : reportByPeer.values()) {
            long back = t.atMicrosOf(t.update().recoveryAgoMillis(), now);
            if (isFresh(now, t)
                    && t.update().health() == Health.SLOW_START
                    && back >= 0
                    && now - back < rules.warmUpMicros()
                    && !hadSuccessBetween(t.atMicrosOf(t.update().outageAgoMillis(), now), back)) {
                latest = Math.max(latest, back);
            }
        }
        return latest;
    }

    /** Whether this daemon was answered in an outage that another tells of; the edges are uncertain. */
    private boolean hadSuccessBetween(long from, long to) {
        if (from < 0 || latestSlot == Long.MIN_VALUE) {
            return false;
        }
        long first = Math.max(Math.floorDiv(from, SLOT_MICROS) + 2, latestSlot - SLOTS + 1);
        long last = Math.min(Math.floorDiv(to, SLOT_MICROS) - 2, latestSlot);
        for (long s = first; s <= last; s++) {
            if (successSlots[Math.floorMod(s, SLOTS)]) {
                return true;
            }
        }
        return false;
    }

    // ---- The limit. ----

    /** Since when it warms up; {@code now} while it has not come back, -1 where there is no limit. */
    private long warmUpStart(long now) {
        if (localHealth == Health.SLOW_START && now - recoveryAtMicros >= rules.warmUpMicros()) {
            localHealth = Health.HEALTHY;
        }
        long elsewhere = slowStartSincePeers(now);
        return switch (localHealth) {
            case UNAVAILABLE -> now;
            case NEW -> isHealthyElsewhere(now) ? -1 : elsewhere >= 0 ? elsewhere : now;
            case SLOW_START -> Math.max(recoveryAtMicros, elsewhere);
            case HEALTHY -> elsewhere;
        };
    }

    /** Whether there is a limit now. */
    boolean isLimited(long now) {
        return warmUpStart(now) >= 0;
    }

    /** What all daemons together may send now, in messages a second; infinite without a limit. */
    double fleetPerSecond(long now) {
        long from = warmUpStart(now);
        if (from < 0) {
            return Double.POSITIVE_INFINITY;
        }
        double warm = Math.min(1, (double) (now - from) / Math.max(1, rules.warmUpMicros()));
        double capacity = rules.initialFraction() + (1 - rules.initialFraction()) * warm;
        double known = KNOWN_CAPACITY_RATIO * rules.overloadMultiple() * capacity * updatedPeak(now);
        double shown = OBSERVED_RATE_RATIO * rules.overloadMultiple() * servedByFleet(now, true);
        return Math.max(rules.initialPerSecond(), evenFlowUnder(Math.max(known, shown)));
    }

    /**
     * The even flow that stays under a push with chance allowed for: m messages in a window, from daemons that do not know
     * of one another's, are m and some square roots of m now and then.
     */
    private double evenFlowUnder(double perSecond) {
        double window = rules.overloadWindowMicros() / 1e6;
        double root =
                (Math.sqrt(ALLOWED_DEVIATIONS * ALLOWED_DEVIATIONS + 4 * perSecond * window) - ALLOWED_DEVIATIONS) / 2;
        return root * root / window;
    }

    /** This daemon's part of it. */
    double ownPerSecond(long now) {
        double whole = fleetPerSecond(now);
        return Double.isInfinite(whole) ? whole : lending.usableFraction(now) * whole;
    }

    /** Answered a second now, here and at all peers that tell of it. */
    private double servedByFleet(long now, boolean present) {
        double sum = (present ? served : slowServed).perSecond(now);
        for (PeerReport t : reportByPeer.values()) {
            sum += isFresh(now, t) ? t.update().servedPerSecond() : 0;
        }
        return sum;
    }

    /** The most that was answered at one time, as far as anybody remembers; short peaks count for little. */
    double updatedPeak(long now) {
        double told = 0;
        for (PeerReport t : this.reportByPeer.values()) {
            told = isFresh(now, t) ? Math.max(told, t.update().peakPerSecond()) : told;
        }
        smoothedPerSecond += (servedByFleet(now, false) - smoothedPerSecond)
                * -Math.expm1((smoothedAtMicros - now) / SMOOTHING_MICROS);
        smoothedAtMicros = now;
        double left = peakPerSecond * Math.pow(0.5, (now - peakAtMicros) / PEAK_HALF_LIFE_MICROS);
        peakPerSecond = Math.max(left, Math.max(smoothedPerSecond, told));
        peakAtMicros = now;
        return peakPerSecond;
    }

    // ---- Lending. ----

    /** The part of the whole that this daemon has use for. */
    private double neededFraction(long now) {
        double whole = fleetPerSecond(now);
        return Double.isInfinite(whole)
                ? 1
                : Math.min(1, (pendingMessages * 1e6 / QUEUE_DRAIN_MICROS + served.perSecond(now)) / whole);
    }

    /** Requests to peers that are there and seem to have parts to spare. */
    List<LoanRequest> loanRequests(long now, List<String> alive) {
        double missing = isLimited(now) ? neededFraction(now) - lending.usableFraction(now) : 0;
        if (missing <= 0) {
            return List.of();
        }
        double whole = fleetPerSecond(now);
        List<String> able = alive.stream()
                .filter(peer -> {
                    PeerReport t = reportByPeer.get(peer);
                    double use = t == null
                            ? 0
                            : (t.update().pendingMessages() * 1e6 / QUEUE_DRAIN_MICROS
                                            + t.update().servedPerSecond())
                                    / whole;
                    return use < lending.ownFraction();
                })
                .toList();
        return lending.requestLoans(now, missing, able).stream()
                .map(r -> new LoanRequest(
                        r.peer(), new Heartbeat.QuotaLoan(false, destination, r.number(), r.fraction())))
                .toList();
    }

    /** A peer asks: its answer. Who has no limit uses its part itself. */
    Heartbeat.QuotaLoan onLoanRequest(long now, String peer, Heartbeat.QuotaLoan loan) {
        return new Heartbeat.QuotaLoan(
                true,
                destination,
                loan.requestNumber(),
                lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction(now)));
    }

    void onLoanGrant(long now, String peer, Heartbeat.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }

    // ---- What is told. ----

    SlowStartUpdate currentUpdate(long now) {
        // An end of the cold span is noticed by looking.
        warmUpStart(now);
        long since = localHealth == Health.SLOW_START || localHealth == Health.HEALTHY ? recoveryAtMicros : -1;
        return new SlowStartUpdate(
                destination,
                localHealth,
                millisSince(now, outageAtMicros),
                millisSince(now, since),
                millisSince(now, successAtMicros),
                (float) served.perSecond(now),
                (float) updatedPeak(now),
                (float) pendingMessages);
    }

    private static int millisSince(long now, long at) {
        return at < 0 ? -1 : (int) Math.max(0, Math.min(Heartbeat.MAX_AGE_MILLIS, (now - at) / 1_000));
    }

    Health localHealth() {
        return localHealth;
    }

    long successAtMicros() {
        return successAtMicros;
    }
}
