package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import amberroute.sender.message.AcceptedMessage;
import java.util.Collection;
import java.util.List;

/** Handles the messages of this sender during a stop. Event loop only. */
final class ShutdownWork implements ShutdownCoordinator.Host {
    private final SenderConfig config;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final MessageCompletion completion;
    private final SubmissionHandler submissions;
    private final KeyHoldTracker keyHolds;
    private final PeerServices peers;

    ShutdownWork(
            SenderState state,
            SchedulerDriver scheduler,
            MessageCompletion completion,
            SubmissionHandler submissions,
            KeyHoldTracker keyHolds,
            PeerServices peers) {
        config = state.config();
        messages = state.messages();
        this.scheduler = scheduler;
        this.completion = completion;
        this.submissions = submissions;
        this.keyHolds = keyHolds;
        this.peers = peers;
    }

    @Override
    public int pendingCount() {
        return messages.pendingCount() + submissions.deferredCount() + peers.offeredMessageCount();
    }

    @Override
    public Collection<AcceptedMessage> accepted() {
        return messages.accepted().values();
    }

    @Override
    public boolean retryDeferred() {
        return submissions.retryDeferred();
    }

    @Override
    public void announceStop(long withinMicros) {
        scheduler.submit(new Event.ShutdownStarted(withinMicros));
    }

    @Override
    public void announceKeys() {
        if (peers.handoff() != null) {
            peers.handoff().announceKeyHolds(keyHolds.latestCompletionByKey());
        }
    }

    @Override
    public void offerMessages() {
        if (peers.handoff() != null) {
            peers.handoff().offerMovable();
        }
    }

    @Override
    public void completeAll() {
        List.copyOf(messages.accepted().values()).forEach(completion::completeUndelivered);
        if (peers.handoff() != null) {
            peers.handoff().abandonOffers();
        }
    }

    @Override
    public void announceReturn() {
        if (peers.replication() != null) {
            peers.replication().announceRestart(config.standalone().backAfterMillis());
        }
    }

    @Override
    public String handoffSummary() {
        return peers.handoff() == null ? null : peers.handoff().summary();
    }
}
