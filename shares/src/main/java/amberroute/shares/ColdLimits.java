package amberroute.shares;

import amberroute.membership.Beat;
import amberroute.membership.Beat.Health;
import amberroute.membership.FleetView;
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
public final class ColdLimits {
    static final int MOST = 1_024;
    /** A rate that changes by less is not worth telling. */
    private static final double STEP = 0.02;

    /** What daemons are told in the settings; times in microseconds. */
    public record Fleet(int daemons, int index, long lease, ColdLimit.Rules rules) {}

    /** What holds from now on: messages a second, what is saved up of the first one, whether it answered another daemon. */
    public record Ceiling(int destination, double perSecond, double first, boolean back) {}

    private final Fleet fleet;
    private final long numbers;
    private final long quietUntil;
    private final Map<Integer, ColdLimit> limits = new LinkedHashMap<>();
    private final Map<Integer, Double> last = new HashMap<>();
    private int turn;

    /** {@code numbers} is higher than any that an earlier process used; wall time in microseconds will do. */
    public ColdLimits(long now, Fleet fleet, long numbers) {
        this.fleet = fleet;
        this.numbers = numbers;
        quietUntil = now + Share.quiet(fleet.lease());
    }

    private ColdLimit limit(long now, int destination) {
        ColdLimit known = limits.get(destination);
        if (known == null && limits.size() < MOST) {
            known = new ColdLimit(
                    destination,
                    fleet.rules(),
                    new Share(now, numbers, fleet.daemons(), fleet.lease(), now < quietUntil),
                    fleet.lease());
            limits.put(destination, known);
        }
        return known;
    }

    /** There is such a partner; its ceiling where that is news, else null. To be asked before anything is sent to it. */
    public Ceiling known(long now, int destination) {
        boolean fresh = !limits.containsKey(destination);
        ColdLimit limit = limit(now, destination);
        return fresh && limit != null ? ceiling(now, destination, limit, false) : null;
    }

    /** A message was answered as done; true where others had better hear of it at once. */
    public boolean answered(long now, int destination) {
        ColdLimit limit = limit(now, destination);
        if (limit == null) {
            return false;
        }
        Health before = limit.health();
        limit.answered(now);
        return limit.health() != before;
    }

    /** What the decision module has found of a partner, since when. */
    public void found(long now, int destination, Health health, long since) {
        ColdLimit limit = limit(now, destination);
        if (limit != null) {
            limit.found(now, health, since);
        }
    }

    /** A peer's news; returns the ceilings of partners that it was answered by and this daemon takes to be out. */
    public List<Ceiling> told(long now, String peer, List<Beat.News> news) {
        List<Ceiling> back = new ArrayList<>();
        for (Beat.News n : news) {
            ColdLimit limit = limit(now, n.destination());
            if (limit != null && limit.told(now, peer, n)) {
                back.add(ceiling(now, n.destination(), limit, true));
            }
        }
        return back;
    }

    /** Answers a peer's requests; grants that it gives are taken. */
    public List<Beat.Loan> loans(long now, String peer, List<Beat.Loan> loans) {
        List<Beat.Loan> answers = new ArrayList<>();
        for (Beat.Loan loan : loans) {
            ColdLimit limit = limits.get(loan.destination());
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
    public List<Ceiling> tick(long now, IntToDoubleFunction waiting) {
        List<Ceiling> changed = new ArrayList<>();
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

    private Ceiling ceiling(long now, int destination, ColdLimit limit, boolean back) {
        double rate = limit.perSecond(now);
        last.put(destination, rate);
        // Daemons that begin together begin one after another.
        return new Ceiling(destination, rate, (double) fleet.index() / fleet.daemons(), back);
    }

    /** Requests for more of what is limited, by peer. */
    public Map<String, List<Beat.Loan>> asks(long now, FleetView view) {
        List<String> alive = view.members(now).stream()
                .filter(FleetView.Member::alive)
                .map(FleetView.Member::name)
                .toList();
        Map<String, List<Beat.Loan>> out = new LinkedHashMap<>();
        limits.forEach((destination, limit) -> {
            for (ColdLimit.Ask ask : limit.asks(now, alive)) {
                List<Beat.Loan> to = out.computeIfAbsent(ask.peer(), p -> new ArrayList<>());
                if (to.size() < Beat.MOST_LOANS) {
                    to.add(ask.loan());
                }
            }
        });
        return out;
    }

    /** What to tell: partners in trouble first, then by turns. */
    public List<Beat.News> news(long now) {
        List<Map.Entry<Integer, ColdLimit>> all = new ArrayList<>(limits.entrySet());
        if (all.size() > Beat.MOST_NEWS) {
            int from = turn = (turn + Beat.MOST_NEWS / 2) % all.size();
            List<Map.Entry<Integer, ColdLimit>> turned = new ArrayList<>(all.subList(from, all.size()));
            turned.addAll(all.subList(0, from));
            all = turned;
            all.sort(Comparator.comparing(
                    e -> e.getValue().health() == Health.OUT || e.getValue().health() == Health.COLD ? 0 : 1));
        }
        return all.stream()
                .limit(Beat.MOST_NEWS)
                .map(e -> e.getValue().news(now))
                .toList();
    }

    /** Partners that have a limit now. */
    public int limited(long now) {
        return (int) limits.values().stream().filter(l -> l.limited(now)).count();
    }
}
