package amberroute.sender.peer;

import amberroute.handoff.HandoffEffect;
import amberroute.handoff.HandoffMessage;
import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.EarlierOffer;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.peer.HandoffProtocolMessage.OfferReply;
import amberroute.sender.util.LogEvent;
import io.netty.channel.ChannelHandlerContext;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The successor's side of the handoff: answers offers and their withdrawal. Invariant: an answer leaves once its decision is on disk,
 * so that a restart never gives another one. {@link Ownership} decides. Lives on the event loop.
 */
final class IncomingOffers {
    /** A lost answer is asked for again. */
    private static final Runnable ANSWER_LOST = () -> {};

    private final HandoffContext context;
    private final AdoptedKeys adoptedKeys;
    private final HandoffCodec codec;

    IncomingOffers(HandoffContext context, AdoptedKeys adoptedKeys, HandoffCodec codec) {
        this.context = context;
        this.adoptedKeys = adoptedKeys;
        this.codec = codec;
    }

    void onOffer(ChannelHandlerContext channel, OfferMessage offer) {
        if (mayHaveBeenAcceptedElsewhere(offer)) {
            // Neither answer would be true; the owner reports a failure at the deadline, which promises nothing.
            LogEvent.of("handoff_offer_unanswered")
                    .with("batch", offer.batchId())
                    .with("sender", offer.sender())
                    .warn();
            return;
        }
        HandoffPlacement.RejectionReason reason = offer.messages().isEmpty()
                ? HandoffPlacement.RejectionReason.UNFIT
                : context.host().rejectionReason(offer.messages(), HandoffCodec.classMeanings(offer.classMeanings()));
        decide(channel, HandoffMessage.Kind.OFFER, offer, reason);
    }

    /**
     * Whether an offer that is repeated here was first sent to another daemon, or to one of this name whose journal is gone: what that one
     * decided is not known here.
     */
    private boolean mayHaveBeenAcceptedElsewhere(OfferMessage offer) {
        if (offer.earlier().isEmpty() || context.journal().handoffBatches().containsKey(offer.batchId())) {
            return false;
        }
        EarlierOffer earlier = offer.earlier().get();
        return !earlier.recipient().equals(context.self())
                || context.journalBegunMillis() + KeyHoldAnnouncement.CLOCK_SKEW_MILLIS > earlier.sentAtMillis()
                        && context.journalBegunMillis() != 0;
    }

    /** A withdrawal carries no messages: where it comes before its offer the batch is rejected, and stays so. */
    void onCancel(ChannelHandlerContext channel, CancelMessage cancel) {
        OfferMessage withdrawn = new OfferMessage(
                cancel.sender(),
                cancel.batchId(),
                cancel.generation(),
                List.of(),
                Map.of(),
                Map.of(),
                0,
                Optional.empty());
        decide(channel, HandoffMessage.Kind.CANCEL, withdrawn, HandoffPlacement.RejectionReason.UNFIT);
    }

    private void decide(
            ChannelHandlerContext channel,
            HandoffMessage.Kind kind,
            OfferMessage offer,
            HandoffPlacement.RejectionReason reason) {
        if (!tryDecide(channel, kind, offer, reason)) {
            // The disk has no room for the messages; where it has some for a rejection, the owner hears it at once.
            tryDecide(channel, kind, offer, HandoffPlacement.RejectionReason.ROOM);
        }
    }

    /** False where the decision could not be written: then it is still open, and the owner asks again. */
    private boolean tryDecide(
            ChannelHandlerContext channel,
            HandoffMessage.Kind kind,
            OfferMessage offer,
            HandoffPlacement.RejectionReason reason) {
        HandoffMessage message = new HandoffMessage(kind, offer.batchId(), offer.generation());
        List<HandoffEffect> effects =
                ownershipOf(offer.batchId()).onOffer(offer.batchId(), offer.sender(), message, reason == null);
        for (HandoffEffect effect : effects) {
            if (effect instanceof HandoffEffect.SendMessage send) {
                reply(channel, send.message(), reason);
            } else if (effect instanceof HandoffEffect.PersistOwnership write && !persist(offer, write)) {
                return false;
            }
        }
        return true;
    }

    private Ownership ownershipOf(String batchId) {
        return context.journal().handoffBatches().containsKey(batchId)
                ? context.journal().handoffBatches().get(batchId).ownership()
                : Ownership.NONE;
    }

    private void reply(ChannelHandlerContext channel, HandoffMessage answer, HandoffPlacement.RejectionReason reason) {
        boolean accepted = answer.kind() == HandoffMessage.Kind.YES;
        OfferReply reply = new OfferReply(
                answer.batchId(),
                answer.generation(),
                accepted,
                accepted ? Optional.empty() : Optional.ofNullable(reason));
        context.journal().whenDurable(() -> channel.writeAndFlush(codec.encode(reply)), ANSWER_LOST);
    }

    private boolean persist(OfferMessage offer, HandoffEffect.PersistOwnership write) {
        if (!write.ownership().isOwned()) {
            return context.host().recordOwnership(write.batchId(), write.ownership(), List.of());
        }
        List<AcceptedMessage> messages = offer.messages();
        if (!context.host().adoptBatch(write.batchId(), write.ownership(), messages, offer.sender())) {
            return false;
        }
        for (long key : context.orderedKeys(messages)) {
            adoptedKeys.adopted(key, offer.sender(), originsOf(offer, key), offer.holdUntilMillis());
        }
        return true;
    }

    private static List<String> originsOf(OfferMessage offer, long key) {
        return offer.holdOriginsByKey().containsKey(key)
                ? List.copyOf(offer.holdOriginsByKey().get(key))
                : List.of();
    }
}
