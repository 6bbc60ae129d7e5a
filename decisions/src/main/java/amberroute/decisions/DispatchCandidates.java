package amberroute.decisions;

import amberroute.decisions.collections.IndexedTimerHeap;
import amberroute.decisions.collections.MaxHeap;
import java.util.Arrays;

/**
 * The dispatch queues that may have something to send. A selection round gets them in the order of an upper bound of their
 * highest index, at the cost of one multiplication for each queue. The queues of a destination that accepts no calls are left
 * out until that may have changed: the destination sleeps. Times are microseconds on the caller's clock.
 *
 * <p>Logarithms of gains, service times and due dates are kept in parallel arrays, so that a round reads contiguous memory.
 */
final class DispatchCandidates {
    /** Number of queues beyond the free slots that a round orders at first. */
    private static final int EXTRA_ORDERED_QUEUES = 16;
    /**
     * Decay spans after which the reference time of decaying values moves forward; exp() leaves the range of a double at about
     * 700.
     */
    private static final int MAX_REFERENCE_AGE_DECAY_SPANS = 50;
    /** Added to the logarithm of a bound, so that rounding never makes the bound too low. */
    private static final double BOUND_MARGIN = 1e-9;
    /** A sleep ends this much early, because times that are computed from rates are rounded. */
    private static final long WAKE_MARGIN_MICROS = 10;

    private static final double LN_2 = Math.log(2);
    private static final int INITIAL_CAPACITY = 64;

    private final ServiceTimes serviceTimes;
    private final IndexedTimerHeap<Destination> wakeTimers = new IndexedTimerHeap<>();
    private DispatchQueue[] queues = new DispatchQueue[INITIAL_CAPACITY];
    /** Logarithm of each queue's gain; NaN if its service time is not measured. */
    private double[] logGains = new double[INITIAL_CAPACITY];
    /** Ratio of the decaying part of the service time to the steady part, as of {@link #decayReference}. */
    private double[] decayingRatios = new double[INITIAL_CAPACITY];

    private long[] earliestDues = new long[INITIAL_CAPACITY];
    private int size;
    private long decayReference;

    private double[] bounds = new double[INITIAL_CAPACITY];
    private int[] highestPositions = new int[INITIAL_CAPACITY];
    private final MaxHeap<DispatchQueue> heap = new MaxHeap<>();
    private long round;
    /** The highest bound of the queues that this round has left out so far. */
    private double highestOmittedBound;

    DispatchCandidates(ServiceTimes serviceTimes) {
        this.serviceTimes = serviceTimes;
    }

    // ---- Candidate queues. ----

    /**
     * Adds or removes a queue, depending on whether it has ready messages and its destination is awake, and updates its values.
     */
    void update(DispatchQueue queue) {
        boolean candidate = queue.messages.readyCount() > 0 && !queue.destination.asleep;
        if (candidate && queue.candidatePosition < 0) {
            add(queue);
        } else if (!candidate && queue.candidatePosition >= 0) {
            remove(queue);
        }
        refresh(queue);
    }

    private void add(DispatchQueue queue) {
        if (size == queues.length) {
            queues = Arrays.copyOf(queues, 2 * size);
            logGains = Arrays.copyOf(logGains, 2 * size);
            decayingRatios = Arrays.copyOf(decayingRatios, 2 * size);
            earliestDues = Arrays.copyOf(earliestDues, 2 * size);
        }
        queue.candidatePosition = size;
        queues[size++] = queue;
    }

    private void remove(DispatchQueue queue) {
        int position = queue.candidatePosition;
        DispatchQueue last = queues[--size];
        queues[size] = null;
        if (last != queue) {
            queues[position] = last;
            last.candidatePosition = position;
            logGains[position] = logGains[size];
            decayingRatios[position] = decayingRatios[size];
            earliestDues[position] = earliestDues[size];
        }
        queue.candidatePosition = -1;
    }

