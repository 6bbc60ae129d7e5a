package amberroute.sender;

import amberroute.sender.lifecycle.FolderReclaim;
import amberroute.sender.lifecycle.IncomingTransfer;
import amberroute.sender.lifecycle.OutgoingTransfer;
import amberroute.sender.lifecycle.TransferredState;
import java.util.HashSet;
import java.util.Set;

/**
 * The transfers of ownership that this process takes part in: the one by which it became the owner, and the one by which another
 * process may become the owner. Event loop only after the process starts to serve.
 */
final class OwnershipTransfers {
    private final Set<Long> transferredCallMessages = new HashSet<>();
    /** Null if this process cannot transfer its ownership. */
    private OutgoingTransfer outgoing;
    /** Null unless this process acquires its ownership from another one. */
    private IncomingTransfer incoming;
    /** Null if nothing was transferred, or after all of it is applied. */
    private TransferredState transferredState;
    /** Null until a successor process is gone for the first time. */
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

    /** The transferred state that is not yet applied, null if there is none. */
    TransferredState transferredState() {
        return transferredState;
    }

    void setTransferredState(TransferredState transferred) {
        transferredState = transferred;
    }

    /** The numbers of messages in calls that another process has in flight, while {@link #transferredState} is set. */
    Set<Long> transferredCallMessages() {
        return transferredCallMessages;
    }

    /** Forgets the transferred state after it is applied. */
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

    /** Whether a reclaim may soon make this process the owner again. */
    boolean reclaimPossible() {
        return reclaim != null && reclaim.possible();
    }

    /** Whether a call with this message is in flight from the predecessor process. */
    boolean isCalledByPredecessor(long messageNumber) {
        return incoming != null && incoming.callInFlight(messageNumber);
    }
}
