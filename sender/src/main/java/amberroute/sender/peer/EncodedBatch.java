package amberroute.sender.peer;

import amberroute.storage.Batch;
import java.util.Base64;

/**
 * One batch of journal records in the form that travels: base64 of its bytes. An owner encodes a batch once for all replicas; a
 * replica decodes it only when it takes it. Immutable.
 */
public record EncodedBatch(String base64) {
    /** Encodes a batch. */
    public static EncodedBatch of(Batch batch) {
        return new EncodedBatch(Base64.getEncoder().encodeToString(batch.encode()));
    }

    /** Characters that it takes of a line. */
    int length() {
        return base64.length();
    }

    /** The batch; a {@link MalformedPeerMessageException} where the text is none. */
    Batch decode() {
        try {
            return Batch.decode(Base64.getDecoder().decode(base64));
        } catch (IllegalArgumentException e) {
            throw new MalformedPeerMessageException(ReplicationCodec.BATCHES, "batches of records", e);
        }
    }
}
