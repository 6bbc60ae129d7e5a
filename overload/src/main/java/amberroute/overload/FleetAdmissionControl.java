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
 * <p>What one sender tells a second does not grow with the fleet: {@value #REPORT_FAN_OUT} datagrams in each round. Times are microseconds on
 * the caller's clock; at most {@value #MAX_DESTINATIONS} destinations.
 */
public final class FleetAdmissionControl {
    static final int MAX_DESTINATIONS = 1_024;
    /** So many peers are told in a round, taken by chance; four reach all of forty while a digest counts. */
    static final int REPORT_FAN_OUT = 4;
    /** Microseconds between rounds. */
    public static final long ROUND_MICROS = 200_000;

    /** A datagram for a peer. */
    public record OutgoingReport(String recipient, LoadReport report) {}

    /** The calls a second that this daemon may make from now on; infinite for any. */
    public record RateLimit(int destination, double perSecond) {}

    /** For operators: what all have to do with a destination, what it is taken to be able to do, and the price. */
    public record DestinationReport(
            int destination,
            double demandPerSecond,
            double servedPerSecond,
            double rejectedPerSecond,
            double pendingMessages,
            double capacityPerSecond,
            AdmissionPrice price,
            double fraction) {}

    private final String self;
    private final List<String> peers;
    private final long incarnation;
    private final RandomGenerator random;
    private final FleetLoadEstimate fleetLoad;
    private final Map<Integer, LocalLoadCounter> counters = new LinkedHashMap<>();
    private final Map<Integer, CapacityEstimate> capacities = new LinkedHashMap<>();
    private final Map<Integer, AdmissionPrice> prices = new LinkedHashMap<>();
    private final List<DestinationReport> destinationReports = new ArrayList<>();
    private final Map<Integer, RateShare> shares = new LinkedHashMap<>();
    private final int daemons;
    private final boolean enforceShares;
    private final long quietUntilMicros;
    private long lastSequence;
    private int reportOffset;

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
        this.enforceShares = held;
        this.daemons = Math.max(daemons, peers.size());
        quietUntilMicros = now + QuotaShare.quietPeriodMicros(RateShare.LEASE_MICROS);
        this.self = self;
        this.peers = new ArrayList<>(peers);
        this.peers.remove(self);
        this.incarnation = incarnation;
        this.random = random;
        fleetLoad = new FleetLoadEstimate(
                this.peers, REPORT_FAN_OUT, (double) FleetLoadEstimate.REPORT_LIFE_MICROS / ROUND_MICROS);
    }

    private LocalLoadCounter counter(int destination) {
        LocalLoadCounter tally = counters.get(destination);
        if (tally == null && counters.size() < MAX_DESTINATIONS) {
            tally = new LocalLoadCounter();
            counters.put(destination, tally);
        }
        return tally;
    }

    /** Somebody came with a message of this worth, whatever becomes of it. */
    public void onDemand(long now, int destination, double worth) {
        LocalLoadCounter tally = counter(destination);
        if (tally != null) {
            tally.onDemand(now, worth);
        }
    }

    /** A message was answered as done. */
    public void onServed(long now, int destination) {
        LocalLoadCounter tally = counter(destination);
        if (tally != null) {
            tally.onServed(now);
        }
    }

    /** A message was refused there for want of room. */
    public void onRejected(long now, int destination) {
        LocalLoadCounter tally = counter(destination);
        if (tally != null) {
            tally.onRejected(now);
        }
    }

    private RateShare share(long now, int destination) {
        return shares.computeIfAbsent(
                destination, d -> new RateShare(now, incarnation, daemons, now < quietUntilMicros));
    }

    /** A peer's word; returns what is to be said to it, null for nothing. */
    public OutgoingReport onReport(long now, LoadReport digest) {
        if (!fleetLoad.onReport(now, digest)) {
            return null;
        }
        List<LoadReport.QuotaLoan> answers = new ArrayList<>();
        for (LoadReport.QuotaLoan loan : digest.loans()) {
            if (!shares.containsKey(loan.destination()) && shares.size() >= MAX_DESTINATIONS) {
                continue;
            }
            RateShare ours = share(now, loan.destination());
            if (loan.granted()) {
                ours.onLoanGrant(now, digest.sender(), loan);
            } else {
                answers.add(ours.onLoanRequest(now, digest.sender(), loan));
            }
        }
        return answers.isEmpty()
                ? null
                : new OutgoingReport(
                        digest.sender(), new LoadReport(self, incarnation, ++lastSequence, Map.of(), answers));
    }

    /** To be called behind {@link #runRound}: the ceilings that have changed. */
    public List<RateLimit> changedRateLimits(long now) {
        List<RateLimit> out = new ArrayList<>();
        capacities.forEach((destination, capacity) -> {
            double rate = share(now, destination).changedPerSecond(now, capacity.enforcedPerSecond());
            if (rate >= 0) {
                out.add(new RateLimit(destination, rate));
            }
        });
        return out;
    }

    /** The part of a destination that this daemon may use now, whether or not anything limits it. */
    double usableFraction(long now, int destination) {
        return share(now, destination).usableFraction(now);
    }

    /** Requests for parts of what is limited, by peer. */
    public List<OutgoingReport> loanRequests(long now) {
        Map<String, List<LoadReport.QuotaLoan>> to = new LinkedHashMap<>();
        capacities.forEach((destination, capacity) -> {
            if (Double.isFinite(capacity.enforcedPerSecond())) {
                RateShare ours = share(now, destination);
                for (QuotaLending.Request r : ours.requestLoans(
                        now, fleetLoad.peersBelow(now, destination, ours.ownFraction() * capacity.perSecond()))) {
                    to.computeIfAbsent(r.peer(), p -> new ArrayList<>())
                            .add(new LoadReport.QuotaLoan(false, destination, r.number(), r.fraction()));
                }
            }
        });
        List<OutgoingReport> out = new ArrayList<>();
        to.forEach((peer, loans) -> {
            for (int from = 0; from < loans.size(); from += LoadReport.MAX_LOANS) {
                out.add(new OutgoingReport(
                        peer,
                        new LoadReport(
                                self,
                                incarnation,
                                ++lastSequence,
                                Map.of(),
                                List.copyOf(
                                        loans.subList(from, Math.min(loans.size(), from + LoadReport.MAX_LOANS))))));
            }
        });
        return out;
    }

    /** To be called once a round; {@code waiting} tells what is held here for a destination. Returns prices that have changed. */
    public List<AdmissionPrice> runRound(long now, IntToDoubleFunction waiting) {
        List<AdmissionPrice> changed = new ArrayList<>();
        destinationReports.clear();
        counters.forEach((destination, tally) -> {
            tally.setPendingMessages(waiting.applyAsDouble(destination));
            DestinationLoad own = tally.load(now);
            DestinationLoad all = fleetLoad.fleetLoad(now, destination, own);
            CapacityEstimate capacity =
                    capacities.computeIfAbsent(destination, d -> new CapacityEstimate(enforceShares));
            double room = capacity.update(now, all);
            AdmissionPrice price = Double.isInfinite(room)
                    ? AdmissionPrice.none(destination)
                    : AdmissionPrice.fromDemand(destination, all.demandByBand(), room);
            RateShare ours = share(now, destination);
            ours.updateNeed(own, price, capacity.perSecond());
            AdmissionPrice before = prices.getOrDefault(destination, AdmissionPrice.none(destination));
            if (!price.isSimilarTo(before)) {
                prices.put(destination, price);
                changed.add(price);
            }
            destinationReports.add(new DestinationReport(
                    destination,
                    all.totalDemand(),
                    all.servedPerSecond(),
                    all.rejectedPerSecond(),
                    all.pendingMessages(),
                    capacity.perSecond(),
                    price,
                    ours.usableFraction(now)));
        });
        return changed;
    }

    /** What to tell in this round, and whom. */
    public List<OutgoingReport> nextReports(long now) {
        if (peers.isEmpty()) {
            return List.of();
        }
        LoadReport digest = buildReport(now);
        Collections.shuffle(peers, new java.util.Random(random.nextLong()));
        return peers.stream()
                .limit(REPORT_FAN_OUT)
                .map(peer -> new OutgoingReport(peer, digest))
                .toList();
    }

    /** As many destinations as fit, the next ones in the next round. */
    private LoadReport buildReport(long now) {
        List<Integer> all = new ArrayList<>(counters.keySet());
        Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
        int bytes = LoadReport.headerBytes(self);
        int from = all.isEmpty() ? 0 : reportOffset % all.size();
        for (int i = 0; i < all.size(); i++) {
            int destination = all.get((from + i) % all.size());
            DestinationLoad load = counters.get(destination).load(now);
            if (!LoadReport.fits(bytes, loads.size(), load)) {
                reportOffset = from + i;
                break;
            }
            bytes += LoadReport.encodedBytes(load);
            loads.put(destination, load);
        }
        return new LoadReport(self, incarnation, ++lastSequence, loads, List.of());
    }

    /** As of the last round. */
    public List<DestinationReport> destinationReports() {
        return List.copyOf(destinationReports);
    }

    /** Peers that this sender has heard of lately. */
    public int reachablePeers(long now) {
        return fleetLoad.reachablePeers(now);
    }
}
