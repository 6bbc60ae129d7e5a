package amberroute.sender.peer;

import amberroute.decisions.DeliveryScheduler;
import amberroute.overload.AdmissionPrice;
import amberroute.overload.FleetAdmissionControl;
import amberroute.overload.LoadReport;
import amberroute.sender.admin.ControlSocket;
import amberroute.sender.util.Log;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongSupplier;

/**
 * Carries load reports between daemons over UDP, on the socket of the heartbeats, and passes on the admission prices and rate limits that
 * follow. What they mean is decided in {@code overload}. A report is taken from a configured peer's address only; what cannot be
 * read is dropped. Lives on the event loop.
 */
public final class LoadReportTransport {
    private final EventLoop loop;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clockMicros;
    private final IntToDoubleFunction pendingMessages;
    private final Consumer<DeliveryScheduler.Event> events;
    private final SplittableRandom random = new SplittableRandom();
    private final FleetAdmissionControl overload;
    /** Whether calls are limited to this daemon's share. */
    private final boolean enforceShares;

    private Channel channel;

    /**
     * {@code clockMicros} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one;
     * {@code pendingMessages} gives the number of messages that are pending for a destination.
     */
    public LoadReportTransport(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            int daemons,
            boolean enforceShares,
            LongSupplier clockMicros,
            long incarnation,
            IntToDoubleFunction pendingMessages,
            Consumer<DeliveryScheduler.Event> events) {
        this.enforceShares = enforceShares;
        this.loop = loop;
        this.peers = Map.copyOf(peers);
        this.clockMicros = clockMicros;
        this.pendingMessages = pendingMessages;
        this.events = events;
        overload = new FleetAdmissionControl(
                clockMicros.getAsLong(),
                name,
                List.copyOf(peers.keySet()),
                Math.max(daemons, peers.size() + 1),
                enforceShares,
                incarnation * 1_000,
                random);
    }

    /** Begins to send reports and to compute prices, on a socket that passes on what it receives. */
    public void start(Channel shared) {
        channel = shared;
        loop.scheduleWithFixedDelay(
                () -> Log.guarded("prices", this::runRound),
                0,
                FleetAdmissionControl.ROUND_MICROS,
                TimeUnit.MICROSECONDS);
    }

    private void runRound() {
        long now = clockMicros.getAsLong();
        for (AdmissionPrice price : overload.runRound(now, pendingMessages)) {
            events.accept(new DeliveryScheduler.Event.AdmissionPriceChanged(
                    price.destination(),
                    price.priorityFloor(),
                    price.priorityCeiling(),
                    price.admittedFraction(),
                    price.retryAfterMicros()));
        }
        if (enforceShares) {
            for (FleetAdmissionControl.RateLimit limit : overload.changedRateLimits(now)) {
                // Daemons that are given a rate at one moment begin at different ones.
                events.accept(new DeliveryScheduler.Event.FleetRateLimitChanged(
                        limit.destination(), limit.perSecond(), random.nextDouble(), false));
            }
            overload.loanRequests(now).forEach(this::send);
        }
        overload.nextReports(now).forEach(this::send);
    }

    private void send(FleetAdmissionControl.OutgoingReport outgoing) {
        // A request before the socket is shared is lost, and repeated.
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(new DatagramPacket(
                    Unpooled.wrappedBuffer(outgoing.report().encode()), peers.get(outgoing.recipient())));
        }
    }

    /** A datagram that is no heartbeat; the packet stays the caller's. */
    public void heard(DatagramPacket packet) {
        LoadReport report = LoadReport.decode(packet.content().nioBuffer());
        if (report != null && packet.sender().equals(peers.get(report.sender()))) {
            FleetAdmissionControl.OutgoingReport reply = overload.onReport(clockMicros.getAsLong(), report);
            if (reply != null) {
                send(reply);
            }
        }
    }

    /** A client submitted a message of this priority weight, whether or not it is admitted. */
    public void onDemand(int destination, double priorityWeight) {
        overload.onDemand(clockMicros.getAsLong(), destination, priorityWeight);
    }

    /** An attempt has ended. */
    public void onAttemptEnded(int destination, DeliveryScheduler.AttemptOutcome outcome) {
        if (outcome == DeliveryScheduler.AttemptOutcome.OK) {
            overload.onServed(clockMicros.getAsLong(), destination);
        } else if (outcome == DeliveryScheduler.AttemptOutcome.FULL) {
            overload.onRejected(clockMicros.getAsLong(), destination);
        }
    }

    /** Load and prices by destination as of the last round, as the control socket shows them. */
    public JsonObject describe() {
        JsonObject json = ControlSocket.answer(true, null);
        json.addProperty("heard_of", overload.reachablePeers(clockMicros.getAsLong()));
        json.addProperty("peers", peers.size());
        JsonArray rows = new JsonArray();
        for (FleetAdmissionControl.DestinationReport row : overload.destinationReports()) {
            JsonObject destination = new JsonObject();
            destination.addProperty("destination", row.destination());
            destination.addProperty("asked", row.demandPerSecond());
            destination.addProperty("served", row.servedPerSecond());
            destination.addProperty("refused", row.rejectedPerSecond());
            destination.addProperty("waiting", row.pendingMessages());
            if (Double.isFinite(row.capacityPerSecond())) {
                destination.addProperty("capacity", row.capacityPerSecond());
                destination.addProperty("part", row.fraction());
                destination.addProperty("price", row.price().priorityFloor());
                destination.addProperty("price_up_to", row.price().priorityCeiling());
                destination.addProperty("share", row.price().admittedFraction());
                destination.addProperty("again_ms", row.price().retryAfterMicros() / 1_000);
            }
            rows.add(destination);
        }
        json.add("destinations", rows);
        return json;
    }

    /** Closes the shared socket, if it has one. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
