package amberroute.sender;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.decision.ActionRecorder;
import amberroute.sender.decision.DecisionTrace;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * The event loop iteration: collects what happens as events, steps the delivery scheduler through them, and passes the actions it
 * decides on to an {@link ActionHandler}. Event loop only. Times are microseconds of {@link SchedulerClock}.
 */
final class SchedulerDriver {
    /** Time without a limit, in microseconds; small enough for a sum in nanoseconds. */
    static final long UNLIMITED_MICROS = 1L << 50;
    /** The pause between two iterations, as a multiple of the duration of the first one. */
    private static final int PAUSE_TO_ITERATION_RATIO = 4;
    /** Interval of the check whether the first iteration may run. */
    private static final long ENDPOINTS_CHECK_INTERVAL_MS = 2;

    /** Carries out the actions of one iteration. */
    interface ActionHandler {
        /** Called once in each iteration, with the actions in the order of the decisions. */
        void carryOut(List<SchedulerAction> actions);
    }

    private record TimedEvent(long atMicros, Event event) {}

    private final EventLoop loop;
    private final EventLoopStallDetector stallDetector;
    private final LifecycleState lifecycle;
    private final ActiveSettings activeSettings;
    private final ActionHandler handler;
    private final LongPredicate endpointsSettled;
    private final ActionRecorder recorder = new ActionRecorder(UNLIMITED_MICROS);
    private final List<TimedEvent> events = new ArrayList<>();
    private DeliveryScheduler scheduler;
    private Future<?> timer;
    private boolean iterationRequested;
    private long lastIterationEndMicros;
    private long lastIterationDurationMicros;
    private long longestIterationMicros;

    /** {@code endpointsSettled} tells for a time in nanoseconds whether the endpoint list is complete enough to decide with. */
    SchedulerDriver(
            DeliveryScheduler scheduler,
            SenderState state,
            EventLoopStallDetector stallDetector,
            LongPredicate endpointsSettled,
            ActionHandler handler) {
        this.scheduler = scheduler;
        loop = state.loop();
        lifecycle = state.lifecycle();
        activeSettings = state.activeSettings();
        this.stallDetector = stallDetector;
        this.endpointsSettled = endpointsSettled;
        this.handler = handler;
    }

    /**
     * A scheduler with these settings, which it checks.
     *
     * @throws InvalidSettingsException if it cannot work with them
     */
    static DeliveryScheduler newCheckedScheduler(DeliveryScheduler.Settings settings) {
        try {
            return new AtcDeliveryScheduler(settings, true);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(e.getMessage());
        }
    }

    /** A traced scheduler with the settings in force, which it checks as {@link #newCheckedScheduler} does. */
    static DeliveryScheduler newTracedScheduler(ActiveSettings activeSettings) {
        return DecisionTrace.around(newCheckedScheduler(activeSettings.settings()), activeSettings.settings());
    }

    /**
     * Queues an event for the next iteration. Times in it count from now, as the iteration may come much later, above all the
     * first one.
     */
    void submit(Event event) {
        if (lifecycle.ownershipReleased()) {
            return;
        }
        events.add(new TimedEvent(SchedulerClock.micros(), event));
        requestIteration();
    }

    /** Steps the scheduler through one event at once and drops the actions, for what it learns of it. */
    void stepWithoutActions(Event event) {
        step(SchedulerClock.micros(), event);
        recorder.drain();
    }

    /** Drops queued events and the timer: the messages belong to another process. */
    void halt() {
        if (timer != null) {
            timer.cancel(false);
        }
        events.clear();
    }

    /** Starts over with a scheduler that knows no messages. */
    void reset() {
        scheduler = newTracedScheduler(activeSettings);
        recorder.drain();
        events.clear();
    }

    /** Replaces the timer: the scheduler keeps one, and a new one is due earlier. */
    void setTimer(long token, long delayMicros) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(() -> submit(new Event.TimerExpired(token)), delayMicros, TimeUnit.MICROSECONDS);
    }

    List<DeliveryScheduler.UpstreamSnapshot> snapshots() {
        return scheduler.snapshots(SchedulerClock.micros());
    }

    List<DeliveryScheduler.KeyPause> pausedKeys() {
        return scheduler.pausedKeys(SchedulerClock.micros());
    }

    int avoidedEndpointCount() {
        return scheduler.avoidedEndpointCount();
    }

    /** The longest idle time in microseconds after which a connection still carries a call that must not run twice. */
    long longestTrustedIdleMicros() {
        return recorder.longestTrustedIdle();
    }

    /** Counts a pause of the event loop outside an iteration as one. */
    void recordEventLoopPause(long pauseMicros) {
        longestIterationMicros = Math.max(longestIterationMicros, pauseMicros);
    }

    /** The longest iteration in microseconds since the last call. */
    long takeLongestIterationMicros() {
        long longest = longestIterationMicros;
        longestIterationMicros = 0;
        return longest;
    }

    /**
     * Requests an iteration, at once while iterations are short. Under load events are gathered for a while, one tick at most: an
     * iteration looks at all pending messages and must leave the loop time for I/O.
     */
    void requestIteration() {
        if (iterationRequested) {
            return;
        }
        iterationRequested = true;
        long pauseMicros = Math.min(
                lastIterationDurationMicros * PAUSE_TO_ITERATION_RATIO,
                activeSettings.settings().tickMicros());
        long delayMicros = lastIterationEndMicros + pauseMicros - SchedulerClock.micros();
        if (delayMicros > 0) {
            loop.schedule(this::iterate, delayMicros, TimeUnit.MICROSECONDS);
        } else {
            loop.execute(this::iterate);
        }
    }

    private void iterate() {
        if (!lifecycle.ownershipReleased() && stallDetector.stale(System.nanoTime())) {
            // Unread input may say that an endpoint drains or asks for a pause.
            stallDetector.behind(loop, this::iterate);
            return;
        }
        if (!lifecycle.ownershipReleased() && !endpointsSettled.test(System.nanoTime())) {
            loop.schedule(this::iterate, ENDPOINTS_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        runIteration();
    }

    /** Runs an iteration at once, so that the scheduler knows all events when this returns. */
    void runIteration() {
        iterationRequested = false;
        if (lifecycle.ownershipReleased()) {
            return;
        }
        long startMicros = SchedulerClock.micros();
        List<TimedEvent> batch = List.copyOf(events);
        events.clear();
        batch.forEach(timedEvent -> step(timedEvent.atMicros(), timedEvent.event()));
        step(startMicros, new Event.Decide());
        handler.carryOut(recorder.drain());
        lastIterationEndMicros = SchedulerClock.micros();
        lastIterationDurationMicros = lastIterationEndMicros - startMicros;
        recordEventLoopPause(lastIterationDurationMicros);
    }

    /** A defect that one event brings to light must not end the process with the messages of others. */
    private void step(long atMicros, Event event) {
        try {
            scheduler.step(atMicros, event, recorder);
        } catch (RuntimeException e) {
            LogEvent.of("scheduler_step_failed")
                    .with("scheduler_event", event)
                    .cause(e)
                    .with("at", e.getStackTrace()[0])
                    .warn();
        }
    }
}
