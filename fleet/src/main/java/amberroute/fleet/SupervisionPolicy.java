package amberroute.fleet;

import amberroute.fleet.FleetDefinition.Policy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * All decisions of a supervisor. What it sees comes in as calls with the time, what it wants done goes out by
 * {@link DaemonController}; it does no I/O. Times are milliseconds on one monotonic clock.
 *
 * <p>Invariants, which its tests check over random histories: a daemon is started only while it is known to be dead and
 * its place is wanted; never are more than {@code startAtOnce} starting; a rolling restart has at most
 * {@code rollAtOnce} daemons down and stops none while another that is wanted is not ready; no command is lost without
 * being answered for in the log; a daemon is out only when its process has ended owing nothing, or never was.
 *
 * <p>The first so many daemons are wanted. Scaling in stops the others for good, {@code rollAtOnce} at a time, so that
 * those that stay are not rushed; one that is dead then and may owe something is started once more for that.
 */
public final class SupervisionPolicy {
    /** What is known of a daemon. */
    public enum State {
        DOWN,
        STARTING,
        READY,
        STOPPING,
        GIVEN_UP,
        OUT
    }

    /** How a daemon is stopped: the next process goes on, with what no peer has taken, or nobody does. */
    public enum Mode {
        RESTART,
        MOVE,
        FINAL
    }

    /** What a supervisor can do; each call is carried out at once. */
    public interface DaemonController {
        /** Starts the daemon's process. */
        void start(int index);

        /** Asks it to stop within so many milliseconds. */
        void stop(int index, Mode mode, long within);

        /** Ends its process by force. */
        void kill(int index);

        /** Asks it to read its files again. */
        void reload(int index);

        /** The daemon is out: it has left and owes nothing. */
        void markRetired(int index);

        /** One line for the log. */
        void log(String text);
    }

    private static final int MAX_BACKOFF_DOUBLINGS = 20;

    private final Policy policy;
    private final DaemonController controller;
    private final List<SupervisedDaemon> daemons = new ArrayList<>();
    /** Those whose turn in the rolling restart is to come; null while none runs. */
    private Deque<Integer> rollingQueue;

    private int rollingDone;
    private int rollingTotal;
    private long nextRollingStopMillis;
    private String lastRollingResult = "none";
    private int wanted;
    private boolean stopping;
    private Mode stopMode;
    private boolean workLeftBehind;

    public SupervisionPolicy(Policy policy, List<String> names, DaemonController hands) {
        this(policy, names, names.size(), hands);
    }

    /** {@code wanted} of the daemons are to run, the first ones. */
    public SupervisionPolicy(Policy policy, List<String> names, int wanted, DaemonController hands) {
        this.wanted = wanted;
        this.policy = policy;
        this.controller = hands;
        names.forEach(name -> daemons.add(new SupervisedDaemon(name)));
    }

    // ---- What is seen. ----

    /** A living process of this place was found at the supervisor's start: it is taken over as it is. */
    public void processFound(long now, int index) {
        SupervisedDaemon daemon = daemons.get(index);
        enterState(daemon, State.STARTING, now);
        controller.log(daemon.name + " is alive already and taken over");
    }

    /** No process of this place lives, and what it left owes nothing; only at the supervisor's start. */
    public void nothingPending(int index) {
        if (index >= wanted) {
            daemons.get(index).state = State.OUT;
        }
    }

    /** The daemon says that it is ready. */
    public void readyObserved(long now, int index) {
        SupervisedDaemon daemon = daemons.get(index);
        if (daemon.state != State.STARTING) {
            return;
        }
        controller.log(daemon.name + " is ready after " + (now - daemon.sinceMillis) + " ms");
        enterState(daemon, State.READY, now);
        if (daemon.inRollingRestart) {
            daemon.inRollingRestart = false;
            rollingDone++;
            nextRollingStopMillis = now + policy.rollingPauseMillis();
        }
    }

    /** The daemon says that it drains though nobody here asked it to: somebody else did. */
    public void drainingObserved(long now, int index) {
        SupervisedDaemon daemon = daemons.get(index);
        if (daemon.state == State.READY || daemon.state == State.STARTING) {
            enterState(daemon, State.STOPPING, now);
            daemon.stopRequested = true;
            controller.log(daemon.name + " was told to stop from outside");
        }
    }

