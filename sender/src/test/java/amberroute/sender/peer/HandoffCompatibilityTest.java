package amberroute.sender.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.handoff.HandoffPlacement.RejectionReason;
import amberroute.handoff.KeyHolds.KeyHold;
import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.RecordKind;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldReply;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldStatusRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRequest;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.peer.HandoffProtocolMessage.OfferReply;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendEntries;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendReply;
import amberroute.sender.peer.ReplicationProtocolMessage.JournalCompleted;
import amberroute.sender.peer.ReplicationProtocolMessage.OwnerRestarting;
import amberroute.sender.peer.ReplicationProtocolMessage.ReplicaRemoved;
import amberroute.sender.peer.ReplicationProtocolMessage.SnapshotSlice;
import amberroute.sender.peer.ReplicationProtocolMessage.TermSuperseded;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteReply;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteRequest;
import amberroute.storage.Batch;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Lines of handoff and replication recorded from version 131520b: a fleet is upgraded one daemon at a time, so each version reads what
 * the other writes. Recorded on connections between its daemons.
 */
class HandoffCompatibilityTest {
    /** A moment within the life of the recorded messages. */
    private static final long WALL_MILLIS = 1_796_293_500_000L;

    private static final String JOURNAL = "two.abc";

    private final Map<String, String> recorded = recorded();
    private final Set<String> checked = new HashSet<>();
    private long lastNumber = 98;
    private final HandoffCodec handoff = new HandoffCodec(() -> ++lastNumber, () -> WALL_MILLIS);

    private void checkHandoff(String name, HandoffProtocolMessage expected) {
        String line = recorded.get(name);
        assertEquals(expected, handoff.decode(JsonLine.parse(line)), name);
        assertEquals(line, text(handoff.encode(expected)), name);
        checked.add(name);
    }

    private void checkRequest(String name, ReplicationProtocolMessage expected) {
        checkReplication(name, expected, ReplicationCodec.decodeRequest(JsonLine.parse(recorded.get(name))));
    }

    private void checkReply(String name, ReplicationProtocolMessage expected) {
        checkReplication(name, expected, ReplicationCodec.decodeReply(JsonLine.parse(recorded.get(name))));
    }

    private void checkReplication(
            String name, ReplicationProtocolMessage expected, ReplicationProtocolMessage decoded) {
        assertEquals(expected, decoded, name);
        assertEquals(recorded.get(name), text(ReplicationCodec.encode(expected)), name);
        checked.add(name);
    }

    @Test
    void everyRecordedLineIsReadAndWrittenAsBefore() throws IOException {
        offers();
        offerReplies();
        keyHolds();
        votes();
        appends();
        snapshots();
        replicationNotices();
        assertEquals(recorded.keySet(), checked);
    }

    private void offers() {
        OfferMessage offer = (OfferMessage) handoff.decode(JsonLine.parse(recorded.get("to_offer3")));
        assertEquals("two", offer.sender());
        assertEquals("two-hoqdnr32og", offer.batchId());
        assertEquals(2, offer.generation());
        assertEquals(Map.of("keyed", "KEYED DESTINATION 600000000 true"), offer.classMeanings());
        assertEquals(Map.of(0x7fL, List.of("two"), 0xfedcba9876543210L, List.of("two")), offer.holdOriginsByKey());
        assertEquals(1_796_293_704_932L, offer.holdUntilMillis());
        assertEquals(3, offer.messages().size());
        checkMessage(
                offer.messages().get(0), 99, "id-1<\"&'=>", 0x7fL, "a body & more".getBytes(StandardCharsets.UTF_8));
        AcceptedMessage inDoubt = offer.messages().get(1);
        checkMessage(inDoubt, 100, "id-2", 0xfedcba9876543210L, new byte[] {0, 1, 2, -1});
        assertEquals(3, inDoubt.attempts);
        assertEquals(1_700_000_000_123L, inDoubt.unknownOutcomeSinceMillis);
        assertEquals("endpoint-7", inDoubt.unknownOutcomeEndpoint);
        checkMessage(offer.messages().get(2), 101, "id-3", 0, new byte[0]);
        for (String name : List.of("to_offer1", "to_offer3")) {
            String line = recorded.get(name);
            assertEquals(line, text(handoff.encode(handoff.decode(JsonLine.parse(line)))));
            checked.add(name);
        }
        checkHandoff("codec_cancel", new CancelMessage("two", "two-abc", 5));
    }

    private static void checkMessage(AcceptedMessage message, long number, String id, long key, byte[] body) {
        assertEquals(number, message.number);
        assertEquals(id, message.id);
        assertEquals("key-" + id, message.idempotencyKey);
        assertEquals("keyed", message.className);
        assertEquals(key, message.key);
        assertEquals(3, message.destination);
        assertEquals(1_796_293_703_785L, message.deadlineMillis);
        assertArrayEquals(body, message.body);
        assertTrue(message.adopted);
    }

