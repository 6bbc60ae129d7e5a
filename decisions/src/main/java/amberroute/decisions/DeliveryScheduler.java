package amberroute.decisions;

import java.util.List;

/**
 * The decisions of one sender: it holds messages and hands them to destinations that it does not control.
 *
 * <p>This file is the whole interface of {@link Policy}. Times are microseconds on the caller's clock, ids
 * are opaque. A caller passes everything that happened at one moment, then {@link Event.Decide}; actions are
 * given during that call and take effect at the same moment.
 */
public interface DeliveryScheduler {

    /** Takes note of one event; {@link Event.Decide} makes the decisions. */
    void step(long now, Event event, Actions actions);

    /** How many of the endpoints that are listed as ready get no ordinary messages now, for what was seen of them. */
    default int avoided() {
        return 0;
    }

    /** What another process should know that takes over now, one for each place that was called. */
    default List<UpstreamSnapshot> learned(long now) {
        return List.of();
    }

    /** The keys that rest now. */
    default List<KeyPause> rests(long now) {
        return List.of();
    }

    /** How often an effect may happen. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How far a destination's memory of a key reaches. */
    enum KeyScope {
        DESTINATION,
        ZONE,
        ENDPOINT
    }

    /** How the worth of a late message falls. */
    enum LateValueDecay {
        EVEN,
        HALVING
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        UNKNOWN;

        /** Whether an attempt that ended so may have had its effect. */
        public boolean mayHaveRun() {
            return this != FULL && this != CONNECT_FAILED && this != MOOT;
        }
    }

    /** State of a listed endpoint; it says nothing of its health. */
    enum EndpointState {
        READY,
        DRAINING,
        GONE
    }

    /** What kind of list an event brings. */
    enum EndpointListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** What a listed weight says. */
    enum WeightKind {
        NONE,
        NOMINAL,
        ROUGH
    }

    /** A class of messages. */
    record MessageClass(
            double worth,
            double lateShare,
            long aim,
            long deadline,
            Effect effect,
            KeyScope keyScope,
            long keyLife,
            boolean inOrder) {}

    /** A tenant: messages a second within its share, from all senders together. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of destination. */
    record DestinationKind(boolean routesApart, int messagesPerCall) {}

    /** What the deployment permits. */
    record Limits(
            int slots,
            int openMessages,
            int maxAttempts,
            boolean parallelAttempts,
            boolean cancel,
            boolean retryAdvice,
            long maxRetryAdvice,
            int callsPerConnection,
            long idleConnectionLife,
            long connectTimeout) {}

    /** The figures of the rules. */
    record Rules(
            long answerSlack,
            long askWithin,
            double startCapacity,
            long coldSpan,
            double fallMultiple,
            long fallSpan,
            long settle) {}

    /** Prices that guide the choice of an endpoint; tolls are by zone and may be empty. */
    record Prices(double handshake, double crossZone, List<Double> zoneToll) {}

    /** Which values of a load report tell of a limit; -1 where none does. */
    record ReportFields(int allowanceLeft, int limit) {
        /** Whether a report has both. */
        boolean in(List<Double> report) {
            return allowanceLeft >= 0 && limit >= 0 && Math.max(allowanceLeft, limit) < report.size();
        }
    }

    /** All that a sender is told at its start. */
    record Settings(
            long seed,
            int senders,
            int zone,
            long tick,
            boolean listOnRequest,
            double overShareWorth,
            LateValueDecay lateWorth,
            WeightKind weights,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<DestinationKind> kinds,
            Limits limits,
            Rules rules,
            Prices prices,
            ReportFields reports) {

        /** Ends in an IllegalArgumentException that names what is out of range. */
        void check() {
            require(senders > 0 && !classes.isEmpty(), "senders or classes");
            require(limits.slots() > 0 && limits.openMessages() > 0 && limits.maxAttempts() > 0, "limits");
            require(rules.startCapacity() > 0 && rules.coldSpan() >= 0 && rules.fallMultiple() > 0, "rules");
            require(classes.stream().allMatch(c -> c.deadline() > 0 && c.aim() > 0), "classes");
        }

        private static void require(boolean holds, String setting) {
            if (!holds) {
                throw new IllegalArgumentException("setting " + setting + " is out of range");
            }
        }

        /** The time of the class that has most, in microseconds. */
        public long longestTime() {
            long longest = 0;
            for (MessageClass type : classes) {
                longest = Math.max(longest, type.deadline());
            }
            return longest;
        }

        /** The worth of the class that is worth most. */
        public double mostWorth() {
            double most = 0;
            for (MessageClass type : classes) {
                most = Math.max(most, type.worth());
            }
            return most;
        }

        /** The same with other classes. */
        public Settings withClasses(List<MessageClass> others) {
            return new Settings(
                    seed,
                    senders,
                    zone,
                    tick,
                    listOnRequest,
                    overShareWorth,
                    lateWorth,
                    weights,
                    others,
                    tenants,
                    kinds,
                    limits,
                    rules,
                    prices,
                    reports);
        }
    }

