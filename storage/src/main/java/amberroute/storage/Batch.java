package amberroute.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one write changes, all of it or nothing: contents of owners, each under a kind, and owners that are over. A content
 * takes the place of the one that the owner had under that kind.
 */
public final class Batch {
    record Put(long owner, int kind, byte[] content, boolean exclusive) {}

    final List<Put> puts = new ArrayList<>();
    final List<Long> deletedOwners = new ArrayList<>();

    /** {@code kind} is 1 to {@value Segment#KINDS}; an owner may have each kind once in a batch. */
    public Batch put(long owner, int kind, byte[] content) {
        return put(owner, kind, content, false);
    }

    /** From now on this is all that the owner has; whatever is put for it later has to be such a content too. */
    public Batch putExclusive(long owner, int kind, byte[] content) {
        return put(owner, kind, content, true);
    }

    private Batch put(long owner, int kind, byte[] content, boolean sole) {
        if (kind < 1 || kind > Segment.KINDS || owner < 1) {
            throw new IllegalArgumentException("kind " + kind + " of owner " + owner);
        }
        puts.add(new Put(owner, kind, content, sole));
        return this;
    }

    /** Another batch's changes are made with this one's. */
    public Batch addAll(Batch other) {
        puts.addAll(other.puts);
        deletedOwners.addAll(other.deletedOwners);
        return this;
    }

    /** Nothing of this owner is wanted any more, also of what this batch puts. */
    public Batch delete(long owner) {
        deletedOwners.add(owner);
        return this;
    }

    /** Whether it changes nothing. */
    public boolean isEmpty() {
        return puts.isEmpty() && deletedOwners.isEmpty();
    }

    /** The changes as bytes, for a copy of the log elsewhere; {@link #read} takes them. */
    public byte[] encode() {
        int size = 8 + 8 * deletedOwners.size();
        for (Put put : puts) {
            size += PUT_BYTES + put.content().length;
        }
        ByteBuffer out = ByteBuffer.allocate(size).putInt(puts.size());
        for (Put put : puts) {
            out.putLong(put.owner())
                    .put((byte) put.kind())
                    .put((byte) (put.exclusive() ? 1 : 0))
                    .putInt(put.content().length)
                    .put(put.content());
        }
        out.putInt(deletedOwners.size());
        deletedOwners.forEach(out::putLong);
        return out.array();
    }

    /** Reads what {@link #bytes} wrote; IllegalArgumentException where it is anything else. */
    public static Batch decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            Batch batch = new Batch();
            for (int i = in.getInt(); i > 0; i--) {
                long owner = in.getLong();
                int kind = in.get();
                boolean sole = in.get() == 1;
                int length = in.getInt();
                if (length < 0 || length > in.remaining()) {
                    throw new IllegalArgumentException("a content of " + length + " bytes");
                }
                byte[] content = new byte[length];
                in.get(content);
                batch.put(owner, kind, content, sole);
            }
            for (int i = in.getInt(); i > 0; i--) {
                batch.delete(in.getLong());
            }
            if (in.hasRemaining()) {
                throw new IllegalArgumentException("more than a batch");
            }
            return batch;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("less than a batch");
        }
    }

    private static final int PUT_BYTES = 14;
}
