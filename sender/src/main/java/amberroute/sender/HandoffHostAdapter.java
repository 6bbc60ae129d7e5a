package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.Ownership;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffCoordinator;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies the handoff to and from peers to the messages of this sender. Whatever is reported to a peer is forced to disk first.
 * Event loop only; times are milliseconds of the folder's {@code SteadyClock}.
 */
final class HandoffHostAdapter implements HandoffCoordinator.Host {
    private final SenderConfig config;
    private final LifecycleState lifecycle;
    private final StateFolder folder;
    private final MessageTable messages;
    private final ActiveSettings activeSettings;
    private final SchedulerDriver scheduler;
    private final MessageCompletion completion;
    private final MessageRecovery recovery;
    private final EndpointWatch endpoints;
    private final KeyHoldTracker keyHolds;
    private final ShutdownCoordinator shutdown;

    HandoffHostAdapter(
            SenderState state,
            SchedulerDriver scheduler,
            MessageCompletion completion,
            MessageRecovery recovery,
            EndpointWatch endpoints,
            KeyHoldTracker keyHolds,
            ShutdownCoordinator shutdown) {
        config = state.config();
        lifecycle = state.lifecycle();
        folder = state.folder();
        messages = state.messages();
        activeSettings = state.activeSettings();
        this.scheduler = scheduler;
        this.completion = completion;
        this.recovery = recovery;
        this.endpoints = endpoints;
        this.keyHolds = keyHolds;
        this.shutdown = shutdown;
    }

    @Override
    public List<List<AcceptedMessage>> movableGroups() {
        List<List<AcceptedMessage>> groups = new ArrayList<>();
        if (!messages.pendingAcceptances().isEmpty()) {
            return groups;
        }
        Map<Long, List<AcceptedMessage>> messagesByKey = new LinkedHashMap<>();
        Set<Long> blockedKeys = new HashSet<>(keyHolds.blockedKeys());
        // The journal lists messages in the order of acceptance, which is also the order within each key.
        for (AcceptedMessage message : folder.journal().pendingMessages()) {
            boolean ordered = messages.isOrdered(message);
            if (message.pendingNotification != null || message.offeredToPeer || message.attemptInFlight) {
                // No other message of the ordered key may be handed over before this one completes.
                if (ordered) {
                    blockedKeys.add(message.key);
                }
            } else if (messages.accepted().containsKey(message.number) && ordered) {
                messagesByKey
                        .computeIfAbsent(message.key, key -> new ArrayList<>())
                        .add(message);
            } else if (messages.accepted().containsKey(message.number)) {
                groups.add(List.of(message));
            }
        }
        messagesByKey.forEach((key, group) -> {
            if (!blockedKeys.contains(key)) {
                groups.add(group);
            }
        });
        return groups;
    }

    @Override
    public boolean isOrdered(AcceptedMessage message) {
        return messages.isOrdered(message);
    }

    private long lastDeadlineMillis(List<AcceptedMessage> batch) {
        return batch.stream()
                .mapToLong(message -> message.deadlineMillis)
                .max()
                .orElse(folder.steadyMillis() + AcceptedMessage.MAX_LIFETIME_MILLIS);
    }

    private List<Long> orderedKeys(List<AcceptedMessage> batch) {
        return batch.stream()
                .filter(messages::isOrdered)
                .map(message -> message.key)
                .distinct()
                .toList();
    }

    @Override
    public boolean recordOffer(
            String batchId, Ownership ownership, List<AcceptedMessage> offered, List<Long> keys, long holdUntilMillis) {
        if (!folder.journal()
                .offerHandoffBatch(
                        batchId,
                        ownership,
                        lastDeadlineMillis(offered),
                        offered,
                        config.name(),
                        keys,
                        holdUntilMillis)) {
            return false;
        }
        folder.forceOrHalt();
        for (AcceptedMessage message : offered) {
            if (messages.accepted().remove(message.number) != null) {
                scheduler.submit(new Event.MessageCancelled(message.number));
            }
        }
        return true;
    }

    @Override
    public boolean recordOwnership(String batchId, Ownership ownership, List<AcceptedMessage> offered) {
        boolean written = ownership.isOwned()
                ? reclaimBatch(batchId, ownership, offered)
                : folder.journal().writeHandoffBatch(batchId, ownership, lastDeadlineMillis(offered), offered);
        if (written) {
            folder.forceOrHalt();
        }
        return written;
    }

    /** Reclaims messages that no peer accepted. They are resumed ahead of messages of the same keys that arrived later. */
    private boolean reclaimBatch(String batchId, Ownership ownership, List<AcceptedMessage> offered) {
        List<Long> keys = orderedKeys(offered);
        List<AcceptedMessage> laterMessages = keyHolds.blockedMessages(keys);
        List<Long> releasedKeys = folder.journal()
                .reclaimHandoffBatch(batchId, ownership, lastDeadlineMillis(offered), offered, config.name(), keys);
        if (releasedKeys == null) {
            return false;
        }
        resumeInOrder(offered, laterMessages);
        keyHolds.release(releasedKeys);
        return true;
    }

