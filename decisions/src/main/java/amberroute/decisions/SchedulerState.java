package amberroute.decisions;

import amberroute.decisions.collections.DueDateTreap;
import amberroute.decisions.collections.IndexOrderIterator;
import amberroute.decisions.collections.IndexedTimerHeap;
import java.util.ArrayList;
import java.util.List;

/** What a sender remembers; every decision on it is in {@link Policy}. */
final class SchedulerState {
    private SchedulerState() {}

    enum BreakerState {
        CLOSED,
        OPEN,
        RAMP
    }

    static final class PendingMessage extends DueDateTreap.Node<PendingMessage> {
        long id;
        DeliveryScheduler.MessageClass type;
        Destination destination;
        DispatchQueue bucket;
        KeyQueue turn;
        /** Neighbours in the key's order. */
        PendingMessage ahead;

        PendingMessage behind;
        double worth;
        int attempts;
        int timeOuts;
        /** In its bucket: not out, not ended. */
        boolean waits;

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
        /** When its pause or its key's rest is over, and until when it may be sent again; null until there was one. */
        IndexedTimerHeap.Entry<PendingMessage> pause;

        IndexedTimerHeap.Entry<PendingMessage> lapse;

        /** From 0 to 1, evenly; the same for all messages of a key, at every sender. */
        double lot() {
            return ((turn == null ? id : turn.key) * 0x9e3779b97f4a7c15L >>> 11) * 0x1p-53;
        }
    }

    /** The messages of one destination, class and worth that wait to be sent. */
    static final class DispatchQueue {
        final Destination destination;
        final DeliveryScheduler.MessageClass type;
        final double worth;
        final DueDateTreap<PendingMessage> tree = new DueDateTreap<>();
        final IndexOrderIterator<PendingMessage> walk = new IndexOrderIterator<>(tree);
        /** When its first message has to be ended: never later than it really has to be. */
        final IndexedTimerHeap.Entry<DispatchQueue> end = new IndexedTimerHeap.Entry<>(this);
        /** The earliest due date of those that are ready, the earliest and the latest of all. */
        long firstReady;

        long first;
        long last;
        /** What it is counted for in the sums, as of a time. */
        int counted;

        double steady;
        double fading;
        long countedAt;
        /** Logarithm of worth, odds and the least service time together; no index is above it. */
        double gain;
        /** Places in the lists of buckets that are not empty, and of those that may have something to send; -1 for none. */
        int place = -1;

        int awakePlace = -1;
        /** The last choice that it was looked at in, and whether its best message has been looked for there. */
        long choice;

        boolean begun;

        DispatchQueue(Destination destination, DeliveryScheduler.MessageClass type, double worth) {
            this.destination = destination;
            this.type = type;
            this.worth = worth;
        }
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

        boolean takesMore() {
            return messages < endpoint.messagesPerCall;
        }
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
        /** What a call costs the fleet; nothing where nobody tells. */
        DeliveryScheduler.Event.AdmissionPriceChanged price = DeliveryScheduler.Event.AdmissionPriceChanged.NONE;

        final UpstreamHealth shared;
        double p;
        boolean measured;
        /** Up to when p is as it was learned. */
        long heardAt;
        /** Share of recent calls that were answered. */
        double odds = 1;
        /** The least risk of a call among the messages for it, as of one choice. */
        int leastRisk;

        long judged;
        final List<DispatchQueue> buckets = new ArrayList<>(2);
        /** Messages for it, those that are out too, and calls to it. */
        int held;

        int calls;
        /** The call that takes more messages in one choice, and in which choice nothing more could be sent to it. */
        Call filling;

        long filled;
        long shut;
        /** Nothing can be sent there until this time, or until something happens there. */
        boolean asleep;

        final IndexedTimerHeap.Entry<Destination> opens = new IndexedTimerHeap.Entry<>(this);

        Destination(UpstreamHealth shared) {
            this.shared = shared;
        }
    }

    /** The messages of a key in their order, linked by themselves. */
    static final class KeyQueue {
        final long key;
        PendingMessage first;
        private PendingMessage last;
        long restUntil;
        PendingMessage restsAfter;

        KeyQueue(long key) {
            this.key = key;
        }

        void add(PendingMessage m) {
            m.turn = this;
            m.ahead = last;
            if (last == null) {
                first = m;
            } else {
                last.behind = m;
            }
            last = m;
        }

        void remove(PendingMessage m) {
            if (m.ahead == null && first != m) {
                return;
            }
            if (m.ahead == null) {
                first = m.behind;
            } else {
                m.ahead.behind = m.behind;
            }
            if (m.behind == null) {
                last = m.ahead;
            } else {
                m.behind.ahead = m.ahead;
            }
            m.ahead = null;
            m.behind = null;
        }
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

        /** What it would have to sum up to for so many a second. */
        double sum(double perSecond) {
            return perSecond * span / 1e6;
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
        /** Share of its allowance that is left, as last told; NaN where none was. */
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

        /** What each sender's turn at its door takes: so many calls of the told limit, or {@code most} where that is less. */
        long turn(long most, double calls) {
            return (long) Math.min(most, calls * 1e6 / weight);
        }

        /** Present latency, with this weight of each new one: a call unanswered for longer counts as though it were answered now. */
        double present(long now, double weight) {
            double seen = present;
            for (Call call : calls) {
                double age = now - call.sentAt;
                if (age > seen && call.sentAt >= lastOk) {
                    seen += weight * (age - seen);
                }
            }
            return seen;
        }

        /** What of it has to outlast the process. */
        DeliveryScheduler.HealthCheckpoint memory(long now) {
            DeliveryScheduler.UpstreamStatus health =
                    switch (breaker) {
                        case OPEN -> DeliveryScheduler.UpstreamStatus.UNAVAILABLE;
                        case RAMP -> DeliveryScheduler.UpstreamStatus.SLOW_START;
                        case CLOSED -> DeliveryScheduler.UpstreamStatus.HEALTHY;
                    };
            long since = now - (health == DeliveryScheduler.UpstreamStatus.UNAVAILABLE ? openedAt : rampFrom);
            return new DeliveryScheduler.HealthCheckpoint(destination, endpoint, health, since, formerPace, usual);
        }

        /** What another process should know that goes on with it at once. */
        DeliveryScheduler.UpstreamSnapshot learned(long now) {
            Destination d = members.get(0).destination;
            return new DeliveryScheduler.UpstreamSnapshot(
                    memory(now),
                    Math.max(0, waitUntil - now),
                    Math.max(0, backoffUntil - now),
                    pace,
                    now - lastRefusal,
                    now - lastOk,
                    present,
                    d.measured ? d.p : 0,
                    d.odds,
                    sent.perSecond(now),
                    served.perSecond(now),
                    weight,
                    harm);
        }

        void take(long now, DeliveryScheduler.UpstreamSnapshot l) {
            present = l.presentLatencyMicros();
            formerPace = l.checkpoint().callsPerSecond();
            waitUntil = now + l.retryAfterMicros();
            backoffUntil = now + l.backoffMicros();
            pace = l.pacePerSecond();
            lastRefusal = now - l.sinceRejectionMicros();
            lastOk = now - l.sinceSuccessMicros();
            sent.add(now, sent.sum(l.sentPerSecond()));
            served.add(now, served.sum(l.servedPerSecond()));
            weight = l.reportedLimit();
            harm = l.failureRatio();
        }

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
