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

/** Each structure beside the plainest thing that does the same, on random operations with printed seeds. */
class CollectionsTest {
    private static final class Item extends DueDateTreap.Node<Item> {
        private boolean isReady;
        private boolean hasTurn;

        Item(long due, long number) {
            this.due = due;
            this.number = number;
        }

        @Override
        public String toString() {
            return due + "/" + number;
        }
    }

    private static final Comparator<Item> ORDER =
            Comparator.<Item>comparingLong(i -> i.due).thenComparingLong(i -> i.number);

    private static Item first(TreeSet<Item> model, Predicate<Item> wanted) {
        return model.stream().filter(wanted).findFirst().orElse(null);
    }

    @Test
    void treapAnswersAsASortedListDoes() {
        for (long seed = 1; seed <= 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DueDateTreap<Item> tree = new DueDateTreap<>();
            TreeSet<Item> model = new TreeSet<>(ORDER);
            int dues = 1 + random.nextInt(200);
            for (int step = 0; step < 600; step++) {
                String at = "seed " + seed + ", step " + step;
                int what = random.nextInt(5);
                if (what < 2 || model.isEmpty()) {
                    Item item = new Item(random.nextInt(dues), step);
                    item.isReady = random.nextBoolean();
                    item.hasTurn = random.nextBoolean();
                    tree.add(item, item.isReady, item.hasTurn);
                    model.add(item);
                } else {
                    Item any = List.copyOf(model).get(random.nextInt(model.size()));
                    if (what == 2) {
                        tree.remove(any);
                        model.remove(any);
                    } else {
                        any.isReady = random.nextBoolean();
                        any.hasTurn = random.nextBoolean();
                        tree.mark(any, any.isReady, any.hasTurn);
                    }
                }
                long from = random.nextInt(dues + 2) - 1;
                long to = random.nextInt(dues + 2) - 1;
                boolean ready = random.nextBoolean();
                Predicate<Item> counts = i -> !ready || i.isReady;
                assertEquals(model.size(), tree.size(), at);
                assertEquals(model.stream().filter(i -> i.isReady).count(), tree.readyCount(), at);
                assertEquals(model.stream().filter(i -> i.hasTurn).count(), tree.firstOfKeyCount(), at);
                assertSame(first(model, i -> true), tree.first(), at);
                assertSame(
                        first(model, i -> counts.test(i) && i.due >= from && i.due < to),
                        tree.earliest(from, to, ready),
                        at);
                long number = random.nextInt(step + 1);
                assertSame(
                        first(
                                model,
                                i -> counts.test(i)
                                        && i.due < to
                                        && (i.due > from || i.due == from && i.number > number)),
                        tree.after(from, number, to, ready),
                        at);
                long lastDue = model.stream()
                        .filter(i -> counts.test(i) && i.due >= from && i.due < to)
                        .mapToLong(i -> i.due)
                        .max()
                        .orElse(-9);
                assertSame(first(model, i -> counts.test(i) && i.due == lastDue), tree.latest(from, to, ready), at);
                assertEquals(
                        model.stream()
                                .filter(i -> i.hasTurn)
                                .mapToLong(i -> i.due)
                                .max()
                                .orElse(Long.MIN_VALUE),
                        tree.latestFirstOfKeyDue(),
                        at);
                assertEquals(
                        model.stream().filter(i -> i.due >= from && i.due < to).count(), tree.count(from, to), at);
                long until = random.nextInt(dues + 1);
                Item turn = first(model, i -> i.due >= from && i.due < to && i.due >= until);
                if (from <= to) {
                    assertEquals(turn == null ? to : turn.due, tree.boundary(from, to, due -> due < until), at);
                }
            }
        }
    }

