package amberroute.decisions;

/**
 * Predicts how long a message will wait. The prediction is the largest of: the work ahead divided by the number of slots, the
 * work ahead for its destination divided by the concurrency cap of the destination, and the wait that rate limits impose. A
 * message is ahead if it has the higher index now, or no less priority weight, as it will then get the higher index. Times are
 * microseconds on the caller's clock.
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

    /** Returns the predicted wait of a message that is waiting now. */
    long predictedWaitMicros(long now, PendingMessage message) {
        return predictedWaitMicros(now, message, false);
    }

    /** Returns an upper bound of the predicted wait that is cheap to compute: all waiting messages count as ahead. */
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

    /** Returns the time until limits permit the message after those ahead of it: outage, slow start, pace and fleet rate limit. */
    private double rateLimitedWaitMicros(long now, Destination destination, double messagesAhead) {
        double messagesPerSecond = 0;
        long availableAt = Micros.NEVER;
        UpstreamHealth lastCounted = null;
        for (Endpoint endpoint : destination.endpoints) {
            if (endpoint.isReady() && endpoint.health != lastCounted) {
                lastCounted = endpoint.health;
                // A pace counts calls, and messages that wait for a limit fill the calls.
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

    /** Returns the pace of an upstream; during an outage or a slow start it is the mean over the rest of the slow start. */
    private double callsPerSecond(long now, UpstreamHealth health) {
        return health.breaker == BreakerState.CLOSED
                ? health.pacePerSecond
                : recoveryRamp.callsPerSecond((1 + recoveryRamp.progress(now, health)) / 2, health);
    }

    /**
     * Returns when an upstream is expected to take calls. An outage is expected to last as long again as it has lasted, or until
     * the end of a Retry-After or backoff if that is later.
     */
    private static long availableAt(long now, UpstreamHealth health) {
        long holdOffUntil = Math.max(health.retryAfterUntil, health.backoffUntil);
        return health.breaker == BreakerState.OPEN ? Math.max(holdOffUntil, 2 * now - health.openedAt) : holdOffUntil;
    }
}
