package amberroute.sender.journal;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes the fields of a record with {@link DataOutputStream}: big-endian numbers, strings in modified UTF-8. */
public final class RecordBytes {
    private static final int INITIAL_BYTES = 128;

    private RecordBytes() {}

    /** Writes the fields of one record. */
    public interface FieldWriter {
        /** Writes all fields in the order of the layout. */
        void write(DataOutputStream out) throws IOException;
    }

    /**
     * Returns the bytes that {@code fields} writes.
     *
     * @throws IllegalArgumentException if a string is longer than its length field allows
     */
    public static byte[] encode(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            fields.write(out);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
        return bytes.toByteArray();
    }
}
