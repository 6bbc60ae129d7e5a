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
 * Runs event loop iterations: queues events, steps the delivery scheduler through them, and passes the actions it decides on to
 * an {@link ActionHandler}. Event loop only. Times are microseconds of {@link SchedulerClock}.
 */
final class SchedulerDriver {
    /** Unlimited time in microseconds, small enough to be added to other times in nanoseconds without overflow. */
    static final long UNLIMITED_MICROS = 1L << 50;
    /** The pause after an iteration, as a multiple of its duration. */
    private static final int PAUSE_TO_ITERATION_RATIO = 4;
    /** Interval of the check whether the endpoint list is complete enough for the first iteration. */
    private static final long ENDPOINTS_CHECK_INTERVAL_MS = 2;

    /** Carries out the actions of one iteration. */
    interface ActionHandler {
        /** Called once per iteration, with the actions in the order of the decisions. */
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

    /** {@code endpointsSettled} tests at a time in nanoseconds whether the endpoint list is complete enough to decide with. */
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
     * Creates a scheduler, which validates the settings.
     *
     * @throws InvalidSettingsException if the scheduler cannot work with the settings
     */
    static DeliveryScheduler newCheckedScheduler(DeliveryScheduler.Settings settings) {
        try {
            return new AtcDeliveryScheduler(settings, true);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(e.getMessage());
        }
    }

    /** Creates a scheduler with the active settings and a decision trace; validates as {@link #newCheckedScheduler} does. */
    static DeliveryScheduler newTracedScheduler(ActiveSettings activeSettings) {
        return DecisionTrace.around(newCheckedScheduler(activeSettings.settings()), activeSettings.settings());
    }

    /**
     * Queues an event for the next iteration. Durations in it count from now, as the iteration may run much later, above all the
     * first one.
     */
    void submit(Event event) {
        if (lifecycle.ownershipReleased()) {
            return;
        }
        events.add(new TimedEvent(SchedulerClock.micros(), event));
        requestIteration();
    }

    /** Steps the scheduler through one event immediately and drops the actions, to update the scheduler's state only. */
    void stepWithoutActions(Event event) {
        step(SchedulerClock.micros(), event);
        recorder.drain();
    }

    /** Drops queued events and the timer, as another process owns the messages. */
    void halt() {
        if (timer != null) {
            timer.cancel(false);
        }
        events.clear();
    }

    /** Replaces the scheduler by a new one without messages. */
    void reset() {
        scheduler = newTracedScheduler(activeSettings);
        recorder.drain();
        events.clear();
    }

    /** Replaces the timer: the scheduler has only one, and a new one is due earlier. */
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

    /** The longest idle time in microseconds after which a connection may still carry a call that must not run twice. */
    long longestTrustedIdleMicros() {
        return recorder.longestTrustedIdle();
    }

    /** Records a pause of the event loop outside an iteration as if it were an iteration. */
    void recordEventLoopPause(long pauseMicros) {
        longestIterationMicros = Math.max(longestIterationMicros, pauseMicros);
    }

    /** Returns and resets the duration of the longest iteration in microseconds. */
    long takeLongestIterationMicros() {
        long longest = longestIterationMicros;
        longestIterationMicros = 0;
        return longest;
    }

    /**
     * Requests an iteration, which runs immediately while iterations are short. Under load, events are collected for up to one
     * tick, as an iteration examines all pending messages and has to leave the event loop time for I/O.
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
            // Unread input may state that an endpoint is draining or asks for a pause.
            stallDetector.behind(loop, this::iterate);
            return;
        }
        if (!lifecycle.ownershipReleased() && !endpointsSettled.test(System.nanoTime())) {
            loop.schedule(this::iterate, ENDPOINTS_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        runIteration();
    }

    /** Runs an iteration immediately, so that the scheduler has processed all events when this method returns. */
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

    /**
     * Steps the scheduler. A failure is logged only, as a defect that one event triggers must not end the process and affect
     * other messages.
     */
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
