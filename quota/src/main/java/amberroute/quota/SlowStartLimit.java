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
 * <p>Times are microseconds on the daemon's monotonic clock. At most {@value #MOST_PEERS} peers count.
 */
public final class SlowStartLimit {
    /** Share of the permitted push that is used by what it did when warm: endpoints do not get even parts. */
    public static final double SAFETY = 0.85;
    /** The same by what it answers now, which averages over a while that is past. */
    public static final double SHOWN = 0.9;
    /** Daemons send evenly but apart: so many deviations of chance in a window are allowed for. */
    private static final double DEVIATIONS = 1;
    /** News of peers are believed for so long. */
    static final long FRESH = 1_500_000;
    /** A partner that answered a peer within this is well, if it says so. */
    static final long RECENT = 5_000_000;
    /** The most that was ever answered loses half of its weight in this time, as partners change. */
    static final double HALVING = 600e6;

    private static final double SMOOTH = 4e6;
    /** What waits is to leave within this, for how much of the limit this daemon wants. */
    private static final double HORIZON = 1e6;
    /** Answers are remembered by spans of this length, for so many of them. */
    private static final long SLOT = 250_000;

    private static final int SLOTS = 256;
    static final int MOST_PEERS = 4_096;

    /**
     * The figures of the rule, as the settings tell them; spans in microseconds. {@code first} is how many messages a second
     * all daemons together give a partner of which nothing is known.
     */
    public record Rules(double from, long span, double multiple, long window, double first) {}

    /** A request to a peer. */
    public record LoanRequest(String peer, Heartbeat.QuotaLoan loan) {}

    private record PeerReport(SlowStartUpdate news, long at) {
        long ago(int millis, long now) {
            return millis < 0 ? -1 : at - millis * 1_000L;
        }
    }

    private final int destination;
    private final Rules rules;
    private final QuotaLending lending;
    private final DecayingRate served = new DecayingRate(1e6);
    private final DecayingRate pace = new DecayingRate(8e6);
    private final Map<String, PeerReport> told = new HashMap<>();
    private final boolean[] answered = new boolean[SLOTS];
    private long slot = Long.MIN_VALUE;
    private Health mine = Health.NEW;
    private long outAt = -1;
    private long backAt = -1;
    private long okAt = -1;
    private double best;
    private long bestAt;
    private double smooth;
    private long smoothAt;
    private double waiting;

    SlowStartLimit(int destination, Rules rules, QuotaShare share, long lease) {
        this.destination = destination;
        this.rules = rules;
        lending = new QuotaLending(share, lease / 2);
    }

    // ---- What is seen here. ----

    /** A message was answered as done. */
    void answered(long now) {
        long at = Math.floorDiv(now, SLOT);
        for (long s = Math.max(slot + 1, at - SLOTS + 1); s <= at; s++) {
            answered[Math.floorMod(s, SLOTS)] = false;
        }
        slot = Math.max(slot, at);
        answered[Math.floorMod(at, SLOTS)] = true;
        if (mine == Health.NEW) {
            // Cold from now, unless peers know better.
            long back = coldSince(now);
            mine = wellElsewhere(now) ? Health.HEALTHY : Health.SLOW_START;
            backAt = back >= 0 ? back : now;
        }
        okAt = now;
        served.add(now, 1);
        pace.add(now, 1);
    }

    /** What the decision module has found: an outage or its end, since when. */
    void found(long now, Health health, long since) {
        if (health == Health.UNAVAILABLE) {
            outAt = since;
        } else if (health == Health.SLOW_START) {
            outAt = mine == Health.UNAVAILABLE ? outAt : since;
            backAt = since;
        }
        mine = health;
    }

    void waiting(double messages) {
        waiting = messages;
    }

    // ---- What peers tell. ----

    /** True where a peer was just answered by a partner that is out for this daemon. */
    boolean told(long now, String peer, SlowStartUpdate news) {
        if (!told.containsKey(peer) && told.size() >= MOST_PEERS) {
            return false;
        }
        PeerReport before = told.put(peer, new PeerReport(news, now));
        boolean well = news.health() == Health.HEALTHY || news.health() == Health.SLOW_START;
        boolean wasWell =
                before != null && now - before.at() < FRESH && before.news().health() == news.health();
        return mine == Health.UNAVAILABLE
                && well
                && !wasWell
                && news.okAgo() >= 0
                && now - news.okAgo() * 1_000L > outAt;
    }

    private boolean fresh(long now, PeerReport t) {
        return now - t.at() < FRESH;
    }

    private boolean wellElsewhere(long now) {
        return told.values().stream()
                .anyMatch(t -> fresh(now, t)
                        && t.news().health() == Health.HEALTHY
                        && t.news().okAgo() >= 0
                        && now - t.ago(t.news().okAgo(), now) < RECENT);
    }

    /** Since when it is cold by peers' word, -1 where no word stands against what was seen here. */
    private long coldSince(long now) {
        long latest = -1;
        for (PeerReport t : told.values()) {
            long back = t.ago(t.news().backAgo(), now);
            if (fresh(now, t)
                    && t.news().health() == Health.SLOW_START
                    && back >= 0
                    && now - back < rules.span()
                    && !answeredBetween(t.ago(t.news().outAgo(), now), back)) {
                latest = Math.max(latest, back);
            }
        }
        return latest;
    }

