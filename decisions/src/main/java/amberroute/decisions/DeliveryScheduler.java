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
    default int avoidedEndpointCount() {
        return 0;
    }

    /** What another process should know that takes over now, one for each place that was called. */
    default List<UpstreamSnapshot> snapshots(long now) {
        return List.of();
    }

    /** The keys that rest now. */
    default List<KeyPause> pausedKeys(long now) {
        return List.of();
    }

    /** How often an effect may happen. */
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

    /** How far a destination's memory of a key reaches. */
    enum KeyScope {
        DESTINATION,
        ZONE,
        ENDPOINT
    }

    /** How the worth of a late message falls. */
    enum LateValueDecay {
        LINEAR,
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
        ESTIMATED
    }

    /** A class of messages. */
    record MessageClass(
            double priorityWeight,
            double lateValueShare,
            long latencyObjectiveMicros,
            long deadlineMicros,
            Idempotency idempotency,
            KeyScope keyScope,
            long keyLifeMicros,
            boolean ordered) {}

    /** A tenant: messages a second within its share, from all senders together. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of destination. */
    record DestinationKind(boolean independentEndpoints, int messagesPerCall) {}

    /** What the deployment permits. */
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

    /** The figures of the rules. */
    record Rules(
            long answerSlackMicros,
            long discoveryDeadlineMicros,
            double slowStartCapacity,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long settlePeriodMicros) {}

    /** Prices that guide the choice of an endpoint; tolls are by zone and may be empty. */
    record Prices(double handshake, double crossZone, List<Double> zoneTolls) {}

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

        /** Ends in an IllegalArgumentException that names what is out of range. */
        void check() {
            require(senderCount > 0 && !classes.isEmpty(), "senders or classes");
            require(
                    limits.maxConcurrentCalls() > 0 && limits.maxPendingMessages() > 0 && limits.maxAttempts() > 0,
                    "limits");
            require(
                    rules.slowStartCapacity() > 0 && rules.slowStartMicros() >= 0 && rules.overloadMultiple() > 0,
                    "rules");
            require(
                    classes.stream().allMatch(c -> c.deadlineMicros() > 0 && c.latencyObjectiveMicros() > 0),
                    "classes");
        }

        private static void require(boolean holds, String setting) {
            if (!holds) {
                throw new IllegalArgumentException("setting " + setting + " is out of range");
            }
        }

        /** The time of the class that has most, in microseconds. */
        public long longestDeadlineMicros() {
            long longest = 0;
            for (MessageClass type : classes) {
                longest = Math.max(longest, type.deadlineMicros());
            }
            return longest;
        }

        /** The worth of the class that is worth most. */
        public double highestPriorityWeight() {
            double most = 0;
            for (MessageClass type : classes) {
                most = Math.max(most, type.priorityWeight());
            }
            return most;
        }

        /** The same with other classes. */
        public Settings withClasses(List<MessageClass> others) {
            return new Settings(
                    seed,
                    senderCount,
                    zone,
                    tickMicros,
                    endpointListPolled,
                    overQuotaWeightFactor,
                    lateValueDecay,
                    weightKind,
                    others,
                    tenants,
                    kinds,
                    limits,
                    rules,
                    prices,
                    reportFields);
        }
    }

    /** A line of the list of endpoints. */
    record EndpointEntry(long endpoint, int destination, EndpointState state, double weight, int zone, int kind) {}

    /**
     * What has to outlast the process of one destination, or of one endpoint where {@code endpoint} is not 0: that it is
     * out, or has been and is cold, since {@code since} microseconds; the messages a second and the latency it had before.
     */
    record HealthCheckpoint(
            int destination,
            long endpoint,
            UpstreamStatus status,
            long sinceMicros,
            double callsPerSecond,
            double usualLatencyMicros) {}

    /**
     * What is known of a place by a process that ends while another goes on at once: beside what outlasts any end, the
     * waits that bind and what was measured. Spans in microseconds from now, rates a second.
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

    /** The messages of a key wait for so long, but for the one named by its id, 0 for none. */
    record KeyPause(long key, long remainingMicros, long exemptMessage) {}

    /** How a destination fares as far as a sender has seen. */
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

    /** Something that happened. */
    sealed interface Event {
        /** A new message; {@code timeLeft} is how long it may still be delivered. */
        record MessageSubmitted(long id, int messageClass, int tenant, long key, long timeLeftMicros, int destination)
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
                long timeLeftMicros,
                int destination,
                int attempts,
                long unknownOutcomeAgeMicros,
                long unknownOutcomeEndpoint,
                boolean attemptInterrupted)
                implements Event {}

        /**
         * A call that the process before this one still has out, after its messages have been resumed with one attempt
         * less: its outcome is told like any other's. It began {@code sentAgo} ago.
         */
        record CallInFlight(List<Long> ids, long endpoint, long sentAgoMicros) implements Event {}

        /** A message that an earlier process has answered, of a class that keeps its order: Concluded is still to come. */
        record CompletedMessageRecovered(long id, long key) implements Event {}

        /** What the process before this one knows of a place, behind the list. */
        record UpstreamStateTransferred(UpstreamSnapshot snapshot) implements Event {}

        /** A key rests, as the process before this one saw it, behind the messages that are resumed. */
        record KeyPaused(KeyPause pause) implements Event {}

        /** What an earlier process of this sender asked to be remembered, {@code age} ago; before what is resumed. */
        record HealthRestored(HealthCheckpoint checkpoint, long ageMicros) implements Event {}

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
        record FleetRateLimitChanged(int destination, double perSecond, double initialCredit, boolean recovered)
                implements Event {}

        /**
         * What a call to a destination costs all daemons together from now on, as worth given up elsewhere: an arrival
         * worth less than {@code worth} is to be turned away, of one worth up to {@code upTo} the {@code share} is taken
         * on. {@code again} is when what was turned away may have a chance, in microseconds.
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

        /** The process will be ended after {@code timeLeft}; what is held then resumes in the next one. */
        record ShutdownStarted(long timeLeftMicros) implements Event {}

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
                AttemptOutcome outcome,
                long durationMicros,
                boolean connectionClosed,
                long retryAfterMicros,
                List<Double> loadReport,
                long connectionIdleMicros)
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
            public boolean connectionLimitReached(ReportFields told) {
                return outcome == AttemptOutcome.FULL
                        && connectionIdleMicros == 0
                        && retryAfterMicros == 0
                        && loadReport.isEmpty()
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
        record HealthCheckCompleted(long endpoint, AttemptOutcome outcome, long durationMicros) implements Event {}

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
        void reject(long id, long retryAfter);

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
        default void limitIdleReuse(long longest) {}

        /** Replaces what was remembered of the same place; callers without a lasting store pass over it. */
        default void saveCheckpoint(HealthCheckpoint memory) {}

        /** Asks for a timer. */
        void scheduleTimer(long delay, long token);

        /** Subscribes to changes of the list. */
        void subscribe();

        /** Adds a line to the operators' log. */
        void log(String text);
    }
}
