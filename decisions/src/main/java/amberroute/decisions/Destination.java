package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AdmissionPriceChanged;
import amberroute.decisions.collections.IndexedTimerHeap;
import java.util.ArrayList;
import java.util.List;

/** A destination: its endpoints, its dispatch queues and its measurements. */
final class Destination {
    final List<Endpoint> endpoints = new ArrayList<>(2);
    final List<DispatchQueue> queues = new ArrayList<>(2);
    final FleetRateLimit fleetRateLimit = new FleetRateLimit();
    /** Price of a call for the whole fleet; zero until a price is set. */
    AdmissionPriceChanged admissionPrice = AdmissionPriceChanged.NONE;
    /** Health of all endpoints that are not independent. */
    final UpstreamHealth sharedHealth;

    /** Expected service time as of {@link #serviceUpdatedAt}; see {@link ServiceTimes}. */
    double serviceMicros;

    boolean serviceMeasured;
    long serviceUpdatedAt;
    /** Share of recent calls that succeeded. */
    double successProbability = 1;
    /** The lowest risk class of its messages, as of {@link #leastRiskRound}. */
    int leastRisk;

    long leastRiskRound;
    /** Number of messages for this destination that are not completed. */
    int pendingMessages;

    int callsInFlight;
    /** The call of {@link #openCallRound} that accepts more messages. */
    UpstreamCall openCall;

    long openCallRound;
    /** The last selection round in which nothing more could be sent to this destination. */
    long blockedRound;
    /** Whether nothing can be sent until {@link #wakeTimer} expires or something is learned about the destination. */
    boolean asleep;

    final IndexedTimerHeap.Entry<Destination> wakeTimer = new IndexedTimerHeap.Entry<>(this);

    Destination(UpstreamHealth sharedHealth) {
        this.sharedHealth = sharedHealth;
    }
}
