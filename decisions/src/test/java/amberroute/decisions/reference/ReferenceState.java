package amberroute.decisions.reference;

import amberroute.decisions.DeliveryScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** State of the {@link ReferenceScheduler}, which makes all decisions on it. */
final class ReferenceState {
    private ReferenceState() {}

    enum BreakerState {
        CLOSED,
        OPEN,
        RAMP
    }

    static final class PendingMessage {
        long id;
        DeliveryScheduler.MessageClass messageClass;
        Destination destination;
        KeyQueue keyQueue;
        long due;
        long latencyObjectiveAt;
        double priorityWeight;
        int attempts;
        int timeouts;
        Call call;
        boolean cancelling;
        boolean completed;
        /** Whether this sender gave the final answer; with acknowledgements, the key waits for that of the answer. */
        boolean answeredHere;
        /** When the first attempt that may have run was sent; MAX_VALUE if none may have run. */
        long unknownOutcomeSince = Long.MAX_VALUE;

        Endpoint unknownOutcomeEndpoint;
        Endpoint lastFailedEndpoint;
        long backoffUntil;
        double index;
    }

    static final class Call {
        Endpoint endpoint;
        long sentAt;
        final List<PendingMessage> messages = new ArrayList<>(1);
        int messageCount;
        int outstanding;
        boolean outcomeLearned;
        boolean silent;
        /** Whether one of its messages is non-idempotent. */
        boolean nonIdempotent;
        /** Whether its messages have little time left, so that the call times out early. */
        boolean shortOfTime;

        boolean cancelling;
        /** Idle time of the connection before the call, 0 for a fresh one. */
        long connectionIdleMicros;
    }

    static final class Endpoint {
        long id;
        int zone;
        int messagesPerCall = 1;
        Destination destination;
        UpstreamHealth health;
        DeliveryScheduler.EndpointState state;
        int callsInFlight;
        int openConnections;
        long lastUsedAt = Long.MIN_VALUE / 2;
        /** Time between the last two periods of use. */
        long idleGapMicros;

        double failureRatio;
        int consecutiveFailures;
        int silentCalls;
        long lastSuccessAt = Long.MIN_VALUE / 2;
    }

    static final class Destination {
        final List<Endpoint> endpoints = new ArrayList<>(2);
        final FleetRateLimit fleetRateLimit = new FleetRateLimit();
        final UpstreamHealth sharedHealth;
        double serviceMicros;
        boolean serviceMeasured;
        /** Time up to which {@link #serviceMicros} is updated. */
        long serviceUpdatedAt;
        /** Share of recent calls that succeeded. */
        double successProbability = 1;
        /** The least risk of a call among its messages; computed in each dispatch. */
        int leastRisk;

        Destination(UpstreamHealth sharedHealth) {
            this.sharedHealth = sharedHealth;
        }
    }

    static final class KeyQueue {
        long key;
        final Deque<PendingMessage> messages = new ArrayDeque<>();
        long pausedUntil;
        PendingMessage exemptFromPause;
    }

    /** Exponentially averaged rate of events. */
    static final class DecayingRate {
        private final double timeConstantMicros;
        private double sum;
        private long updatedAt;

        DecayingRate(double timeConstantMicros) {
            this.timeConstantMicros = timeConstantMicros;
        }

        void add(long now, double events) {
            sum = sum * Math.exp((updatedAt - now) / timeConstantMicros) + events;
            updatedAt = now;
        }

        double perSecond(long now) {
            return sum * Math.exp((updatedAt - now) / timeConstantMicros) * 1e6 / timeConstantMicros;
        }

        double perSecondAtLastEvent() {
            return sum * 1e6 / timeConstantMicros;
        }
    }

    /** Health and limits of endpoints that share one limit and fail together. */
    static final class UpstreamHealth {
        /** The destination; the health is that of one of its endpoints if {@link #endpointId} is not 0. */
        final int destinationId;