    /** Updates the gain, service time and earliest due date of a queue, if it is a candidate. */
    void refresh(DispatchQueue queue) {
        int position = queue.candidatePosition;
        if (position < 0) {
            return;
        }
        decaySinceReference(queue.backlogUpdatedAt);
        logGains[position] = queue.destination.serviceMeasured ? queue.logGain : Double.NaN;
        decayingRatios[position] = queue.backlogDecayingMicros > 0
                ? queue.backlogDecayingMicros
                        / queue.backlogSteadyMicros
                        * Math.exp((queue.backlogUpdatedAt - decayReference) / ServiceTimes.DECAY_TIME_CONSTANT_MICROS)
                : 0;
        earliestDues[position] = queue.earliestReadyDue;
    }

    /** Leaves out the queues of a destination until this time or until {@link #wake}; with NEVER only until {@link #wake}. */
    void sleep(long now, Destination destination, long until) {
        if (until <= now) {
            return;
        }
        destination.asleep = true;
        if (until != Micros.NEVER) {
            wakeTimers.set(destination.wakeTimer, until - WAKE_MARGIN_MICROS);
        }
        updateQueues(destination);
    }

    void wake(Destination destination) {
        if (destination.asleep) {
            destination.asleep = false;
            wakeTimers.remove(destination.wakeTimer);
            updateQueues(destination);
        }
    }

    private void updateQueues(Destination destination) {
        for (DispatchQueue queue : destination.queues) {
            update(queue);
        }
    }

    /** Wakes the destinations whose sleep is over. */
    void wakeDue(long now) {
        for (IndexedTimerHeap.Entry<Destination> timer = wakeTimers.poll(now);
                timer != null;
                timer = wakeTimers.poll(now)) {
            wake(timer.item());
        }
    }

    /** Returns when the next timed sleep ends, NEVER if there is none. */
    long nextWakeAt() {
        IndexedTimerHeap.Entry<Destination> timer = wakeTimers.peek();
        return timer == null ? Micros.NEVER : timer.dueAt() + WAKE_MARGIN_MICROS;
    }

    // ---- Selection rounds. ----

    /**
     * Begins a round, whose queues {@link #next} returns. If few slots are free, most queues need no order: at first only those
     * with the highest bounds are ordered, and the others once these do not suffice.
     *
     * @param lookaheadMicros see {@link DispatchIndex#lookaheadMicros}
     */
    void beginRound(long now, double lookaheadMicros, int freeSlots) {
        round++;
        heap.clear();
        int orderedCount = EXTRA_ORDERED_QUEUES + freeSlots;
        if (size <= orderedCount) {
            offerAll(now, lookaheadMicros);
        } else {
            offerHighest(now, lookaheadMicros, orderedCount);
        }
    }

