package amberroute.sender.peer;

import amberroute.handoff.HandoffEffect;
import amberroute.handoff.HandoffMessage;
import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.OfferedKeys;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.EarlierOffer;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.peer.HandoffProtocolMessage.OfferReply;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The leaving daemon's side of the handoff: offers batches of messages to successors and asks again until each is answered. Invariant:
 * an offer is on disk before it leaves, as from then on the successor may own the batch. {@link Ownership} decides what an answer
 * means, {@link HandoffPlacement} who is offered what. At most {@value #MAX_OFFERS} offers are out. Lives on the event loop.
 */
final class OutgoingOffers {
    private static final int MAX_OFFERS = 16;
    private static final int MAX_GROUPS = 4_096;
    /** On a connection that lives an answer is only late, so it is asked for seldom. */
    private static final long REPEAT_ON_CONNECTION_MILLIS = 2_000;
    /** Sets the ends of holds apart, so that two moves of one key do not have the same. */
    private static final long HOLD_END_SPREAD_MILLIS = 499;
    /** Bytes that a message takes in a batch beside its body. */
    private static final long MESSAGE_OVERHEAD_BYTES = 1_024;

    private static final int BATCH_ID_RADIX = 36;
    private static final long COUNTS_PER_MILLISECOND = 1_000;

    /** A batch that was offered and not answered yet. */
    private static final class Offer {
        final String batchId;
        final List<AcceptedMessage> messages;
        final HandoffPlacement.HandoffBatch batch;
        Ownership ownership;
        /** An earlier process offered it: it is wanted back. */
        boolean withdrawn;
        /** End of this daemon's own hold on the keys of the batch, 0 where an earlier process offered it. */
        long holdUntilMillis;

        Channel sentOn;
        long sentAtMillis;
        /** When it was sent first, in milliseconds of the journal's clock; 0 before. */
        long firstSentAtMillis;

        Offer(
                String batchId,
                Ownership ownership,
                List<AcceptedMessage> messages,
                HandoffPlacement.HandoffBatch batch) {
            this.batchId = batchId;
            this.ownership = ownership;
            this.messages = messages;
            this.batch = batch;
        }
    }

    private final HandoffContext context;
    private final PeerConnections connections;
    private final HandoffPlacement placement;
    private final AdoptedKeys adoptedKeys;
    private final OfferedKeys offeredKeys;
    private final Map<String, Offer> offers = new LinkedHashMap<>();
    private long counter;
    private long movedMessages;
    private long sentBytes;
    private long acceptedBatches;

    OutgoingOffers(
            HandoffContext context,
            PeerConnections connections,
            HandoffPlacement placement,
            AdoptedKeys adoptedKeys,
            OfferedKeys offeredKeys) {
        this.context = context;
        this.connections = connections;
        this.placement = placement;
        this.adoptedKeys = adoptedKeys;
        this.offeredKeys = offeredKeys;
        counter = context.wallMillis().getAsLong() * COUNTS_PER_MILLISECOND;
    }

    /** Takes up what an earlier process had offered: only the successor can tell whose it is. */
    void recover() {
        context.journal().handoffBatches().forEach((batchId, recorded) -> {
            List<AcceptedMessage> messages = context.journal().undeliveredMessages(recorded.messageNumbers());
            if (recorded.ownership().status() == Ownership.Status.OFFERED && !messages.isEmpty()) {
                HandoffPlacement.HandoffBatch batch = new HandoffPlacement.HandoffBatch(
                        recorded.ownership().peer(),
                        List.of(group(messages, context.wallMillis().getAsLong())));
                Offer offer = new Offer(batchId, recorded.ownership(), messages, batch);
                offer.withdrawn = true;
                offers.put(batchId, offer);
                offeredKeys.offered(recorded.ownership().peer(), context.orderedKeys(messages));
            }
        });
    }

    /** Offers what may move; to be called again and again while this daemon leaves. */
    void offerMovable() {
        if (context.peers().isEmpty() || offers.size() > MAX_OFFERS / 2) {
            return;
        }
        long nowMillis = context.wallMillis().getAsLong();
        Map<Long, List<AcceptedMessage>> messagesByFirst = new LinkedHashMap<>();
        List<HandoffPlacement.MessageGroup> groups = new ArrayList<>();
        for (List<AcceptedMessage> messages : context.host().movableGroups()) {
            HandoffPlacement.MessageGroup group = group(messages, nowMillis);
            groups.add(group);
            messagesByFirst.put(group.firstNumber(), messages);
            if (groups.size() >= MAX_GROUPS) {
                break;
            }
        }
        placement
                .assignBatches(HandoffContext.monotonicMillis(), groups, MAX_OFFERS - offers.size())
                .forEach(batch -> offer(batch, messagesByFirst));
    }

    private void offer(HandoffPlacement.HandoffBatch batch, Map<Long, List<AcceptedMessage>> messagesByFirst) {
        if (!connections.to(batch.successor()).isReady()) {
            return;
        }
        List<AcceptedMessage> messages = new ArrayList<>();
        batch.groups().forEach(group -> messages.addAll(messagesByFirst.get(group.firstNumber())));
        String batchId = context.self() + "-" + Long.toString(counter++, BATCH_ID_RADIX);
        Offer offer = new Offer(batchId, Ownership.initial(), messages, batch);
        offer.holdUntilMillis = holdUntilMillis(messages) + counter % HOLD_END_SPREAD_MILLIS;
        carryOut(offer, offer.ownership.offer(batchId, batch.successor()));
    }

    private static HandoffPlacement.MessageGroup group(List<AcceptedMessage> messages, long nowMillis) {
        AcceptedMessage first = messages.get(0);
        long bytes = messages.stream()
                .mapToLong(message -> message.body.length + MESSAGE_OVERHEAD_BYTES)
                .sum();
        long firstDeadline = messages.stream()
                .mapToLong(message -> message.deadlineMillis)
                .min()
                .orElse(nowMillis);
        return new HandoffPlacement.MessageGroup(
                first.number, first.key, messages.size(), bytes, firstDeadline - nowMillis);
    }

    private static long holdUntilMillis(List<AcceptedMessage> messages) {
        long lastDeadline = messages.stream()
                .mapToLong(message -> message.deadlineMillis)
                .max()
                .orElse(0);
        return lastDeadline + KeyHoldAnnouncement.CLOCK_SKEW_MILLIS;
    }

    /** Messages whose successor has not answered. */
    int unansweredMessages() {
        return offers.values().stream().mapToInt(offer -> offer.messages.size()).sum();
    }

    /** Messages that are others' now. */
    long movedMessages() {
        return movedMessages;
    }

    /** What was moved, in words; engineers and experiments read it. */
    String summary() {
        return movedMessages + " messages were handed over in " + acceptedBatches + " lots, " + sentBytes
                + " bytes on the wire";
    }

    /** Ends all offers that nobody has answered: all that their owner may say any more is that they failed. */
    void abandonAll() {
        List.copyOf(offers.values()).forEach(this::abandon);
    }

    /**
     * Each message's end is written before the batch's: a process that dies between the two finds ended messages under an
     * offer, where the other way round it would find them its own again while the successor may call.
     */
    private void abandon(Offer offer) {
        context.host().failMessages(offer.messages);
        offers.remove(offer.batchId);
        offeredKeys.adopted(offer.ownership.peer(), context.orderedKeys(offer.messages));
        for (HandoffEffect effect : offer.ownership.expire(offer.batchId)) {
            if (effect instanceof HandoffEffect.PersistOwnership write) {
                context.host().recordOwnership(offer.batchId, write.ownership(), offer.messages);
            }
        }
    }

    /** Asks again for answers that have not come, and ends offers of which a message's time is up. */
    void repeatUnanswered() {
        long nowMillis = context.wallMillis().getAsLong();
        for (Offer offer : List.copyOf(offers.values())) {
            if (offer.messages.stream().anyMatch(message -> message.deadlineMillis <= nowMillis)) {
                abandon(offer);
                continue;
            }
            PeerConnection connection = connections.to(offer.ownership.peer());
            boolean otherConnection = connection.channel() != offer.sentOn;
            long sentAgoMillis = HandoffContext.monotonicMillis() - offer.sentAtMillis;
            if (otherConnection || sentAgoMillis >= REPEAT_ON_CONNECTION_MILLIS) {
                carryOut(offer, offer.ownership.requestReply(offer.batchId, offer.withdrawn));
            }
        }
    }

    /** A successor has answered; false where that belongs to no offer, and so changes nothing. */
    boolean onReply(String peer, OfferReply reply) {
        Offer offer = offers.get(reply.batchId());
        if (offer == null) {
            return false;
        }
        HandoffMessage.Kind kind = reply.accepted() ? HandoffMessage.Kind.YES : HandoffMessage.Kind.NO;
        HandoffMessage answer = new HandoffMessage(kind, reply.batchId(), reply.generation());
        List<HandoffEffect> effects = offer.ownership.onReply(reply.batchId(), peer, answer);
        if (!effects.isEmpty() && !reply.accepted()) {
            placement.batchRejected(
                    HandoffContext.monotonicMillis(),
                    offer.batch,
                    reply.rejectionReason().orElse(HandoffPlacement.RejectionReason.ROOM));
        }
        carryOut(offer, effects);
        return true;
    }

    /** Ends at a record that cannot be written: what follows it must not leave. */
    private void carryOut(Offer offer, List<HandoffEffect> effects) {
        for (HandoffEffect effect : effects) {
            if (effect instanceof HandoffEffect.PersistOwnership write) {
                if (!persist(offer, write.ownership())) {
                    return;
                }
            } else if (effect instanceof HandoffEffect.SendMessage send) {
                sendWhenSafe(offer, send);
            }
        }
    }

    private boolean persist(Offer offer, Ownership ownership) {
        boolean written = ownership.status() == Ownership.Status.OFFERED
                ? context.host()
                        .recordOffer(
                                offer.batchId,
                                ownership,
                                offer.messages,
                                context.orderedKeys(offer.messages),
                                offer.holdUntilMillis)
                : context.host().recordOwnership(offer.batchId, ownership, offer.messages);
        if (written) {
            offer.ownership = ownership;
            onPersisted(offer);
        }
        return written;
    }

    private void onPersisted(Offer offer) {
        List<Long> keys = context.orderedKeys(offer.messages);
        if (offer.ownership.status() == Ownership.Status.OFFERED) {
            offers.put(offer.batchId, offer);
            offeredKeys.offered(offer.ownership.peer(), keys);
            return;
        }
        offers.remove(offer.batchId);
        if (offer.ownership.status() == Ownership.Status.GIVEN) {
            placement.forgetGroups(offer.batch.groups());
            offeredKeys.adopted(offer.ownership.peer(), keys);
            keys.forEach(adoptedKeys::handedOff);
            movedMessages += offer.messages.size();
            acceptedBatches++;
        } else {
            offeredKeys.forget(keys);
        }
    }

    private void sendWhenSafe(Offer offer, HandoffEffect.SendMessage send) {
        PeerConnection connection = connections.to(send.recipient());
        if (!connection.isReady()) {
            return;
        }
        offer.sentOn = connection.channel();
        offer.sentAtMillis = HandoffContext.monotonicMillis();
        // What cannot leave yet, or any more, is said again.
        context.journal()
                .whenDurable(
                        () -> {
                            if (connection.isReady()) {
                                sentBytes += connection.sendNow(messageOf(offer, send.message()));
                                rememberFirst(offer);
                            }
                        },
                        () -> offer.sentAtMillis = 0);
    }

    private void rememberFirst(Offer offer) {
        if (offer.firstSentAtMillis == 0) {
            offer.firstSentAtMillis = context.wallMillis().getAsLong();
        }
    }

    private HandoffProtocolMessage messageOf(Offer offer, HandoffMessage message) {
        if (message.kind() == HandoffMessage.Kind.CANCEL) {
            return new CancelMessage(context.self(), message.batchId(), message.generation());
        }
        Map<Long, Set<String>> originsByKey = new LinkedHashMap<>();
        for (long key : context.orderedKeys(offer.messages)) {
            Set<String> origins = new LinkedHashSet<>(adoptedKeys.origins(key));
            origins.add(context.self());
            originsByKey.put(key, origins);
        }
        return new OfferMessage(
                context.self(),
                message.batchId(),
                message.generation(),
                offer.messages,
                HandoffCodec.classMeanings(context.host().classMeanings(offer.messages)),
                originsByKey,
                offer.holdUntilMillis,
                offer.firstSentAtMillis == 0
                        ? Optional.empty()
                        : Optional.of(new EarlierOffer(offer.ownership.peer(), offer.firstSentAtMillis)));
    }
}
