package amberroute.handoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which clients may be redirected while peers acknowledge the keys that they hold. */
class KeyHoldAnnouncementTest {
    private static final OfferedKeys NOTHING_OFFERED = new OfferedKeys();

    @Test
    void clientIsRedirectedOnlyAfterAllPeersAcknowledge() {
        KeyHoldAnnouncement announcement = new KeyHoldAnnouncement(1_000, List.of("a", "b"), Map.of(7L, 9_000L), 400);
        assertFalse(announcement.isSettled(1_100));
        announcement.acknowledge("a", 0);
        announcement.acknowledge("a", 0);
        announcement.acknowledge("stranger", 0);
        assertFalse(announcement.isSettled(1_100));
        assertEquals(
                9_000 + KeyHoldAnnouncement.CLOCK_SKEW_MILLIS - 1_100,
                announcement.retryElsewhereDelayMillis(1_100, 7));
        assertTrue(announcement.isSettled(1_400), "the acknowledgement timeout has passed");
        assertTrue(announcement.retryElsewhereDelayMillis(1_400, 7) > 0, "b has not acknowledged the hold");
        announcement.acknowledge("b", 0);
        assertEquals(0, announcement.retryElsewhereDelayMillis(1_500, 7));
        assertEquals(0, announcement.retryElsewhereDelayMillis(1_500, 8), "key 8 has no pending messages");
    }

    @Test
    void holdExpiresAfterLastMessageOfItsKey() {
        KeyHoldAnnouncement announcement =
                new KeyHoldAnnouncement(0, List.of("a"), Map.of(1L, 5_000L, 2L, 6_000L), 400);
        assertTrue(announcement.batchesToSend("a", NOTHING_OFFERED).get(0).untilMillis()
                >= 6_000 + KeyHoldAnnouncement.CLOCK_SKEW_MILLIS);
        announcement.keysDone(List.of(2L));
        assertFalse(announcement.isAnnounced(2));
        assertEquals(0, announcement.retryElsewhereDelayMillis(10, 2));
    }

    @Test
    void manyKeysAreAnnouncedInBatchesAcknowledgedSeparately() {
        Map<Long, Long> endMillisByKey = new HashMap<>();
        for (long key = 1; key <= 5_000; key++) {
            endMillisByKey.put(key, 10_000L + key);
        }
        KeyHoldAnnouncement announcement = new KeyHoldAnnouncement(0, List.of("a"), endMillisByKey, 400);
        List<KeyHoldAnnouncement.KeyBatch> batches = announcement.batchesToSend("a", NOTHING_OFFERED);
        Set<Long> announcedKeys = new HashSet<>();
        batches.forEach(batch -> announcedKeys.addAll(batch.keys()));
        assertEquals(endMillisByKey.keySet(), announcedKeys);
        announcement.acknowledge("a", batches.get(0).number());
        assertEquals(
                batches.size() - 1,
                announcement.batchesToSend("a", NOTHING_OFFERED).size());
        for (long key : endMillisByKey.keySet()) {
            assertEquals(batches.get(0).keys().contains(key), announcement.retryElsewhereDelayMillis(1, key) == 0);
        }
    }

    /**
     * Guards against a hold that was repeated after the adoption of its key: later messages of the key then kept
     * waiting at the peer that had adopted it.
     */
    @Test
    void peerIsNotAskedToHoldKeyItMayHaveAdopted() {
        KeyHoldAnnouncement announcement =
                new KeyHoldAnnouncement(0, List.of("a", "b"), Map.of(1L, 5_000L, 2L, 5_000L), 400);
        OfferedKeys offered = new OfferedKeys();
        offered.offered("a", List.of(1L));
        assertEquals(List.of(), announcement.batchesToSend("a", offered), "the offer to a is unanswered");
        assertEquals(Set.of(1L, 2L), keysToSend(announcement, "b", offered));
        assertFalse(announcement.isAcknowledgedBy("a"));
        offered.forget(List.of(1L));
        assertEquals(Set.of(1L, 2L), keysToSend(announcement, "a", offered), "a refused the offer");
        offered.offered("a", List.of(1L));
        offered.adopted("a", List.of(1L));
        assertEquals(Set.of(2L), keysToSend(announcement, "a", offered));
        assertEquals(Set.of(1L, 2L), keysToSend(announcement, "b", offered), "clients of the key may connect to b");
    }

    private static Set<Long> keysToSend(KeyHoldAnnouncement announcement, String peer, OfferedKeys offered) {
        Set<Long> keys = new HashSet<>();
        announcement.batchesToSend(peer, offered).forEach(batch -> keys.addAll(batch.keys()));
        return keys;
    }

    /** Compares holds and their expiry with a plain map. */
    @Test
    void holdsMatchReferenceModelAfterRandomOperations() {
        for (long seed = 1; seed <= 50; seed++) {
            Random random = new Random(seed);
            KeyHolds holds = new KeyHolds();
            Map<String, Long> untilMillisByHold = new HashMap<>();
            for (long now = 0; now < 300; now++) {
                String origin = "o" + random.nextInt(3);
                long key = random.nextInt(4);
                boolean wasHeld = untilMillisByHold.keySet().stream().anyMatch(k -> k.endsWith(":" + key));
                if (random.nextBoolean()) {
                    long until = now + random.nextInt(40);
                    assertEquals(
                            !wasHeld, holds.hold(origin, List.of(key), until).contains(key), "seed " + seed);
                    untilMillisByHold.merge(origin + ":" + key, until, Math::max);
                } else {
                    boolean becomesFree = untilMillisByHold.remove(origin + ":" + key) != null
                            && untilMillisByHold.keySet().stream().noneMatch(k -> k.endsWith(":" + key));
                    assertEquals(
                            becomesFree, holds.release(origin, List.of(key)).contains(key), "seed " + seed);
                }
                long nowMillis = now;
                holds.expire(now);
                untilMillisByHold.values().removeIf(until -> until <= nowMillis);
                for (long k = 0; k < 4; k++) {
                    long currentKey = k;
                    assertEquals(
                            untilMillisByHold.keySet().stream().anyMatch(p -> p.endsWith(":" + currentKey)),
                            holds.isHeld(k),
                            "seed " + seed);
                }
                assertEquals(untilMillisByHold.size(), holds.size(), "seed " + seed);
                assertEquals(untilMillisByHold.size(), holds.allHolds().size(), "seed " + seed);
            }
        }
    }

    @Test
    void holdsBeyondLimitAreRefused() {
        KeyHolds holds = new KeyHolds();
        assertTrue(holds.hasCapacity(KeyHolds.MAX_HOLDS));
        holds.hold("a", List.of(1L), 10);
        assertFalse(holds.hasCapacity(KeyHolds.MAX_HOLDS));
    }
}