    private void offerReplies() {
        checkHandoff("back_yes", new OfferReply("two-hoqdnr32og", 2, true, Optional.empty()));
        checkHandoff("back_no_room", new OfferReply("two-hoqdnr32oh", 2, false, Optional.of(RejectionReason.ROOM)));
        checkHandoff("back_no_unfit", new OfferReply("two-hoqdnr32oi", 2, false, Optional.of(RejectionReason.UNFIT)));
        checkHandoff("codec_yes", new OfferReply("two-abc", 5, true, Optional.empty()));
        checkHandoff("codec_no", new OfferReply("two-abc", 5, false, Optional.empty()));
    }

    private void keyHolds() {
        List<Long> keys = List.of(0x7fL, 0xfedcba9876543210L);
        checkHandoff("to_hold", new KeyHoldRequest("two", 0, 1_796_293_704_785L, keys));
        checkHandoff("codec_hold", new KeyHoldRequest("two", 3, 1_700_000_000_456L, List.of(1L, -1L, 0x10L)));
        checkHandoff("back_held", new KeyHoldReply(0));
        checkHandoff("codec_held", new KeyHoldReply(3));
        checkHandoff("to_release", new KeyRelease("two", "two", keys));
        checkHandoff("codec_release", new KeyRelease("two", "three", List.of(1L, -1L)));
        checkHandoff(
                "codec_over",
                new KeyHoldStatusRequest(
                        "two", List.of(new KeyHold("two", 5, 1_700_000_000_456L), new KeyHold("two", -2, 9))));
        checkHandoff("codec_want", new KeyRequest("two", -2));
    }

    private void votes() {
        checkRequest("to_claim_try", new VoteRequest("one", "one.mx7ej81y", 1, true, LogPosition.NONE));
        checkRequest("to_claim_real", new VoteRequest("one", "one.mx7ej81y", 1, false, LogPosition.NONE));
        checkReply("back_grant", new VoteReply("one", JOURNAL, 0, true, 1, false, false));
        checkReply("back_deny", new VoteReply("one", JOURNAL, 1, false, 1, false, false));
    }

    private void appends() throws IOException {
        checkRequest("to_copy_empty", new AppendEntries("one", "one.mx7ej81y", 1, 1, 1, List.of(), Optional.empty()));
        checkRequest(
                "to_copy_batches",
                new AppendEntries("two", JOURNAL, 1, 1, 2, batches("to_copy_batches"), Optional.empty()));
        checkRequest(
                "to_copy_holders_batches",
                new AppendEntries(
                        "two",
                        JOURNAL,
                        1,
                        2,
                        3,
                        batches("to_copy_holders_batches"),
                        Optional.of(new ReplicaSet(1, List.of("two", "one")))));
        checkReply("back_have_true", new AppendReply("one", JOURNAL, 1, true, 1, true));
        checkReply("back_have_false", new AppendReply("one", JOURNAL, 1, true, 4, false));
        checkReply("back_lacks", new AppendReply("one", JOURNAL, 1, false, 3, true));
        checkBatchContents();
    }

    /** The records about the journal itself in the batch that changed the replica set. */
    private void checkBatchContents() throws IOException {
        ReplicaSet replicaSet = new ReplicaSet(1, List.of("two", "one"));
        byte[] setContent = ReplicaRecords.encodeReplicaSet(JOURNAL, replicaSet);
        byte[] positionContent = ReplicaRecords.encodePosition(new LogPosition(1, 3));
        EncodedBatch recordedBatch = batches("to_copy_holders_batches").get(0);
        Batch expected = new Batch()
                .put(3, RecordKind.REPLICA_SET, setContent)
                .put(3, RecordKind.REPLICATION_POSITION, positionContent);
        assertEquals(EncodedBatch.of(expected), recordedBatch);
        assertArrayEquals(expected.encode(), recordedBatch.decode().encode());
        assertEquals(new LogPosition(1, 3), ReplicaRecords.decodePosition(positionContent));
        assertEquals(JOURNAL, ReplicaRecords.decodeJournalId(setContent));
        assertEquals(replicaSet, ReplicaRecords.decodeReplicaSet(setContent));
    }

    private void snapshots() {
        ReplicaSet replicaSet = new ReplicaSet(0, List.of("two", "one", "three"));
        checkRequest(
                "to_whole_first",
                new SnapshotSlice(
                        "two",
                        JOURNAL,
                        1,
                        true,
                        false,
                        OptionalLong.of(0),
                        OptionalLong.empty(),
                        batches("to_whole_first"),
                        replicaSet));
        checkRequest(
                "to_whole_last",
                new SnapshotSlice(
                        "two",
                        JOURNAL,
                        1,
                        false,
                        true,
                        OptionalLong.empty(),
                        OptionalLong.of(1),
                        batches("to_whole_last"),
                        replicaSet));
        checkRequest(
                "to_whole_firstlast",
                new SnapshotSlice(
                        "one",
                        "one.mx7ej81y",
                        1,
                        true,
                        true,
                        OptionalLong.of(0),
                        OptionalLong.of(1),
                        batches("to_whole_firstlast"),
                        new ReplicaSet(0, List.of("one", "three", "two"))));
    }

