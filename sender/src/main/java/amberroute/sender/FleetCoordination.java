package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.UpstreamStatus;
import amberroute.membership.Heartbeat;
import amberroute.quota.SlowStartLimit;
import amberroute.quota.SlowStartLimits;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.peer.HeartbeatTransport;
import amberroute.sender.peer.LoadReportTransport;
import amberroute.sender.peer.PeerSocket;
import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Coordinates the senders of a fleet with regard to endpoints: heartbeats carry the rate limits of a slow start, and each sender
 * reports its load. Either part is absent if it is not configured. Event loop only, except {@link #listen},
 * {@link #datagramSocket} and {@link #close}.
 */
final class FleetCoordination {
    /** Age at which the counts of pending messages by destination are recomputed. */
    private static final long PENDING_COUNTS_MAX_AGE_MICROS = 100_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private final SenderConfig config;
    private final EventLoop loop;
    private final StateFolder folder;
    private final MessageTable messages;
    private final ActiveSettings activeSettings;
    private final SchedulerDriver scheduler;
    private final LifecycleState lifecycle;
    /** Null if no lease for slow starts is configured; so are the limits. */
    private HeartbeatTransport heartbeats;

    private SlowStartLimits slowStartLimits;
    /** Null if load reports are not configured. */
    private LoadReportTransport loadReports;

    private Map<Integer, Integer> pendingCountByDestination = Map.of();
    private long pendingCountedAtMicros = Long.MIN_VALUE / 2;

    FleetCoordination(SenderState state, SchedulerDriver scheduler) {
        config = state.config();
        loop = state.loop();
        folder = state.folder();
        messages = state.messages();
        activeSettings = state.activeSettings();
        lifecycle = state.lifecycle();
        this.scheduler = scheduler;
    }

    /**
     * Starts the configured parts. To be called before the first endpoint list is applied, as no endpoint may be called before
     * its rate limit is known.
     */
    void start() {
        StandaloneConfig.Standalone standalone = config.standalone();
        if (standalone == null) {
            return;
        }
        if (standalone.overload()) {
            startLoadReports(standalone);
        }
        if (standalone.slowStartLeaseMicros() != 0) {
            startHeartbeats(standalone);
        }
    }

    private void startLoadReports(StandaloneConfig.Standalone standalone) {
        loadReports = new LoadReportTransport(
                loop,
                config.name(),
                otherSenders(standalone),
                activeSettings.settings().senderCount(),
                standalone.parts(),
                SchedulerClock::micros,
                folder.steadyMillis(),
                this::pendingCountOf,
                scheduler::submit);
    }

    private void startHeartbeats(StandaloneConfig.Standalone standalone) {
        List<String> senderNames = new ArrayList<>(otherSenders(standalone).keySet());
        senderNames.add(config.name());
        senderNames.sort(null);
        DeliveryScheduler.Rules rules = activeSettings.settings().rules();
        int fleetSize = Math.max(activeSettings.settings().senderCount(), senderNames.size());
        slowStartLimits = new SlowStartLimits(
                SchedulerClock.micros(),
                new SlowStartLimits.FleetParameters(
                        fleetSize,
                        senderNames.indexOf(config.name()),
                        standalone.slowStartLeaseMicros(),
                        new SlowStartLimit.Rules(
                                rules.slowStartCapacity(),
                                rules.slowStartMicros(),
                                rules.overloadMultiple(),
                                rules.overloadWindowMicros(),
                                standalone.initialSlowStartRate())),
                folder.steadyMillis() * MICROS_PER_MILLI);
        heartbeats = new HeartbeatTransport(
                loop,
                config.name(),
                otherSenders(standalone),
                SchedulerClock::micros,
                folder.steadyMillis(),
                slowStartLimits,
                lifecycle::membershipPhase,
                this::pendingCountOf,
                this::applyRateLimit);
    }

    private Map<String, InetSocketAddress> otherSenders(StandaloneConfig.Standalone standalone) {
        Map<String, InetSocketAddress> others = new LinkedHashMap<>(standalone.peers());
        others.remove(config.name());
        return others;
    }

    /** Listens for heartbeats on {@code address}, the handoff address, as both use the same port. Not on the event loop. */
    void listen(InetSocketAddress address) throws InterruptedException {
        if (heartbeats != null) {
            heartbeats.listen(address);
        }
    }

    /**
     * The socket for datagrams other than heartbeats; shared with the heartbeats if they are configured. Not on the event loop.
     */
    Channel datagramSocket(InetSocketAddress address, Consumer<DatagramPacket> receiver) throws InterruptedException {
        return heartbeats != null ? heartbeats.shareSocket(receiver) : PeerSocket.bind(loop, address, receiver);
    }

    /** Whether load reports are configured. */
    boolean reportsLoad() {
        return loadReports != null;
    }

    /** Starts to send load reports on a socket. */
    void startLoadReporting(Channel socket) {
        if (loadReports != null) {
            loadReports.start(socket);
        }
    }

    /** Processes a datagram that is not a heartbeat. */
    void onDatagram(DatagramPacket packet) {
        if (loadReports != null) {
            loadReports.heard(packet);
        }
    }

    /** The load reports for operators, null if they are not configured. */
    JsonObject describeLoad() {
        return loadReports == null ? null : loadReports.describe();
    }

    /** Records that a message of this priority weight was submitted for a destination. */
    void onSubmission(int destination, double priorityWeight) {
        if (loadReports != null) {
            loadReports.onDemand(destination, priorityWeight);
        }
    }

    /** Records that an attempt at a destination has completed. */
    void onAttemptCompleted(int destination, AttemptOutcome outcome) {
        if (loadReports != null) {
            loadReports.onAttemptEnded(destination, outcome);
        }
    }

    /** Records a delivery. If the destination had been unavailable, the other senders are notified soon. */
    void onDelivery(int destination) {
        if (slowStartLimits != null && slowStartLimits.onSuccess(SchedulerClock.micros(), destination)) {
            heartbeats.announceSoon();
        }
    }

    /** Records the health of a destination; {@code sinceMicros} is as in {@link SlowStartLimits#onHealthChanged}. */
    void onHealthChanged(int destination, UpstreamStatus status, long sinceMicros) {
        if (slowStartLimits != null) {
            slowStartLimits.onHealthChanged(
                    SchedulerClock.micros(), destination, toHeartbeatHealth(status), sinceMicros);
            heartbeats.announceSoon();
        }
    }

    /** Applies the known rate limits of the destinations of listed endpoints. */
    void applyKnownRateLimits(List<DeliveryScheduler.EndpointEntry> entries) {
        if (slowStartLimits == null) {
            return;
        }
        for (DeliveryScheduler.EndpointEntry entry : entries) {
            SlowStartLimits.RateLimit limit =
                    slowStartLimits.onDestinationListed(SchedulerClock.micros(), entry.destination());
            if (limit != null) {
                applyRateLimit(limit);
            }
        }
    }

    private void applyRateLimit(SlowStartLimits.RateLimit limit) {
        scheduler.submit(new Event.FleetRateLimitChanged(
                limit.destination(), limit.perSecond(), limit.initialCredit(), limit.recoveredElsewhere()));
    }

    private double pendingCountOf(int destination) {
        if (SchedulerClock.micros() - pendingCountedAtMicros > PENDING_COUNTS_MAX_AGE_MICROS) {
            pendingCountedAtMicros = SchedulerClock.micros();
            Map<Integer, Integer> counts = new HashMap<>();
            messages.accepted().values().forEach(message -> counts.merge(message.destination, 1, Integer::sum));
            pendingCountByDestination = counts;
        }
        return pendingCountByDestination.getOrDefault(destination, 0);
    }

    private static Heartbeat.Health toHeartbeatHealth(UpstreamStatus status) {
        return switch (status) {
            case HEALTHY, SUSPECTED -> Heartbeat.Health.HEALTHY;
            case UNAVAILABLE -> Heartbeat.Health.UNAVAILABLE;
            case SLOW_START -> Heartbeat.Health.SLOW_START;
        };
    }

    /** Closes the transports. Not on the event loop. */
    void close() {
        if (heartbeats != null) {
            heartbeats.close();
        }
        if (loadReports != null) {
            loadReports.close();
        }
    }
}
