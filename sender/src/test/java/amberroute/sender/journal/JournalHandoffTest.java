package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.handoff.Ownership;
import amberroute.handoff.Ownership.Status;
import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Handoff batches in the journal: wherever a process is killed, no message is lost or has two owners. */
class JournalHandoffTest {
    private static final long DEADLINE_MILLIS = System.currentTimeMillis() + 60_000;
    private static final int SEGMENT_HEADER_BYTES = 48;
    private static final int RECORD_HEADER_BYTES = 20;
    private static final Ownership OFFERED = new Ownership(2, Status.OFFERED, "heir");

    @TempDir
    Path folder;

    private Journal open() throws IOException {
        return Journal.open(folder, 3_000_000);
    }

    private static AcceptedMessage message(Journal journal, String id, int size) {
        return new AcceptedMessage(
                journal.nextNumber(), id, "idem-" + id, "unsafe", 7, 3, DEADLINE_MILLIS, new byte[size]);
    }

    private static List<AcceptedMessage> acceptTwo(Journal journal) {
        List<AcceptedMessage> messages = List.of(message(journal, "a", 10), message(journal, "b", 2_000));
        messages.forEach(message -> assertTrue(journal.accept(message)));
        return messages;
    }

    private byte[] segmentBytes() throws IOException {
        return Files.readAllBytes(segment());
    }

