package amberroute.decisions;

import java.util.List;

/**
 * Decides when each accepted message of one sender is sent and to which endpoint, so that it is delivered before its deadline.
 * This interface is the whole API of the module; {@link AtcDeliveryScheduler} implements it.
 *
 * <p>Times are microseconds on the caller's clock, which must not go backwards; durations are microseconds, and their names end
 * in {@code Micros}. Ids and keys are opaque numbers; a key of 0 means no key. The caller passes all events of one moment and
 * then {@link Event.Decide}, which calls the actions; they take effect at the same moment. Only one thread at a time may use a
 * scheduler.
 */
public interface DeliveryScheduler {

    /** Processes one event; {@link Event.Decide} makes the decisions. Events that name unknown messages are ignored. */
    void step(long now, Event event, Actions actions);

    /** Returns how many ready endpoints have an open breaker or repeated failures, as seen by this sender. */
    default int avoidedEndpointCount() {
        return 0;
    }

    /** Returns the state that a process needs to take over now: a snapshot of each upstream (a destination or an endpoint). */
    default List<UpstreamSnapshot> snapshots(long now) {
        return List.of();
    }

    /** Returns the keys that are paused now. */
    default List<KeyPause> pausedKeys(long now) {
        return List.of();
    }

    /** Whether a message may be executed more than once. */
    enum Idempotency {
        /** Repeated executions do no harm. */
        IDEMPOTENT("SAFE"),
        /** The destination discards repetitions of an idempotency key for as long as it remembers the key. */
        KEYED("KEYED"),
        /** At most one execution is allowed, so an attempt that may have run is never retried. */
        NON_IDEMPOTENT("UNSAFE");

        private final String wireName;

        Idempotency(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in messages between senders; it must never change. */
        public String wireName() {
            return wireName;
        }
    }

    /** Which endpoints know an idempotency key that one has seen: all of the destination, those in its zone, or only itself. */
    enum KeyScope {
        DESTINATION,
        ZONE,
        ENDPOINT
    }

    /** How the value of a message decays after its latency objective: linearly to the deadline, or by half per objective. */
    enum LateValueDecay {
        LINEAR,
        HALVING
    }

    /**
     * How an attempt ended: success, error, rejected for the receiver's load, timed out, not connected, connection reset,
     * cancelled by this sender, not executed because the message was no longer wanted, or unknown.
     */
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

        /** Returns whether an attempt with this outcome may have been executed. */
        public boolean mayHaveRun() {
            return this != FULL && this != CONNECT_FAILED && this != MOOT;
        }
    }

    /** The state of a listed endpoint, which is independent of its health. Only ready endpoints get calls. */
    enum EndpointState {
        READY,
        DRAINING,
        GONE
    }

    /** The kind of a list update: changes, a complete list, one that may be outdated, or none because the watch failed. */
    enum EndpointListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** The meaning of a listed weight: none, the nominal capacity of an endpoint in calls a second, or an estimate of it. */
    enum WeightKind {
        NONE,
        NOMINAL,
        ESTIMATED
    }

    /**
     * A class of messages.
     *
     * @param priorityWeight value of a delivery in time, at least 0
     * @param lateValueShare share of that value that is left at the deadline, 0 to 1
     * @param latencyObjectiveMicros time from submission within which a delivery has its full value, above 0
     * @param deadlineMicros time from submission after which a delivery has no value, above 0
     * @param keyLifeMicros how long a destination remembers an idempotency key; 0 if there are no keys
     * @param ordered whether the messages of a key are delivered one after another
     */
    record MessageClass(
            double priorityWeight,
            double lateValueShare,
            long latencyObjectiveMicros,
            long deadlineMicros,
            Idempotency idempotency,
            KeyScope keyScope,
            long keyLifeMicros,
            boolean ordered) {}

    /** A tenant and its quota, in messages a second over all senders. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of destination: whether its endpoints have separate limits and faults, and how many messages a call may carry. */
    record DestinationKind(boolean independentEndpoints, int messagesPerCall) {}

