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
    private final Set<Long> callsInFlight = new HashSet<>();
    /** Null where this process can give its ownership to no other. */
    private OutgoingTransfer outgoing;
    /** Null for a usual start. */
    private IncomingTransfer incoming;
    /** Null once all that was transferred is in place. */
    private TransferredState state;
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
    TransferredState state() {
        return state;
    }

    void setState(TransferredState transferred) {
        state = transferred;
    }

    /** The numbers of messages whose call another process has in flight, while {@link #state} is set. */
    Set<Long> callsInFlight() {
        return callsInFlight;
    }

    /** The transferred state is in place. */
    void clearState() {
        state = null;
        callsInFlight.clear();
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
    boolean calledByPredecessor(long number) {
        return incoming != null && incoming.callInFlight(number);
    }
}