    /** The only segment that a test has written so far. */
    private Path segment() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file ->
                            SegmentLog.isSegmentFileName(file.getFileName().toString()))
                    .min(Comparator.naturalOrder())
                    .orElseThrow();
        }
    }

    /** Lengths at which a whole record of the segment ends; the first record is the segment list. */
    private static List<Integer> recordEnds(byte[] segment) {
        List<Integer> ends = new ArrayList<>();
        for (int offset = SEGMENT_HEADER_BYTES; offset < segment.length; ) {
            offset += RECORD_HEADER_BYTES + ByteBuffer.wrap(segment).getInt(offset + 4);
            ends.add(offset);
        }
        return ends;
    }

    private Journal openTruncated(byte[] segmentBytes, int length) throws IOException {
        Files.write(segment(), java.util.Arrays.copyOf(segmentBytes, length));
        return open();
    }

    /** Offering a batch until its acceptance: after each record a message is owned, offered, or owned by the peer. */
    @Test
    void offeringJournalTruncatedAfterAnyRecordHasConsistentOwnership() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            assertTrue(journal.writeHandoffBatch("lot", OFFERED, DEADLINE_MILLIS, messages));
            assertTrue(journal.writeHandoffBatch(
                    "lot", new Ownership(2, Status.GIVEN, "heir"), DEADLINE_MILLIS, messages));
        }
        byte[] segmentBytes = segmentBytes();
        List<Integer> ends = recordEnds(segmentBytes);
        int[][] pendingAndOffered = {{0, 0}, {1, 0}, {2, 0}, {2, 2}, {0, 0}};
        for (int i = 0; i < ends.size(); i++) {
            try (Journal journal = openTruncated(segmentBytes, ends.get(i))) {
                assertEquals(pendingAndOffered[i][0], journal.pendingMessages().size(), "after record " + i);
                assertEquals(
                        pendingAndOffered[i][1],
                        journal.pendingMessages().stream()
                                .filter(message -> message.offeredToPeer)
                                .count(),
                        "after record " + i);
            }
        }
    }

    /** A rejection makes the messages owned again, with all their attempts; a second offer freezes them again. */
    @Test
    void offeredMessagesAfterRejectionAreOwnedAgain() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("lot", OFFERED, DEADLINE_MILLIS, messages);
            journal.writeHandoffBatch("lot", new Ownership(2, Status.OWNED, ""), DEADLINE_MILLIS, messages);
        }
        try (Journal journal = open()) {
            assertEquals(2, journal.pendingMessages().size());
            assertTrue(journal.pendingMessages().stream().noneMatch(message -> message.offeredToPeer));
            journal.writeHandoffBatch(
                    "lot",
                    new Ownership(3, Status.OFFERED, "other"),
                    DEADLINE_MILLIS,
                    List.copyOf(journal.pendingMessages()));
        }
        try (Journal journal = open()) {
            assertTrue(journal.pendingMessages().stream().allMatch(message -> message.offeredToPeer));
            assertEquals(
                    "other", journal.handoffBatches().get("lot").ownership().peer());
        }
    }

    /** Messages that end while they are offered are never owned again, since the peer may deliver them. */
    @Test
    void messagesEndedWhileOfferedAreNeverOwnedAgain() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("lot", OFFERED, DEADLINE_MILLIS, messages);
            messages.forEach(message -> journal.endWithNotice(message, message.failed()));
            journal.writeHandoffBatch("lot", new Ownership(2, Status.ENDED, ""), DEADLINE_MILLIS, messages);
        }
        byte[] segmentBytes = segmentBytes();
        List<Integer> ends = recordEnds(segmentBytes);
        for (int i = 3; i < ends.size(); i++) {
            try (Journal journal = openTruncated(segmentBytes, ends.get(i))) {
                assertEquals(2, journal.pendingMessages().size());
                for (AcceptedMessage message : journal.pendingMessages()) {
                    assertTrue(
                            message.offeredToPeer || message.pendingNotification != null,
                            "after record " + i + " it owns " + message.id);
                }
            }
        }
    }

    /** Accepting a batch: messages and ownership are one record, so a record torn at any byte leaves neither. */
    @Test
    void tornBatchAcceptanceLeavesNeitherMessagesNorBatch() throws IOException {
        try (Journal journal = open()) {
            AcceptedMessage unknownOutcome = message(journal, "unknown", 50);
            unknownOutcome.attempts = 3;
            unknownOutcome.unknownOutcomeSinceMillis = 12_345;
            unknownOutcome.unknownOutcomeEndpoint = "s-1";
            assertTrue(journal.acceptHandoffBatch(
                    "lot",
                    new Ownership(2, Status.OWNED, ""),
                    DEADLINE_MILLIS,
                    List.of(unknownOutcome, message(journal, "other", 70))));
        }
        byte[] segmentBytes = segmentBytes();
        for (int length = 0; length < segmentBytes.length; length++) {
            try (Journal journal = openTruncated(segmentBytes, length)) {
                assertTrue(
                        journal.pendingMessages().isEmpty()
                                && journal.handoffBatches().isEmpty(),
                        "at byte " + length);
            }
        }
        try (Journal journal = openTruncated(segmentBytes, segmentBytes.length)) {
            assertEquals(2, journal.pendingMessages().size());
            AcceptedMessage unknownOutcome =
                    journal.pendingMessages().iterator().next();
            assertEquals(3, unknownOutcome.attempts);
            assertEquals(12_345, unknownOutcome.unknownOutcomeSinceMillis);
            assertEquals("s-1", unknownOutcome.unknownOutcomeEndpoint);
            assertEquals("idem-unknown", unknownOutcome.idempotencyKey);
            assertTrue(journal.handoffBatches().get("lot").ownership().isOwned());
        }
    }

    /** Compaction retains handoff batches; expired ones are deleted. */
    @Test
    void handoffBatchesSurviveCompactionUntilTheyExpire() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("offered", OFFERED, DEADLINE_MILLIS, messages);
            journal.writeHandoffBatch("refused", new Ownership(2, Status.REFUSED, ""), DEADLINE_MILLIS, List.of());
            journal.writeHandoffBatch("old", new Ownership(2, Status.REFUSED, ""), 1, List.of());
            long maxUsedBytes = 0;
            for (int i = 0; i < 20_000; i++) {
                AcceptedMessage message = message(journal, "x" + i, 100);
                assertTrue(journal.accept(message));
                journal.complete(message);
                journal.compactStep();
                maxUsedBytes = Math.max(maxUsedBytes, journal.usedBytes());
            }
            assertTrue(maxUsedBytes < 1_600_000, "no segment was deleted, used bytes: " + maxUsedBytes);
            journal.expireHandoffBatches(System.currentTimeMillis());
        }
        try (Journal journal = open()) {
            assertEquals(
                    2,
                    journal.pendingMessages().stream()
                            .filter(message -> message.offeredToPeer)
                            .count());
            assertEquals(OFFERED, journal.handoffBatches().get("offered").ownership());
            assertEquals(
                    Status.REFUSED,
                    journal.handoffBatches().get("refused").ownership().status());
            assertFalse(journal.handoffBatches().containsKey("old"));
        }
    }

    /** A peer that keeps offering new batches must not take the space of messages. */
    @Test
    void handoffBatchesBeyondTheirBudgetShareAreRejected() throws IOException {
        try (Journal journal = open()) {
            int batches = 0;
            while (journal.writeHandoffBatch(
                    "lot" + batches, new Ownership(2, Status.REFUSED, ""), DEADLINE_MILLIS, List.of())) {
                batches++;
            }
            assertTrue(batches > 1_000 && batches < 2_000, batches + " batches");
            assertTrue(
                    journal.writeHandoffBatch("lot0", new Ownership(3, Status.REFUSED, ""), DEADLINE_MILLIS, List.of()),
                    "a known batch can be written again");
            for (int i = 0; i < 400; i++) {
                assertTrue(journal.accept(message(journal, "m" + i, 500)), "message " + i);
            }
        }
    }

    @Test
    void fullJournalRejectsBatchesAndEndsAcceptedMessages() throws IOException {
        try (Journal journal = Journal.open(folder, 400_000)) {
            int accepted = 0;
            while (journal.acceptHandoffBatch(
                    "lot" + accepted,
                    new Ownership(2, Status.OWNED, ""),
                    DEADLINE_MILLIS,
                    List.of(message(journal, "m" + accepted, 20_000)))) {
                accepted++;
            }
            assertTrue(accepted > 2 && accepted < 20, "accepted " + accepted);
            assertFalse(journal.containsId("m" + accepted));
            for (AcceptedMessage message : List.copyOf(journal.pendingMessages())) {
                journal.endWithNotice(message, message.failed());
            }
            assertTrue(journal.usedBytes() <= 400_000);
        }
        try (Journal journal = Journal.open(folder, 400_000)) {
            assertTrue(journal.pendingMessages().stream().allMatch(message -> message.pendingNotification != null));
        }
    }

    /** A repair rewrites holds; ranked last, they would let messages overtake those of another sender. */
    @Test
    void keyHoldsInRepairedJournalRankBeforeMessagesOfTheirKeys() throws IOException {
        Path copy = folder.resolve("copy");
        try (Journal journal = open()) {
            journal.holdKeys("leaver", List.of(7L), DEADLINE_MILLIS);
            acceptTwo(journal);
        }
        JournalRepair.run(folder, copy);
        try (Journal repaired = Journal.open(copy, 3_000_000)) {
            long holdRank = repaired.keyHoldRanks().get(7L);
            assertEquals(2, repaired.pendingMessages().size());
            repaired.pendingMessages().forEach(message -> assertTrue(holdRank < message.rank));
        }
    }
}
