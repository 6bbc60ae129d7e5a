package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.lifecycle.LifecyclePhase;
import com.google.gson.JsonArray;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** What a reclaim of the state folder does with the sender. Event loop only, but for {@link #openFolder}. */
final class ReclaimOwner implements OwnershipReclaim.Owner {
    private final SenderState state;
    private final DeliveryComponents delivery;
    private final LifecycleComponents lifecycle;
    private final OwnershipAcquisition.FolderOpener opener;
    private final ConfigSource source;

    /** {@code opener} opens the state folder; {@code source} is read again, as the successor may have been told to. */
    ReclaimOwner(
            SenderState state,
            DeliveryComponents delivery,
            LifecycleComponents lifecycle,
            OwnershipAcquisition.FolderOpener opener,
            ConfigSource source) {
        this.state = state;
        this.delivery = delivery;
        this.lifecycle = lifecycle;
        this.opener = opener;
        this.source = source;
    }

    @Override
    public void openFolder() throws IOException {
        opener.open();
        state.transfers().outgoing().listen(state.config().state());
    }

    @Override
    public void forgetMessages() {
        delivery.scheduler.reset();
        state.messages().clear();
        delivery.keyHolds.clear();
        delivery.attempts.clear();
        state.lifecycle().regainOwnership();
    }

    @Override
    public void restore(JsonArray leavingEndpoints) {
        delivery.recovery.restore(
                leavingEndpoints,
                () -> lifecycle.settingsActivation.apply(state.activeSettings().config()));
    }

    @Override
    public void serveAgain() {
        if (!lifecycle.connections.closing()) {
            delivery.clientServer.resume();
        }
        lifecycle.endpointFile.start();
        state.lifecycle().enter(LifecyclePhase.READY);
        if (lifecycle.connections.draining()) {
            stopWithin(lifecycle.connections.millisLeft());
        }
        if (source.environment() != null && lifecycle.settingsReload.changed(source.environment())) {
            new Thread(() -> lifecycle.settingsReload.reload(source.environment()), "reload").start();
        }
    }

    /** Begins the stop that was requested while another process owned the messages. */
    private void stopWithin(long withinMillis) {
        if (state.config().standalone() == null) {
            delivery.scheduler.submit(new Event.ShutdownStarted(TimeUnit.MILLISECONDS.toMicros(withinMillis)));
        } else {
            lifecycle.shutdown.begin(ShutdownMode.RESTART, withinMillis);
        }
    }
}