    /** What the deployment permits this sender. Counts are above 0; {@code maxAttempts} applies to each message. */
    record Limits(
            int maxConcurrentCalls,
            int maxPendingMessages,
            int maxAttempts,
            boolean parallelAttempts,
            boolean cancellationAllowed,
            boolean retryAdviceAllowed,
            long maxRetryAdviceMicros,
            int callsPerConnection,
            long idleConnectionLifeMicros,
            long connectTimeoutMicros) {}

    /**
     * The platform's rules.
     *
     * @param discoveryDeadlineMicros time within which a change of the endpoint list must be known
     * @param slowStartCapacity share of its capacity that a recovered destination has at once, above 0
     * @param slowStartMicros time until it has its full capacity
     * @param overloadMultiple multiple of its capacity at which a destination breaks down, above 0
     * @param overloadWindowMicros time over which that load is measured
     * @param settlePeriodMicros how long a key is paused after an attempt whose outcome is unknown
     */
    record Rules(
            long answerSlackMicros,
            long discoveryDeadlineMicros,
            double slowStartCapacity,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long settlePeriodMicros) {}

    /** Prices of a handshake, of a call to another zone, and of a call by its zone (may be empty); 0 means free. */
    record Prices(double handshake, double crossZone, List<Double> zoneTolls) {}

    /** Positions in a load report of the allowance's share left (0 to 1) and of the limit (calls a second); -1 for none. */
    record ReportFields(int allowanceLeft, int limit) {
        /** Returns whether a load report has both fields. */
        boolean presentIn(List<Double> report) {
            return allowanceLeft >= 0 && limit >= 0 && Math.max(allowanceLeft, limit) < report.size();
        }
    }

    /**
     * The settings of a sender.
     *
     * @param seed seed of all random choices
     * @param senderCount number of senders that share the destinations, this one included, above 0
     * @param tickMicros period of the caller's clock
     * @param endpointListPolled whether the endpoint list arrives only after {@link Actions#subscribe}
     * @param overQuotaWeightFactor factor on the priority weight of a message beyond its tenant's quota
     * @param classes message classes, at least one; events name a class by its index
     */
    record Settings(
            long seed,
            int senderCount,
            int zone,
            long tickMicros,
            boolean endpointListPolled,
            double overQuotaWeightFactor,
            LateValueDecay lateValueDecay,
            WeightKind weightKind,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<DestinationKind> kinds,
            Limits limits,
            Rules rules,
            Prices prices,
            ReportFields reportFields) {

        /** Returns a copy of these settings with other message classes. */
        public Settings withClasses(List<MessageClass> newClasses) {
            return new Settings(
                    seed,
                    senderCount,
                    zone,
                    tickMicros,
                    endpointListPolled,
                    overQuotaWeightFactor,
                    lateValueDecay,
                    weightKind,
                    newClasses,
                    tenants,
                    kinds,
                    limits,
                    rules,
                    prices,
                    reportFields);
        }
    }

    /** An entry of the endpoint list; {@link WeightKind} explains {@code weight}, {@code kind} is an index into the kinds. */
    record EndpointEntry(long endpoint, int destination, EndpointState state, double weight, int zone, int kind) {}

    /**
     * The state of one upstream that must survive the end of the process.
     *
     * @param endpoint 0 for a whole destination
     * @param sinceMicros how long the upstream has been unavailable or in its slow start
     * @param callsPerSecond calls answered per second before the outage
     * @param usualLatencyMicros latency in normal operation, 0 if it was not measured
     */
    record HealthCheckpoint(
            int destination,
            long endpoint,
            UpstreamStatus status,
            long sinceMicros,
            double callsPerSecond,
            double usualLatencyMicros) {}

    /**
     * The state of an upstream for a process that takes over at once: checkpoint, waits that still apply, limits, measurements.
     *
     * @param pacePerSecond calls a second, infinite for no limit
     * @param expectedServiceMicros 0 if it was not measured
     * @param successProbability share of recent calls that succeeded
     * @param failureRatio share of recent calls that may have run and did not succeed
     */
    record UpstreamSnapshot(
            HealthCheckpoint checkpoint,
            long retryAfterMicros,
            long backoffMicros,
            double pacePerSecond,
            long sinceRejectionMicros,
            long sinceSuccessMicros,
            double presentLatencyMicros,
            double expectedServiceMicros,
            double successProbability,
            double sentPerSecond,
            double servedPerSecond,
            double reportedLimit,
            double failureRatio) {}

