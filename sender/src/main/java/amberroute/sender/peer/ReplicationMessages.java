package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.Journal;
import amberroute.storage.Batch;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Words about estates between daemons, beside those of {@link PeerMessageCodec}: copies, claims and their answers. And the two
 * contents that stand in an estate's own record: its place, and the group of its holders.
 */
public final class ReplicationMessages {
    private ReplicationMessages() {}

    public static JsonObject of(String word, String from, String estate, long term) {
        JsonObject line = new JsonObject();
        line.addProperty("word", word);
        line.addProperty("from", from);
        line.addProperty("estate", estate);
        line.addProperty("term", term);
        return line;
    }

    /** As it travels, to each holder the same. */
    public static String encoded(Batch batch) {
        return Base64.getEncoder().encodeToString(batch.bytes());
    }

    public static void add(JsonObject line, List<String> batches) {
        JsonArray list = new JsonArray();
        batches.forEach(list::add);
        line.add("batches", list);
    }

    public static void add(JsonObject line, ReplicaSet group) {
        line.add("holders", PeerMessageCodec.names(group.members()));
        line.addProperty("version", group.version());
    }

    static ReplicaSet group(JsonObject line) {
        List<String> holders = new ArrayList<>();
        line.getAsJsonArray("holders").forEach(name -> holders.add(PeerMessageCodec.plain(name.getAsString())));
        return new ReplicaSet(line.get("version").getAsLong(), holders);
    }

    static List<Batch> batches(JsonObject line) {
        List<Batch> out = new ArrayList<>();
        for (JsonElement item : line.getAsJsonArray("batches")) {
            out.add(Batch.read(Base64.getDecoder().decode(item.getAsString())));
        }
        return out;
    }

    public static byte[] place(LogPosition at) {
        return Journal.bytes(out -> {
            out.writeLong(at.term());
            out.writeLong(at.index());
        });
    }

    static LogPosition place(byte[] bytes) throws IOException {
        if (bytes == null) {
            return LogPosition.NONE;
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        return new LogPosition(in.readLong(), in.readLong());
    }

    /** With the estate's name, which a folder keeps for as long as what is in it is one estate. */
    public static byte[] group(String estate, ReplicaSet group) {
        return Journal.bytes(out -> {
            out.writeUTF(estate);
            out.writeLong(group.version());
            out.writeByte(group.members().size());
            for (String holder : group.members()) {
                out.writeUTF(holder);
            }
        });
    }

    static String estate(byte[] bytes) throws IOException {
        return new DataInputStream(new ByteArrayInputStream(bytes)).readUTF();
    }

    static ReplicaSet group(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        in.readUTF();
        long version = in.readLong();
        List<String> holders = new ArrayList<>();
        for (int i = in.readByte(); i > 0; i--) {
            holders.add(in.readUTF());
        }
        return new ReplicaSet(version, holders);
    }
}
