package amberroute.decisions.collections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Compares each data structure with a simple model on random operations; failures name the seed. */
class CollectionsTest {
    private static final class Item extends DueDateTreap.Node<Item> {
        private boolean isReady;
        private boolean isFirstOfKey;

        Item(long due, long number) {
            this.due = due;
            this.sequenceNumber = number;
        }

        @Override
        public String toString() {
            return due + "/" + sequenceNumber;
        }
    }

    private static final Comparator<Item> ORDER =
            Comparator.<Item>comparingLong(item -> item.due).thenComparingLong(item -> item.sequenceNumber);

    private static Item first(TreeSet<Item> model, Predicate<Item> wanted) {
        return model.stream().filter(wanted).findFirst().orElse(null);
    }

    @Test
    void treapGivesTheSameAnswersAsASortedSet() {
        for (long seed = 1; seed <= 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DueDateTreap<Item> treap = new DueDateTreap<>();
            TreeSet<Item> model = new TreeSet<>(ORDER);
            int dueRange = 1 + random.nextInt(200);
            for (int step = 0; step < 600; step++) {
                String context = "seed " + seed + ", step " + step;
                int operation = random.nextInt(5);
                if (operation < 2 || model.isEmpty()) {
                    Item item = new Item(random.nextInt(dueRange), step);
                    item.isReady = random.nextBoolean();
                    item.isFirstOfKey = random.nextBoolean();
                    treap.add(item, item.isReady, item.isFirstOfKey);
                    model.add(item);
                } else {
                    Item item = List.copyOf(model).get(random.nextInt(model.size()));
                    if (operation == 2) {
                        treap.remove(item);
                        model.remove(item);
                    } else {
                        item.isReady = random.nextBoolean();
                        item.isFirstOfKey = random.nextBoolean();
                        treap.mark(item, item.isReady, item.isFirstOfKey);
                    }
                }
                long from = random.nextInt(dueRange + 2) - 1;
                long to = random.nextInt(dueRange + 2) - 1;
                boolean ready = random.nextBoolean();
                Predicate<Item> matches = item -> !ready || item.isReady;
                assertEquals(model.size(), treap.size(), context);
                assertEquals(model.stream().filter(item -> item.isReady).count(), treap.readyCount(), context);
                assertEquals(
                        model.stream().filter(item -> item.isFirstOfKey).count(), treap.firstOfKeyCount(), context);
                assertSame(first(model, item -> true), treap.first(), context);
                assertSame(
                        first(model, item -> matches.test(item) && item.due >= from && item.due < to),
                        treap.earliest(from, to, ready),
                        context);
                long sequenceNumber = random.nextInt(step + 1);
                assertSame(
                        first(
                                model,
                                item -> matches.test(item)
                                        && item.due < to
                                        && (item.due > from
                                                || item.due == from && item.sequenceNumber > sequenceNumber)),
                        treap.after(from, sequenceNumber, to, ready),
                        context);
                long lastDue = model.stream()
                        .filter(item -> matches.test(item) && item.due >= from && item.due < to)
                        .mapToLong(item -> item.due)
                        .max()
                        .orElse(-9);
                assertSame(
                        first(model, item -> matches.test(item) && item.due == lastDue),
                        treap.latest(from, to, ready),
                        context);
                assertEquals(
                        model.stream()
                                .filter(item -> item.isFirstOfKey)
                                .mapToLong(item -> item.due)
                                .max()
                                .orElse(Long.MIN_VALUE),
                        treap.latestFirstOfKeyDue(),
                        context);
                assertEquals(
                        model.stream()
                                .filter(item -> item.due >= from && item.due < to)
                                .count(),
                        treap.count(from, to),
                        context);
                long threshold = random.nextInt(dueRange + 1);
                Item expected = first(model, item -> item.due >= from && item.due < to && item.due >= threshold);
                if (from <= to) {
                    assertEquals(
                            expected == null ? to : expected.due,
                            treap.boundary(from, to, due -> due < threshold),
                            context);
                }
            }
        }
    }