    /** A paused key: its messages wait for {@code remainingMicros}, except the message {@code exemptMessage} (0 for none). */
    record KeyPause(long key, long remainingMicros, long exemptMessage) {}

    /** Something that happened. Messages and destinations are named by ids, classes by their index in the settings. */
    sealed interface Event {
        /** A new message, which may be delivered within {@code timeLeftMicros}; a tenant of -1 means none. */
        record MessageSubmitted(long id, int messageClass, int tenant, long key, long timeLeftMicros, int destination)
                implements Event {}

        /**
         * A message that an earlier process of this sender accepted; passed in the order of acceptance.
         *
         * @param attempts number of attempts that were started
         * @param unknownOutcomeAgeMicros time since the first attempt that may have run was sent, -1 for none
         * @param unknownOutcomeEndpoint the endpoint of that attempt
         * @param attemptInterrupted whether the last attempt was in flight when the earlier process ended
         */
        record MessageRecovered(
                long id,
                int messageClass,
                long key,
                long timeLeftMicros,
                int destination,
                int attempts,
                long unknownOutcomeAgeMicros,
                long unknownOutcomeEndpoint,
                boolean attemptInterrupted)
                implements Event {}

        /**
         * A call that the previous process still has in flight. Its messages are recovered first, with one attempt less; its
         * outcome is passed like any other.
         */
        record CallInFlight(List<Long> ids, long endpoint, long sentAgoMicros) implements Event {}

        /** A message of an ordered class that an earlier process answered; {@link CompletionAcknowledged} is still to come. */
        record CompletedMessageRecovered(long id, long key) implements Event {}

        /** What the previous process knows about an upstream; passed after the endpoint list. */
        record UpstreamStateTransferred(UpstreamSnapshot snapshot) implements Event {}

        /** A key that the previous process has paused; passed after the recovered messages. */
        record KeyPaused(KeyPause pause) implements Event {}

        /** A checkpoint that an earlier process saved {@code ageMicros} ago; passed before the recovered messages. */
        record HealthRestored(HealthCheckpoint checkpoint, long ageMicros) implements Event {}

        /**
         * New settings apply from now on; pending messages keep their message class. Settings that are out of range change
         * nothing, and {@link DeliveryScheduler#step} throws an IllegalArgumentException.
         */
        record SettingsChanged(Settings settings) implements Event {}

        /**
         * This sender's share of the fleet's rate limit for a destination, from now on.
         *
         * @param perSecond messages a second; infinite for no limit, 0 for none at all
         * @param initialCredit share of the first message that counts as saved up if there was no limit before
         * @param recovered whether another sender has just seen the destination answer after an outage
         */
        record FleetRateLimitChanged(int destination, double perSecond, double initialCredit, boolean recovered)
                implements Event {}

        /**
         * The price of a call to a destination from now on: the priority weight that all senders together lose elsewhere by it.
         *
         * @param rejectedBelowWeight arriving messages with less weight are rejected
         * @param sharedUpToWeight of arriving messages with less weight only {@code admittedShare} (0 to 1) is admitted
         * @param retryAfterMicros time after which a rejected message may be admitted
         */
        record AdmissionPriceChanged(
                int destination,
                double rejectedBelowWeight,
                double sharedUpToWeight,
                double admittedShare,
                long retryAfterMicros)
                implements Event {
            /** The price of a call that costs nothing. */
            public static final AdmissionPriceChanged NONE = new AdmissionPriceChanged(0, 0, 0, 1, 0);
        }

        /** The process ends after {@code timeLeftMicros}; the next process recovers the messages that are pending then. */
        record ShutdownStarted(long timeLeftMicros) implements Event {}

        /** The client has received the final answer of a message, so the next message of its key may be sent. */
        record CompletionAcknowledged(long id) implements Event {}

