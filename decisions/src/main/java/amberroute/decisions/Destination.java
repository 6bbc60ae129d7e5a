package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AdmissionPriceChanged;
import amberroute.decisions.collections.IndexedTimerHeap;
import java.util.ArrayList;
import java.util.List;

/** A destination: its endpoints, its dispatch queues and what was measured of it. */
final class Destination {
    final List<Endpoint> endpoints = new ArrayList<>(2);
    final List<DispatchQueue> queues = new ArrayList<>(2);
    final FleetRateLimit fleetRateLimit = new FleetRateLimit();
    /** What a call costs the fleet; nothing until a price is set. */
    AdmissionPriceChanged admissionPrice = AdmissionPriceChanged.NONE;
    /** Health of all endpoints that are not independent. */
    final UpstreamHealth sharedHealth;

    /** Expected service time as of {@link #serviceUpdatedAt}; see {@link ServiceTimes}. */
    double serviceMicros;

    boolean serviceMeasured;
    long serviceUpdatedAt;
    /** Share of recent calls that succeeded. */
    double successProbability = 1;
    /** The least cost class of a failed call among its messages, as of {@link #leastRiskRound}. */
    int leastRisk;

    long leastRiskRound;
    /** Messages for it that are not completed. */
    int pendingMessages;

    int callsInFlight;
    /** The call of {@link #openCallRound} that takes more messages. */
    UpstreamCall openCall;

    long openCallRound;
    /** The selection round in which nothing more could be sent to it. */
    long blockedRound;
    /** Nothing can be sent until {@link #wakeTimer}, or until something happens at it. */
    boolean asleep;

    final IndexedTimerHeap.Entry<Destination> wakeTimer = new IndexedTimerHeap.Entry<>(this);

    Destination(UpstreamHealth sharedHealth) {
        this.sharedHealth = sharedHealth;
    }
}
