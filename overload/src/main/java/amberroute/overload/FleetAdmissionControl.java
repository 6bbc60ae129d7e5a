package amberroute.overload;

import amberroute.quota.QuotaLending;
import amberroute.quota.QuotaShare;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * One daemon's view of what its fleet is asked for and can do: counts what happens here, reports it to some peers, takes their reports, and
 * computes the admission price of each destination. All compute alone and from about the same, so they come to about the same
 * prices; nobody's safety rests on that. Invariant: demand is counted before anything is rejected, so reports do not
 * depend on the price, and old ones do not make it oscillate.
 *
 * <p>What one daemon sends a second does not grow with the fleet: {@value #REPORT_FAN_OUT} datagrams in each round. Times are microseconds on
 * the caller's clock; at most {@value #MAX_DESTINATIONS} destinations. Not thread-safe.
 */
public final class FleetAdmissionControl {
    static final int MAX_DESTINATIONS = 1_024;
    /** Peers that get a report in a round, chosen at random; four reach all of forty while a report counts. */
    static final int REPORT_FAN_OUT = 4;
    /** Microseconds between rounds. */
    public static final long ROUND_MICROS = 200_000;

    /** A datagram for a peer. */
    public record OutgoingReport(String recipient, LoadReport report) {}

    /** The calls a second that this daemon may make from now on; infinite for any. */
    public record RateLimit(int destination, double perSecond) {}

    /**
     * One destination, for engineers. Rates are messages a second of all daemons.
     *
     * @param capacityPerSecond what it is taken to be able to do, infinite while that is not known
     * @param fraction of the capacity that this daemon may use
     */
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
    private final int senderCount;
    private final boolean enforceShares;
    private final long quietUntilMicros;
    private long lastSequence;
    private int reportOffset;

    /**
     * A view of this fleet. An earlier process may have lent all that it had, so at first nothing is used of what is limited.
     *
     * @param senderCount among how many a limit is divided: at least as many as can run
     * @param enforceShares whether calls are limited to this daemon's share
     * @param incarnation higher than that of any earlier process of this daemon, such as wall time
     */
    public FleetAdmissionControl(
            long now,
            String self,
            List<String> peers,
            int senderCount,
            boolean enforceShares,
            long incarnation,
            RandomGenerator random) {
        this.enforceShares = enforceShares;
        this.senderCount = Math.max(senderCount, peers.size());
        quietUntilMicros = now + QuotaShare.quietPeriodMicros(RateShare.LEASE_MICROS);
        this.self = self;
        this.peers = new ArrayList<>(peers);
        this.peers.remove(self);
        this.incarnation = incarnation;
        this.random = random;
        double roundsPerReportLife = (double) FleetLoadEstimate.REPORT_LIFE_MICROS / ROUND_MICROS;
        fleetLoad = new FleetLoadEstimate(this.peers, REPORT_FAN_OUT, roundsPerReportLife);
    }

    // ---- What happens here. ----

    /** Null for one destination too many. */
    private LocalLoadCounter counter(int destination) {
        LocalLoadCounter counter = counters.get(destination);
        if (counter == null && counters.size() < MAX_DESTINATIONS) {
            counter = new LocalLoadCounter();
            counters.put(destination, counter);
        }
        return counter;
    }

    /** A client submitted a message of this priority weight, whatever becomes of it. */
    public void onDemand(long now, int destination, double priorityWeight) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onDemand(now, priorityWeight);
        }
    }

    /** A message was delivered. */
    public void onServed(long now, int destination) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onServed(now);
        }
    }

    /** A message was rejected by the destination for want of capacity. */
    public void onRejected(long now, int destination) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onRejected(now);
        }
    }

    // ---- What peers report. ----

    private RateShare share(long now, int destination) {
        return shares.computeIfAbsent(
                destination, d -> new RateShare(now, incarnation, senderCount, now < quietUntilMicros));
    }

    /** A peer's report; returns what is to be sent to it, null for nothing. */
    public OutgoingReport onReport(long now, LoadReport report) {
        if (!fleetLoad.onReport(now, report)) {
            return null;
        }
        List<LoadReport.QuotaLoan> answers = new ArrayList<>();
        for (LoadReport.QuotaLoan loan : report.loans()) {
            if (!shares.containsKey(loan.destination()) && shares.size() >= MAX_DESTINATIONS) {
                continue;
            }
            RateShare share = share(now, loan.destination());
            if (loan.granted()) {
                share.onLoanGrant(now, report.sender(), loan);
            } else {
                answers.add(share.onLoanRequest(now, report.sender(), loan));
            }
        }
        return answers.isEmpty() ? null : new OutgoingReport(report.sender(), loanReport(answers));
    }

    private LoadReport loanReport(List<LoadReport.QuotaLoan> loans) {
        return new LoadReport(self, incarnation, ++lastSequence, Map.of(), loans);
    }

    // ---- Rounds. ----

    /** To be called once a round; {@code pendingMessages} gives what is pending for a destination. Returns prices that have changed. */
    public List<AdmissionPrice> runRound(long now, IntToDoubleFunction pendingMessages) {
        List<AdmissionPrice> changed = new ArrayList<>();
        destinationReports.clear();
        counters.forEach((destination, counter) -> {
            counter.setPendingMessages(pendingMessages.applyAsDouble(destination));
            AdmissionPrice price = updatePrice(now, destination, counter.load(now));
            AdmissionPrice previousPrice = prices.getOrDefault(destination, AdmissionPrice.none(destination));
            if (!price.isSimilarTo(previousPrice)) {
                prices.put(destination, price);
                changed.add(price);
            }
        });
        return changed;
    }

    private AdmissionPrice updatePrice(long now, int destination, DestinationLoad localLoad) {
        DestinationLoad totalLoad = fleetLoad.fleetLoad(now, destination, localLoad);
        CapacityEstimate capacity = capacities.computeIfAbsent(destination, d -> new CapacityEstimate(enforceShares));
        double admissiblePerSecond = capacity.update(now, totalLoad);
        AdmissionPrice price = Double.isInfinite(admissiblePerSecond)
                ? AdmissionPrice.none(destination)
                : AdmissionPrice.fromDemand(destination, totalLoad.demandByBand(), admissiblePerSecond);
        RateShare share = share(now, destination);
        share.updateNeed(localLoad, price, capacity.perSecond());
        destinationReports.add(new DestinationReport(
                destination,
                totalLoad.totalDemand(),
                totalLoad.servedPerSecond(),
                totalLoad.rejectedPerSecond(),
                totalLoad.pendingMessages(),
                capacity.perSecond(),
                price,
                share.usableFraction(now)));
        return price;
    }

    /** To be called after {@link #runRound}: the rate limits that have changed. */
    public List<RateLimit> changedRateLimits(long now) {
        List<RateLimit> changed = new ArrayList<>();
        capacities.forEach((destination, capacity) -> {
            double rate = share(now, destination).changedPerSecond(now, capacity.enforcedPerSecond());
            if (rate >= 0) {
                changed.add(new RateLimit(destination, rate));
            }
        });
        return changed;
    }

    /** The fraction of a destination that this daemon may use now, whether or not anything limits it. */
    double usableFraction(long now, int destination) {
        return share(now, destination).usableFraction(now);
    }

    /** Requests for shares of what is limited, by peer. */
    public List<OutgoingReport> loanRequests(long now) {
        Map<String, List<LoadReport.QuotaLoan>> loansByPeer = new LinkedHashMap<>();
        capacities.forEach((destination, capacity) -> {
            if (Double.isFinite(capacity.enforcedPerSecond())) {
                requestLoans(now, destination, capacity, loansByPeer);
            }
        });
        List<OutgoingReport> reports = new ArrayList<>();
        loansByPeer.forEach((peer, loans) -> {
            for (int from = 0; from < loans.size(); from += LoadReport.MAX_LOANS) {
                int to = Math.min(loans.size(), from + LoadReport.MAX_LOANS);
                reports.add(new OutgoingReport(peer, loanReport(List.copyOf(loans.subList(from, to)))));
            }
        });
        return reports;
    }

    private void requestLoans(
            long now, int destination, CapacityEstimate capacity, Map<String, List<LoadReport.QuotaLoan>> loansByPeer) {
        RateShare share = share(now, destination);
        double ownPerSecond = share.ownFraction() * capacity.perSecond();
        List<String> lenders = fleetLoad.peersWithLoadBelow(now, destination, ownPerSecond);
        for (QuotaLending.Request request : share.requestLoans(now, lenders)) {
            loansByPeer
                    .computeIfAbsent(request.peer(), peer -> new ArrayList<>())
                    .add(new LoadReport.QuotaLoan(false, destination, request.requestNumber(), request.fraction()));
        }
    }

    /** What to report in this round, and to whom. */
    public List<OutgoingReport> nextReports(long now) {
        if (peers.isEmpty()) {
            return List.of();
        }
        LoadReport report = buildReport(now);
        Collections.shuffle(peers, new Random(random.nextLong()));
        return peers.stream()
                .limit(REPORT_FAN_OUT)
                .map(peer -> new OutgoingReport(peer, report))
                .toList();
    }

    /** As many destinations as fit, the next ones in the next round. */
    private LoadReport buildReport(long now) {
        List<Integer> destinations = new ArrayList<>(counters.keySet());
        Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
        int bytes = LoadReport.headerBytes(self);
        int start = destinations.isEmpty() ? 0 : reportOffset % destinations.size();
        for (int i = 0; i < destinations.size(); i++) {
            int destination = destinations.get((start + i) % destinations.size());
            DestinationLoad load = counters.get(destination).load(now);
            if (!LoadReport.fits(bytes, loads.size(), load)) {
                reportOffset = start + i;
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

    /** Peers that this daemon has heard of lately. */
    public int reachablePeers(long now) {
        return fleetLoad.reachablePeers(now);
    }
}