        /**
         * An attempt ended. Ignored unless it is the attempt in flight.
         *
         * @param attempt the number of the attempt, from 0
         * @param messageCompleted whether the destination said that the message is completed
         * @param retryAfterMicros Retry-After of the receiver, 0 for none
         * @param loadReport values at the positions of {@link ReportFields}, may be empty
         * @param connectionIdleMicros how long the connection was idle before; 0 for a new one, above 0 for a new one that is still
         *     open behind a rejection, -1 if unknown
         */
        record AttemptCompleted(
                long id,
                int attempt,
                long endpoint,
                AttemptOutcome outcome,
                long durationMicros,
                boolean messageCompleted,
                long retryAfterMicros,
                List<Double> loadReport,
                long connectionIdleMicros)
                implements Event {

            /** An attempt on a connection whose idle time is unknown. */
            public AttemptCompleted(
                    long id,
                    int attempt,
                    long endpoint,
                    AttemptOutcome outcome,
                    long durationMicros,
                    boolean messageCompleted,
                    long retryAfterMicros,
                    List<Double> loadReport) {
                this(
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        durationMicros,
                        messageCompleted,
                        retryAfterMicros,
                        loadReport,
                        -1);
            }

            /**
             * Returns whether the receiver rejected the connection rather than the call: it rejected a new connection without a
             * load report, although its answers carry one. Each answer makes room for a connection, whereas idle connections
             * take up room.
             */
            public boolean connectionLimitReached(ReportFields fields) {
                return outcome == AttemptOutcome.FULL
                        && connectionIdleMicros == 0
                        && retryAfterMicros == 0
                        && loadReport.isEmpty()
                        && fields.limit() >= 0;
            }
        }

        /** A streamed answer began; the attempt now belongs to the client. Ignored. */
        record StreamStarted(long id, int attempt) implements Event {}

        /** The client no longer wants this message. */
        record MessageCancelled(long id) implements Event {}

        /** An endpoint list, or changes of it. */
        record EndpointListUpdated(EndpointListKind kind, List<EndpointEntry> entries) implements Event {}

        /** A timer has expired that {@link Actions#scheduleTimer} requested. */
        record TimerExpired(long token) implements Event {}

        /** A health check ended. Ignored. */
        record HealthCheckCompleted(long endpoint, AttemptOutcome outcome, long durationMicros) implements Event {}

        /** Another sender sent a message. Ignored. */
        record PeerMessageReceived(long from, byte[] data) implements Event {}

        /** All events of this moment have been passed; the scheduler decides now. */
        record Decide() implements Event {}
    }

    /** The actions of a scheduler. They are called only during {@link DeliveryScheduler#step} and must not call it. */
    interface Actions {
        /** Starts an attempt that times out at {@code timeoutAt}. One decision's sends to one endpoint may share a call. */
        void send(long id, long endpoint, long timeoutAt);

        /** Gives the final answer that a new submission is safe; {@code retryAfterMicros} advises when, 0 for no advice. */
        void reject(long id, long retryAfterMicros);

        /** Gives the final answer that the message failed, which does not say whether it was executed. */
        void fail(long id);

        /** Cancels an attempt; all messages of its call are cancelled together. */
        void cancel(long id, int attempt);

        /** Closes the idle connections to an endpoint; calls in flight are not affected. */
        void closeIdle(long endpoint);

        /** Forbids non-idempotent messages on connections that were idle for longer; callers without a pool ignore it. */
        default void limitIdleReuse(long maxIdleMicros) {}

        /** Replaces the stored checkpoint of the same upstream; callers without durable storage ignore it. */
        default void saveCheckpoint(HealthCheckpoint checkpoint) {}

        /** Requests {@link Event.TimerExpired} after {@code delayMicros}, which is above 0. */
        void scheduleTimer(long delayMicros, long token);

        /** Subscribes to changes of the endpoint list. */
        void subscribe();

        /** Reports a change of the state of an upstream to operators; callers may ignore it. */
        default void upstreamStateChanged(UpstreamStateChange change) {}

        /** Reports a call to an upstream that is not known to be healthy, or its first failure; callers may ignore it. */
        default void upstreamObserved(UpstreamObservation observation) {}
    }
}