    /**
     * The daemon's process has ended.
     *
     * @param clean whether the exit code says that nothing is pending in its journal
     * @param how the way it ended, for people
     */
    public void processEnded(long now, int index, boolean clean, String how) {
        SupervisedDaemon daemon = daemons.get(index);
        if (daemon.state == State.DOWN || daemon.state == State.GIVEN_UP || daemon.state == State.OUT) {
            return;
        }
        boolean requested = daemon.stopRequested;
        boolean retiring = index >= wanted && !stopping && daemon.finalStop;
        boolean stable = daemon.state != State.STARTING && now - daemon.sinceMillis >= policy.stableAfterMillis();
        enterState(daemon, State.DOWN, now);
        daemon.stopRequested = false;
        daemon.killed = false;
        daemon.startAtMillis = now;
        if (stopping && stopMode == Mode.FINAL && !clean) {
            workLeftBehind = true;
            controller.log(daemon.name + " ended with " + how + ": its journal may still owe something");
        }
        if (requested && retiring && clean) {
            controller.log(daemon.name + " has left for good");
            enterState(daemon, State.OUT, now);
            controller.markRetired(index);
        } else if (requested && !retiring) {
            controller.log(daemon.name + " has stopped (" + how + ")");
            daemon.consecutiveCrashes = 0;
        } else if (stopping) {
            controller.log(daemon.name + " died (" + how + ") and is not started again, as the fleet stops");
        } else {
            crashed(now, index, how, stable);
        }
    }

    private void crashed(long now, int index, String how, boolean stable) {
        SupervisedDaemon daemon = daemons.get(index);
        if (stable) {
            daemon.consecutiveCrashes = 0;
        }
        daemon.crashTimesMillis.addLast(now);
        while (daemon.crashTimesMillis.peekFirst() < now - policy.crashLoopWindowMillis()) {
            daemon.crashTimesMillis.removeFirst();
        }
        if (daemon.inRollingRestart) {
            abortRollingRestart(daemon.name + " died (" + how + ") before it was ready again");
        } else if (rollingQueue != null && rollingQueue.remove(index)) {
            // Its next process is a new one, so the crash takes the place of its restart.
            daemon.inRollingRestart = true;
        }
        if (daemon.crashTimesMillis.size() >= policy.crashLoopCount()) {
            enterState(daemon, State.GIVEN_UP, now);
            controller.log(daemon.name + " died " + daemon.crashTimesMillis.size() + " times within "
                    + policy.crashLoopWindowMillis() / 1_000 + " s, the last time with " + how
                    + ": it is left alone until a restart is asked for");
            return;
        }
        long backoff = restartBackoffMillis(daemon.consecutiveCrashes++);
        daemon.startAtMillis = now + backoff;
        controller.log(daemon.name + " died (" + how + "); it is started again in " + backoff + " ms");
    }

    private long restartBackoffMillis(int consecutiveCrashes) {
        return Math.min(
                policy.maxRestartBackoffMillis(),
                policy.restartBackoffMillis() << Math.min(consecutiveCrashes, MAX_BACKOFF_DOUBLINGS));
    }

    // ---- Commands; each answers null where it is taken, or why not. ----

    /** Restarts all daemons, or those named, one after another within the budget. */
    public String restart(long now, List<String> names) {
        if (stopping) {
            return "the fleet is stopping";
        }
        if (rollingQueue != null) {
            return "a rolling restart runs: " + rollingDone + " of " + rollingTotal + " are done";
        }
        if (daemons.subList(wanted, daemons.size()).stream()
                .anyMatch(daemon -> daemon.state != State.OUT && daemon.state != State.GIVEN_UP)) {
            return "the fleet is being scaled in";
        }
        Deque<Integer> queue = new ArrayDeque<>();
        for (int i = 0; i < daemons.size(); i++) {
            if (i < wanted && (names.isEmpty() || names.contains(daemons.get(i).name))) {
                queue.add(i);
            }
        }
        if (!names.isEmpty() && queue.size() != names.stream().distinct().count()) {
            return "not all of these are daemons of this fleet: " + String.join(", ", names);
        }
        rollingQueue = queue;
        rollingDone = 0;
        rollingTotal = queue.size();
        nextRollingStopMillis = now;
        lastRollingResult = "runs";
        controller.log("rolling restart of " + rollingTotal + " daemons begins");
        return null;
    }