    private void offerHighest(long now, double lookaheadMicros, int count) {
        double decayFactor = decaySinceReference(now);
        bounds = bounds.length < size ? new double[queues.length] : bounds;
        highestPositions = highestPositions.length < count ? new int[count] : highestPositions;
        int lowestEntry = 0;
        highestOmittedBound = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < size; i++) {
            double bound = bound(i, now, lookaheadMicros, decayFactor);
            bounds[i] = bound;
            if (i < count) {
                highestPositions[i] = i;
                lowestEntry = bound < bounds[highestPositions[lowestEntry]] ? i : lowestEntry;
            } else if (bound > bounds[highestPositions[lowestEntry]]) {
                highestOmittedBound = Math.max(highestOmittedBound, bounds[highestPositions[lowestEntry]]);
                highestPositions[lowestEntry] = i;
                lowestEntry = lowestOfHighestEntries(count, lowestEntry);
            } else {
                highestOmittedBound = Math.max(highestOmittedBound, bound);
            }
        }
        for (int i = 0; i < count; i++) {
            offer(queues[highestPositions[i]], bounds[highestPositions[i]]);
        }
    }

    private int lowestOfHighestEntries(int count, int start) {
        int lowestEntry = start;
        for (int i = 0; i < count; i++) {
            lowestEntry = bounds[highestPositions[i]] < bounds[highestPositions[lowestEntry]] ? i : lowestEntry;
        }
        return lowestEntry;
    }

    private void offerAll(long now, double lookaheadMicros) {
        highestOmittedBound = Double.NEGATIVE_INFINITY;
        double decayFactor = decaySinceReference(now);
        for (int i = 0; i < size; i++) {
            offer(queues[i], bound(i, now, lookaheadMicros, decayFactor));
        }
    }

    private void offer(DispatchQueue queue, double bound) {
        if (queue.lastSelectionRound != round) {
            queue.lastSelectionRound = round;
            queue.iteratorStarted = false;
            heap.add(queue, bound, 0);
        }
    }

    /**
     * Returns the next queue of the round, null if there is none. A queue is ranked by its bound at first, and after {@link
     * #putBack} by its iterator.
     */
    DispatchQueue next(long now, double lookaheadMicros) {
        if (highestOmittedBound > Double.NEGATIVE_INFINITY && (heap.isEmpty() || heap.key() <= highestOmittedBound)) {
            offerAll(now, lookaheadMicros);
        }
        return heap.isEmpty() ? null : heap.pop();
    }

    /** Puts a queue back, ranked by the message that its iterator is at. */
    void putBack(DispatchQueue queue) {
        heap.push(queue, queue.iterator.index(), queue.iterator.current().sequenceNumber);
    }

    // ---- Bounds of the index, as logarithms. ----

    /** Returns an upper bound of the index of all messages of the queue that are due at {@code due} or later. */
    double bound(long now, DispatchQueue queue, long due, double lookaheadMicros) {
        double logGain = queue.destination.serviceMeasured
                ? queue.logGain
                : Math.log(queue.priorityWeight
                        * queue.destination.successProbability
                        / serviceTimes.expectedMicros(now, queue));
        return logGain - Math.max(due - now, 0) / lookaheadMicros + BOUND_MARGIN;
    }

    /** Returns a lower bound of the index of all messages of the queue. */
    double lowerBound(long now, DispatchQueue queue, double lookaheadMicros) {
        Destination destination = queue.destination;
        double maxServiceMicros = Math.max(destination.serviceMicros, serviceTimes.expectedMicros(now, queue));
        return Math.log(queue.priorityWeight
                        * destination.successProbability
                        * Math.min(1, queue.messageClass.lateValueShare())
                        / maxServiceMicros)
                - BOUND_MARGIN
                - Math.max(queue.latestDue - now, 0) / lookaheadMicros;
    }

    /**
     * Like {@link #bound(long, DispatchQueue, long, double)} but closer, as it includes the part of the service time that is
     * still decaying.
     */
    private double bound(int position, long now, double lookaheadMicros, double decayFactor) {
        double logGain = logGains[position];
        long due = earliestDues[position];
        if (Double.isNaN(logGain)) {
            return bound(now, queues[position], due, lookaheadMicros);
        }
        return logGain
                - logLowerBound(1 + decayingRatios[position] * decayFactor)
                - Math.max(due - now, 0) / lookaheadMicros
                + BOUND_MARGIN;
    }

    /**
     * Returns the share of a decaying value at the reference time that is left now. Moves the reference time forward before
     * doubles underflow.
     */
    private double decaySinceReference(long now) {
        double decayFactor = Math.exp((decayReference - now) / ServiceTimes.DECAY_TIME_CONSTANT_MICROS);
        if (now - decayReference > MAX_REFERENCE_AGE_DECAY_SPANS * ServiceTimes.DECAY_TIME_CONSTANT_MICROS) {
            for (int i = 0; i < size; i++) {
                decayingRatios[i] *= decayFactor;
            }
            decayReference = now;
            return 1;
        }
        return decayFactor;
    }

    /**
     * Returns a lower bound of the logarithm of a number of at least 1. It is too low by 0.0009 at most and costs a fraction of
     * {@link Math#log}.
     */
    static double logLowerBound(double value) {
        long bits = Double.doubleToRawLongBits(value);
        double mantissa = Double.longBitsToDouble(bits & 0xfffffffffffffL | 0x3ff0000000000000L);
        return ((bits >> 52) - 1_023) * LN_2 + 3 * (mantissa * mantissa - 1) / (mantissa * mantissa + 4 * mantissa + 1);
    }
}
