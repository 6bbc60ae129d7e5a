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
 * Carries what daemons tell one another of their load over UDP, on the socket that heartbeats and probes use, and passes on the
 * prices that follow. What they mean is decided in {@code overload}. A digest is taken from a configured peer's address only;
 * what cannot be read is dropped without a word. Lives on the event loop.
 */
public final class LoadReportTransport {
    private final EventLoop loop;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clock;
    private final IntToDoubleFunction waiting;
    private final Consumer<DeliveryScheduler.Event> events;
    private final SplittableRandom random = new SplittableRandom();
    private final FleetAdmissionControl overload;
    /** Whether calls are held to this daemon's part. */
    private final boolean parts;

    private Channel channel;

    /** {@code clock} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one; {@code waiting} tells what is held for a destination. */
    public LoadReportTransport(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            int daemons,
            boolean parts,
            LongSupplier clock,
            long incarnation,
            IntToDoubleFunction waiting,
            Consumer<DeliveryScheduler.Event> events) {
        this.parts = parts;
        this.loop = loop;
        this.peers = Map.copyOf(peers);
        this.clock = clock;
        this.waiting = waiting;
        this.events = events;
        overload = new FleetAdmissionControl(
                clock.getAsLong(),
                name,
                List.copyOf(peers.keySet()),
                Math.max(daemons, peers.size() + 1),
                parts,
                incarnation * 1_000,
                random);
    }

    /** Begins to tell, and to compute prices. */
    public void start(Channel shared) {
        channel = shared;
        loop.scheduleWithFixedDelay(
                () -> Log.guarded("prices", this::round), 0, FleetAdmissionControl.ROUND_MICROS, TimeUnit.MICROSECONDS);
    }

    private void round() {
        long now = clock.getAsLong();
        for (AdmissionPrice p : overload.runRound(now, waiting)) {
            events.accept(new DeliveryScheduler.Event.AdmissionPriceChanged(
                    p.destination(),
                    p.priorityFloor(),
                    p.priorityCeiling(),
                    p.admittedFraction(),
                    p.retryAfterMicros()));
        }
        if (parts) {
            for (FleetAdmissionControl.RateLimit c : overload.changedRateLimits(now)) {
                // Daemons that are given a rate at one moment begin at different ones.
                events.accept(new DeliveryScheduler.Event.FleetRateLimitChanged(
                        c.destination(), c.perSecond(), random.nextDouble(), false));
            }
            overload.loanRequests(now).forEach(this::send);
        }
        overload.nextReports(now).forEach(this::send);
    }

    private void send(FleetAdmissionControl.OutgoingReport out) {
        // A digest may ask for something before the socket is shared; it asks again.
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(out.report().encode()), peers.get(out.recipient())));
        }
    }

    /** A datagram that is no heartbeat. */
    public void heard(DatagramPacket packet) {
        LoadReport digest = LoadReport.decode(packet.content().nioBuffer());
        if (digest != null && packet.sender().equals(peers.get(digest.sender()))) {
            FleetAdmissionControl.OutgoingReport answer = overload.onReport(clock.getAsLong(), digest);
            if (answer != null) {
                send(answer);
            }
        }
    }

    /** Somebody came with a message of this worth. */
    public void onDemand(int destination, double worth) {
        overload.onDemand(clock.getAsLong(), destination, worth);
    }

    /** What became of a call's message. */
    public void onAttemptEnded(int destination, DeliveryScheduler.AttemptOutcome ending) {
        if (ending == DeliveryScheduler.AttemptOutcome.OK) {
            overload.onServed(clock.getAsLong(), destination);
        } else if (ending == DeliveryScheduler.AttemptOutcome.FULL) {
            overload.onRejected(clock.getAsLong(), destination);
        }
    }

    /** For operators, as of the last round. */
    public JsonObject describe() {
        JsonObject answer = ControlSocket.answer(true, null);
        answer.addProperty("heard_of", overload.reachablePeers(clock.getAsLong()));
        answer.addProperty("peers", peers.size());
        JsonArray rows = new JsonArray();
        for (FleetAdmissionControl.DestinationReport row : overload.destinationReports()) {
            JsonObject one = new JsonObject();
            one.addProperty("destination", row.destination());
            one.addProperty("asked", row.demandPerSecond());
            one.addProperty("served", row.servedPerSecond());
            one.addProperty("refused", row.rejectedPerSecond());
            one.addProperty("waiting", row.pendingMessages());
            if (Double.isFinite(row.capacityPerSecond())) {
                one.addProperty("capacity", row.capacityPerSecond());
                one.addProperty("part", row.fraction());
                one.addProperty("price", row.price().priorityFloor());
                one.addProperty("price_up_to", row.price().priorityCeiling());
                one.addProperty("share", row.price().admittedFraction());
                one.addProperty("again_ms", row.price().retryAfterMicros() / 1_000);
            }
            rows.add(one);
        }
        answer.add("destinations", rows);
        return answer;
    }

    public void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
