package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendEntries;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendReply;
import amberroute.sender.peer.ReplicationProtocolMessage.JournalCompleted;
import amberroute.sender.peer.ReplicationProtocolMessage.OwnerRestarting;
import amberroute.sender.peer.ReplicationProtocolMessage.ReplicaRemoved;
import amberroute.sender.peer.ReplicationProtocolMessage.SnapshotSlice;
import amberroute.sender.peer.ReplicationProtocolMessage.TermSuperseded;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteReply;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteRequest;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The form of the replication protocol on the wire: one JSON object a line. Alone knows the names of the fields; whatever breaks a bound
 * is a {@link MalformedPeerMessageException}. Stateless and thread-safe.
 */
public final class ReplicationCodec {
    static final String BATCHES = "batches";

    private static final String VOTE_REQUEST = "CLAIM";
    private static final String APPEND = "COPY";
    private static final String SNAPSHOT = "WHOLE";
    private static final String COMPLETED = "DONE";
    private static final String RESTARTING = "AWAY";
    private static final String REMOVED = "LEAVE";
    private static final Set<String> REQUESTS = Set.of(VOTE_REQUEST, APPEND, SNAPSHOT, COMPLETED, RESTARTING, REMOVED);

    private static final String VOTE_GRANTED = "GRANT";
    private static final String VOTE_DENIED = "DENY";
    private static final String APPEND_ACCEPTED = "HAVE";
    private static final String SNAPSHOT_NEEDED = "LACKS";
    private static final String TERM_SUPERSEDED = "OVER";

    private static final String JOURNAL_ID = "estate";
    private static final String TERM = "term";
    private static final String PRE_VOTE = "try";
    private static final String CANDIDATE_TERM = "copy_term";
    private static final String CANDIDATE_INDEX = "copy_number";
    private static final String REQUESTED_TERM = "asked";
    private static final String FORMER_JOURNAL_OPEN = "former";
    private static final String AHEAD = "ahead";
    private static final String PREVIOUS_INDEX = "behind";
    private static final String LAST_INDEX = "upto";
    private static final String FIRST = "first";
    private static final String LAST = "last";
    private static final String ACKNOWLEDGED_INDEX = "had";
    private static final String REPLICA_SET = "holders";
    private static final String REPLICA_SET_VERSION = "version";
    private static final String REPLICA_INDEX = "number";
    private static final String VOTER = "counts";
    private static final String OWNER = "owner";
    private static final String BACK_MILLIS = "back_ms";

    private ReplicationCodec() {}

    /** Whether this word begins a request of this protocol; it shares the connections of the handoff protocol. */
    static boolean isRequest(String word) {
        return REQUESTS.contains(word);
    }

    /** The line with its end; the buffer is the caller's. */
    public static ByteBuf encode(ReplicationProtocolMessage message) {
        return Unpooled.wrappedBuffer(encodeBytes(message));
    }

    /** The bytes of the line with its end, which may be sent to several replicas. */
    static byte[] encodeBytes(ReplicationProtocolMessage message) {
        return JsonLine.utf8(toJson(message));
    }

    private static JsonObject toJson(ReplicationProtocolMessage message) {
        if (message instanceof AppendEntries append) {
            return append(append);
        } else if (message instanceof SnapshotSlice slice) {
            return snapshot(slice);
        } else if (message instanceof AppendReply reply) {
            JsonObject json = header(reply.accepted() ? APPEND_ACCEPTED : SNAPSHOT_NEEDED, reply);
            json.addProperty(REPLICA_INDEX, reply.lastIndex());
            json.addProperty(VOTER, reply.voter());
            return json;
        } else if (message instanceof VoteRequest request) {
            JsonObject json = header(VOTE_REQUEST, request);
            json.addProperty(PRE_VOTE, request.preVote());
            json.addProperty(CANDIDATE_TERM, request.candidatePosition().term());
            json.addProperty(CANDIDATE_INDEX, request.candidatePosition().index());
            return json;
        } else if (message instanceof VoteReply reply) {
            JsonObject json = header(reply.granted() ? VOTE_GRANTED : VOTE_DENIED, reply);
            json.addProperty(REQUESTED_TERM, reply.requestedTerm());
            json.addProperty(FORMER_JOURNAL_OPEN, reply.formerJournalOpen());
            json.addProperty(AHEAD, reply.ahead());
            return json;
        } else if (message instanceof TermSuperseded superseded) {
            JsonObject json = header(TERM_SUPERSEDED, superseded);
            json.addProperty(OWNER, superseded.owner());
            return json;
        } else if (message instanceof OwnerRestarting restarting) {
            JsonObject json = header(RESTARTING, restarting);
            json.addProperty(BACK_MILLIS, restarting.backMillis());
            return json;
        }
        return header(message instanceof JournalCompleted ? COMPLETED : REMOVED, message);
    }

    private static JsonObject header(String word, ReplicationProtocolMessage message) {
        JsonObject json = new JsonObject();
        json.addProperty(JsonLine.WORD, word);
        json.addProperty(JsonLine.SENDER, message.sender());
        json.addProperty(JOURNAL_ID, message.journalId());
        json.addProperty(TERM, message.term());
        return json;
    }

