package amberroute.sender.journal;

import amberroute.storage.Batch;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Changes that the disk has rejected so far: the latest one of each owner, and the effect to run after it is written.
 * There is at most one for each pending message and each upstream. Used on the event loop only.
 */
final class PendingWrites {
    /** For a change that no effect depends on. */
    static final Runnable NO_EFFECT = () -> {};

    private record PendingWrite(Batch batch, Runnable effect) {}

    private final Map<Long, PendingWrite> byOwner = new LinkedHashMap<>();

    boolean isEmpty() {
        return byOwner.isEmpty();
    }

    int size() {
        return byOwner.size();
    }

    boolean contains(long owner) {
        return byOwner.containsKey(owner);
    }

    /** Returns whether an effect waits for the change of this owner. */
    boolean hasEffect(long owner) {
        PendingWrite write = byOwner.get(owner);
        return write != null && write.effect() != NO_EFFECT;
    }

    /** Replaces an earlier change of the owner, since only the latest state has to be written. */
    void put(long owner, Batch batch, Runnable effect) {
        byOwner.put(owner, new PendingWrite(batch, effect));
    }

    /** Removes a change that another write includes. */
    void remove(long owner) {
        byOwner.remove(owner);
    }

    /** Writes the oldest change and runs its effect; returns whether it was written. */
    boolean writeOldest(Predicate<Batch> write) {
        Iterator<PendingWrite> iterator = byOwner.values().iterator();
        PendingWrite oldest = iterator.next();
        if (!write.test(oldest.batch())) {
            return false;
        }
        iterator.remove();
        oldest.effect().run();
        return true;
    }
}