    /** Null where so many daemons may be asked for now, or why not. */
    public String scaleRejection(int to) {
        return stopping
                ? "the fleet is stopping"
                : rollingQueue != null
                        ? "a rolling restart runs"
                        : to < 1 || to > daemons.size()
                                ? "a fleet of this definition has 1 to " + daemons.size() + " daemons"
                                : null;
    }

    /** From now on the first so many daemons are wanted; those that leave do so one after another. */
    public String scale(long now, int to) {
        String refused = scaleRejection(to);
        if (refused != null) {
            return refused;
        }
        controller.log("the fleet goes from " + wanted + " to " + to + " daemons");
        wanted = to;
        for (int i = 0; i < to; i++) {
            SupervisedDaemon daemon = daemons.get(i);
            if (daemon.state == State.OUT) {
                daemon.crashTimesMillis.clear();
                daemon.consecutiveCrashes = 0;
                daemon.startAtMillis = now;
                daemon.returning = true;
                enterState(daemon, State.DOWN, now);
            }
        }
        return null;
    }

    private void scaleIn(long now) {
        // One that is wanted again may still be stopping from before: it is away like any other.
        long away = daemons.stream()
                .filter(daemon -> daemon.state == State.STOPPING)
                .count();
        for (int i = daemons.size() - 1; i >= wanted && away < policy.maxRestarting(); i--) {
            if (daemons.get(i).state == State.READY) {
                stopOne(now, i, Mode.FINAL);
                away++;
            }
        }
    }

    /** All read their files again. */
    public String reload(long now) {
        int asked = 0;
        for (int i = 0; i < daemons.size(); i++) {
            if (daemons.get(i).state == State.READY || daemons.get(i).state == State.STARTING) {
                controller.reload(i);
                asked++;
            }
        }
        controller.log("asked " + asked + " daemons to read their files again");
        return null;
    }

    /** Stops all; a rolling restart that runs ends here. */
    public String stop(long now, Mode mode) {
        if (stopping && (stopMode == mode || mode == Mode.RESTART)) {
            return "the fleet is stopping";
        }
        if (rollingQueue != null) {
            abortRollingRestart("the fleet is stopped");
        }
        stopping = true;
        stopMode = mode;
        controller.log("the fleet stops " + (mode == Mode.FINAL ? "for good" : "for now"));
        for (int i = 0; i < daemons.size(); i++) {
            SupervisedDaemon daemon = daemons.get(i);
            if (daemon.state == State.READY || daemon.state == State.STARTING || daemon.state == State.STOPPING) {
                stopOne(now, i, mode);
            }
        }
        return null;
    }

    private void stopOne(long now, int index, Mode mode) {
        SupervisedDaemon daemon = daemons.get(index);
        daemon.stopRequested = true;
        daemon.finalStop = mode == Mode.FINAL;
        enterState(daemon, State.STOPPING, now);
        controller.stop(index, mode, policy.stopTimeoutMillis());
    }

    // ---- Time. ----

    /** To be called often: does what is due. */
    public void runDueActions(long now) {
        killOverdue(now);
        startDue(now);
        if (rollingQueue != null) {
            continueRollingRestart(now);
        } else if (!stopping) {
            scaleIn(now);
        }
    }

    private void killOverdue(long now) {
        for (int i = 0; i < daemons.size(); i++) {
            SupervisedDaemon daemon = daemons.get(i);
            if (daemon.state == State.STOPPING
                    && !daemon.killed
                    && now - daemon.sinceMillis >= policy.stopTimeoutMillis() + policy.killDelayMillis()) {
                controller.log(
                        daemon.name + " has not stopped after " + (now - daemon.sinceMillis) + " ms and is killed");
                daemon.killed = true;
                controller.kill(i);
            } else if (daemon.state == State.STARTING
                    && !daemon.killed
                    && now - daemon.sinceMillis >= policy.readyTimeoutMillis()) {
                controller.log(
                        daemon.name + " was not ready within " + policy.readyTimeoutMillis() + " ms and is killed");
                daemon.killed = true;
                controller.kill(i);
            }
        }
    }

