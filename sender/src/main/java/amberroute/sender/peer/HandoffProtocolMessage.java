package amberroute.sender.peer;

import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHolds;
import amberroute.sender.message.AcceptedMessage;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The messages of the handoff protocol, as data; {@link HandoffCodec} knows their form on the wire. Requests name their sender, as a
 * connection may be new; a reply travels on the connection of its request. Times are milliseconds of the steady clock, which starts as wall time and no step of that moves. Immutable but for
 * the accepted messages that an offer carries.
 */
public sealed interface HandoffProtocolMessage {
    /**
     * An earlier message with the same offer, which may have been accepted.
     *
     * @param recipient name of the successor
     * @param sentAtMillis when it was sent first, in milliseconds of the sender's steady clock
     */
    record EarlierOffer(String recipient, long sentAtMillis) {}

    /**
     * Offers a batch of messages to a successor.
     *
     * @param generation grows with each offer of the batch and fences older ones
     * @param classMeanings what the sender takes each class of the messages to mean
     * @param holdOriginsByKey for each ordered key the daemons on whose behalf peers may hold it
     * @param holdUntilMillis end of the sender's own hold on those keys, 0 for none
     * @param earlier the first message with this offer, empty in that one and in those of earlier versions
     */
    record OfferMessage(
            String sender,
            String batchId,
            long generation,
            List<AcceptedMessage> messages,
            Map<String, String> classMeanings,
            Map<Long, ? extends Collection<String>> holdOriginsByKey,
            long holdUntilMillis,
            Optional<EarlierOffer> earlier)
            implements HandoffProtocolMessage {}

    /** Withdraws an offer. The reply tells whether the successor had accepted it before. */
    record CancelMessage(String sender, String batchId, long generation) implements HandoffProtocolMessage {}

    /** Answers an offer or its withdrawal; a rejection of an earlier process has no reason. */
    record OfferReply(
            String batchId,
            long generation,
            boolean accepted,
            Optional<HandoffPlacement.RejectionReason> rejectionReason)
            implements HandoffProtocolMessage {}

    /** Asks a peer to hold back messages of these keys until then, or until they are released. */
    record KeyHoldRequest(String sender, int batchNumber, long untilMillis, List<Long> keys)
            implements HandoffProtocolMessage {}

    /** The keys of that batch are held, on disk. */
    record KeyHoldReply(int batchNumber) implements HandoffProtocolMessage {}

    /** The origin has no message of these keys any more, nor has any daemon that took them over from it. */
    record KeyRelease(String sender, String origin, List<Long> keys) implements HandoffProtocolMessage {}

    /** Asks which of these keys, which the sender handed off, are finished; the answer is a {@link KeyRelease}. */
    record KeyHoldStatusRequest(String sender, List<KeyHolds.KeyHold> holds) implements HandoffProtocolMessage {}

    /** Clients of this key have come to the sender, which would take its messages. */
    record KeyRequest(String sender, long key) implements HandoffProtocolMessage {}
}
