package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.lifecycle.LifecyclePhase;
import com.google.gson.JsonArray;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Resumes this sender after a reclaim of the state folder. Event loop only, except {@link #openFolder}. */
final class ReclaimOwner implements OwnershipReclaim.Owner {
    private final SenderState state;
    private final DeliveryComponents delivery;
    private final LifecycleComponents lifecycleComponents;
    private final OwnershipAcquisition.FolderOpener folderOpener;

    /** {@code folderOpener} opens the state folder. */
    ReclaimOwner(
            SenderState state,
            DeliveryComponents delivery,
            LifecycleComponents lifecycleComponents,
            OwnershipAcquisition.FolderOpener folderOpener) {
        this.state = state;
        this.delivery = delivery;
        this.lifecycleComponents = lifecycleComponents;
        this.folderOpener = folderOpener;
    }

    @Override
    public void openFolder() throws IOException {
        folderOpener.open();
        state.transfers().outgoing().listen(state.config().state());
    }

    @Override
    public void clearMessages() {
        delivery.scheduler.reset();
        state.messages().clear();
        delivery.keyHolds.clear();
        delivery.attemptDispatcher.clear();
        state.lifecycle().regainOwnership();
    }

    @Override
    public void restore(JsonArray leavingEndpoints) {
        delivery.recovery.restore(
                leavingEndpoints,
                () -> lifecycleComponents.settingsActivation.apply(
                        state.activeSettings().config()));
    }

    @Override
    public void resumeServing() {
        if (!lifecycleComponents.connections.closing()) {
            delivery.clientServer.resume();
        }
        lifecycleComponents.endpointFile.start();
        state.lifecycle().enter(LifecyclePhase.READY);
        if (lifecycleComponents.connections.draining()) {
            beginStop(lifecycleComponents.connections.millisLeft());
        }
        // The successor may have been told to reload.
        lifecycleComponents.settingsReload.reloadIfChanged();
    }

    /** Begins the stop that was requested while another process owned the messages. */
    private void beginStop(long withinMillis) {
        if (state.config().standalone() == null) {
            delivery.scheduler.submit(new Event.ShutdownStarted(TimeUnit.MILLISECONDS.toMicros(withinMillis)));
        } else {
            lifecycleComponents.shutdown.begin(ShutdownMode.RESTART, withinMillis);
        }
    }
}