    private void resumeInOrder(List<AcceptedMessage> earlierMessages, List<AcceptedMessage> laterMessages) {
        laterMessages.forEach(message -> scheduler.submit(new Event.MessageCancelled(message.number)));
        for (AcceptedMessage message : earlierMessages) {
            messages.accepted().put(message.number, message);
            recovery.resume(message, false);
        }
        laterMessages.forEach(message -> recovery.resume(message, false));
    }

    @Override
    public HandoffPlacement.RejectionReason rejectionReason(
            List<AcceptedMessage> offered, JsonObject ownerClassMeanings) {
        if (shutdown.stopping()
                || !lifecycle.ready()
                || messages.pendingCount() + offered.size()
                        > activeSettings.settings().limits().maxPendingMessages()) {
            return HandoffPlacement.RejectionReason.ROOM;
        }
        return offered.stream().allMatch(message -> isDeliverable(message, ownerClassMeanings))
                ? null
                : HandoffPlacement.RejectionReason.UNFIT;
    }

    private boolean isDeliverable(AcceptedMessage message, JsonObject ownerClassMeanings) {
        int classNumber = messages.classes().number(message.className);
        return classNumber >= 0
                && endpoints.listed(message.destination)
                && message.deadlineMillis - folder.steadyMillis() >= HandoffPlacement.MIN_TIME_LEFT_MILLIS
                && ownerClassMeanings.has(message.className)
                && ownerClassMeanings.get(message.className).getAsString().equals(classMeaning(classNumber))
                && !isRetryEndpointUnknown(message, messages.classes().type(classNumber));
    }

    /** Whether the message may be retried only at the endpoint where it may have run, and that endpoint is unknown here. */
    private boolean isRetryEndpointUnknown(AcceptedMessage message, DeliveryScheduler.MessageClass messageClass) {
        return message.unknownOutcomeSinceMillis != 0
                && messageClass.idempotency() == DeliveryScheduler.Idempotency.KEYED
                && messageClass.keyScope() != DeliveryScheduler.KeyScope.DESTINATION
                && !endpoints.listed(message.unknownOutcomeEndpoint);
    }

    /**
     * Describes how messages of a class may be retried and ordered. Senders that differ in it do not accept each other's messages
     * of the class.
     */
    private String classMeaning(int classNumber) {
        DeliveryScheduler.MessageClass messageClass = messages.classes().type(classNumber);
        return messageClass.idempotency().wireName() + " " + messageClass.keyScope() + " "
                + messageClass.keyLifeMicros() + " " + messageClass.ordered();
    }

    @Override
    public JsonObject classMeanings(List<AcceptedMessage> offered) {
        JsonObject meanings = new JsonObject();
        offered.forEach(message -> meanings.addProperty(
                message.className, message.classNumber < 0 ? "" : classMeaning(message.classNumber)));
        return meanings;
    }

    @Override
    public boolean adoptBatch(String batchId, Ownership ownership, List<AcceptedMessage> adopted, String origin) {
        long startMicros = SchedulerClock.micros();
        adopted.forEach(message -> message.classNumber = messages.classes().number(message.className));
        List<Long> keys = orderedKeys(adopted);
        List<AcceptedMessage> laterMessages = keyHolds.blockedMessages(keys);
        if (!folder.journal()
                .acceptHandoffBatch(batchId, ownership, lastDeadlineMillis(adopted), adopted, origin, laterMessages)) {
            return false;
        }
        folder.forceOrHalt();
        resumeInOrder(adopted, laterMessages);
        scheduler.recordEventLoopPause(SchedulerClock.micros() - startMicros);
        keyHolds.release(keys.stream()
                .filter(key -> !folder.journal().keyHolds().isHeld(key))
                .toList());
        return true;
    }

    @Override
    public boolean holdKeys(String origin, List<Long> keys, long untilMillis) {
        if (lifecycle.ownershipReleased() || !folder.journal().holdKeys(origin, keys, untilMillis)) {
            return false;
        }
        folder.forceOrHalt();
        keyHolds.block(keys);
        return true;
    }

    @Override
    public void releaseKeys(String origin, List<Long> keys) {
        List<Long> heldKeys = keys.stream()
                .filter(key -> folder.journal().keyHolds().origins(key).contains(origin))
                .toList();
        if (!lifecycle.ownershipReleased() && !heldKeys.isEmpty()) {
            keyHolds.release(folder.journal().releaseKeys(origin, heldKeys));
        }
    }

    @Override
    public void failMessages(List<AcceptedMessage> offered) {
        completion.failOffered(offered);
    }

    @Override
    public long nextMessageNumber() {
        return folder.journal().nextNumber();
    }
}