    @Test
    void timerHeapGivesTheEarliestWhateverWasMovedOrRemoved() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            IndexedTimerHeap<Integer> queue = new IndexedTimerHeap<>();
            List<IndexedTimerHeap.Entry<Integer>> entries = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                entries.add(new IndexedTimerHeap.Entry<>(i));
            }
            Set<IndexedTimerHeap.Entry<Integer>> in = new HashSet<>();
            for (int step = 0; step < 2_000; step++) {
                IndexedTimerHeap.Entry<Integer> any = entries.get(random.nextInt(entries.size()));
                switch (random.nextInt(4)) {
                    case 0, 1 -> {
                        queue.set(any, random.nextInt(50));
                        in.add(any);
                    }
                    case 2 -> {
                        queue.remove(any);
                        in.remove(any);
                    }
                    default -> {
                        long now = random.nextInt(50);
                        IndexedTimerHeap.Entry<Integer> polled = queue.poll(now);
                        long least = in.stream()
                                .mapToLong(IndexedTimerHeap.Entry::at)
                                .min()
                                .orElse(Long.MAX_VALUE);
                        assertEquals(least <= now, polled != null, "seed " + seed + ", step " + step);
                        if (polled != null) {
                            assertEquals(least, polled.at());
                            assertTrue(in.remove(polled));
                        }
                    }
                }
                assertEquals(in.size(), queue.size());
                assertEquals(in.contains(any), any.queued());
                assertEquals(
                        in.stream().mapToLong(IndexedTimerHeap.Entry::at).min().orElse(-1),
                        queue.peek() == null ? -1 : queue.peek().at(),
                        "seed " + seed + ", step " + step);
            }
        }
    }

    @Test
    void greatestKeyComesFirstHoweverItemsWereAdded() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            MaxHeap<Item> queue = new MaxHeap<>();
            List<Item> model = new ArrayList<>();
            for (int step = 0; step < 1_500; step++) {
                if (random.nextInt(3) > 0) {
                    Item item = new Item(random.nextInt(40), step);
                    model.add(item);
                    if (random.nextBoolean()) {
                        queue.add(item, item.due, item.number);
                    } else {
                        queue.push(item, item.due, item.number);
                    }
                } else if (!model.isEmpty()) {
                    Item best = model.stream()
                            .max(Comparator.<Item>comparingLong(i -> i.due).thenComparing(i -> -i.number))
                            .orElseThrow();
                    assertEquals(best.due, queue.key(), "seed " + seed + ", step " + step);
                    assertSame(best, queue.pop(), "seed " + seed + ", step " + step);
                    model.remove(best);
                }
                if (random.nextInt(400) == 0) {
                    queue.clear();
                    model.clear();
                }
                assertEquals(model.isEmpty(), queue.isEmpty());
            }
        }
    }

    @Test
    void sumDecaysAsItsTermsDo() {
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
                double[] gone = terms.remove(random.nextInt(terms.size()));
                sum.add(now, -gone[0], -gone[1] * sum.factor((long) gone[2], now));
            }
            double wanted = 0;
            for (double[] term : terms) {
                wanted += term[0] + term[1] * Math.exp((term[2] - now) / 1e6);
            }
            assertEquals(wanted, sum.value(now), 1e-9 * Math.max(1e6, wanted), "step " + step);
        }
        sum.clear();
        assertEquals(0, sum.value(now));
    }

    // ---- The index. ----

    /** Random classes, loads and moments; dues reach from behind to far ahead, many of them equal. */
    private static final class Scene {
        final SplittableRandom random;
        final AtcIndex shape;
        final IndexOrderIterator<Item> walk;
        final DueDateTreap<Item> tree = new DueDateTreap<>();
        final List<Item> items = new ArrayList<>();
        final long now = 50_000_000;
        final double p;
        final long cut;
        final long otherCut;

        Scene(long seed) {
            random = new SplittableRandom(seed);
            walk = new IndexOrderIterator<>(tree);
            shape = walk.shape();
            long aim = 1 + random.nextLong(3_000_000);
            long deadline = aim + random.nextLong(10_000_000) - (random.nextInt(10) == 0 ? aim / 2 : 0);
            p = Math.pow(10, random.nextDouble() * 7);
            boolean halves = random.nextBoolean();
            // Of a stair without end only the first sixty steps are told apart.
            double[] lates = {halves ? 0.5 : 0, 0.5, 1, random.nextDouble() + 1e-6, 0.001};
            shape.set(
                    random.nextDouble() * 4,
                    random.nextDouble(),
                    p,
                    now,
                    25 * Math.pow(10, random.nextDouble() * 7),
                    aim,
                    deadline,
                    lates[random.nextInt(lates.length)],
                    halves);
            int n = 1 + random.nextInt(120);
            long grain = random.nextBoolean() ? 1 : 100_000;
            for (int i = 0; i < n; i++) {
                Item item = new Item((now - 1_000_000 + random.nextLong(2 * deadline + 2_000_000)) / grain * grain, i);
                item.isReady = random.nextInt(4) > 0;
                tree.add(item, item.isReady, true);
                items.add(item);
            }
            cut = now + random.nextLong(4_000_000);
            otherCut = now + random.nextLong(4_000_000);
            shape.divide(tree.first().due, cut, otherCut);
        }
    }

    @Test
    void iteratesInTheOrderOfTheIndex() {
        for (long seed = 1; seed <= 4_000; seed++) {
            Scene scene = new Scene(seed);
            List<Item> walked = new ArrayList<>();
            boolean take = scene.random.nextBoolean();
            for (boolean more = scene.walk.begin(); more; ) {
                Item here = scene.walk.here();
                assertEquals(scene.shape.index(here.due), scene.walk.index());
                walked.add(here);
                if (take) {
                    scene.tree.remove(here);
                }
                more = scene.walk.advance();
            }
            List<Item> wanted =
                    new ArrayList<>(scene.items.stream().filter(i -> i.isReady).toList());
            assertEquals(wanted.size(), walked.size(), "seed " + seed);
            assertEquals(new HashSet<>(wanted), new HashSet<>(walked), "seed " + seed);
            for (int i = 1; i < walked.size(); i++) {
                double before = scene.shape.index(walked.get(i - 1).due);
                double after = scene.shape.index(walked.get(i).due);
                // Where the index is flat to the last digit its neighbours may change places.
                assertTrue(
                        before >= after || Math.abs(before - after) <= 1e-9 * Math.max(1, Math.abs(after)),
                        "seed " + seed + ": " + walked.get(i - 1) + " has " + before + ", " + walked.get(i) + " "
                                + after);
                if (walked.get(i - 1).due == walked.get(i).due) {
                    assertTrue(walked.get(i - 1).number < walked.get(i).number, "seed " + seed);
                }
            }
        }
    }

    @Test
    void countsWhatIsAheadAndFindsTheLeast() {
        for (long seed = 1; seed <= 4_000; seed++) {
            Scene scene = new Scene(seed);
            for (int i = 0; i < 5; i++) {
                double index = scene.shape.index(scene.items.get(scene.random.nextInt(scene.items.size())).due);
                double sure = index == Double.NEGATIVE_INFINITY ? index : index + 1e-9 * Math.max(1, Math.abs(index));
                double near = index == Double.NEGATIVE_INFINITY ? index : index - 1e-9 * Math.max(1, Math.abs(index));
                long least = scene.items.stream()
                        .filter(item -> scene.shape.index(item.due) >= sure)
                        .count();
                long most = scene.items.stream()
                        .filter(item -> scene.shape.index(item.due) >= near)
                        .count();
                int counted = scene.shape.countAtLeast(scene.tree, index);
                assertTrue(
                        counted >= least && counted <= most,
                        "seed " + seed + ": " + counted + " of " + least + " to " + most);
            }
            double lowest = scene.items.stream()
                    .mapToDouble(item -> scene.shape.index(item.due))
                    .min()
                    .orElseThrow();
            assertEquals(
                    lowest,
                    scene.shape.index(scene.shape.least(scene.tree).due),
                    lowest == Double.NEGATIVE_INFINITY ? 0 : 1e-9 * Math.max(1, Math.abs(lowest)),
                    "seed " + seed);
            assertNull(scene.shape.least(new DueDateTreap<Item>()));
        }
    }

    /** What is skipped is just what lies between the same cuts and stretches; the rest is walked through as before. */
    @Test
    void skippingPassesOverOneStretchOnly() {
        for (long seed = 1; seed <= 500; seed++) {
            Scene scene = new Scene(seed);
            Set<Item> left =
                    new HashSet<>(scene.items.stream().filter(i -> i.isReady).toList());
            boolean more = scene.walk.begin();
            if (more) {
                Item first = scene.walk.here();
                more = scene.walk.skip();
                left.remove(first);
            }
            int skipped = left.size();
            while (more) {
                Item here = scene.walk.here();
                assertTrue(left.remove(here), "seed " + seed);
                skipped--;
                more = scene.walk.advance();
            }
            assertTrue(skipped >= 0);
            for (Item one : left) {
                for (Item other : left) {
                    assertEquals(one.due < scene.cut, other.due < scene.cut, "seed " + seed);
                    assertEquals(one.due < scene.otherCut, other.due < scene.otherCut, "seed " + seed);
                }
            }
        }
    }
}
