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
    record Put(long owner, int kind, byte[] content, boolean sole) {}

    final List<Put> puts = new ArrayList<>();
    final List<Long> ends = new ArrayList<>();

    /** {@code kind} is 1 to {@value Segment#KINDS}; an owner may have each kind once in a batch. */
    public Batch put(long owner, int kind, byte[] content) {
        return put(owner, kind, content, false);
    }

    /** From now on this is all that the owner has; whatever is put for it later has to be such a content too. */
    public Batch putSole(long owner, int kind, byte[] content) {
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
    public Batch and(Batch other) {
        puts.addAll(other.puts);
        ends.addAll(other.ends);
        return this;
    }

    /** Nothing of this owner is wanted any more, also of what this batch puts. */
    public Batch end(long owner) {
        ends.add(owner);
        return this;
    }

    /** Whether it changes nothing. */
    public boolean isEmpty() {
        return puts.isEmpty() && ends.isEmpty();
    }

    /** The changes as bytes, for a copy of the log elsewhere; {@link #read} takes them. */
    public byte[] bytes() {
        int size = 8 + 8 * ends.size();
        for (Put put : puts) {
            size += PUT_BYTES + put.content().length;
        }
        ByteBuffer out = ByteBuffer.allocate(size).putInt(puts.size());
        for (Put put : puts) {
            out.putLong(put.owner())
                    .put((byte) put.kind())
                    .put((byte) (put.sole() ? 1 : 0))
                    .putInt(put.content().length)
                    .put(put.content());
        }
        out.putInt(ends.size());
        ends.forEach(out::putLong);
        return out.array();
    }

    /** Reads what {@link #bytes} wrote; IllegalArgumentException where it is anything else. */
    public static Batch read(byte[] bytes) {
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
                batch.end(in.getLong());
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
