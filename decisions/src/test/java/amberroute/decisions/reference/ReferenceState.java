package amberroute.decisions.reference;

import amberroute.decisions.DeliveryScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What a sender remembers; every decision on it is in {@link ReferenceScheduler}. */
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
        /** Answered by this sender; where answers are concluded later, the key's turn waits for that. */
        boolean answeredHere;
        /** When the first attempt that may have run was sent, MAX_VALUE while none may have. */
        long unknownOutcomeSince = Long.MAX_VALUE;

        Endpoint unknownOutcomeEndpoint;
        Endpoint lastFailedEndpoint;
        long notBefore;
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
        /** One of its messages may not be repeated. */
        boolean nonIdempotent;
        /** One of its messages has little time left, so that all are given up early. */
        boolean shortOfTime;

        boolean cancelling;
        /** How long the connection it may have reused had lain idle, 0 for a fresh one. */
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
        int connections;
        long lastUsedAt = Long.MIN_VALUE / 2;
        /** Time between the last two stretches of use. */
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
        /** Up to when p is as it was learned. */
        long serviceUpdatedAt;
        /** Share of recent calls that were answered. */
        double successProbability = 1;
        /** The least risk of a call among the messages for it; worked out anew in each choice. */
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

    /** Exponentially averaged rate. */
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

    /** Health and limits of what shares one limit and one fate. */
    static final class UpstreamHealth {
        /** Whose it is: a destination's, or one endpoint's where that is not 0. */
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
        double pacePerSecond = Double.POSITIVE_INFINITY;
        long nextPacedCallAt;
        long lastPaceCutAt;
        long lastPaceRaiseAt;
        long lastRejectionAt;
        int rejections;
        double reportedLimit;
        double reportedAllowanceLeft = Double.NaN;
        /** Share of recent calls that may have run and were not answered as done. */
        double failureRatio;

        BreakerState breaker = BreakerState.CLOSED;
        int failedTrials;
        long openedAt;
        long nextTrialAt;
        Call trial;
        long slowStartBeganAt;
        long lastSlowStartCallAt;
        double callsPerSecondBeforeOutage;
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

    /** An account of messages that may be sent; it saves up one at most, so that nothing comes in a burst. */
    static final class FleetRateLimit {
        private double perSecond = Double.POSITIVE_INFINITY;
        private double tokens;
        private long refilledAt;

        /** From now on so many a second; what was saved up under the rate before stays. */
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

        /** When the next message may be sent, MAX_VALUE while the rate is 0. */
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

        /** One is sent; more than were saved up are owed. */
        void consume() {
            tokens -= Double.isInfinite(perSecond) ? 0 : 1;
        }
    }

    /** Token bucket that starts full and holds one token at least. */
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