    /** Whether this daemon was answered in an outage that another tells of; the edges are uncertain. */
    private boolean answeredBetween(long from, long to) {
        if (from < 0 || slot == Long.MIN_VALUE) {
            return false;
        }
        long first = Math.max(Math.floorDiv(from, SLOT) + 2, slot - SLOTS + 1);
        long last = Math.min(Math.floorDiv(to, SLOT) - 2, slot);
        for (long s = first; s <= last; s++) {
            if (answered[Math.floorMod(s, SLOTS)]) {
                return true;
            }
        }
        return false;
    }

    // ---- The limit. ----

    /** Since when it warms up; {@code now} while it has not come back, -1 where there is no limit. */
    private long from(long now) {
        if (mine == Health.SLOW_START && now - backAt >= rules.span()) {
            mine = Health.HEALTHY;
        }
        long elsewhere = coldSince(now);
        return switch (mine) {
            case UNAVAILABLE -> now;
            case NEW -> wellElsewhere(now) ? -1 : elsewhere >= 0 ? elsewhere : now;
            case SLOW_START -> Math.max(backAt, elsewhere);
            case HEALTHY -> elsewhere;
        };
    }

    /** Whether there is a limit now. */
    boolean limited(long now) {
        return from(now) >= 0;
    }

    /** What all daemons together may send now, in messages a second; infinite without a limit. */
    double whole(long now) {
        long from = from(now);
        if (from < 0) {
            return Double.POSITIVE_INFINITY;
        }
        double warm = Math.min(1, (double) (now - from) / Math.max(1, rules.span()));
        double capacity = rules.from() + (1 - rules.from()) * warm;
        double known = SAFETY * rules.multiple() * capacity * best(now);
        double shown = SHOWN * rules.multiple() * together(now, true);
        return Math.max(rules.first(), even(Math.max(known, shown)));
    }

    /**
     * The even flow that stays under a push with chance allowed for: m messages in a window, from daemons that do not know
     * of one another's, are m and some square roots of m now and then.
     */
    private double even(double perSecond) {
        double window = rules.window() / 1e6;
        double root = (Math.sqrt(DEVIATIONS * DEVIATIONS + 4 * perSecond * window) - DEVIATIONS) / 2;
        return root * root / window;
    }

    /** This daemon's part of it. */
    double perSecond(long now) {
        double whole = whole(now);
        return Double.isInfinite(whole) ? whole : lending.ceiling(now) * whole;
    }

    /** Answered a second now, here and at all peers that tell of it. */
    private double together(long now, boolean present) {
        double sum = (present ? served : pace).perSecond(now);
        for (PeerReport t : told.values()) {
            sum += fresh(now, t) ? t.news().served() : 0;
        }
        return sum;
    }

    /** The most that was answered at one time, as far as anybody remembers; short peaks count for little. */
    double best(long now) {
        double told = 0;
        for (PeerReport t : this.told.values()) {
            told = fresh(now, t) ? Math.max(told, t.news().usual()) : told;
        }
        smooth += (together(now, false) - smooth) * -Math.expm1((smoothAt - now) / SMOOTH);
        smoothAt = now;
        double left = best * Math.pow(0.5, (now - bestAt) / HALVING);
        best = Math.max(left, Math.max(smooth, told));
        bestAt = now;
        return best;
    }

    // ---- Lending. ----

    /** The part of the whole that this daemon has use for. */
    private double need(long now) {
        double whole = whole(now);
        return Double.isInfinite(whole) ? 1 : Math.min(1, (waiting * 1e6 / HORIZON + served.perSecond(now)) / whole);
    }

    /** Requests to peers that are there and seem to have parts to spare. */
    List<LoanRequest> asks(long now, List<String> alive) {
        double missing = limited(now) ? need(now) - lending.ceiling(now) : 0;
        if (missing <= 0) {
            return List.of();
        }
        double whole = whole(now);
        List<String> able = alive.stream()
                .filter(peer -> {
                    PeerReport t = told.get(peer);
                    double use = t == null
                            ? 0
                            : (t.news().waiting() * 1e6 / HORIZON + t.news().served()) / whole;
                    return use < lending.owned();
                })
                .toList();
        return lending.asks(now, missing, able).stream()
                .map(r -> new LoanRequest(r.peer(), new Heartbeat.QuotaLoan(false, destination, r.number(), r.part())))
                .toList();
    }

    /** A peer asks: its answer. Who has no limit uses its part itself. */
    Heartbeat.QuotaLoan asked(long now, String peer, Heartbeat.QuotaLoan loan) {
        return new Heartbeat.QuotaLoan(
                true, destination, loan.number(), lending.asked(now, peer, loan.number(), loan.part(), need(now)));
    }

    void granted(long now, String peer, Heartbeat.QuotaLoan loan) {
        lending.granted(now, peer, loan.number(), loan.part());
    }

    // ---- What is told. ----

    SlowStartUpdate news(long now) {
        // An end of the cold span is noticed by looking.
        from(now);
        long since = mine == Health.SLOW_START || mine == Health.HEALTHY ? backAt : -1;
        return new SlowStartUpdate(
                destination,
                mine,
                ago(now, outAt),
                ago(now, since),
                ago(now, okAt),
                (float) served.perSecond(now),
                (float) best(now),
                (float) waiting);
    }

    private static int ago(long now, long at) {
        return at < 0 ? -1 : (int) Math.max(0, Math.min(Heartbeat.LONGEST_AGE, (now - at) / 1_000));
    }

    Health health() {
        return mine;
    }

    long answeredAt() {
        return okAt;
    }
}
