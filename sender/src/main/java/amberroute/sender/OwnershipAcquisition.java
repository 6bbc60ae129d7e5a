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
 * Acquires the state folder from a process that still runs. All that can be prepared is prepared before, as nobody serves between the
 * transfer and the readiness of this process. Runs on the thread that starts the sender, which blocks meanwhile.
 */
final class OwnershipAcquisition {
    private static final long TRANSFER_TIMEOUT_MS = 20_000;
    private static final long RETRY_INTERVAL_MS = 20;
    /** How long the endpoint list may take to come before the transfer is requested. */
    private static final long ENDPOINT_LIST_TIMEOUT_MS = 700;
    /** The time left of a message in the rehearsal. */
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

    /** Opens the state folder once its lock is held. */
    interface FolderOpener {
        void open() throws IOException;
    }

    /**
     * Asks the owner of the folder for a transfer, again and again, as it may be starting or ending itself, until this process has
     * the folder.
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
                throw new InvalidSettingsException(
                        "state folder " + config.state() + " is held by a process that does not give it");
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /** A state that cannot be read counts as a crash of the other process: its calls in flight are uncertain. */
    private void readTransferredState(JsonObject transferredJson) {
        try {
            transfers.setTransferredState(TransferredState.read(transferredJson, endpoints::number));
            clientServer.servedUntil(transfers.transferredState().atNanos());
        } catch (RuntimeException e) {
            LogEvent.of("transferred_state_unreadable").cause(e).warn();
            transfers.incoming().close();
        }
    }

    /** Runs the code of the recovery once without effect, so that its classes are loaded when it has to be quick. */
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
