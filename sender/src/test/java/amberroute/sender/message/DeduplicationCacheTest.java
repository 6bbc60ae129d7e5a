package amberroute.sender.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class DeduplicationCacheTest {
    /** What one id of one character counts for. */
    private static final long ONE = 49;

    private final DeduplicationCache ids = new DeduplicationCache(3 * ONE);

    @Test
    void whatMayBeRepeatedGoesFirstAndTheOldestOfIt() {
        ids.add("a", 1, Idempotency.NON_IDEMPOTENT, 1, 0);
        ids.add("b", 2, Idempotency.IDEMPOTENT, 2, 1);
        ids.add("c", 3, Idempotency.KEYED, 3, 2);
        assertEquals(List.of(2L), ids.add("d", 4, Idempotency.IDEMPOTENT, 4, 3));
        assertEquals(List.of(4L), ids.add("e", 5, Idempotency.NON_IDEMPOTENT, 5, 4));
        assertEquals(List.of(3L), ids.add("f", 6, Idempotency.NON_IDEMPOTENT, 6, 5));
        assertEquals(List.of(1L), ids.add("g", 7, Idempotency.NON_IDEMPOTENT, 7, 6));
        assertEquals(
                List.of("e", "f", "g"),
                ids.all().stream().map(DeduplicationCache.CompletedMessage::id).toList());
    }

    /** Also under another effect: its place is then among the youngest of that. */
    @Test
    void anIdThatComesAgainTakesTheEarlierOnesPlace() {
        ids.add("a", 1, Idempotency.IDEMPOTENT, 1, 0);
        ids.add("b", 2, Idempotency.IDEMPOTENT, 2, 1);
        assertEquals(List.of(1L), ids.add("a", 9, Idempotency.IDEMPOTENT, 3, 2));
        assertEquals(9, ids.content("a"));
        ids.add("c", 4, Idempotency.IDEMPOTENT, 4, 3);
        assertEquals(List.of(2L), ids.add("d", 5, Idempotency.IDEMPOTENT, 5, 4));
        assertEquals(List.of(3L), ids.add("a", 1, Idempotency.NON_IDEMPOTENT, 6, 5));
        assertEquals(3, ids.size());
    }

    @Test
    void whatIsPastItsReachIsForgotten() {
        ids.add("a", 1, Idempotency.NON_IDEMPOTENT, 1, 0);
        ids.add("b", 2, Idempotency.KEYED, 2, 5);
        assertEquals(List.of(), ids.expire(DeduplicationCache.RETENTION_NANOS));
        assertEquals(List.of(1L), ids.expire(DeduplicationCache.RETENTION_NANOS + 1));
        assertFalse(ids.knows("a"));
        assertTrue(ids.knows("b"));
        assertEquals(0, ids.content("a"));
    }

    /** Whatever comes in whatever order, it keeps to its bound, and each number is forgotten once or still known. */
    @Test
    void itKeepsToItsBoundAndLosesNoNumber() {
        long seed = 20_262;
        SplittableRandom random = new SplittableRandom(seed);
        DeduplicationCache many = new DeduplicationCache(50 * ONE);
        List<Long> forgotten = new ArrayList<>();
        for (long n = 1; n <= 5_000; n++) {
            forgotten.addAll(many.add(
                    Character.toString('a' + random.nextInt(200)),
                    (int) n,
                    Idempotency.values()[random.nextInt(Idempotency.values().length)],
                    n,
                    n * DeduplicationCache.RETENTION_NANOS / 100));
            assertTrue(many.size() <= 50, "seed " + seed);
        }
        Stream<Long> left = many.all().stream().map(known -> (long) known.content());
        assertEquals(5_000, Stream.concat(forgotten.stream(), left).distinct().count(), "seed " + seed);
        assertEquals(5_000, forgotten.size() + many.size(), "seed " + seed);
    }
}
