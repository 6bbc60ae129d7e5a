package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.decision.ActionRecorder;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.journal.Journal;
import amberroute.sender.lifecycle.IncomingTransfer;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.lifecycle.TransferredState;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;

/**
 * Acquires the state folder from a process that still runs. Prepares as much as possible before the transfer, as no process
 * serves between the transfer and the readiness of this one. Blocks the thread that starts the sender.
 */
final class OwnershipAcquisition {
    private static final long TRANSFER_TIMEOUT_MS = 20_000;
    private static final long RETRY_INTERVAL_MS = 20;
    /** How long to wait for the endpoint list before the transfer is requested without it. */
    private static final long ENDPOINT_LIST_TIMEOUT_MS = 700;
    /** Time left of each message in the warm-up run. */
    private static final long WARM_UP_TIME_LEFT_MICROS = 1_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SenderConfig config;
    private final EventLoop loop;
    private final StateFolder folder;
    private final EndpointWatch endpoints;
    private final ClientServer clientServer;
    private final OwnershipTransfers transfers;
    private final IncomingTransfer.Host host;

    OwnershipAcquisition(
            SenderState state, EndpointWatch endpoints, ClientServer clientServer, IncomingTransfer.Host host) {
        config = state.config();
        loop = state.loop();
        folder = state.folder();
        transfers = state.transfers();
        this.endpoints = endpoints;
        this.clientServer = clientServer;
        this.host = host;
    }

    /** Opens the state folder after its lock is acquired. */
    interface FolderOpener {
        void open() throws IOException;
    }

    /**
     * Requests a transfer from the owner of the folder until this process has locked the folder. Repeats the request, as the
     * owner may itself be starting or stopping.
     *
     * @throws InvalidSettingsException if the owner does not transfer the folder in time
     */
    void acquire(FolderOpener folderOpener) throws IOException, InterruptedException {
        loop.submit(endpoints::start).sync();
        long startNanos = System.nanoTime();
        while (millisSince(startNanos) < ENDPOINT_LIST_TIMEOUT_MS
                && !loop.submit(endpoints::isCurrent).sync().getNow()) {
            Thread.sleep(RETRY_INTERVAL_MS);
        }
        warmUpRecovery();
        JsonObject transferredJson = requestUntilLocked(startNanos);
        folderOpener.open();
        if (transferredJson != null) {
            loop.submit(() -> readTransferredState(transferredJson)).sync();
        }
        logAcquisition();
    }

    private void logAcquisition() {
        TransferredState transferredState = transfers.transferredState();
        if (transferredState == null) {
            LogEvent.of("state_folder_became_free")
                    .with("folder", config.state())
                    .warn();
        } else {
            LogEvent.of("ownership_acquired")
                    .with("calls_in_flight", transferredState.callsInFlight().size())
                    .warn();
        }
    }

    private JsonObject requestUntilLocked(long startNanos) throws IOException, InterruptedException {
        while (true) {
            IncomingTransfer incoming = new IncomingTransfer(loop, host);
            transfers.setIncoming(incoming);
            JsonObject transferredJson = incoming.request(config.state());
            if (folder.tryLock()) {
                return transferredJson;
            }
            if (System.nanoTime() - startNanos > TRANSFER_TIMEOUT_MS * NANOS_PER_MILLI) {
                throw new InvalidSettingsException("state folder " + config.state()
                        + " is locked by a process that did not transfer it within " + TRANSFER_TIMEOUT_MS + " ms");
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Reads the transferred state. If it cannot be read, the other process counts as crashed: the outcomes of its calls in flight
     * are unknown.
     */
    private void readTransferredState(JsonObject transferredJson) {
        try {
            transfers.setTransferredState(TransferredState.read(transferredJson, endpoints::number));
            clientServer.servedUntil(transfers.transferredState().atNanos());
        } catch (RuntimeException e) {
            LogEvent.of("transferred_state_unreadable").cause(e).warn();
            transfers.incoming().close();
        }
    }

    /**
     * Runs the recovery once without effect, so that its classes are loaded before the transfer, after which it has to be fast.
     */
    private void warmUpRecovery() {
        try (Journal journal = Journal.openReadOnly(config.state())) {
            DeliveryScheduler warmUpScheduler = SchedulerDriver.newCheckedScheduler(config.settings());
            long nowMicros = SchedulerClock.micros();
            for (AcceptedMessage message : journal.pendingMessages()) {
                Event event = new Event.MessageRecovered(
                        message.number,
                        Math.max(0, config.classes().indexOf(message.className)),
                        message.key,
                        WARM_UP_TIME_LEFT_MICROS,
                        message.destination,
                        message.attempts,
                        -1,
                        0,
                        false);
                warmUpScheduler.step(nowMicros, event, new ActionRecorder(SchedulerDriver.UNLIMITED_MICROS));
            }
            warmUpScheduler.step(nowMicros, new Event.Decide(), new ActionRecorder(SchedulerDriver.UNLIMITED_MICROS));
        } catch (IOException | RuntimeException e) {
            LogEvent.of("recovery_rehearsal_skipped").cause(e).warn();
        }
    }
}
