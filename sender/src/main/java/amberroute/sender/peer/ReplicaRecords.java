package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.RecordBytes;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The two contents of a replicated journal that are about the journal itself: its log position, and its replica set with its name. On disk
 * big-endian; text as a length and modified UTF-8. Stateless and thread-safe.
 */
public final class ReplicaRecords {
    private ReplicaRecords() {}

    /** The content of a log position: term and index, 8 bytes each. */
    public static byte[] encodePosition(LogPosition position) {
        return RecordBytes.encode(out -> {
            out.writeLong(position.term());
            out.writeLong(position.index());
        });
    }

    /** Reads a log position; none for {@code null}. */
    public static LogPosition decodePosition(byte[] content) throws IOException {
        if (content == null) {
            return LogPosition.NONE;
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(content));
        return new LogPosition(in.readLong(), in.readLong());
    }

    /** The content of a replica set: the journal's name, version (8 bytes), count (1 byte) and names of the members. */
    public static byte[] encodeReplicaSet(String journalId, ReplicaSet replicaSet) {
        return RecordBytes.encode(out -> {
            out.writeUTF(journalId);
            out.writeLong(replicaSet.version());
            out.writeByte(replicaSet.members().size());
            for (String member : replicaSet.members()) {
                out.writeUTF(member);
            }
        });
    }

    /** The journal's name, which stays as long as the folder is of one journal. */
    static String decodeJournalId(byte[] content) throws IOException {
        return new DataInputStream(new ByteArrayInputStream(content)).readUTF();
    }

    static ReplicaSet decodeReplicaSet(byte[] content) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(content));
        in.readUTF();
        long version = in.readLong();
        List<String> members = new ArrayList<>();
        for (int left = in.readByte(); left > 0; left--) {
            members.add(in.readUTF());
        }
        return new ReplicaSet(version, members);
    }
}
