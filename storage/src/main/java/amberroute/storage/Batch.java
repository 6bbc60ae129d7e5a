package amberroute.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The changes of one atomic write: contents to store and owners to delete. A content replaces the previous one of the same owner
 * and kind. Not thread-safe.
 */
public final class Batch {
    /** Encoded size of a content's owner ID, kind, exclusive flag and length. */
    private static final int PUT_HEADER_BYTES = 14;

    /** A content to store. An exclusive content replaces all other contents of its owner. */
    record Put(long ownerId, int kind, byte[] content, boolean exclusive) {}

    final List<Put> puts = new ArrayList<>();
    final List<Long> deletedOwnerIds = new ArrayList<>();

    /**
     * Adds a content to store.
     *
     * @param ownerId at least 1
     * @param kind 1 to {@value SegmentFormat#MAX_KIND}; a batch may contain each kind of an owner once
     * @throws IllegalArgumentException if the kind or the owner ID is out of range
     */
    public Batch put(long ownerId, int kind, byte[] content) {
        return put(ownerId, kind, content, false);
    }

    /** Adds a content that replaces all contents of its owner. All later contents of this owner must be exclusive too. */
    public Batch putExclusive(long ownerId, int kind, byte[] content) {
        return put(ownerId, kind, content, true);
    }

    private Batch put(long ownerId, int kind, byte[] content, boolean exclusive) {
        if (kind < 1 || kind > SegmentFormat.MAX_KIND || ownerId < 1) {
            throw new IllegalArgumentException("kind " + kind + " or owner ID " + ownerId
                    + " is out of range: kind must be 1 to " + SegmentFormat.MAX_KIND + ", owner ID at least 1");
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

    /** Deletes all contents of an owner, including those that this batch stores. */
    public Batch delete(long ownerId) {
        deletedOwnerIds.add(ownerId);
        return this;
    }

    /** Returns whether the batch changes nothing. */
    public boolean isEmpty() {
        return puts.isEmpty() && deletedOwnerIds.isEmpty();
    }

    /**
     * Encodes the batch for replication: {@code puts:int (ownerId:long kind:byte exclusive:byte length:int content)...
     * deletions:int ownerId:long...}.
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
     * Decodes a batch that {@link #encode} has encoded.
     *
     * @throws IllegalArgumentException if the bytes are not one encoded batch
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
                throw new IllegalArgumentException("unexpected bytes after the end of the encoded batch");
            }
            return batch;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("encoded batch is truncated", e);
        }
    }

    private static void decodePut(ByteBuffer in, Batch batch) {
        long ownerId = in.getLong();
        int kind = in.get();
        boolean exclusive = in.get() == 1;
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException(
                    "content length of " + length + " bytes is negative or exceeds the encoded batch");
        }
        byte[] content = new byte[length];
        in.get(content);
        batch.put(ownerId, kind, content, exclusive);
    }
}
