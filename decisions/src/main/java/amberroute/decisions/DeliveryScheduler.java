package amberroute.decisions;

import java.util.List;

/**
 * The decisions of one sender: it accepts messages and delivers each to an endpoint of its destination before the deadline. This
 * file is the whole interface of the module; {@link AtcDeliveryScheduler} implements it.
 *
 * <p>Times are microseconds on the caller's clock, which must not go back; spans are microseconds and names end in {@code Micros}.
 * Ids and keys are opaque numbers, a key of 0 is none. A caller passes everything that happened at one moment, then
 * {@link Event.Decide}; actions are given during that call and take effect at the same moment. One thread at a time.
 */
public interface DeliveryScheduler {

    /** Takes note of one event; {@link Event.Decide} makes the decisions. Events that name unknown messages are ignored. */
    void step(long now, Event event, Actions actions);

    /** How many of the endpoints that are listed as ready get no ordinary messages now, because of what was seen of them. */
    default int avoidedEndpointCount() {
        return 0;
    }

    /** What a process needs to know that takes over now: one snapshot for each upstream, a destination or an endpoint. */
    default List<UpstreamSnapshot> snapshots(long now) {
        return List.of();
    }

    /** The keys that are paused now. */
    default List<KeyPause> pausedKeys(long now) {
        return List.of();
    }

    /** How often the effect of a message may happen. */
    enum Idempotency {
        /** Any number of executions does no harm. */
        IDEMPOTENT("SAFE"),
        /** The destination discards a repeated idempotency key for as long as it remembers the key. */
        KEYED("KEYED"),
        /** At most one execution, so an attempt that may have run is never repeated. */
        NON_IDEMPOTENT("UNSAFE");

        private final String wireName;

        Idempotency(String wireName) {
            this.wireName = wireName;
        }

        /** The name in messages between daemons; it never changes. */
        public String wireName() {
            return wireName;
        }
    }

    /** Who knows an idempotency key that an endpoint has seen: all endpoints of the destination, those of its zone, or itself. */
    enum KeyScope {
        DESTINATION,
        ZONE,
        ENDPOINT
    }

    /** How the value of a message falls behind its latency objective: evenly until the deadline, or by half each objective. */
    enum LateValueDecay {
        LINEAR,
        HALVING
    }

