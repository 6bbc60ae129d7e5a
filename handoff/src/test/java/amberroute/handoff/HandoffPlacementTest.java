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

/** Which peer is offered which messages, and what rejections and unreachable peers change. */
class HandoffPlacementTest {
    private static MessageGroup single(long number) {
        return new MessageGroup(number, 0, 1, 1_100, 5_000);
    }

    private static MessageGroup keyed(long number, long key, int messages) {
        return new MessageGroup(number, key, messages, messages * 1_100L, 5_000);
    }

    private static List<Long> firsts(List<HandoffBatch> batches) {
        return batches.stream()
                .flatMap(l -> l.groups().stream())
                .map(MessageGroup::firstNumber)
                .sorted()
                .toList();
    }

    @Test
    void aKeyGoesWhereItsClientsTurnedUpElseByItsNumber() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b", "c"));
        assertEquals(
                "b",
                placement.assignBatches(0, List.of(keyed(1, 4, 3)), 8).get(0).successor());
        placement.preferPeer(4, "c");
        placement.preferPeer(4, "nobody");
        assertEquals(
                "c",
                placement.assignBatches(0, List.of(keyed(1, 4, 3)), 8).get(0).successor());
        placement.peerUnreachable(0, "c");
        assertEquals(
                "b",
                placement.assignBatches(1, List.of(keyed(1, 4, 3)), 8).get(0).successor());
    }

    @Test
    void lotsKeepTheirBoundsAndTakeAll() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        List<MessageGroup> groups = new ArrayList<>();
        for (int i = 1; i <= 1_000; i++) {
            groups.add(i % 3 == 0 ? keyed(i, i, 20) : single(i));
        }
        List<HandoffBatch> batches = placement.assignBatches(0, groups, 1_000);
        assertEquals(1_000, firsts(batches).size());
        assertEquals(1_000, new HashSet<>(firsts(batches)).size());
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
    void whatIsTooShortOrTooLargeStays() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a"));
        assertEquals(
                List.of(3L),
                firsts(placement.assignBatches(
                        0,
                        List.of(
                                new MessageGroup(1, 0, 1, 1_000, HandoffPlacement.MIN_TIME_LEFT_MILLIS - 1),
                                new MessageGroup(2, 7, 200, HandoffPlacement.MAX_GROUP_BYTES + 1, 9_000),
                                single(3)),
                        8)));
    }

    /** One message that a peer cannot use costs its batch one more offer, and only that message goes elsewhere. */
    @Test
    void whatAPeerCannotUseIsFoundOneByOne() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        List<MessageGroup> groups = List.of(keyed(1, 2, 1), keyed(3, 4, 1), keyed(5, 6, 1));
        HandoffBatch all = placement.assignBatches(0, groups, 8).get(0);
        assertEquals(3, all.groups().size());
        assertEquals("a", all.successor());
        placement.batchRejected(0, all, RejectionReason.UNFIT);
        List<HandoffBatch> alone = placement.assignBatches(1, groups, 8);
        assertEquals(3, alone.size());
        placement.batchRejected(1, alone.get(1), RejectionReason.UNFIT);
        Map<Long, String> successors = new TreeMap<>();
        placement
                .assignBatches(2, groups, 8)
                .forEach(l -> successors.put(l.groups().get(0).firstNumber(), l.successor()));
        assertEquals(Map.of(1L, "a", 3L, "b", 5L, "a"), successors);
        placement.batchRejected(2, new HandoffBatch("b", List.of(groups.get(1))), RejectionReason.UNFIT);
        assertEquals(List.of(1L, 5L), firsts(placement.assignBatches(3, groups, 8)));
    }

    @Test
    void aPeerWithoutRoomIsAskedAgainLaterAndTheOthersMeanwhile() {
        HandoffPlacement placement = new HandoffPlacement(List.of("a", "b"));
        HandoffBatch batch =
                placement.assignBatches(0, List.of(keyed(1, 2, 1)), 8).get(0);
        assertEquals("a", batch.successor());
        placement.batchRejected(0, batch, RejectionReason.ROOM);
        assertEquals(
                "b",
                placement.assignBatches(1, List.of(keyed(1, 2, 1)), 8).get(0).successor());
        placement.batchRejected(1, new HandoffBatch("b", batch.groups()), RejectionReason.ROOM);
        assertEquals(0, placement.assignBatches(2, List.of(keyed(1, 2, 1)), 8).size());
        assertEquals(
                "a",
                placement
                        .assignBatches(HandoffPlacement.NO_CAPACITY_PAUSE_MILLIS, List.of(keyed(1, 2, 1)), 8)
                        .get(0)
                        .successor());
    }

    /** Whatever peers answer, offers end: nothing is offered without bound, and nothing twice in one round. */
    @Test
    void offersEndWhateverPeersSay() {
        for (long seed = 1; seed <= 30; seed++) {
            Random random = new Random(seed);
            HandoffPlacement placement = new HandoffPlacement(List.of("a", "b", "c"));
            List<MessageGroup> groups = new ArrayList<>();
            for (int i = 1; i <= 60; i++) {
                groups.add(random.nextBoolean() ? single(i) : keyed(i, i, 1 + random.nextInt(10)));
            }
            long offered = 0;
            for (long now = 0; now < 60_000; now += 50) {
                Set<Long> round = new HashSet<>();
                for (HandoffBatch batch : placement.assignBatches(now, groups, 4)) {
                    for (MessageGroup group : batch.groups()) {
                        offered++;
                        assertTrue(round.add(group.firstNumber()), "seed " + seed);
                    }
                    if (random.nextInt(3) == 0) {
                        placement.peerUnreachable(now, batch.successor());
                    } else {
                        placement.batchRejected(
                                now, batch, random.nextBoolean() ? RejectionReason.ROOM : RejectionReason.UNFIT);
                    }
                }
            }
            assertTrue(offered <= 60L * HandoffPlacement.MAX_OFFERS_PER_GROUP, "seed " + seed + ": " + offered);
            assertEquals(0, placement.assignBatches(100_000, groups, 64).size(), "seed " + seed);
        }
    }
}
