package amberroute.sender;

import amberroute.sender.lifecycle.FolderReclaim;
import amberroute.sender.lifecycle.IncomingTransfer;
import amberroute.sender.lifecycle.OutgoingTransfer;
import amberroute.sender.lifecycle.TransferredState;
import java.util.HashSet;
import java.util.Set;

/**
 * The transfers of ownership that this process takes part in: the one by which it became the owner, and the one by which another
 * process may become it. Event loop only once the process serves.
 */
final class OwnershipTransfers {
    private final Set<Long> transferredCallMessages = new HashSet<>();
    /** Null where this process can give its ownership to no other. */
    private OutgoingTransfer outgoing;
    /** Null for a usual start. */
    private IncomingTransfer incoming;
    /** Null once all that was transferred is in place. */
    private TransferredState transferredState;
    /** Null until the successor process has gone for the first time. */
    private FolderReclaim reclaim;

    OutgoingTransfer outgoing() {
        return outgoing;
    }

    void setOutgoing(OutgoingTransfer transfer) {
        outgoing = transfer;
    }

    IncomingTransfer incoming() {
        return incoming;
    }

    void setIncoming(IncomingTransfer transfer) {
        incoming = transfer;
    }

    /** The state that was transferred and is not in place yet, null where there is none. */
    TransferredState transferredState() {
        return transferredState;
    }

    void setTransferredState(TransferredState transferred) {
        transferredState = transferred;
    }

    /** The numbers of messages whose call another process has in flight, while {@link #transferredState} is set. */
    Set<Long> transferredCallMessages() {
        return transferredCallMessages;
    }

    /** The transferred state is in place. */
    void clearTransferredState() {
        transferredState = null;
        transferredCallMessages.clear();
    }

    FolderReclaim reclaim() {
        return reclaim;
    }

    void setReclaim(FolderReclaim started) {
        reclaim = started;
    }

    /** Whether a reclaim may make this process the owner again within a moment. */
    boolean reclaimPossible() {
        return reclaim != null && reclaim.possible();
    }

    /** Whether a call with this message is in flight from the predecessor process. */
    boolean isCalledByPredecessor(long messageNumber) {
        return incoming != null && incoming.callInFlight(messageNumber);
    }
}
