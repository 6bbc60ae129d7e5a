package amberroute.decisions.reference;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * One arrival, one outcome and one turn with so many messages held over so many destinations, all slots taken: the present
 * module beside the one of before. What is held stays nearly the same: what leaves is as much as what comes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-Xmx3g", "-XX:+UseSerialGC"})
public class DecisionsBenchmark {
    /** Microseconds between two arrivals. */
    private static final long STEP = 200;

    @Param({"before", "now"})
    public String module;

    /** Held messages and destinations. */
    @Param({"100/4", "1000/20", "10000/200", "100000/2000", "100000/5000"})
    public String size;

    private DeliveryScheduler relay;
    private final Deque<long[]> calls = new ArrayDeque<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private long now = 1_000_000;
    private long ids;
    private int destinations;

    private final DeliveryScheduler.Actions actions = new DeliveryScheduler.Actions() {
        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            calls.add(new long[] {id, endpoint, now});
        }

        @Override
        public void reject(long id, long retryAfter) {}

        @Override
        public void fail(long id) {}

        @Override
        public void cancel(long id, int attempt) {}

        @Override
        public void closeIdle(long endpoint) {}

        @Override
        public void scheduleTimer(long delay, long token) {}

        @Override
        public void subscribe() {}
    };

    @Setup(Level.Trial)
    public void fill() {
        int held = Integer.parseInt(size.split("/")[0]);
        destinations = Integer.parseInt(size.split("/")[1]);
        List<DeliveryScheduler.MessageClass> classes = List.of(
                new DeliveryScheduler.MessageClass(
                        2, 0.5, 600_000_000L, 3_600_000_000L, DeliveryScheduler.Idempotency.IDEMPOTENT, DeliveryScheduler.KeyScope.DESTINATION, 0, false),
                new DeliveryScheduler.MessageClass(
                        1,
                        0.5,
                        300_000_000L,
                        3_000_000_000L,
                        DeliveryScheduler.Idempotency.KEYED,
                        DeliveryScheduler.KeyScope.DESTINATION,
                        3_600_000_000L,
                        false),
                new DeliveryScheduler.MessageClass(
                        4,
                        0.5,
                        200_000_000L,
                        2_400_000_000L,
                        DeliveryScheduler.Idempotency.NON_IDEMPOTENT,
                        DeliveryScheduler.KeyScope.DESTINATION,
                        0,
                        false));
        DeliveryScheduler.Settings settings = new DeliveryScheduler.Settings(
                1,
                1,
                0,
                5_000,
                false,
                0.3,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                classes,
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, 1)),
                new DeliveryScheduler.Limits(32, 200_000, 12, false, true, true, 3_000_000, 1, 15_000_000, 1_000_000),
                new DeliveryScheduler.Rules(300_000, 6_000_000, 0.15, 12_000_000, 2.5, 1_500_000, 100_000),
                new DeliveryScheduler.Prices(0, 0, List.of()),
                new DeliveryScheduler.ReportFields(-1, -1));
        relay = module.equals("before") ? new ReferenceScheduler(settings) : new AtcDeliveryScheduler(settings);
        List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
        for (int d = 0; d < destinations; d++) {
            entries.add(new DeliveryScheduler.EndpointEntry(1 + 2L * d, d, DeliveryScheduler.EndpointState.READY, 0, 0, 0));
            entries.add(new DeliveryScheduler.EndpointEntry(2 + 2L * d, d, DeliveryScheduler.EndpointState.READY, 0, 0, 0));
        }
        relay.step(now, new Event.EndpointListUpdated(DeliveryScheduler.EndpointListKind.FULL, entries), actions);
        // Every destination is called once, so that all are known.
        for (int d = 0; d < destinations; d++) {
            relay.step(now, new Event.MessageSubmitted(++ids, 0, -1, 0, 3_600_000_000L, d), actions);
            turn();
            while (!calls.isEmpty()) {
                now += 50 + random.nextInt(1_000);
                answer();
            }
            turn();
        }
        // They come back from an earlier process: a test of each arrival would take the module of before minutes.
        resume(held);
    }

    private void arrive() {
        int type = random.nextInt(3);
        relay.step(
                now,
                new Event.MessageSubmitted(
                        ++ids,
                        type,
                        -1,
                        0,
                        3_600_000_000L - random.nextLong(600_000_000L),
                        random.nextInt(destinations)),
                actions);
    }

    /** So many arrive for one destination in one turn. */
    void clump(int messages) {
        now += STEP;
        for (int i = 0; i < messages; i++) {
            relay.step(now, new Event.MessageSubmitted(++ids, i % 3, -1, 0, 3_600_000_000L - i, 1), actions);
        }
        turn();
    }

    /** So many come back from an earlier process in one turn. */
    void resume(int messages) {
        now += STEP;
        for (int i = 0; i < messages; i++) {
            relay.step(
                    now,
                    new Event.MessageRecovered(
                            ++ids,
                            random.nextInt(3),
                            0,
                            3_600_000_000L - random.nextLong(600_000_000L),
                            random.nextInt(destinations),
                            0,
                            -1,
                            0,
                            false),
                    actions);
        }
        turn();
    }

    private void answer() {
        long[] call = calls.poll();
        relay.step(
                now,
                new Event.AttemptCompleted(
                        call[0], 0, call[1], DeliveryScheduler.AttemptOutcome.OK, Math.max(1, now - call[2]), true, 0, List.of(), 0),
                actions);
    }

    private void turn() {
        relay.step(now, new Event.Decide(), actions);
    }

    @Benchmark
    public void arrivalOutcomeTurn() {
        now += STEP;
        arrive();
        if (!calls.isEmpty()) {
            answer();
        }
        turn();
    }
}
