package amberroute.sender.lifecycle;

import amberroute.membership.MembershipView;
import java.util.concurrent.TimeUnit;

/**
 * The phase of a sender, and whether it has released the ownership of its messages. Changed on the event loop only; any thread may
 * read it.
 */
public final class LifecycleState {
    private volatile LifecyclePhase phase = LifecyclePhase.STARTING;
    private volatile long enteredNanos = System.nanoTime();
    private volatile boolean ownershipReleased;

    /** The current phase. */
    public LifecyclePhase phase() {
        return phase;
    }

    /** Begins a phase. */
    public void enter(LifecyclePhase next) {
        phase = next;
        enteredNanos = System.nanoTime();
    }

    /** Milliseconds since the current phase began. */
    public long millisInPhase() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - enteredNanos);
    }

    /** The phase as heartbeats and membership messages report it. */
    public MembershipView.Phase membershipPhase() {
        return switch (phase) {
            case STARTING -> MembershipView.Phase.STARTING;
            case READY -> MembershipView.Phase.READY;
            default -> MembershipView.Phase.DRAINING;
        };
    }

    /** Whether the sender serves. */
    public boolean ready() {
        return phase == LifecyclePhase.READY;
    }

    /** Whether the messages belong to another process: this one must neither call upstreams nor write the journal for them. */
    public boolean ownershipReleased() {
        return ownershipReleased;
    }

    /** From now on the messages belong to another process. */
    public void releaseOwnership() {
        ownershipReleased = true;
    }

    /** The messages belong to this process again. */
    public void regainOwnership() {
        ownershipReleased = false;
    }
}