    private void startDue(long now) {
        long starting = daemons.stream()
                .filter(daemon -> daemon.state == State.STARTING)
                .count();
        for (int i = 0; !stopping && i < daemons.size() && starting < policy.maxStarting(); i++) {
            SupervisedDaemon daemon = daemons.get(i);
            // A daemon that is stopping was told which daemons are retired, so none returns before it has ended.
            boolean mayReturn = !daemon.returning || daemons.stream().noneMatch(other -> other.state == State.STOPPING);
            if (daemon.state == State.DOWN && now >= daemon.startAtMillis && mayReturn) {
                daemon.returning = false;
                enterState(daemon, State.STARTING, now);
                daemon.startCount++;
                starting++;
                controller.start(i);
            }
        }
    }

    /** Nobody is stopped while another that is wanted is not ready, but for those whose turn it is. */
    private void continueRollingRestart(long now) {
        long down = daemons.stream().filter(daemon -> daemon.inRollingRestart).count();
        boolean others = daemons.subList(0, wanted).stream()
                .anyMatch(daemon -> !daemon.inRollingRestart
                        && (daemon.state == State.DOWN
                                || daemon.state == State.STARTING
                                || daemon.state == State.STOPPING));
        while (!rollingQueue.isEmpty() && down < policy.maxRestarting() && now >= nextRollingStopMillis) {
            SupervisedDaemon next = daemons.get(rollingQueue.peekFirst());
            if (next.state == State.GIVEN_UP) {
                // A restart that an operator asked for clears the crashes.
                next.crashTimesMillis.clear();
                next.consecutiveCrashes = 0;
                next.inRollingRestart = true;
                next.startAtMillis = now;
                enterState(next, State.DOWN, now);
            } else if (next.state == State.READY && !others) {
                next.inRollingRestart = true;
                stopOne(now, rollingQueue.peekFirst(), policy.rollingHandoff() ? Mode.MOVE : Mode.RESTART);
            } else {
                break;
            }
            rollingQueue.removeFirst();
            down++;
        }
        if (rollingQueue.isEmpty() && down == 0) {
            rollingQueue = null;
            lastRollingResult = "done";
            controller.log("rolling restart is done: " + rollingDone + " of " + rollingTotal);
        }
    }

    private void abortRollingRestart(String why) {
        if (rollingQueue != null) {
            rollingQueue = null;
            lastRollingResult = "aborted after " + rollingDone + " of " + rollingTotal + ": " + why;
            controller.log("rolling restart " + lastRollingResult);
            daemons.forEach(daemon -> daemon.inRollingRestart = false);
        }
    }

    private static void enterState(SupervisedDaemon daemon, State state, long now) {
        daemon.state = state;
        daemon.sinceMillis = now;
    }

    // ---- What is known. ----

    /** Whether all that was asked for is over and the supervisor may end. */
    public boolean finished() {
        return stopping
                && daemons.stream()
                        .allMatch(daemon -> daemon.state == State.DOWN
                                || daemon.state == State.GIVEN_UP
                                || daemon.state == State.OUT);
    }

    /** Whether a stop for good may have left something in a journal. */
    public boolean workLeftBehind() {
        return workLeftBehind;
    }

    /** Whether the fleet is being stopped. */
    public boolean stopping() {
        return stopping;
    }

    public State state(int index) {
        return daemons.get(index).state;
    }

    /** How long it has been in its state. */
    public long stateAgeMillis(long now, int index) {
        return now - daemons.get(index).sinceMillis;
    }

    /** How often it was started by this supervisor. */
    public long startCount(int index) {
        return daemons.get(index).startCount;
    }

    public int size() {
        return daemons.size();
    }

    /** Whether all daemons that are wanted are ready. */
    public boolean allReady() {
        return daemons.subList(0, wanted).stream().allMatch(daemon -> daemon.state == State.READY);
    }

    public int wanted() {
        return wanted;
    }

    /** Whether just the wanted daemons are there: those ready, all others out. */
    public boolean scaleReached() {
        return allReady()
                && daemons.subList(wanted, daemons.size()).stream().allMatch(daemon -> daemon.state == State.OUT);
    }

    /** none, runs, done, or aborted and why. */
    public String rollingRestartStatus() {
        return rollingQueue != null ? rollingDone + " of " + rollingTotal + " done" : lastRollingResult;
    }
}
