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
 * One sender's view of the demand on its fleet and of the capacity of destinations. It counts the local load, reports it to some peers, takes
 * their reports, and computes the admission price of each destination. Senders compute prices on their own, but from similar data, so the
 * prices are similar; correctness does not depend on that. Invariant: demand is counted before any message is rejected, so reports do not
 * depend on the price, and late ones do not make it oscillate.
 *
 * <p>The report traffic of one sender does not grow with the fleet: {@value #REPORT_FAN_OUT} datagrams in each round. Times are microseconds
 * on the caller's clock. At most {@value #MAX_DESTINATIONS} destinations are tracked. Not thread-safe.
 */
public final class FleetAdmissionControl {
    static final int MAX_DESTINATIONS = 1_024;
    /** Random peers that get a report in each round; 4 make 40 reports while one is valid, on average one for each of 40 peers. */
    static final int REPORT_FAN_OUT = 4;
    /** Time between two rounds. */
    public static final long ROUND_MICROS = 200_000;

    /** A report to send to a peer. */
    public record OutgoingReport(String recipient, LoadReport report) {}

    /** A new limit of the calls per second of this sender; infinite for no limit. */
    public record RateLimit(int destination, double perSecond) {}

    /**
     * The state of one destination, for operators. Rates are messages per second of the whole fleet.
     *
     * @param capacityPerSecond estimated capacity, infinite while it is unknown
     * @param fraction part of the capacity that this sender may use
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
     * Creates the view of one sender. An earlier process may have lent its whole share, so at first no share of a limit is used.
     *
     * @param senderCount number of senders that a limit is divided among: at least as many as can run
     * @param enforceShares whether calls are limited to this sender's share
     * @param incarnation higher than that of any earlier process of this sender, such as the wall-clock time
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

    // ---- Local load. ----

    /** Returns null for a new destination if {@link #MAX_DESTINATIONS} are tracked already. */
    private LocalLoadCounter counter(int destination) {
        LocalLoadCounter counter = counters.get(destination);
        if (counter == null && counters.size() < MAX_DESTINATIONS) {
            counter = new LocalLoadCounter();
            counters.put(destination, counter);
        }
        return counter;
    }

    /** Counts a submitted message of this priority weight, whether or not it is accepted. */
    public void onDemand(long now, int destination, double priorityWeight) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onDemand(now, priorityWeight);
        }
    }

    /** Counts a delivered message. */
    public void onServed(long now, int destination) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onServed(now);
        }
    }

    /** Counts a message that the destination rejected for lack of capacity. */
    public void onRejected(long now, int destination) {
        LocalLoadCounter counter = counter(destination);
        if (counter != null) {
            counter.onRejected(now);
        }
    }

    // ---- Reports of peers. ----

    private RateShare share(long now, int destination) {
        return shares.computeIfAbsent(
                destination, d -> new RateShare(now, incarnation, senderCount, now < quietUntilMicros));
    }

    /** Handles a peer's report; returns the answer to its loan requests, null if there is none. */
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

    /** Runs one round and returns the changed prices. {@code pendingMessages} returns the pending messages of a destination. */
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

    /** Returns the rate limits that have changed; to be called after {@link #runRound}. */
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

    /** The fraction of a destination's capacity that this sender may use now, whether or not a limit is in force. */
    double usableFraction(long now, int destination) {
        return share(now, destination).usableFraction(now);
    }

    /** The loan requests for limited destinations, one or more reports for each peer. */
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

    /** The load reports of this round. */
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

    /** Reports as many destinations as fit; the next report continues after them. */
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

    /** The state of all destinations as of the last round. */
    public List<DestinationReport> destinationReports() {
        return List.copyOf(destinationReports);
    }

    /** Number of peers from which a report has arrived within {@link FleetLoadEstimate#REPORT_LIFE_MICROS}. */
    public int reachablePeers(long now) {
        return fleetLoad.reachablePeers(now);
    }
}
