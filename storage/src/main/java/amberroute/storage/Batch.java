package amberroute.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one write changes, all of it or nothing: contents of owners, each under a kind, and deleted owners. A content replaces the
 * one that the owner had under that kind. Not thread-safe.
 */
public final class Batch {
    /** Owner, kind, whether exclusive, and length. */
    private static final int PUT_HEADER_BYTES = 14;

    /** One content of an owner; an exclusive one replaces all others of the owner. */
    record Put(long ownerId, int kind, byte[] content, boolean exclusive) {}

    final List<Put> puts = new ArrayList<>();
    final List<Long> deletedOwnerIds = new ArrayList<>();

    /**
     * Puts a content.
     *
     * @param kind 1 to {@value SegmentFormat#MAX_KIND}; an owner may have each kind once in a batch
     * @throws IllegalArgumentException where the kind or the owner's number is out of its range
     */
    public Batch put(long ownerId, int kind, byte[] content) {
        return put(ownerId, kind, content, false);
    }

    /** Puts a content that replaces all of the owner's; whatever is put for the owner later has to be exclusive too. */
    public Batch putExclusive(long ownerId, int kind, byte[] content) {
        return put(ownerId, kind, content, true);
    }

    private Batch put(long ownerId, int kind, byte[] content, boolean exclusive) {
        if (kind < 1 || kind > SegmentFormat.MAX_KIND || ownerId < 1) {
            throw new IllegalArgumentException("kind " + kind + " of owner " + ownerId);
        }
        puts.add(new Put(ownerId, kind, content, exclusive));
        return this;
    }

    /** Adds all changes of another batch. */
    public Batch addAll(Batch other) {
        puts.addAll(other.puts);
        deletedOwnerIds.addAll(other.deletedOwnerIds);
        return this;
    }

    /** Deletes all contents of an owner, also those that this batch puts. */
    public Batch delete(long ownerId) {
        deletedOwnerIds.add(ownerId);
        return this;
    }

    /** Returns whether the batch changes nothing. */
    public boolean isEmpty() {
        return puts.isEmpty() && deletedOwnerIds.isEmpty();
    }

    /**
     * Returns the batch as bytes, for replication: {@code puts:int (owner:long kind:byte exclusive:byte length:int content)...
     * deletions:int owner:long...}.
     */
    public byte[] encode() {
        int size = 2 * Integer.BYTES + Long.BYTES * deletedOwnerIds.size();
        for (Put put : puts) {
            size += PUT_HEADER_BYTES + put.content().length;
        }
        ByteBuffer out = ByteBuffer.allocate(size).putInt(puts.size());
        for (Put put : puts) {
            out.putLong(put.ownerId())
                    .put((byte) put.kind())
                    .put((byte) (put.exclusive() ? 1 : 0))
                    .putInt(put.content().length)
                    .put(put.content());
        }
        out.putInt(deletedOwnerIds.size());
        deletedOwnerIds.forEach(out::putLong);
        return out.array();
    }

    /**
     * Decodes what {@link #encode} has returned.
     *
     * @throws IllegalArgumentException where the bytes are anything else
     */
    public static Batch decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            Batch batch = new Batch();
            for (int i = in.getInt(); i > 0; i--) {
                decodePut(in, batch);
            }
            for (int i = in.getInt(); i > 0; i--) {
                batch.delete(in.getLong());
            }
            if (in.hasRemaining()) {
                throw new IllegalArgumentException("more than a batch");
            }
            return batch;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("less than a batch", e);
        }
    }

    private static void decodePut(ByteBuffer in, Batch batch) {
        long ownerId = in.getLong();
        int kind = in.get();
        boolean exclusive = in.get() == 1;
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException("a content of " + length + " bytes");
        }
        byte[] content = new byte[length];
        in.get(content);
        batch.put(ownerId, kind, content, exclusive);
    }
}