    /** A line of the list of endpoints. */
    record EndpointEntry(long endpoint, int destination, EndpointState state, double weight, int zone, int kind) {}

    /**
     * What has to outlast the process of one destination, or of one endpoint where {@code endpoint} is not 0: that it is
     * out, or has been and is cold, since {@code since} microseconds; the messages a second and the latency it had before.
     */
    record HealthCheckpoint(
            int destination, long endpoint, UpstreamStatus health, long since, double pace, double usual) {}

    /**
     * What is known of a place by a process that ends while another goes on at once: beside what outlasts any end, the
     * waits that bind and what was measured. Spans in microseconds from now, rates a second.
     */
    record UpstreamSnapshot(
            HealthCheckpoint memory,
            long waitLeft,
            long backoffLeft,
            double pace,
            long refusedAgo,
            long okAgo,
            double present,
            double p,
            double odds,
            double sent,
            double served,
            double weight,
            double harm) {}

    /** The messages of a key wait for so long, but for the one named by its id, 0 for none. */
    record KeyPause(long key, long left, long except) {}

    /** How a destination fares as far as a sender has seen. */
    enum UpstreamStatus {
        WELL,
        OUT,
        COLD
    }

    /** Something that happened. */
    sealed interface Event {
        /** A new message; {@code timeLeft} is how long it may still be delivered. */
        record MessageSubmitted(long id, int messageClass, int tenant, long key, long timeLeft, int destination)
                implements Event {}

        /**
         * A message that an earlier process of this sender had taken on, in the order of acceptance.
         * {@code doubtAge} is the time since the first attempt that may have run was sent, -1 where none may
         * have; {@code cutOff} tells that the last attempt was out when that process ended.
         */
        record MessageRecovered(
                long id,
                int messageClass,
                long key,
                long timeLeft,
                int destination,
                int attempts,
                long doubtAge,
                long doubtEndpoint,
                boolean cutOff)
                implements Event {}

        /**
         * A call that the process before this one still has out, after its messages have been resumed with one attempt
         * less: its outcome is told like any other's. It began {@code sentAgo} ago.
         */
        record CallInFlight(List<Long> ids, long endpoint, long sentAgo) implements Event {}

        /** A message that an earlier process has answered, of a class that keeps its order: Concluded is still to come. */
        record CompletedMessageRecovered(long id, long key) implements Event {}

        /** What the process before this one knows of a place, behind the list. */
        record UpstreamStateTransferred(UpstreamSnapshot learned) implements Event {}

        /** A key rests, as the process before this one saw it, behind the messages that are resumed. */
        record KeyPaused(KeyPause rest) implements Event {}

        /** What an earlier process of this sender asked to be remembered, {@code age} ago; before what is resumed. */
        record HealthRestored(HealthCheckpoint memory, long age) implements Event {}

        /**
         * Other settings count from now on. A message under way keeps its class; {@code messageClass} of later events
         * is an index into these. Those that cannot be used change nothing and end in an IllegalArgumentException.
         */
        record SettingsChanged(Settings settings) implements Event {}

