package amberroute.decisions;

/**
 * Predicts how long a message will wait: the larger of the work ahead over all slots and the work ahead at its destination over
 * the destination's cap, or the time that its limits take. Ahead is what has the higher index now or, having no less priority
 * weight, will have it as the message ages. Times are microseconds on the caller's clock.
 */
final class WaitPrediction {
    private final CurrentSettings settings;
    private final ServiceTimes serviceTimes;
    private final BacklogEstimate backlog;
    private final DispatchIndex index;
    private final CallsInFlight calls;
    private final UpstreamGate gate;
    private final RecoveryRamp recoveryRamp;

    WaitPrediction(
            CurrentSettings settings,
            ServiceTimes serviceTimes,
            BacklogEstimate backlog,
            DispatchIndex index,
            CallsInFlight calls,
            UpstreamGate gate,
            RecoveryRamp recoveryRamp) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.backlog = backlog;
        this.index = index;
        this.calls = calls;
        this.gate = gate;
        this.recoveryRamp = recoveryRamp;
    }

    /** The predicted wait of a message that waits now. */
    long predictedWaitMicros(long now, PendingMessage message) {
        return predictedWaitMicros(now, message, false);
    }

    /** An upper bound on the predicted wait at a fraction of its cost: all that waits counts as ahead. */
    long upperBoundMicros(long now, PendingMessage message) {
        return predictedWaitMicros(now, message, true);
    }

    private long predictedWaitMicros(long now, PendingMessage message, boolean upperBound) {
        Destination destination = message.destination;
        double messageIndex = index.indexFor(now, message);
        double totalMicros = backlog.waitingMicros(now, upperBound ? Double.NEGATIVE_INFINITY : message.priorityWeight)
                - serviceTimes.expectedMicros(now, message);
        double destinationMicros = 0;
        for (UpstreamHealth health : calls.busyUpstreams()) {
            double inFlightMicros = serviceTimes.inFlightMicros(now, health);
            totalMicros += inFlightMicros;
            destinationMicros += health.destinationId == destination.sharedHealth.destinationId ? inFlightMicros : 0;
        }
        double messagesAhead = 0;
        for (DispatchQueue queue : destination.queues) {
            double aheadInQueue = queue.priorityWeight >= message.priorityWeight
                    ? queue.messages.size() - (queue == message.queue ? 1 : 0)
                    : index.countAtLeast(now, queue, messageIndex);
            destinationMicros += aheadInQueue * serviceTimes.expectedMicros(now, queue);
            messagesAhead += aheadInQueue;
        }
        totalMicros += upperBound ? 0 : index.serviceMicrosAhead(now, message.priorityWeight, messageIndex);
        double waitMicros = Math.max(
                totalMicros / settings.limits().maxConcurrentCalls(),
                destinationMicros / Math.max(1, concurrencyCap(now, destination)));
        return (long) Math.max(waitMicros, rateLimitedWaitMicros(now, destination, messagesAhead));
    }

    private double concurrencyCap(long now, Destination destination) {
        double cap = 0;
        UpstreamHealth lastCounted = null;
        for (Endpoint endpoint : destination.endpoints) {
            if (endpoint.isReady() && endpoint.health != lastCounted) {
                lastCounted = endpoint.health;
                cap += gate.concurrencyCap(now, lastCounted);
            }
        }
        return cap;
    }

    /** The time until limits let the message out behind those ahead: an outage, a slow start, paces and the fleet's limit. */
    private double rateLimitedWaitMicros(long now, Destination destination, double messagesAhead) {
        double messagesPerSecond = 0;
        long availableAt = Micros.NEVER;
        UpstreamHealth lastCounted = null;
        for (Endpoint endpoint : destination.endpoints) {
            if (endpoint.isReady() && endpoint.health != lastCounted) {
                lastCounted = endpoint.health;
                // Paces count calls, and what waits behind a limit fills them.
                messagesPerSecond += endpoint.messagesPerCall * callsPerSecond(now, lastCounted);
                availableAt = Math.min(availableAt, availableAt(now, lastCounted));
            }
        }
        messagesPerSecond = Math.min(messagesPerSecond, destination.fleetRateLimit.perSecond());
        if (messagesPerSecond <= 0) {
            return 0;
        }
        double pacedMicros = Math.min(
                messagesAhead / messagesPerSecond * Micros.PER_SECOND,
                settings.rules().slowStartMicros());
        return Math.max(0, availableAt - now) + pacedMicros;
    }

    /** The pace of an upstream; during an outage and a slow start the mean of the rest of the slow start. */
    private double callsPerSecond(long now, UpstreamHealth health) {
        return health.breaker == BreakerState.CLOSED
                ? health.pacePerSecond
                : recoveryRamp.callsPerSecond((1 + recoveryRamp.progress(now, health)) / 2, health);
    }

    /** When an upstream is expected to take calls: an outage without a Retry-After counts as half over. */
    private static long availableAt(long now, UpstreamHealth health) {
        long holdOffUntil = Math.max(health.retryAfterUntil, health.backoffUntil);
        return health.breaker == BreakerState.OPEN ? Math.max(holdOffUntil, 2 * now - health.openedAt) : holdOffUntil;
    }
}
