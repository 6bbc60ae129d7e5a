package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.EndpointState;

/** A listed endpoint and what this sender has observed of it. All times are microseconds on the caller's clock. */
final class Endpoint {
    /** A time long before any other. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;

    final long id;
    final Destination destination;
    /** Shared with its siblings, or its own if the endpoints of its kind are independent. */
    final UpstreamHealth health;

    final int messagesPerCall;
    int zone;
    EndpointState state;
    int callsInFlight;
    /** Connections that the caller is assumed to hold open. */
    int openConnections;

    long lastUsedAt = LONG_AGO;
    /** Idle time between the last two periods of use. */
    long idleGapMicros;
    /** Share of recent calls that failed. */
    double failureRatio;

    int consecutiveFailures;
    /** Calls in flight that are silent and were sent after the last success. */
    int silentCalls;

    long lastSuccessAt = LONG_AGO;

    Endpoint(long id, Destination destination, UpstreamHealth health, int messagesPerCall) {
        this.id = id;
        this.destination = destination;
        this.health = health;
        this.messagesPerCall = messagesPerCall;
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }
}