        final long endpointId;
        final List<Endpoint> endpoints = new ArrayList<>();
        final List<Call> callsInFlight = new ArrayList<>();
        final DecayingRate sentRate;
        final DecayingRate servedRate;
        double usualLatencyMicros;
        double presentLatencyMicros;
        long retryAfterUntil;
        long backoffUntil;
        /** Since when calls have failed with no answer in between, while the last one is some time ago; NEVER if none has. */
        long suspectedSince = Long.MAX_VALUE;

        double pacePerSecond = Double.POSITIVE_INFINITY;
        long nextPacedCallAt;
        long lastPaceCutAt;
        long lastPaceRaiseAt;
        long lastRejectionAt;
        boolean sendsLoadReports = true;
        boolean openedInSlowStart;
        int rejections;
        double reportedLimit;
        double reportedAllowanceLeft = Double.NaN;
        /** Share of failures among the recent calls that may have run. */
        double failureRatio;

        BreakerState breaker = BreakerState.CLOSED;
        long openedAt;
        long nextTrialAt;
        Call trial;
        long slowStartBeganAt;
        long lastSlowStartCallAt;
        double servedPerSecondBeforeOutage;
        long lastSuccessAt = Long.MIN_VALUE / 2;

        UpstreamHealth(
                int destinationId,
                long endpointId,
                double sentRateTimeConstantMicros,
                double servedRateTimeConstantMicros) {
            this.destinationId = destinationId;
            this.endpointId = endpointId;
            sentRate = new DecayingRate(sentRateTimeConstantMicros);
            servedRate = new DecayingRate(servedRateTimeConstantMicros);
        }
    }

    /** Token bucket with a capacity of one message, so that there are no bursts; it may be overdrawn. */
    static final class FleetRateLimit {
        private double perSecond = Double.POSITIVE_INFINITY;
        private double tokens;
        private long refilledAt;

        /** Sets the rate; the tokens that have accumulated under a finite rate are kept. */
        void set(long now, double ratePerSecond, double initialTokens) {
            if (Double.isInfinite(perSecond)) {
                tokens = Math.min(1, initialTokens);
            } else {
                refill(now);
            }
            perSecond = Math.max(0, ratePerSecond);
            refilledAt = now;
        }

        private void refill(long now) {
            tokens = Math.min(1, tokens + Math.min(1e6, perSecond) * (now - refilledAt) / 1e6);
            refilledAt = now;
        }

        double perSecond() {
            return perSecond;
        }

        /** Returns when the next message may be sent, MAX_VALUE while the rate is 0. */
        long nextMessageAt(long now) {
            if (Double.isInfinite(perSecond)) {
                return now;
            }
            refill(now);
            double missingTokens = 1 - tokens;
            return missingTokens <= 1e-9
                    ? now
                    : perSecond == 0 ? Long.MAX_VALUE : now + (long) Math.ceil(missingTokens * 1e6 / perSecond);
        }

        /** Takes the token of one message, even if that overdraws the bucket. */
        void consume() {
            tokens -= Double.isInfinite(perSecond) ? 0 : 1;
        }
    }

    /** Token bucket that starts full and has a capacity of at least one token. */
    static final class TokenBucket {
        private final double perSecond;
        private final double capacity;
        private double tokens;
        private long refilledAt = Long.MIN_VALUE;

        TokenBucket(double perSecond, double burstSeconds) {
            this.perSecond = perSecond;
            capacity = Math.max(1, perSecond * burstSeconds);
            tokens = capacity;
        }

        boolean tryTake(long now) {
            if (refilledAt != Long.MIN_VALUE) {
                tokens = Math.min(capacity, tokens + perSecond * (now - refilledAt) / 1e6);
            }
            refilledAt = now;
            boolean granted = tokens >= 1;
            tokens -= granted ? 1 : 0;
            return granted;
        }
    }
}
