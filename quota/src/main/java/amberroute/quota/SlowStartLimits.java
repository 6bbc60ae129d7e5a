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
 * {@value #MAX_DESTINATIONS} partners are kept; further ones have no limit, as without this package.
 */
public final class SlowStartLimits {
    static final int MAX_DESTINATIONS = 1_024;
    /** A rate that changes by less is not worth telling. */
    private static final double MIN_RATE_CHANGE_RATIO = 0.02;

    /** What daemons are told in the settings; times in microseconds. */
    public record FleetParameters(int daemons, int index, long leaseMicros, SlowStartLimit.Rules rules) {}

    /** What holds from now on: messages a second, what is saved up of the first one, whether it answered another daemon. */
    public record RateLimit(int destination, double perSecond, double initialCredit, boolean recoveredElsewhere) {}

    private final FleetParameters fleet;
    private final long firstRequestNumber;
    private final long quietUntilMicros;
    private final Map<Integer, SlowStartLimit> limits = new LinkedHashMap<>();
    private final Map<Integer, Double> lastRateByDestination = new HashMap<>();
    private int updateOffset;

    /** {@code numbers} is higher than any that an earlier process used; wall time in microseconds will do. */
    public SlowStartLimits(long now, FleetParameters fleet, long numbers) {
        this.fleet = fleet;
        this.firstRequestNumber = numbers;
        quietUntilMicros = now + QuotaShare.quietPeriodMicros(fleet.leaseMicros());
    }

    private SlowStartLimit limitOf(long now, int destination) {
        SlowStartLimit known = limits.get(destination);
        if (known == null && limits.size() < MAX_DESTINATIONS) {
            known = new SlowStartLimit(
                    destination,
                    fleet.rules(),
                    new QuotaShare(
                            now, firstRequestNumber, fleet.daemons(), fleet.leaseMicros(), now < quietUntilMicros),
                    fleet.leaseMicros());
            limits.put(destination, known);
        }
        return known;
    }

    /** There is such a partner; its ceiling where that is news, else null. To be asked before anything is sent to it. */
    public RateLimit onDestinationListed(long now, int destination) {
        boolean fresh = !limits.containsKey(destination);
        SlowStartLimit limit = limitOf(now, destination);
        return fresh && limit != null ? limitNow(now, destination, limit, false) : null;
    }

    /** A message was answered as done; true where others had better hear of it at once. */
    public boolean onSuccess(long now, int destination) {
        SlowStartLimit limit = limitOf(now, destination);
        if (limit == null) {
            return false;
        }
        Health before = limit.localHealth();
        limit.onSuccess(now);
        return limit.localHealth() != before;
    }

    /** What the decision module has found of a partner, since when. */
    public void onHealthChanged(long now, int destination, Health health, long since) {
        SlowStartLimit limit = limitOf(now, destination);
        if (limit != null) {
            limit.onHealthChanged(now, health, since);
        }
    }

    /** A peer's news; returns the ceilings of partners that it was answered by and this daemon takes to be out. */
    public List<RateLimit> onPeerUpdates(long now, String peer, List<Heartbeat.SlowStartUpdate> news) {
        List<RateLimit> back = new ArrayList<>();
        for (Heartbeat.SlowStartUpdate n : news) {
            SlowStartLimit limit = limitOf(now, n.destination());
            if (limit != null && limit.onPeerUpdate(now, peer, n)) {
                back.add(limitNow(now, n.destination(), limit, true));
            }
        }
        return back;
    }

    /** Answers a peer's requests; grants that it gives are taken. */
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

    /** To be called often: the ceilings that have changed. {@code waiting} tells what is held for a partner. */
    public List<RateLimit> changedLimits(long now, IntToDoubleFunction waiting) {
        List<RateLimit> changed = new ArrayList<>();
        limits.forEach((destination, limit) -> {
            limit.setPendingMessages(waiting.applyAsDouble(destination));
            limit.updatedPeak(now);
            double rate = limit.ownPerSecond(now);
            double before = lastRateByDestination.getOrDefault(destination, Double.POSITIVE_INFINITY);
            boolean same = rate == before
                    || Math.abs(rate - before) < MIN_RATE_CHANGE_RATIO * before && !Double.isInfinite(before);
            if (!same) {
                changed.add(limitNow(now, destination, limit, false));
            }
        });
        return changed;
    }

    private RateLimit limitNow(long now, int destination, SlowStartLimit limit, boolean back) {
        double rate = limit.ownPerSecond(now);
        lastRateByDestination.put(destination, rate);
        // Daemons that begin together begin one after another.
        return new RateLimit(destination, rate, (double) fleet.index() / fleet.daemons(), back);
    }

    /** Requests for more of what is limited, by peer. */
    public Map<String, List<Heartbeat.QuotaLoan>> loanRequests(long now, MembershipView view) {
        List<String> alive = view.members(now).stream()
                .filter(MembershipView.Member::alive)
                .map(MembershipView.Member::name)
                .toList();
        Map<String, List<Heartbeat.QuotaLoan>> out = new LinkedHashMap<>();
        limits.forEach((destination, limit) -> {
            for (SlowStartLimit.LoanRequest ask : limit.loanRequests(now, alive)) {
                List<Heartbeat.QuotaLoan> to = out.computeIfAbsent(ask.peer(), p -> new ArrayList<>());
                if (to.size() < Heartbeat.MAX_LOANS) {
                    to.add(ask.loan());
                }
            }
        });
        return out;
    }

    /** What to tell: partners in trouble first, then by turns. */
    public List<Heartbeat.SlowStartUpdate> currentUpdates(long now) {
        List<Map.Entry<Integer, SlowStartLimit>> all = new ArrayList<>(limits.entrySet());
        if (all.size() > Heartbeat.MAX_UPDATES) {
            int from = updateOffset = (updateOffset + Heartbeat.MAX_UPDATES / 2) % all.size();
            List<Map.Entry<Integer, SlowStartLimit>> turned = new ArrayList<>(all.subList(from, all.size()));
            turned.addAll(all.subList(0, from));
            all = turned;
            all.sort(Comparator.comparing(e -> e.getValue().localHealth() == Health.UNAVAILABLE
                            || e.getValue().localHealth() == Health.SLOW_START
                    ? 0
                    : 1));
        }
        return all.stream()
                .limit(Heartbeat.MAX_UPDATES)
                .map(e -> e.getValue().currentUpdate(now))
                .toList();
    }

    /** Partners that have a limit now. */
    public int limitedCount(long now) {
        return (int) limits.values().stream().filter(l -> l.isLimited(now)).count();
    }
}
