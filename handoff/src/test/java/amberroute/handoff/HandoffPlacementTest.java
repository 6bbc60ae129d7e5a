package amberroute.handoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.handoff.HandoffPlacement.HandoffBatch;
import amberroute.handoff.HandoffPlacement.MessageGroup;
import amberroute.handoff.HandoffPlacement.RejectionReason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests which peer is offered which messages, and the effect of rejections and unreachable peers. */
class HandoffPlacementTest {
    private static MessageGroup groupWithoutKey(long number) {
        return new MessageGroup(number, 0, 1, 1_100, 5_000);
    }

    private static MessageGroup groupWithKey(long number, long key, int messageCount) {
        return new MessageGroup(number, key, messageCount, messageCount * 1_100L, 5_000);
    }

    private static List<Long> firstNumbers(List<HandoffBatch> batches) {
        return batches.stream()
                .flatMap(batch -> batch.groups().stream())
                .map(MessageGroup::firstNumber)
                .sorted()
                .toList();
    }

    @Test
    void keyIsOfferedToPreferredPeerThenByKeyNumber() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b", "c"));
        assertEquals(
                "b",
                placement
                        .assignBatches(0, List.of(groupWithKey(1, 4, 3)), 8)
                        .get(0)
                        .successor());
        placement.preferPeer(4, "c");
        placement.preferPeer(4, "nobody");
        assertEquals(
                "c",
                placement
                        .assignBatches(0, List.of(groupWithKey(1, 4, 3)), 8)
                        .get(0)
                        .successor());
        placement.peerUnreachable(0, "c");
        assertEquals(
                "b",
                placement
                        .assignBatches(1, List.of(groupWithKey(1, 4, 3)), 8)
                        .get(0)
                        .successor());
    }

    @Test
    void manyGroupsArePackedIntoBoundedBatches() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        List<MessageGroup> groups = new ArrayList<>();
        for (int i = 1; i <= 1_000; i++) {
            groups.add(i % 3 == 0 ? groupWithKey(i, i, 20) : groupWithoutKey(i));
        }
        List<HandoffBatch> batches = placement.assignBatches(0, groups, 1_000);
        assertEquals(1_000, firstNumbers(batches).size());
        assertEquals(1_000, new HashSet<>(firstNumbers(batches)).size());
        for (HandoffBatch batch : batches) {
            assertTrue(
                    batch.groups().stream().mapToInt(MessageGroup::messageCount).sum()
                            <= HandoffPlacement.MAX_BATCH_MESSAGES);
            assertTrue(
                    batch.groups().stream().mapToLong(MessageGroup::sizeBytes).sum()
                            <= HandoffPlacement.MAX_BATCH_BYTES);
        }
        assertTrue(batches.size() < 200, batches.size() + " batches");
        assertEquals(3, placement.assignBatches(0, groups, 3).size());
    }

    @Test
    void groupWithTooLittleTimeOrTooLargeIsNotOffered() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a"));
        assertEquals(
                List.of(3L),
                firstNumbers(placement.assignBatches(
                        0,
                        List.of(
                                new MessageGroup(1, 0, 1, 1_000, HandoffPlacement.MIN_TIME_LEFT_MILLIS - 1),
                                new MessageGroup(2, 7, 200, HandoffPlacement.MAX_GROUP_BYTES + 1, 9_000),
                                groupWithoutKey(3)),
                        8)));
    }

    /** An unfit message costs its batch one more offer, and only that message is offered to another peer. */
    @Test
    void unfitBatchIsSplitAndOnlyUnfitGroupMoves() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        List<MessageGroup> groups = List.of(groupWithKey(1, 2, 1), groupWithKey(3, 4, 1), groupWithKey(5, 6, 1));
        HandoffBatch fullBatch = placement.assignBatches(0, groups, 8).get(0);
        assertEquals(3, fullBatch.groups().size());
        assertEquals("a", fullBatch.successor());
        placement.batchRejected(0, fullBatch, RejectionReason.UNFIT);
        List<HandoffBatch> singleGroupBatches = placement.assignBatches(1, groups, 8);
        assertEquals(3, singleGroupBatches.size());
        placement.batchRejected(1, singleGroupBatches.get(1), RejectionReason.UNFIT);
        Map<Long, String> successors = new TreeMap<>();
        placement
                .assignBatches(2, groups, 8)
                .forEach(batch -> successors.put(batch.groups().get(0).firstNumber(), batch.successor()));
        assertEquals(Map.of(1L, "a", 3L, "b", 5L, "a"), successors);
        placement.batchRejected(2, new HandoffBatch("b", List.of(groups.get(1))), RejectionReason.UNFIT);
        assertEquals(List.of(1L, 5L), firstNumbers(placement.assignBatches(3, groups, 8)));
    }

    @Test
    void peerWithoutCapacityIsPausedWhileOthersAreOffered() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        HandoffBatch batch =
                placement.assignBatches(0, List.of(groupWithKey(1, 2, 1)), 8).get(0);
        assertEquals("a", batch.successor());
        placement.batchRejected(0, batch, RejectionReason.ROOM);
        assertEquals(
                "b",
                placement
                        .assignBatches(1, List.of(groupWithKey(1, 2, 1)), 8)
                        .get(0)
                        .successor());
        placement.batchRejected(1, new HandoffBatch("b", batch.groups()), RejectionReason.ROOM);
        assertEquals(
                0, placement.assignBatches(2, List.of(groupWithKey(1, 2, 1)), 8).size());
        assertEquals(
                "a",
                placement
                        .assignBatches(HandoffPlacement.NO_CAPACITY_PAUSE_MILLIS, List.of(groupWithKey(1, 2, 1)), 8)
                        .get(0)
                        .successor());
    }

    /** For any replies of the peers, the number of offers is bounded and no group is offered twice in one round. */
    @Test
    void offersOfEachGroupAreBoundedForAnyReplies() {
        for (long seed = 1; seed <= 30; seed++) {
            Random random = new Random(seed);
            HandoffPlacement placement = new HandoffPlacement(List.of("a", "b", "c"));
            List<MessageGroup> groups = new ArrayList<>();
            for (int i = 1; i <= 60; i++) {
                groups.add(random.nextBoolean() ? groupWithoutKey(i) : groupWithKey(i, i, 1 + random.nextInt(10)));
            }
            long offerCount = 0;
            for (long now = 0; now < 60_000; now += 50) {
                Set<Long> offeredInRound = new HashSet<>();
                for (HandoffBatch batch : placement.assignBatches(now, groups, 4)) {
                    for (MessageGroup group : batch.groups()) {
                        offerCount++;
                        assertTrue(offeredInRound.add(group.firstNumber()), "seed " + seed);
                    }
                    if (random.nextInt(3) == 0) {
                        placement.peerUnreachable(now, batch.successor());
                    } else {
                        placement.batchRejected(
                                now, batch, random.nextBoolean() ? RejectionReason.ROOM : RejectionReason.UNFIT);
                    }
                }
            }
            assertTrue(offerCount <= 60L * HandoffPlacement.MAX_OFFERS_PER_GROUP, "seed " + seed + ": " + offerCount);
            assertEquals(0, placement.assignBatches(100_000, groups, 64).size(), "seed " + seed);
        }
    }
}
