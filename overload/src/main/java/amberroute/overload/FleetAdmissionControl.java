package amberroute.overload;

import amberroute.quota.QuotaLending;
import amberroute.quota.QuotaShare;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * One sender's view of what its fleet is asked for and can do: counts what happens here, tells some peers of it, hears theirs, and
 * says what a call to each destination costs. All compute alone and from about the same, so they come to about the same
 * prices; nobody's safety rests on that. Demand is counted at the door, before anything is turned away, so what is told does not
 * depend on the price, which is why news that are old do not make it swing.
 *
 * <p>What one sender tells a second does not grow with the fleet: {@value #FAN} datagrams in each round. Times are microseconds on
 * the caller's clock; at most {@value #MOST} destinations.
 */
public final class FleetAdmissionControl {
    static final int MOST = 1_024;
    /** So many peers are told in a round, taken by chance; four reach all of forty while a digest counts. */
    static final int FAN = 4;
    /** Microseconds between rounds. */
    public static final long ROUND = 200_000;

    /** A datagram for a peer. */
    public record OutgoingReport(String to, LoadReport digest) {}

    /** The calls a second that this daemon may make from now on; infinite for any. */
    public record RateLimit(int destination, double perSecond) {}

    /** For operators: what all have to do with a destination, what it is taken to be able to do, and the price. */
    public record DestinationReport(
            int destination,
            double asked,
            double served,
            double full,
            double waiting,
            double capacity,
            AdmissionPrice price,
            double part) {}

    private final String self;
    private final List<String> peers;
    private final long incarnation;
    private final RandomGenerator random;
    private final FleetLoadEstimate picture;
    private final Map<Integer, LocalLoadCounter> tallies = new LinkedHashMap<>();
    private final Map<Integer, CapacityEstimate> capacities = new LinkedHashMap<>();
    private final Map<Integer, AdmissionPrice> prices = new LinkedHashMap<>();
    private final List<DestinationReport> rows = new ArrayList<>();
    private final Map<Integer, RateShare> parts = new LinkedHashMap<>();
    private final int daemons;
    private final boolean held;
    private final long quietUntil;
    private long number;
    private int turn;

    /**
     * {@code incarnation} is higher than that of any earlier process of this sender; wall time will do. {@code daemons} is among how
     * many a limit is divided where calls are {@code held} to parts of it: at least as many as can run. An earlier process may
     * have lent all that it had, so at first nothing is used of what is limited.
     */
    public FleetAdmissionControl(
            long now,
            String self,
            List<String> peers,
            int daemons,
            boolean held,
            long incarnation,
            RandomGenerator random) {
        this.held = held;
        this.daemons = Math.max(daemons, peers.size());
        quietUntil = now + QuotaShare.quiet(RateShare.LEASE);
        this.self = self;
        this.peers = new ArrayList<>(peers);
        this.peers.remove(self);
        this.incarnation = incarnation;
        this.random = random;
        picture = new FleetLoadEstimate(this.peers, FAN, (double) FleetLoadEstimate.FRESH / ROUND);
    }

    private LocalLoadCounter tally(int destination) {
        LocalLoadCounter tally = tallies.get(destination);
        if (tally == null && tallies.size() < MOST) {
            tally = new LocalLoadCounter();
            tallies.put(destination, tally);
        }
        return tally;
    }

    /** Somebody came with a message of this worth, whatever becomes of it. */
    public void asked(long now, int destination, double worth) {
        LocalLoadCounter tally = tally(destination);
        if (tally != null) {
            tally.asked(now, worth);
        }
    }

    /** A message was answered as done. */
    public void served(long now, int destination) {
        LocalLoadCounter tally = tally(destination);
        if (tally != null) {
            tally.served(now);
        }
    }

    /** A message was refused there for want of room. */
    public void full(long now, int destination) {
        LocalLoadCounter tally = tally(destination);
        if (tally != null) {
            tally.full(now);
        }
    }

    private RateShare parts(long now, int destination) {
        return parts.computeIfAbsent(destination, d -> new RateShare(now, incarnation, daemons, now < quietUntil));
    }

    /** A peer's word; returns what is to be said to it, null for nothing. */
    public OutgoingReport heard(long now, LoadReport digest) {
        if (!picture.heard(now, digest)) {
            return null;
        }
        List<LoadReport.QuotaLoan> answers = new ArrayList<>();
        for (LoadReport.QuotaLoan loan : digest.loans()) {
            if (!parts.containsKey(loan.destination()) && parts.size() >= MOST) {
                continue;
            }
            RateShare ours = parts(now, loan.destination());
            if (loan.grant()) {
                ours.granted(now, digest.from(), loan);
            } else {
                answers.add(ours.asked(now, digest.from(), loan));
            }
        }
        return answers.isEmpty()
                ? null
                : new OutgoingReport(digest.from(), new LoadReport(self, incarnation, ++number, Map.of(), answers));
    }

    /** To be called behind {@link #round}: the ceilings that have changed. */
    public List<RateLimit> ceilings(long now) {
        List<RateLimit> out = new ArrayList<>();
        capacities.forEach((destination, capacity) -> {
            double rate = parts(now, destination).changed(now, capacity.limit());
            if (rate >= 0) {
                out.add(new RateLimit(destination, rate));
            }
        });
        return out;
    }

    /** The part of a destination that this daemon may use now, whether or not anything limits it. */
    double part(long now, int destination) {
        return parts(now, destination).ceiling(now);
    }

    /** Requests for parts of what is limited, by peer. */
    public List<OutgoingReport> asks(long now) {
        Map<String, List<LoadReport.QuotaLoan>> to = new LinkedHashMap<>();
        capacities.forEach((destination, capacity) -> {
            if (Double.isFinite(capacity.limit())) {
                RateShare ours = parts(now, destination);
                for (QuotaLending.Request r :
                        ours.asks(now, picture.below(now, destination, ours.owned() * capacity.perSecond()))) {
                    to.computeIfAbsent(r.peer(), p -> new ArrayList<>())
                            .add(new LoadReport.QuotaLoan(false, destination, r.number(), r.part()));
                }
            }
        });
        List<OutgoingReport> out = new ArrayList<>();
        to.forEach((peer, loans) -> {
            for (int from = 0; from < loans.size(); from += LoadReport.MOST_LOANS) {
                out.add(new OutgoingReport(
                        peer,
                        new LoadReport(
                                self,
                                incarnation,
                                ++number,
                                Map.of(),
                                List.copyOf(
                                        loans.subList(from, Math.min(loans.size(), from + LoadReport.MOST_LOANS))))));
            }
        });
        return out;
    }

    /** To be called once a round; {@code waiting} tells what is held here for a destination. Returns prices that have changed. */
    public List<AdmissionPrice> round(long now, IntToDoubleFunction waiting) {
        List<AdmissionPrice> changed = new ArrayList<>();
        rows.clear();
        tallies.forEach((destination, tally) -> {
            tally.waiting(waiting.applyAsDouble(destination));
            DestinationLoad own = tally.load(now);
            DestinationLoad all = picture.all(now, destination, own);
            CapacityEstimate capacity = capacities.computeIfAbsent(destination, d -> new CapacityEstimate(held));
            double room = capacity.next(now, all);
            AdmissionPrice price = Double.isInfinite(room)
                    ? AdmissionPrice.none(destination)
                    : AdmissionPrice.of(destination, all.demand(), room);
            RateShare ours = parts(now, destination);
            ours.need(own, price, capacity.perSecond());
            AdmissionPrice before = prices.getOrDefault(destination, AdmissionPrice.none(destination));
            if (!price.like(before)) {
                prices.put(destination, price);
                changed.add(price);
            }
            rows.add(new DestinationReport(
                    destination,
                    all.asked(),
                    all.served(),
                    all.full(),
                    all.waiting(),
                    capacity.perSecond(),
                    price,
                    ours.ceiling(now)));
        });
        return changed;
    }

    /** What to tell in this round, and whom. */
    public List<OutgoingReport> tell(long now) {
        if (peers.isEmpty()) {
            return List.of();
        }
        LoadReport digest = digest(now);
        Collections.shuffle(peers, new java.util.Random(random.nextLong()));
        return peers.stream()
                .limit(FAN)
                .map(peer -> new OutgoingReport(peer, digest))
                .toList();
    }

    /** As many destinations as fit, the next ones in the next round. */
    private LoadReport digest(long now) {
        List<Integer> all = new ArrayList<>(tallies.keySet());
        Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
        int bytes = LoadReport.head(self);
        int from = all.isEmpty() ? 0 : turn % all.size();
        for (int i = 0; i < all.size(); i++) {
            int destination = all.get((from + i) % all.size());
            DestinationLoad load = tallies.get(destination).load(now);
            if (!LoadReport.fits(bytes, loads.size(), load)) {
                turn = from + i;
                break;
            }
            bytes += LoadReport.bytes(load);
            loads.put(destination, load);
        }
        return new LoadReport(self, incarnation, ++number, loads, List.of());
    }

    /** As of the last round. */
    public List<DestinationReport> rows() {
        return List.copyOf(rows);
    }

    /** Peers that this sender has heard of lately. */
    public int heardOf(long now) {
        return picture.heardOf(now);
    }
}
