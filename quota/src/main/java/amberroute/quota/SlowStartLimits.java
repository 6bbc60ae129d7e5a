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
 * The limits of all partners of one daemon: takes what is seen and told, and says what has changed. At most
 * {@value #MOST} partners are kept; further ones have no limit, as without this package.
 */
public final class SlowStartLimits {
    static final int MOST = 1_024;
    /** A rate that changes by less is not worth telling. */
    private static final double STEP = 0.02;

    /** What daemons are told in the settings; times in microseconds. */
    public record FleetParameters(int daemons, int index, long lease, SlowStartLimit.Rules rules) {}

    /** What holds from now on: messages a second, what is saved up of the first one, whether it answered another daemon. */
    public record RateLimit(int destination, double perSecond, double first, boolean back) {}

    private final FleetParameters fleet;
    private final long numbers;
    private final long quietUntil;
    private final Map<Integer, SlowStartLimit> limits = new LinkedHashMap<>();
    private final Map<Integer, Double> last = new HashMap<>();
    private int turn;

    /** {@code numbers} is higher than any that an earlier process used; wall time in microseconds will do. */
    public SlowStartLimits(long now, FleetParameters fleet, long numbers) {
        this.fleet = fleet;
        this.numbers = numbers;
        quietUntil = now + QuotaShare.quiet(fleet.lease());
    }

    private SlowStartLimit limit(long now, int destination) {
        SlowStartLimit known = limits.get(destination);
        if (known == null && limits.size() < MOST) {
            known = new SlowStartLimit(
                    destination,
                    fleet.rules(),
                    new QuotaShare(now, numbers, fleet.daemons(), fleet.lease(), now < quietUntil),
                    fleet.lease());
            limits.put(destination, known);
        }
        return known;
    }

    /** There is such a partner; its ceiling where that is news, else null. To be asked before anything is sent to it. */
    public RateLimit known(long now, int destination) {
        boolean fresh = !limits.containsKey(destination);
        SlowStartLimit limit = limit(now, destination);
        return fresh && limit != null ? ceiling(now, destination, limit, false) : null;
    }

    /** A message was answered as done; true where others had better hear of it at once. */
    public boolean answered(long now, int destination) {
        SlowStartLimit limit = limit(now, destination);
        if (limit == null) {
            return false;
        }
        Health before = limit.health();
        limit.answered(now);
        return limit.health() != before;
    }

    /** What the decision module has found of a partner, since when. */
    public void found(long now, int destination, Health health, long since) {
        SlowStartLimit limit = limit(now, destination);
        if (limit != null) {
            limit.found(now, health, since);
        }
    }

    /** A peer's news; returns the ceilings of partners that it was answered by and this daemon takes to be out. */
    public List<RateLimit> told(long now, String peer, List<Heartbeat.SlowStartUpdate> news) {
        List<RateLimit> back = new ArrayList<>();
        for (Heartbeat.SlowStartUpdate n : news) {
            SlowStartLimit limit = limit(now, n.destination());
            if (limit != null && limit.told(now, peer, n)) {
                back.add(ceiling(now, n.destination(), limit, true));
            }
        }
        return back;
    }

    /** Answers a peer's requests; grants that it gives are taken. */
    public List<Heartbeat.QuotaLoan> loans(long now, String peer, List<Heartbeat.QuotaLoan> loans) {
        List<Heartbeat.QuotaLoan> answers = new ArrayList<>();
        for (Heartbeat.QuotaLoan loan : loans) {
            SlowStartLimit limit = limits.get(loan.destination());
            if (limit == null) {
                continue;
            }
            if (loan.grant()) {
                limit.granted(now, peer, loan);
            } else {
                answers.add(limit.asked(now, peer, loan));
            }
        }
        return answers;
    }

    /** To be called often: the ceilings that have changed. {@code waiting} tells what is held for a partner. */
    public List<RateLimit> tick(long now, IntToDoubleFunction waiting) {
        List<RateLimit> changed = new ArrayList<>();
        limits.forEach((destination, limit) -> {
            limit.waiting(waiting.applyAsDouble(destination));
            limit.best(now);
            double rate = limit.perSecond(now);
            double before = last.getOrDefault(destination, Double.POSITIVE_INFINITY);
            boolean same = rate == before || Math.abs(rate - before) < STEP * before && !Double.isInfinite(before);
            if (!same) {
                changed.add(ceiling(now, destination, limit, false));
            }
        });
        return changed;
    }

    private RateLimit ceiling(long now, int destination, SlowStartLimit limit, boolean back) {
        double rate = limit.perSecond(now);
        last.put(destination, rate);
        // Daemons that begin together begin one after another.
        return new RateLimit(destination, rate, (double) fleet.index() / fleet.daemons(), back);
    }

    /** Requests for more of what is limited, by peer. */
    public Map<String, List<Heartbeat.QuotaLoan>> asks(long now, MembershipView view) {
        List<String> alive = view.members(now).stream()
                .filter(MembershipView.Member::alive)
                .map(MembershipView.Member::name)
                .toList();
        Map<String, List<Heartbeat.QuotaLoan>> out = new LinkedHashMap<>();
        limits.forEach((destination, limit) -> {
            for (SlowStartLimit.LoanRequest ask : limit.asks(now, alive)) {
                List<Heartbeat.QuotaLoan> to = out.computeIfAbsent(ask.peer(), p -> new ArrayList<>());
                if (to.size() < Heartbeat.MOST_LOANS) {
                    to.add(ask.loan());
                }
            }
        });
        return out;
    }

    /** What to tell: partners in trouble first, then by turns. */
    public List<Heartbeat.SlowStartUpdate> news(long now) {
        List<Map.Entry<Integer, SlowStartLimit>> all = new ArrayList<>(limits.entrySet());
        if (all.size() > Heartbeat.MOST_NEWS) {
            int from = turn = (turn + Heartbeat.MOST_NEWS / 2) % all.size();
            List<Map.Entry<Integer, SlowStartLimit>> turned = new ArrayList<>(all.subList(from, all.size()));
            turned.addAll(all.subList(0, from));
            all = turned;
            all.sort(Comparator.comparing(e ->
                    e.getValue().health() == Health.UNAVAILABLE || e.getValue().health() == Health.SLOW_START ? 0 : 1));
        }
        return all.stream()
                .limit(Heartbeat.MOST_NEWS)
                .map(e -> e.getValue().news(now))
                .toList();
    }

    /** Partners that have a limit now. */
    public int limited(long now) {
        return (int) limits.values().stream().filter(l -> l.limited(now)).count();
    }
}