    private static JsonObject append(AppendEntries append) {
        JsonObject json = header(APPEND, append);
        json.addProperty(PREVIOUS_INDEX, append.previousIndex());
        json.addProperty(LAST_INDEX, append.lastIndex());
        json.add(BATCHES, batches(append.batches()));
        append.replicaSet().ifPresent(replicaSet -> addReplicaSet(json, replicaSet));
        return json;
    }

    private static JsonObject snapshot(SnapshotSlice slice) {
        JsonObject json = header(SNAPSHOT, slice);
        json.addProperty(FIRST, slice.first());
        json.addProperty(LAST, slice.last());
        slice.acknowledgedIndex().ifPresent(index -> json.addProperty(ACKNOWLEDGED_INDEX, index));
        slice.lastIndex().ifPresent(index -> json.addProperty(LAST_INDEX, index));
        json.add(BATCHES, batches(slice.batches()));
        addReplicaSet(json, slice.replicaSet());
        return json;
    }

    private static JsonArray batches(List<EncodedBatch> batches) {
        JsonArray array = new JsonArray();
        batches.forEach(batch -> array.add(batch.base64()));
        return array;
    }

    private static void addReplicaSet(JsonObject json, ReplicaSet replicaSet) {
        JsonArray members = new JsonArray();
        replicaSet.members().forEach(members::add);
        json.add(REPLICA_SET, members);
        json.addProperty(REPLICA_SET_VERSION, replicaSet.version());
    }

    /** Reads a request, as a replica or a voter gets it. */
    public static ReplicationProtocolMessage decodeRequest(JsonLine line) {
        String sender = line.sender();
        String journalId = line.name(JOURNAL_ID);
        long term = line.integer(TERM);
        return switch (line.word()) {
            case VOTE_REQUEST -> new VoteRequest(
                    sender,
                    journalId,
                    term,
                    line.flag(PRE_VOTE),
                    new LogPosition(line.integer(CANDIDATE_TERM), line.integer(CANDIDATE_INDEX)));
            case APPEND -> new AppendEntries(
                    sender,
                    journalId,
                    term,
                    line.integer(PREVIOUS_INDEX),
                    line.integer(LAST_INDEX),
                    decodeBatches(line),
                    line.has(REPLICA_SET) ? Optional.of(decodeReplicaSet(line)) : Optional.empty());
            case SNAPSHOT -> decodeSnapshot(line, sender, journalId, term);
            case COMPLETED -> new JournalCompleted(sender, journalId, term);
            case RESTARTING -> new OwnerRestarting(sender, journalId, term, line.integer(BACK_MILLIS));
            case REMOVED -> new ReplicaRemoved(sender, journalId, term);
            default -> throw new MalformedPeerMessageException(JsonLine.WORD, "a request of the replication protocol");
        };
    }

    private static SnapshotSlice decodeSnapshot(JsonLine line, String sender, String journalId, long term) {
        boolean last = line.flag(LAST);
        return new SnapshotSlice(
                sender,
                journalId,
                term,
                line.flag(FIRST),
                last,
                line.has(ACKNOWLEDGED_INDEX) ? OptionalLong.of(line.integer(ACKNOWLEDGED_INDEX)) : OptionalLong.empty(),
                last ? OptionalLong.of(line.integer(LAST_INDEX)) : OptionalLong.empty(),
                decodeBatches(line),
                decodeReplicaSet(line));
    }

    /** Reads a reply, as an owner or a candidate gets it. */
    public static ReplicationProtocolMessage decodeReply(JsonLine line) {
        String sender = line.sender();
        String journalId = line.name(JOURNAL_ID);
        long term = line.integer(TERM);
        String word = line.word();
        return switch (word) {
            case VOTE_GRANTED, VOTE_DENIED -> new VoteReply(
                    sender,
                    journalId,
                    term,
                    word.equals(VOTE_GRANTED),
                    line.integer(REQUESTED_TERM),
                    line.flag(FORMER_JOURNAL_OPEN),
                    line.flag(AHEAD));
            case APPEND_ACCEPTED, SNAPSHOT_NEEDED -> new AppendReply(
                    sender,
                    journalId,
                    term,
                    word.equals(APPEND_ACCEPTED),
                    line.integer(REPLICA_INDEX),
                    line.flag(VOTER));
            case TERM_SUPERSEDED -> new TermSuperseded(sender, journalId, term, line.text(OWNER));
            default -> throw new MalformedPeerMessageException(JsonLine.WORD, "a reply of the replication protocol");
        };
    }

    private static List<EncodedBatch> decodeBatches(JsonLine line) {
        List<EncodedBatch> batches = new ArrayList<>();
        for (JsonElement each : line.array(BATCHES)) {
            batches.add(new EncodedBatch(JsonLine.text(BATCHES, each)));
        }
        return batches;
    }

    private static ReplicaSet decodeReplicaSet(JsonLine line) {
        List<String> members = new ArrayList<>();
        for (JsonElement each : line.array(REPLICA_SET)) {
            members.add(JsonLine.plainName(REPLICA_SET, JsonLine.text(REPLICA_SET, each)));
        }
        try {
            return new ReplicaSet(line.integer(REPLICA_SET_VERSION), members);
        } catch (MalformedPeerMessageException e) {
            throw e;
        } catch (IllegalArgumentException e) {
            throw new MalformedPeerMessageException(
                    REPLICA_SET, "at most " + ReplicaSet.MAX_MEMBERS + " different names", e);
        }
    }
}