        /**
         * This daemon's part of what all of them may give a destination from now on, in messages a second; infinite for no
         * ceiling, 0 for nothing. {@code first} is the share of the first message that is saved up already, where there was
         * no ceiling before; {@code back} tells that another daemon has just seen the destination answer after an outage.
         */
        record FleetRateLimitChanged(int destination, double perSecond, double first, boolean back) implements Event {}

        /**
         * What a call to a destination costs all daemons together from now on, as worth given up elsewhere: an arrival
         * worth less than {@code worth} is to be turned away, of one worth up to {@code upTo} the {@code share} is taken
         * on. {@code again} is when what was turned away may have a chance, in microseconds.
         */
        record AdmissionPriceChanged(int destination, double worth, double upTo, double share, long again)
                implements Event {
            /** A call costs nothing. */
            public static final AdmissionPriceChanged NONE = new AdmissionPriceChanged(0, 0, 0, 1, 0);
        }

        /** The process will be ended after {@code timeLeft}; what is held then resumes in the next one. */
        record ShutdownStarted(long timeLeft) implements Event {}

        /** The final answer of a message has reached whom it was for: its key's turn passes on. */
        record CompletionAcknowledged(long id) implements Event {}

        /**
         * An attempt ended; {@code toldWait} is the told wait or 0, {@code report} may be empty. {@code idle} is how
         * long its connection had lain idle before, 0 for a fresh one, -1 where the caller does not know.
         */
        record AttemptCompleted(
                long id,
                int attempt,
                long endpoint,
                AttemptOutcome ending,
                long took,
                boolean closed,
                long toldWait,
                List<Double> report,
                long idle)
                implements Event {

            public AttemptCompleted(
                    long id,
                    int attempt,
                    long endpoint,
                    AttemptOutcome ending,
                    long took,
                    boolean closed,
                    long toldWait,
                    List<Double> report) {
                this(id, attempt, endpoint, ending, took, closed, toldWait, report, -1);
            }

            /**
             * Whether its receiver had no place for the connection, rather than for the call: it turned a fresh one away without a word
             * of its limit, though answers tell of that. Places come free with each answer, and idle connections hold them.
             */
            public boolean noPlace(ReportFields told) {
                return ending == AttemptOutcome.FULL
                        && idle == 0
                        && toldWait == 0
                        && report.isEmpty()
                        && told.limit() >= 0;
            }
        }

        /** A streamed answer began: the attempt now belongs to the client. */
        record StreamStarted(long id, int attempt) implements Event {}

        /** Nobody wants this message any more. */
        record MessageCancelled(long id) implements Event {}

        /** News of the list of endpoints. */
        record EndpointListUpdated(EndpointListKind kind, List<EndpointEntry> entries) implements Event {}

        /** A timer is due. */
        record TimerExpired(long token) implements Event {}

        /** A health check ended. */
        record HealthCheckCompleted(long endpoint, AttemptOutcome ending, long took) implements Event {}

        /** Another sender told something. */
        record PeerMessageReceived(long from, byte[] data) implements Event {}

        /** All events of this moment have been passed: decide. */
        record Decide() implements Event {}
    }

    /** What a sender can do. */
    interface Actions {
        /**
         * Starts an attempt, given up at {@code giveUpAt} on the clock. Sends of one turn to one endpoint may
         * travel as one call; their times are the same.
         */
        void send(long id, long endpoint, long giveUpAt);

        /** Final answer: another try does no harm; {@code retryAfter} is advice, 0 for none. */
        void refuse(long id, long retryAfter);

        /** Final answer: nothing is said of the effect. */
        void fail(long id);

        /** Stops waiting for an attempt; all messages of its call are called off together. */
        void cancel(long id, int attempt);

        /** Shuts the idle connections to an endpoint; calls in flight are not touched. */
        void closeIdle(long endpoint);

        /**
         * Messages that may not be repeated are not to go over connections that have lain idle for longer; callers
         * that pool none pass over it.
         */
        default void trustIdle(long longest) {}

        /** Replaces what was remembered of the same place; callers without a lasting store pass over it. */
        default void remember(HealthCheckpoint memory) {}

        /** Asks for a timer. */
        void wake(long delay, long token);

        /** Subscribes to changes of the list. */
        void follow();

        /** Adds a line to the operators' log. */
        void log(String text);
    }
}