    private void replicationNotices() {
        checkRequest("to_done", new JournalCompleted("two", JOURNAL, 1));
        checkRequest("to_leave", new ReplicaRemoved("two", JOURNAL, 1));
        checkRequest("to_away", new OwnerRestarting("two", JOURNAL, 1, 2_500));
        checkReply("back_over", new TermSuperseded("one", JOURNAL, 1, "two"));
    }

    /** Each bound that is broken is named, so that whoever reads the log knows the field. */
    @Test
    void aMalformedMessageNamesItsFieldAndBound() {
        malformedHandoff("line", "[]");
        malformedHandoff("line", "{\"word\":");
        malformedHandoff("word", "{}");
        malformedHandoff("word", "{\"word\":\"GRANT\"}");
        malformedHandoff("from", "{\"word\":\"CANCEL\",\"from\":\"a b\",\"lot\":\"x\",\"generation\":1}");
        malformedHandoff("generation", "{\"word\":\"CANCEL\",\"from\":\"a\",\"lot\":\"x\",\"generation\":\"y\"}");
        malformedHandoff("why", "{\"word\":\"NO\",\"lot\":\"x\",\"generation\":1,\"why\":\"MOOD\"}");
        malformedHandoff("key", "{\"word\":\"WANT\",\"from\":\"a\",\"key\":\"zz\"}");
        malformedHandoff("untils", "{\"word\":\"OVER\",\"from\":\"a\",\"keys\":[\"1\"],\"untils\":[]}");
        JsonArray keys = new JsonArray();
        for (int i = 0; i < 2_049; i++) {
            keys.add("1");
        }
        malformedHandoff("keys", "{\"word\":\"HOLD\",\"from\":\"a\",\"batch\":0,\"until\":1,\"keys\":" + keys + "}");
        malformedReplication("behind", "{\"word\":\"COPY\",\"from\":\"a\",\"estate\":\"a.b\",\"term\":1}");
        malformedReplication("estate", "{\"word\":\"DONE\",\"from\":\"a\",\"estate\":\"a/b\",\"term\":1}");
        malformedReplication(
                "holders",
                "{\"word\":\"COPY\",\"from\":\"a\",\"estate\":\"a.b\",\"term\":1,\"behind\":1,\"upto\":1,"
                        + "\"batches\":[],\"holders\":[\"a\",\"a\"],\"version\":1}");
        malformed("batches", () -> new EncodedBatch("AAAA").decode());
        malformed("batches", () -> new EncodedBatch("%").decode());
    }

    /** An offered message is held to the bounds of a message that a client hands in. */
    @Test
    void anOfferedMessageOutOfBoundsIsMalformed() {
        malformedMessage("id", "id", "");
        malformedMessage("id", "id", "a b");
        malformedMessage("idempotency_key", "idempotency_key", "a\nb");
        malformedMessage("doubt_at", "doubt_at", "x".repeat(129));
        malformedMessage("attempts", "attempts", "-1");
        malformedMessage("doubt_since", "doubt_since", "-1");
        malformedMessage("deadline", "deadline", "-1");
        malformedMessage("deadline", "deadline", Long.toString(WALL_MILLIS + AcceptedMessage.MAX_LIFETIME_MILLIS + 1));
        malformedMessage("body", "body", "%");
        malformedMessage("key", "key", "12345678123456781");
    }

    private void malformedMessage(String expectedField, String field, String value) {
        JsonObject line = JsonParser.parseString(recorded.get("to_offer1")).getAsJsonObject();
        line.getAsJsonArray("messages").get(0).getAsJsonObject().addProperty(field, value);
        malformedHandoff(expectedField, line.toString());
    }

    private void malformedHandoff(String field, String line) {
        malformed(field, () -> handoff.decode(JsonLine.parse(line)));
    }

    private static void malformedReplication(String field, String line) {
        malformed(field, () -> ReplicationCodec.decodeRequest(JsonLine.parse(line)));
    }

    private static void malformed(String field, Runnable decode) {
        MalformedPeerMessageException e = assertThrows(MalformedPeerMessageException.class, decode::run);
        assertEquals(field, e.field());
        assertTrue(!e.bound().isEmpty() && e.getMessage().contains(field), e.getMessage());
    }

    private List<EncodedBatch> batches(String name) {
        JsonArray batches =
                JsonParser.parseString(recorded.get(name)).getAsJsonObject().getAsJsonArray("batches");
        return batches.asList().stream()
                .map(batch -> new EncodedBatch(batch.getAsString()))
                .toList();
    }

    private static String text(ByteBuf line) {
        String text = line.toString(StandardCharsets.UTF_8);
        assertTrue(text.endsWith("\n"));
        return text.substring(0, text.length() - 1);
    }

    private static Map<String, String> recorded() {
        Map<String, String> lines = new LinkedHashMap<>();
        try (InputStream in =
                HandoffCompatibilityTest.class.getResourceAsStream("/compatibility/131520b/peer-lines.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                int blank = line.indexOf(' ');
                lines.put(line.substring(0, blank), line.substring(blank + 1));
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return lines;
    }
}
