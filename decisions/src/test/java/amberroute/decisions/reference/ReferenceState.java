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
        DeliveryScheduler.MessageClass type;
        Destination destination;
        KeyQueue turn;
        long due;
        long aim;
        double worth;
        int attempts;
        int timeOuts;
        Call out;
        boolean calledOff;
        boolean ended;
        /** Answered by this sender; where answers are concluded later, the key's turn waits for that. */
        boolean answered;
        /** When the first attempt that may have run was sent, MAX_VALUE while none may have. */
        long doubtSince = Long.MAX_VALUE;

        Endpoint doubtAt;
        Endpoint failedAt;
        long notBefore;
        double index;
    }

    static final class Call {
        Endpoint endpoint;
        long sentAt;
        final List<PendingMessage> load = new ArrayList<>(1);
        int messages;
        int waiting;
        boolean noted;
        boolean silent;
        /** One of its messages may not be repeated. */
        boolean unsafe;
        /** One of its messages has little time left, so that all are given up early. */
        boolean hurried;

        boolean calledOff;
        /** How long the connection it may have reused had lain idle, 0 for a fresh one. */
        long idleBefore;
    }

    static final class Endpoint {
        long id;
        int zone;
        int messagesPerCall = 1;
        Destination destination;
        UpstreamHealth scope;
        DeliveryScheduler.EndpointState state;
        int inFlight;
        int connections;
        long lastUse = Long.MIN_VALUE / 2;
        /** Time between the last two stretches of use. */
        long gap;

        double failing;
        int failures;
        int lost;
        long lastOk = Long.MIN_VALUE / 2;
    }

    static final class Destination {
        final List<Endpoint> endpoints = new ArrayList<>(2);
        final FleetRateLimit ceiling = new FleetRateLimit();
        final UpstreamHealth shared;
        double p;
        boolean measured;
        /** Up to when p is as it was learned. */
        long heardAt;
        /** Share of recent calls that were answered. */
        double odds = 1;
        /** The least risk of a call among the messages for it; worked out anew in each choice. */
        int leastRisk;

        Destination(UpstreamHealth shared) {
            this.shared = shared;
        }
    }

    static final class KeyQueue {
        long key;
        final Deque<PendingMessage> queue = new ArrayDeque<>();
        long restUntil;
        PendingMessage restsAfter;
    }

    /** Exponentially averaged rate. */
    static final class DecayingRate {
        private final double span;
        private double sum;
        private long at;

        DecayingRate(double span) {
            this.span = span;
        }

        void add(long now, double n) {
            sum = sum * Math.exp((at - now) / span) + n;
            at = now;
        }

        double perSecond(long now) {
            return sum * Math.exp((at - now) / span) * 1e6 / span;
        }

        double atLast() {
            return sum * 1e6 / span;
        }
    }

    /** Health and limits of what shares one limit and one fate. */
    static final class UpstreamHealth {
        /** Whose it is: a destination's, or one endpoint's where that is not 0. */
        final int destination;

        final long endpoint;
        final List<Endpoint> members = new ArrayList<>();
        final List<Call> calls = new ArrayList<>();
        final DecayingRate sent;
        final DecayingRate served;
        double usual;
        double present;
        long waitUntil;
        long backoffUntil;
        double pace = Double.POSITIVE_INFINITY;
        long paceNext;
        long lastCut;
        long lastRaise;
        long lastRefusal;
        int refusals;
        double weight;
        double left = Double.NaN;
        /** Share of recent calls that may have run and were not answered as done. */
        double harm;

        BreakerState breaker = BreakerState.CLOSED;
        int trials;
        long openedAt;
        long trialAt;
        Call trial;
        long rampFrom;
        long rampSent;
        double formerPace;
        long lastOk = Long.MIN_VALUE / 2;

        UpstreamHealth(int destination, long endpoint, double sentSpan, double servedSpan) {
            this.destination = destination;
            this.endpoint = endpoint;
            sent = new DecayingRate(sentSpan);
            served = new DecayingRate(servedSpan);
        }
    }

    /** An account of messages that may be sent; it saves up one at most, so that nothing comes in a burst. */
    static final class FleetRateLimit {
        private double perSecond = Double.POSITIVE_INFINITY;
        private double saved;
        private long at;

        /** From now on so many a second; what was saved up under the rate before stays. */
        void set(long now, double rate, double first) {
            if (Double.isInfinite(perSecond)) {
                saved = Math.min(1, first);
            } else {
                save(now);
            }
            perSecond = Math.max(0, rate);
            at = now;
        }

        private void save(long now) {
            saved = Math.min(1, saved + Math.min(1e6, perSecond) * (now - at) / 1e6);
            at = now;
        }

        double perSecond() {
            return perSecond;
        }

        /** When the next message may be sent, MAX_VALUE while the rate is 0. */
        long opensAt(long now) {
            if (Double.isInfinite(perSecond)) {
                return now;
            }
            save(now);
            double missing = 1 - saved;
            return missing <= 1e-9
                    ? now
                    : perSecond == 0 ? Long.MAX_VALUE : now + (long) Math.ceil(missing * 1e6 / perSecond);
        }

        /** One is sent; more than were saved up are owed. */
        void charge() {
            saved -= Double.isInfinite(perSecond) ? 0 : 1;
        }
    }

    /** Token bucket that starts full and holds one token at least. */
    static final class TokenBucket {
        private final double perSecond;
        private final double most;
        private double tokens;
        private long at = Long.MIN_VALUE;

        TokenBucket(double perSecond, double seconds) {
            this.perSecond = perSecond;
            most = Math.max(1, perSecond * seconds);
            tokens = most;
        }

        boolean take(long now) {
            if (at != Long.MIN_VALUE) {
                tokens = Math.min(most, tokens + perSecond * (now - at) / 1e6);
            }
            at = now;
            boolean granted = tokens >= 1;
            tokens -= granted ? 1 : 0;
            return granted;
        }
    }
}