    @Test
    void timerHeapGivesTheEarliestEntryAfterMovesAndRemovals() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            IndexedTimerHeap<Integer> heap = new IndexedTimerHeap<>();
            List<IndexedTimerHeap.Entry<Integer>> entries = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                entries.add(new IndexedTimerHeap.Entry<>(i));
            }
            Set<IndexedTimerHeap.Entry<Integer>> queued = new HashSet<>();
            for (int step = 0; step < 2_000; step++) {
                IndexedTimerHeap.Entry<Integer> entry = entries.get(random.nextInt(entries.size()));
                switch (random.nextInt(4)) {
                    case 0, 1 -> {
                        heap.set(entry, random.nextInt(50));
                        queued.add(entry);
                    }
                    case 2 -> {
                        heap.remove(entry);
                        queued.remove(entry);
                    }
                    default -> {
                        long now = random.nextInt(50);
                        IndexedTimerHeap.Entry<Integer> polled = heap.poll(now);
                        long earliest = queued.stream()
                                .mapToLong(IndexedTimerHeap.Entry::dueAt)
                                .min()
                                .orElse(Long.MAX_VALUE);
                        assertEquals(earliest <= now, polled != null, "seed " + seed + ", step " + step);
                        if (polled != null) {
                            assertEquals(earliest, polled.dueAt());
                            assertTrue(queued.remove(polled));
                        }
                    }
                }
                assertEquals(queued.size(), heap.size());
                assertEquals(queued.contains(entry), entry.isQueued());
                assertEquals(
                        queued.stream()
                                .mapToLong(IndexedTimerHeap.Entry::dueAt)
                                .min()
                                .orElse(-1),
                        heap.peek() == null ? -1 : heap.peek().dueAt(),
                        "seed " + seed + ", step " + step);
            }
        }
    }

    @Test
    void maxHeapGivesTheGreatestKeyFirst() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            MaxHeap<Item> heap = new MaxHeap<>();
            List<Item> model = new ArrayList<>();
            for (int step = 0; step < 1_500; step++) {
                if (random.nextInt(3) > 0) {
                    Item item = new Item(random.nextInt(40), step);
                    model.add(item);
                    if (random.nextBoolean()) {
                        heap.add(item, item.due, item.sequenceNumber);
                    } else {
                        heap.push(item, item.due, item.sequenceNumber);
                    }
                } else if (!model.isEmpty()) {
                    Item best = model.stream()
                            .max(Comparator.<Item>comparingLong(item -> item.due)
                                    .thenComparing(item -> -item.sequenceNumber))
                            .orElseThrow();
                    assertEquals(best.due, heap.key(), "seed " + seed + ", step " + step);
                    assertSame(best, heap.pop(), "seed " + seed + ", step " + step);
                    model.remove(best);
                }
                if (random.nextInt(400) == 0) {
                    heap.clear();
                    model.clear();
                }
                assertEquals(model.isEmpty(), heap.isEmpty());
            }
        }
    }

    @Test
    void decayingSumEqualsTheSumOfItsDecayedTerms() {
        SplittableRandom random = new SplittableRandom(5);
        DecayingSum sum = new DecayingSum(1_000_000);
        List<double[]> terms = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 5_000; step++) {
            now += random.nextInt(10_000);
            if (random.nextInt(3) > 0 || terms.isEmpty()) {
                double[] term = {random.nextDouble() * 1e5, random.nextDouble() * 1e6, now};
                sum.add(now, term[0], term[1]);
                terms.add(term);
            } else {
                double[] removed = terms.remove(random.nextInt(terms.size()));
                sum.add(now, -removed[0], -removed[1] * sum.decayFactor((long) removed[2], now));
            }
            double expected = 0;
            for (double[] term : terms) {
                expected += term[0] + term[1] * Math.exp((term[2] - now) / 1e6);
            }
            assertEquals(expected, sum.value(now), 1e-9 * Math.max(1e6, expected), "step " + step);
        }
        sum.clear();
        assertEquals(0, sum.value(now));
    }

    // ---- The index. ----

    /** Random message classes, loads and times; due dates reach from the past far into the future, and many are equal. */
    private static final class IndexScenario {
        final SplittableRandom random;
        final AtcIndex atcIndex;
        final IndexOrderIterator<Item> iterator;
        final DueDateTreap<Item> treap = new DueDateTreap<>();
        final List<Item> items = new ArrayList<>();
        final long now = 50_000_000;
        final double serviceMicros;
        final long splitDue;
        final long otherSplitDue;

        IndexScenario(long seed) {
            random = new SplittableRandom(seed);
            iterator = new IndexOrderIterator<>(treap);
            atcIndex = iterator.atcIndex();
            long objectiveMicros = 1 + random.nextLong(3_000_000);
            long deadlineMicros =
                    objectiveMicros + random.nextLong(10_000_000) - (random.nextInt(10) == 0 ? objectiveMicros / 2 : 0);
            serviceMicros = Math.pow(10, random.nextDouble() * 7);
            boolean valueHalves = random.nextBoolean();
            // Without a late share only the first sixty halvings of the value are distinguished.
            double[] lateShares = {valueHalves ? 0.5 : 0, 0.5, 1, random.nextDouble() + 1e-6, 0.001};
            atcIndex.set(
                    random.nextDouble() * 4,
                    random.nextDouble(),
                    serviceMicros,
                    now,
                    25 * Math.pow(10, random.nextDouble() * 7),
                    objectiveMicros,
                    deadlineMicros,
                    lateShares[random.nextInt(lateShares.length)],
                    valueHalves);
            int count = 1 + random.nextInt(120);
            long granularityMicros = random.nextBoolean() ? 1 : 100_000;
            for (int i = 0; i < count; i++) {
                Item item = new Item(
                        (now - 1_000_000 + random.nextLong(2 * deadlineMicros + 2_000_000))
                                / granularityMicros
                                * granularityMicros,
                        i);
                item.isReady = random.nextInt(4) > 0;
                treap.add(item, item.isReady, true);
                items.add(item);
            }
            splitDue = now + random.nextLong(4_000_000);
            otherSplitDue = now + random.nextLong(4_000_000);
            atcIndex.divide(treap.first().due, splitDue, otherSplitDue);
        }
    }

    @Test
    void iteratorVisitsReadyMessagesInTheOrderOfTheirIndex() {
        for (long seed = 1; seed <= 4_000; seed++) {
            IndexScenario scenario = new IndexScenario(seed);
            List<Item> visited = new ArrayList<>();
            boolean removeVisited = scenario.random.nextBoolean();
            for (boolean more = scenario.iterator.begin(); more; ) {
                Item item = scenario.iterator.current();
                assertEquals(scenario.atcIndex.index(item.due), scenario.iterator.index());
                visited.add(item);
                if (removeVisited) {
                    scenario.treap.remove(item);
                }
                more = scenario.iterator.advance();
            }
            List<Item> expected = new ArrayList<>(
                    scenario.items.stream().filter(item -> item.isReady).toList());
            assertEquals(expected.size(), visited.size(), "seed " + seed);
            assertEquals(new HashSet<>(expected), new HashSet<>(visited), "seed " + seed);
            for (int i = 1; i < visited.size(); i++) {
                double previousIndex = scenario.atcIndex.index(visited.get(i - 1).due);
                double index = scenario.atcIndex.index(visited.get(i).due);
                // Messages whose indexes are equal up to rounding may come in either order.
                assertTrue(
                        previousIndex >= index
                                || Math.abs(previousIndex - index) <= 1e-9 * Math.max(1, Math.abs(index)),
                        "seed " + seed + ": " + visited.get(i - 1) + " has " + previousIndex + ", " + visited.get(i)
                                + " " + index);
                if (visited.get(i - 1).due == visited.get(i).due) {
                    assertTrue(visited.get(i - 1).sequenceNumber < visited.get(i).sequenceNumber, "seed " + seed);
                }
            }
        }
    }

    @Test
    void indexCountsMessagesAtLeastAsHighAndFindsTheLowest() {
        for (long seed = 1; seed <= 4_000; seed++) {
            IndexScenario scenario = new IndexScenario(seed);
            for (int i = 0; i < 5; i++) {
                double index =
                        scenario.atcIndex.index(scenario.items.get(scenario.random.nextInt(scenario.items.size())).due);
                double upperThreshold =
                        index == Double.NEGATIVE_INFINITY ? index : index + 1e-9 * Math.max(1, Math.abs(index));
                double lowerThreshold =
                        index == Double.NEGATIVE_INFINITY ? index : index - 1e-9 * Math.max(1, Math.abs(index));
                long minCount = scenario.items.stream()
                        .filter(item -> scenario.atcIndex.index(item.due) >= upperThreshold)
                        .count();
                long maxCount = scenario.items.stream()
                        .filter(item -> scenario.atcIndex.index(item.due) >= lowerThreshold)
                        .count();
                int counted = scenario.atcIndex.countAtLeast(scenario.treap, index);
                assertTrue(
                        counted >= minCount && counted <= maxCount,
                        "seed " + seed + ": " + counted + " of " + minCount + " to " + maxCount);
            }
            double lowest = scenario.items.stream()
                    .mapToDouble(item -> scenario.atcIndex.index(item.due))
                    .min()
                    .orElseThrow();
            assertEquals(
                    lowest,
                    scenario.atcIndex.index(scenario.atcIndex.lowestIndexMessage(scenario.treap).due),
                    lowest == Double.NEGATIVE_INFINITY ? 0 : 1e-9 * Math.max(1, Math.abs(lowest)),
                    "seed " + seed);
            assertNull(scenario.atcIndex.lowestIndexMessage(new DueDateTreap<Item>()));
        }
    }

    /** Skipping leaves out only messages between the same splits and interval bounds; the iteration continues over the rest. */
    @Test
    void skippingLeavesOutOneIntervalOnly() {
        for (long seed = 1; seed <= 500; seed++) {
            IndexScenario scenario = new IndexScenario(seed);
            Set<Item> remaining = new HashSet<>(
                    scenario.items.stream().filter(item -> item.isReady).toList());
            boolean more = scenario.iterator.begin();
            if (more) {
                Item first = scenario.iterator.current();
                more = scenario.iterator.skipInterval();
                remaining.remove(first);
            }
            int skipped = remaining.size();
            while (more) {
                Item item = scenario.iterator.current();
                assertTrue(remaining.remove(item), "seed " + seed);
                skipped--;
                more = scenario.iterator.advance();
            }
            assertTrue(skipped >= 0);
            for (Item one : remaining) {
                for (Item other : remaining) {
                    assertEquals(one.due < scenario.splitDue, other.due < scenario.splitDue, "seed " + seed);
                    assertEquals(one.due < scenario.otherSplitDue, other.due < scenario.otherSplitDue, "seed " + seed);
                }
            }
        }
    }
}
