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
    private static final long SOON = System.currentTimeMillis() + 60_000;
    private static final Ownership OFFERED = new Ownership(2, Status.OFFERED, "heir");

    @TempDir
    Path folder;

    private Journal open() throws IOException {
        return Journal.open(folder, 3_000_000);
    }

    private static AcceptedMessage message(Journal journal, String id, int size) {
        return new AcceptedMessage(journal.nextNumber(), id, "idem-" + id, "unsafe", 7, 3, SOON, new byte[size]);
    }

    private static List<AcceptedMessage> acceptTwo(Journal journal) {
        List<AcceptedMessage> messages = List.of(message(journal, "a", 10), message(journal, "b", 2_000));
        messages.forEach(m -> assertTrue(journal.accept(m)));
        return messages;
    }

    private byte[] segmentBytes() throws IOException {
        return Files.readAllBytes(segment());
    }

    /** The one segment that a test has written so far. */
    private Path segment() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> SegmentLog.isSegment(f.getFileName().toString()))
                    .min(Comparator.naturalOrder())
                    .orElseThrow();
        }
    }

    /** Lengths of the segment at which a whole record ends; the first record is the segment list. */
    private static List<Integer> boundaries(byte[] file) {
        List<Integer> out = new ArrayList<>();
        for (int at = 48; at < file.length; ) {
            at += 20 + ByteBuffer.wrap(file).getInt(at + 4);
            out.add(at);
        }
        return out;
    }

    private Journal openCutAt(byte[] whole, int length) throws IOException {
        Files.write(segment(), java.util.Arrays.copyOf(whole, length));
        return open();
    }

    /** The sender of a batch, up to its acceptance: at each record a message is its own, frozen, or the peer's. */
    @Test
    void aLeaverThatDiesAnywhereKnowsWhatItOffered() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            assertTrue(journal.writeHandoffBatch("lot", OFFERED, SOON, messages));
            assertTrue(journal.writeHandoffBatch("lot", new Ownership(2, Status.GIVEN, "heir"), SOON, messages));
        }
        byte[] whole = segmentBytes();
        List<Integer> ends = boundaries(whole);
        int[][] liveAndFrozen = {{0, 0}, {1, 0}, {2, 0}, {2, 2}, {0, 0}};
        for (int i = 0; i < ends.size(); i++) {
            try (Journal journal = openCutAt(whole, ends.get(i))) {
                assertEquals(liveAndFrozen[i][0], journal.pendingMessages().size(), "after record " + i);
                assertEquals(
                        liveAndFrozen[i][1],
                        journal.pendingMessages().stream()
                                .filter(m -> m.offeredToPeer)
                                .count(),
                        "after record " + i);
            }
        }
    }

    /** A rejection unfreezes the messages, with all their attempts; a second offer freezes them again. */
    @Test
    void aRefusalGivesThemBack() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("lot", OFFERED, SOON, messages);
            journal.writeHandoffBatch("lot", new Ownership(2, Status.OWNED, ""), SOON, messages);
        }
        try (Journal journal = open()) {
            assertEquals(2, journal.pendingMessages().size());
            assertTrue(journal.pendingMessages().stream().noneMatch(m -> m.offeredToPeer));
            journal.writeHandoffBatch(
                    "lot", new Ownership(3, Status.OFFERED, "other"), SOON, List.copyOf(journal.pendingMessages()));
        }
        try (Journal journal = open()) {
            assertTrue(journal.pendingMessages().stream().allMatch(m -> m.offeredToPeer));
            assertEquals(
                    "other", journal.handoffBatches().get("lot").ownership().peer());
        }
    }

    /** Ended while offered: at no record is a message the sender's own again, as the peer may deliver it. */
    @Test
    void whatWasGivenUpIsNeverItsOwnAgain() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("lot", OFFERED, SOON, messages);
            messages.forEach(m -> journal.end(m, m.failed()));
            journal.writeHandoffBatch("lot", new Ownership(2, Status.ENDED, ""), SOON, messages);
        }
        byte[] whole = segmentBytes();
        List<Integer> ends = boundaries(whole);
        for (int i = 3; i < ends.size(); i++) {
            try (Journal journal = openCutAt(whole, ends.get(i))) {
                assertEquals(2, journal.pendingMessages().size());
                for (AcceptedMessage m : journal.pendingMessages()) {
                    assertTrue(
                            m.offeredToPeer || m.pendingNotification != null, "after record " + i + " it owns " + m.id);
                }
            }
        }
    }

    /** The receiver of a batch: messages and ownership are in one record, so a torn one leaves neither, at whatever byte. */
    @Test
    void aTornAdoptionLeavesNothing() throws IOException {
        try (Journal journal = open()) {
            AcceptedMessage doubt = message(journal, "doubt", 50);
            doubt.attempts = 3;
            doubt.unknownOutcomeSinceMillis = 12_345;
            doubt.unknownOutcomeEndpoint = "s-1";
            assertTrue(journal.acceptHandoffBatch(
                    "lot", new Ownership(2, Status.OWNED, ""), SOON, List.of(doubt, message(journal, "other", 70))));
        }
        byte[] whole = segmentBytes();
        for (int length = 0; length < whole.length; length++) {
            try (Journal journal = openCutAt(whole, length)) {
                assertTrue(
                        journal.pendingMessages().isEmpty()
                                && journal.handoffBatches().isEmpty(),
                        "at byte " + length);
            }
        }
        try (Journal journal = openCutAt(whole, whole.length)) {
            assertEquals(2, journal.pendingMessages().size());
            AcceptedMessage doubt = journal.pendingMessages().iterator().next();
            assertEquals(3, doubt.attempts);
            assertEquals(12_345, doubt.unknownOutcomeSinceMillis);
            assertEquals("s-1", doubt.unknownOutcomeEndpoint);
            assertEquals("idem-doubt", doubt.idempotencyKey);
            assertTrue(journal.handoffBatches().get("lot").ownership().isOwned());
        }
    }

    /** Compaction retains handoff batches, and expired ones are deleted. */
    @Test
    void survivesARewrite() throws IOException {
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = acceptTwo(journal);
            journal.writeHandoffBatch("kept", OFFERED, SOON, messages);
            journal.writeHandoffBatch("refused", new Ownership(2, Status.REFUSED, ""), SOON, List.of());
            journal.writeHandoffBatch("old", new Ownership(2, Status.REFUSED, ""), 1, List.of());
            long most = 0;
            for (int i = 0; i < 20_000; i++) {
                AcceptedMessage m = message(journal, "x" + i, 100);
                assertTrue(journal.accept(m));
                journal.conclude(m);
                journal.compactSlice();
                most = Math.max(most, journal.usedBytes());
            }
            assertTrue(most < 1_600_000, "nothing was retired: " + most);
            journal.expireHandoffBatches(System.currentTimeMillis());
        }
        try (Journal journal = open()) {
            assertEquals(
                    2,
                    journal.pendingMessages().stream()
                            .filter(m -> m.offeredToPeer)
                            .count());
            assertEquals(OFFERED, journal.handoffBatches().get("kept").ownership());
            assertEquals(
                    Status.REFUSED,
                    journal.handoffBatches().get("refused").ownership().status());
            assertFalse(journal.handoffBatches().containsKey("old"));
        }
    }

    /** Peers that offer ever new batches leave the room for messages. */
    @Test
    void lotsTakeOnlyTheirShare() throws IOException {
        try (Journal journal = open()) {
            int lots = 0;
            while (journal.writeHandoffBatch("lot" + lots, new Ownership(2, Status.REFUSED, ""), SOON, List.of())) {
                lots++;
            }
            assertTrue(lots > 1_000 && lots < 2_000, lots + " lots");
            assertTrue(
                    journal.writeHandoffBatch("lot0", new Ownership(3, Status.REFUSED, ""), SOON, List.of()),
                    "a known one has its place");
            for (int i = 0; i < 400; i++) {
                assertTrue(journal.accept(message(journal, "m" + i, 500)), "message " + i);
            }
        }
    }

    @Test
    void aFullDiskRefusesLotsAndKeepsWhatIsOwed() throws IOException {
        try (Journal journal = Journal.open(folder, 400_000)) {
            int taken = 0;
            while (journal.acceptHandoffBatch(
                    "lot" + taken,
                    new Ownership(2, Status.OWNED, ""),
                    SOON,
                    List.of(message(journal, "m" + taken, 20_000)))) {
                taken++;
            }
            assertTrue(taken > 2 && taken < 20, "took " + taken);
            assertFalse(journal.knows("m" + taken));
            for (AcceptedMessage m : List.copyOf(journal.pendingMessages())) {
                journal.end(m, m.failed());
            }
            assertTrue(journal.usedBytes() <= 400_000);
        }
        try (Journal journal = Journal.open(folder, 400_000)) {
            assertTrue(journal.pendingMessages().stream().allMatch(m -> m.pendingNotification != null));
        }
    }

    /** Guards against messages that overtake another daemon's: a repair writes holds anew, and must not put them last. */
    @Test
    void aRepairedJournalHasHoldsAheadOfTheMessagesOfTheirKeys() throws IOException {
        Path copy = folder.resolve("copy");
        try (Journal journal = open()) {
            journal.holdKeys("leaver", List.of(7L), SOON);
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