    /**
     * How an attempt ended: with success, with an error, rejected for the receiver's load, timed out, without a connection, by a
     * reset of the connection, cancelled by this sender, not executed as the message was no longer wanted, or unknown.
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

        /** Whether an attempt that ended so may have had its effect. */
        public boolean mayHaveRun() {
            return this != FULL && this != CONNECT_FAILED && this != MOOT;
        }
    }

    /** State of a listed endpoint; it says nothing of its health. Calls go to ready ones only. */
    enum EndpointState {
        READY,
        DRAINING,
        GONE
    }

    /** Which list an event brings: changes, the whole list, a whole list that may be outdated, or none as the watch failed. */
    enum EndpointListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** What a listed weight is: not given, the calls a second that an endpoint is meant to take, or an estimate of them. */
    enum WeightKind {
        NONE,
        NOMINAL,
        ESTIMATED
    }

    /**
     * A class of messages.
     *
     * @param priorityWeight value of a delivery in time, at least 0
     * @param lateValueShare share of it that is left at the deadline, 0 to 1
     * @param latencyObjectiveMicros span from submission in which a delivery has its full value, above 0
     * @param deadlineMicros span from submission after which a delivery has no value, above 0
     * @param keyLifeMicros for how long a destination remembers an idempotency key; 0 where there is none
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

    /** A tenant and its quota, in messages a second from all senders together. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of destination: whether its endpoints share no limits and faults, and how many messages one call may take. */
    record DestinationKind(boolean independentEndpoints, int messagesPerCall) {}

    /** What the deployment permits this sender; counts are above 0, {@code maxAttempts} are those of one message. */
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
     * @param discoveryDeadlineMicros time in which a change of the endpoint list has to be known
     * @param slowStartCapacity share of its capacity that a recovered destination has at once, above 0
     * @param slowStartMicros time until it has all of it
     * @param overloadMultiple multiple of its capacity at which a destination breaks down, above 0
     * @param overloadWindowMicros time over which that is measured
     * @param settlePeriodMicros how long a key is paused behind an attempt whose outcome is unknown
     */
    record Rules(
            long answerSlackMicros,
            long discoveryDeadlineMicros,
            double slowStartCapacity,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long settlePeriodMicros) {}

    /** Prices of a handshake, of a call to another zone, and of a call by zone, which may be empty; 0 for nothing. */
    record Prices(double handshake, double crossZone, List<Double> zoneTolls) {}

    /** Positions of the share of an allowance left (0 to 1) and of a limit (calls a second) in a load report; -1 for none. */
    record ReportFields(int allowanceLeft, int limit) {
        /** Whether a report has both. */
        boolean presentIn(List<Double> report) {
            return allowanceLeft >= 0 && limit >= 0 && Math.max(allowanceLeft, limit) < report.size();
        }
    }

    /**
     * The settings of a sender.
     *
     * @param seed of all random choices
     * @param senderCount senders that share the destinations, this one included, above 0
     * @param tickMicros the period of the caller's clock
     * @param endpointListPolled whether the list comes by {@link Actions#subscribe} only
     * @param overQuotaWeightFactor factor on the weight of a message beyond its tenant's quota
     * @param classes by the index that events name, at least one
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

        /** The same with other classes. */
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

    /** A line of the endpoint list; {@code weight} as {@link WeightKind} says, {@code kind} an index into the settings' kinds. */
    record EndpointEntry(long endpoint, int destination, EndpointState state, double weight, int zone, int kind) {}

    /**
     * What has to outlast the process of one upstream.
     *
     * @param endpoint 0 for a whole destination
     * @param sinceMicros for how long it has been unavailable or in its slow start
     * @param callsPerSecond rate of answers before the outage
     * @param usualLatencyMicros latency in normal operation, 0 where none was measured
     */
    record HealthCheckpoint(
            int destination,
            long endpoint,
            UpstreamStatus status,
            long sinceMicros,
            double callsPerSecond,
            double usualLatencyMicros) {}

    /**
     * What a process needs of one upstream that goes on at once: beside the checkpoint, waits that bind, limits and measurements.
     *
     * @param pacePerSecond calls a second, infinite for no limit
     * @param expectedServiceMicros 0 where none was measured
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

    /** The messages of a key wait for so long, apart from the one with the id {@code exemptMessage}, 0 for none. */
    record KeyPause(long key, long remainingMicros, long exemptMessage) {}

    /** Whether an upstream takes calls, as far as a sender has seen. */
    enum UpstreamStatus {
        HEALTHY("WELL"),
        UNAVAILABLE("OUT"),
        SLOW_START("COLD");

        private final String storedName;

        UpstreamStatus(String storedName) {
            this.storedName = storedName;
        }

        /** The name in journals, in ownership transfers and in decision traces; it never changes. */
        public String storedName() {
            return storedName;
        }

        /**
         * The status with this stored name.
         *
         * @throws IllegalArgumentException if there is none
         */
        public static UpstreamStatus ofStoredName(String name) {
            for (UpstreamStatus status : values()) {
                if (status.storedName.equals(name)) {
                    return status;
                }
            }
            throw new IllegalArgumentException("unknown upstream status " + name);
        }
    }

    /** Something that happened. Messages and destinations are named by ids, classes by their index in the settings. */
    sealed interface Event {
        /** A new message, which may be delivered for {@code timeLeftMicros}; a tenant of -1 is none. */
        record MessageSubmitted(long id, int messageClass, int tenant, long key, long timeLeftMicros, int destination)
                implements Event {}

        /**
         * A message that an earlier process of this sender had accepted, in the order of acceptance.
         *
         * @param attempts attempts that were started
         * @param unknownOutcomeAgeMicros time since the first attempt that may have run was sent, -1 where none may have
         * @param unknownOutcomeEndpoint the endpoint of that attempt
         * @param attemptInterrupted whether the last attempt was in flight when that process ended
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
         * A call that the process before this one still has in flight, after its messages were recovered with one attempt less;
         * its outcome is passed like any other's.
         */
        record CallInFlight(List<Long> ids, long endpoint, long sentAgoMicros) implements Event {}

        /** A message of an ordered class that an earlier process answered; its {@link CompletionAcknowledged} is still to come. */
        record CompletedMessageRecovered(long id, long key) implements Event {}

        /** What the process before this one knows of an upstream; passed after the endpoint list. */
        record UpstreamStateTransferred(UpstreamSnapshot snapshot) implements Event {}

        /** A key is paused, as the process before this one saw it; passed after the messages that are recovered. */
        record KeyPaused(KeyPause pause) implements Event {}

        /** A checkpoint that an earlier process saved {@code ageMicros} ago; passed before the messages that are recovered. */
        record HealthRestored(HealthCheckpoint checkpoint, long ageMicros) implements Event {}

        /**
         * Other settings count from now on; messages that are pending keep their class. Settings that are out of range change
         * nothing, and {@link #step} throws an IllegalArgumentException.
         */
        record SettingsChanged(Settings settings) implements Event {}

        /**
         * This sender's share of what all may send to a destination from now on.
         *
         * @param perSecond messages a second; infinite for no limit, 0 for none at all
         * @param initialCredit share of the first message that is saved up already, where there was no limit before
         * @param recovered whether another sender has just seen the destination answer after an outage
         */
        record FleetRateLimitChanged(int destination, double perSecond, double initialCredit, boolean recovered)
                implements Event {}

        /**
         * What a call to a destination costs all senders together from now on, as priority weight that is lost elsewhere.
         *
         * @param rejectedBelowWeight arrivals with less weight are rejected
         * @param sharedUpToWeight of arrivals with less weight than this a share is admitted, {@code admittedShare}, 0 to 1
         * @param retryAfterMicros when a rejected message may have a chance
         */
        record AdmissionPriceChanged(
                int destination,
                double rejectedBelowWeight,
                double sharedUpToWeight,
                double admittedShare,
                long retryAfterMicros)
                implements Event {
            /** A call costs nothing. */
            public static final AdmissionPriceChanged NONE = new AdmissionPriceChanged(0, 0, 0, 1, 0);
        }

        /** The process will be ended after {@code timeLeftMicros}; messages that are pending then are recovered by the next. */
        record ShutdownStarted(long timeLeftMicros) implements Event {}

        /** The final answer of a message has reached its client: the next message of its key may go. */
        record CompletionAcknowledged(long id) implements Event {}

        /**
         * An attempt ended. Other attempts than the one in flight are ignored.
         *
         * @param attempt the number of the attempt, from 0
         * @param messageCompleted whether the destination said that the message has its end there
         * @param retryAfterMicros Retry-After of the receiver, 0 for none
         * @param loadReport values as {@link ReportFields} says, may be empty
         * @param connectionIdleMicros idle time of its connection before, 0 for a fresh one, -1 where it is not known
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

            /** An attempt over a connection whose idle time is not known. */
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
             * Whether the receiver had no place for the connection, rather than for the call: it rejected a fresh one without a
             * load report, though answers have one. Places come free with each answer, and idle connections occupy them.
             */
            public boolean connectionLimitReached(ReportFields fields) {
                return outcome == AttemptOutcome.FULL
                        && connectionIdleMicros == 0
                        && retryAfterMicros == 0
                        && loadReport.isEmpty()
                        && fields.limit() >= 0;
            }
        }

        /** A streamed answer began: the attempt now belongs to the client. Ignored. */
        record StreamStarted(long id, int attempt) implements Event {}

        /** The client does not want this message any more. */
        record MessageCancelled(long id) implements Event {}

        /** The endpoint list, or a change of it. */
        record EndpointListUpdated(EndpointListKind kind, List<EndpointEntry> entries) implements Event {}

        /** A timer is due. */
        record TimerExpired(long token) implements Event {}

        /** A health check ended. Ignored. */
        record HealthCheckCompleted(long endpoint, AttemptOutcome outcome, long durationMicros) implements Event {}

        /** Another sender sent a message. Ignored. */
        record PeerMessageReceived(long from, byte[] data) implements Event {}

        /** All events of this moment have been passed: decide. */
        record Decide() implements Event {}
    }

    /** What a sender can do; called during {@link #step} only, and must not call it. */
    interface Actions {
        /** Starts an attempt that times out at {@code timeoutAt}. Sends of one decision to one endpoint may travel as one call. */
        void send(long id, long endpoint, long timeoutAt);

        /** Final answer: to submit the message again does no harm; {@code retryAfterMicros} is advice, 0 for none. */
        void reject(long id, long retryAfterMicros);

        /** Final answer: nothing is said of the effect. */
        void fail(long id);

        /** Stops waiting for an attempt; all messages of its call are cancelled together. */
        void cancel(long id, int attempt);

        /** Closes the idle connections to an endpoint; calls in flight are not touched. */
        void closeIdle(long endpoint);

        /** Non-idempotent messages must not use connections that were idle for longer; callers without a pool ignore it. */
        default void limitIdleReuse(long maxIdleMicros) {}

        /** Replaces the checkpoint of the same upstream; callers without a lasting store ignore it. */
        default void saveCheckpoint(HealthCheckpoint checkpoint) {}

        /** Requests {@link Event.TimerExpired} after {@code delayMicros}, above 0. */
        void scheduleTimer(long delayMicros, long token);

        /** Subscribes to changes of the endpoint list. */
        void subscribe();

        /** Adds a line to the operators' log. */
        void log(String text);
    }
}
