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
        void start(int daemon);

        /** Asks it to stop within so many milliseconds. */
        void stop(int daemon, Mode mode, long within);

        /** Ends its process by force. */
        void kill(int daemon);

        /** Asks it to read its files again. */
        void reload(int daemon);

        /** The daemon is out: it has left and owes nothing. */
        void left(int daemon);

        /** One line for the log. */
        void say(String text);
    }

    private static final class Daemon {
        final String name;
        State state = State.DOWN;
        /** Since when it has been in this state. */
        long since;

        long startAt;
        int deathsInRow;
        final Deque<Long> deaths = new ArrayDeque<>();
        /** A stop that was asked for, so that its end is no death. */
        boolean asked;

        boolean killed;
        /** The stop that was asked for is one for good. */
        boolean forGood;

        boolean turn;
        /** It was out and is wanted again: others may have been told that no client finds it. */
        boolean returns;

        long starts;

        Daemon(String name) {
            this.name = name;
        }
    }

    private final Policy policy;
    private final DaemonController hands;
    private final List<Daemon> daemons = new ArrayList<>();
    /** Those whose turn in the rolling restart is to come; null while none runs. */
    private Deque<Integer> rolling;

    private int rolled;
    private int rollSize;
    private long rollNotBefore;
    private String lastRoll = "none";
    private int wanted;
    private boolean ending;
    private Mode endMode;
    private boolean leftOver;

    public SupervisionPolicy(Policy policy, List<String> names, DaemonController hands) {
        this(policy, names, names.size(), hands);
    }

    /** {@code wanted} of the daemons are to run, the first ones. */
    public SupervisionPolicy(Policy policy, List<String> names, int wanted, DaemonController hands) {
        this.wanted = wanted;
        this.policy = policy;
        this.hands = hands;
        names.forEach(name -> daemons.add(new Daemon(name)));
    }

    // ---- What is seen. ----

    /** A living process of this place was found at the supervisor's start: it is taken over as it is. */
    public void found(long now, int daemon) {
        Daemon d = daemons.get(daemon);
        set(d, State.STARTING, now);
        hands.say(d.name + " is alive already and taken over");
    }

    /** No process of this place lives, and what it left owes nothing; only at the supervisor's start. */
    public void owesNothing(int daemon) {
        if (daemon >= wanted) {
            daemons.get(daemon).state = State.OUT;
        }
    }

    /** The daemon says that it is ready. */
    public void ready(long now, int daemon) {
        Daemon d = daemons.get(daemon);
        if (d.state != State.STARTING) {
            return;
        }
        hands.say(d.name + " is ready after " + (now - d.since) + " ms");
        set(d, State.READY, now);
        if (d.turn) {
            d.turn = false;
            rolled++;
            rollNotBefore = now + policy.rollPause();
        }
    }

    /** The daemon says that it drains though nobody here asked it to: somebody else did. */
    public void draining(long now, int daemon) {
        Daemon d = daemons.get(daemon);
        if (d.state == State.READY || d.state == State.STARTING) {
            set(d, State.STOPPING, now);
            d.asked = true;
            hands.say(d.name + " was told to stop from outside");
        }
    }

    /** Its process has ended, {@code clean} where it says itself that it owes nothing; {@code how} is for people. */
    public void ended(long now, int daemon, boolean clean, String how) {
        Daemon d = daemons.get(daemon);
        if (d.state == State.DOWN || d.state == State.GIVEN_UP || d.state == State.OUT) {
            return;
        }
        boolean wanted = d.asked;
        boolean leaves = daemon >= this.wanted;
        boolean started = d.state != State.STARTING;
        long lived = now - d.since;
        set(d, State.DOWN, now);
        d.asked = false;
        d.killed = false;
        d.startAt = now;
        if (ending && endMode == Mode.FINAL && !clean) {
            leftOver = true;
            hands.say(d.name + " ended with " + how + ": its journal may still owe something");
        }
        if (wanted && leaves && !ending && clean && d.forGood) {
            hands.say(d.name + " has left for good");
            set(d, State.OUT, now);
            hands.left(daemon);
            return;
        }
        if (wanted && !(leaves && !ending && d.forGood)) {
            hands.say(d.name + " has stopped (" + how + ")");
            d.deathsInRow = 0;
            return;
        }
        if (ending) {
            hands.say(d.name + " died (" + how + ") and is not started again, as the fleet stops");
            return;
        }
        if (started && lived >= policy.steadyAfter()) {
            d.deathsInRow = 0;
        }
        d.deaths.addLast(now);
        while (d.deaths.peekFirst() < now - policy.deathSpan()) {
            d.deaths.removeFirst();
        }
        if (d.turn) {
            abortRoll(d.name + " died (" + how + ") before it was ready again");
        } else if (rolling != null && rolling.remove(daemon)) {
            // Its next process is a new one: its turn is now.
            d.turn = true;
        }
        if (d.deaths.size() >= policy.mostDeaths()) {
            set(d, State.GIVEN_UP, now);
            hands.say(d.name + " died " + d.deaths.size() + " times within " + policy.deathSpan() / 1_000
                    + " s, the last time with " + how + ": it is left alone until a restart is asked for");
            return;
        }
        long pause = Math.min(policy.longestPause(), policy.pause() << Math.min(d.deathsInRow++, 20));
        d.startAt = now + pause;
        hands.say(d.name + " died (" + how + "); it is started again in " + pause + " ms");
    }

    // ---- Commands; each answers null where it is taken, or why not. ----

    /** Restarts all daemons, or those named, one after another within the budget. */
    public String restart(long now, List<String> names) {
        if (ending) {
            return "the fleet is stopping";
        }
        if (rolling != null) {
            return "a rolling restart runs: " + rolled + " of " + rollSize + " are done";
        }
        if (daemons.subList(wanted, daemons.size()).stream()
                .anyMatch(d -> d.state != State.OUT && d.state != State.GIVEN_UP)) {
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
        rolling = queue;
        rolled = 0;
        rollSize = queue.size();
        rollNotBefore = now;
        lastRoll = "runs";
        hands.say("rolling restart of " + rollSize + " daemons begins");
        return null;
    }

    /** Null where so many daemons may be asked for now, or why not. */
    public String mayScale(int to) {
        return ending
                ? "the fleet is stopping"
                : rolling != null
                        ? "a rolling restart runs"
                        : to < 1 || to > daemons.size()
                                ? "a fleet of this definition has 1 to " + daemons.size() + " daemons"
                                : null;
    }

    /** From now on the first so many daemons are wanted; those that leave do so one after another. */
    public String scale(long now, int to) {
        String refused = mayScale(to);
        if (refused != null) {
            return refused;
        }
        hands.say("the fleet goes from " + wanted + " to " + to + " daemons");
        wanted = to;
        for (int i = 0; i < to; i++) {
            Daemon d = daemons.get(i);
            if (d.state == State.OUT) {
                d.deaths.clear();
                d.deathsInRow = 0;
                d.startAt = now;
                d.returns = true;
                set(d, State.DOWN, now);
            }
        }
        return null;
    }

    private void scaleIn(long now) {
        // One that is wanted again may still be stopping from before: it is away like any other.
        long away = daemons.stream().filter(d -> d.state == State.STOPPING).count();
        for (int i = daemons.size() - 1; i >= wanted && away < policy.rollAtOnce(); i--) {
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
                hands.reload(i);
                asked++;
            }
        }
        hands.say("asked " + asked + " daemons to read their files again");
        return null;
    }

    /** Stops all; a rolling restart that runs ends here. */
    public String stop(long now, Mode mode) {
        if (ending && (endMode == mode || mode == Mode.RESTART)) {
            return "the fleet is stopping";
        }
        if (rolling != null) {
            abortRoll("the fleet is stopped");
        }
        ending = true;
        endMode = mode;
        hands.say("the fleet stops " + (mode == Mode.FINAL ? "for good" : "for now"));
        for (int i = 0; i < daemons.size(); i++) {
            Daemon d = daemons.get(i);
            if (d.state == State.READY || d.state == State.STARTING || d.state == State.STOPPING) {
                stopOne(now, i, mode);
            }
        }
        return null;
    }

    private void stopOne(long now, int daemon, Mode mode) {
        Daemon d = daemons.get(daemon);
        d.asked = true;
        d.forGood = mode == Mode.FINAL;
        set(d, State.STOPPING, now);
        hands.stop(daemon, mode, policy.stopWithin());
    }

    // ---- Time. ----

    /** To be called often: does what is due. */
    public void tick(long now) {
        int starting = 0;
        for (int i = 0; i < daemons.size(); i++) {
            Daemon d = daemons.get(i);
            if (d.state == State.STOPPING && !d.killed && now - d.since >= policy.stopWithin() + policy.stopGrace()) {
                hands.say(d.name + " has not stopped after " + (now - d.since) + " ms and is killed");
                d.killed = true;
                hands.kill(i);
            } else if (d.state == State.STARTING && !d.killed && now - d.since >= policy.readyWithin()) {
                hands.say(d.name + " was not ready within " + policy.readyWithin() + " ms and is killed");
                d.killed = true;
                hands.kill(i);
            }
            starting += d.state == State.STARTING ? 1 : 0;
        }
        for (int i = 0; !ending && i < daemons.size() && starting < policy.startAtOnce(); i++) {
            Daemon d = daemons.get(i);
            // Whoever leaves just now counts on those that were out to stay so until it is gone.
            boolean mayReturn = !d.returns || daemons.stream().noneMatch(o -> o.state == State.STOPPING);
            if (d.state == State.DOWN && now >= d.startAt && mayReturn) {
                d.returns = false;
                set(d, State.STARTING, now);
                d.starts++;
                starting++;
                hands.start(i);
            }
        }
        if (rolling != null) {
            roll(now);
        } else if (!ending) {
            scaleIn(now);
        }
    }

    /** Nobody is stopped while another that is wanted is not ready, but for those whose turn it is. */
    private void roll(long now) {
        long down = daemons.stream().filter(d -> d.turn).count();
        boolean others = daemons.subList(0, wanted).stream()
                .anyMatch(d ->
                        !d.turn && (d.state == State.DOWN || d.state == State.STARTING || d.state == State.STOPPING));
        while (!rolling.isEmpty() && down < policy.rollAtOnce() && now >= rollNotBefore) {
            Daemon next = daemons.get(rolling.peekFirst());
            if (next.state == State.GIVEN_UP) {
                // The operator asks for it: it gets another chance, with its account cleared.
                next.deaths.clear();
                next.deathsInRow = 0;
                next.turn = true;
                next.startAt = now;
                set(next, State.DOWN, now);
            } else if (next.state == State.READY && !others) {
                next.turn = true;
                stopOne(now, rolling.peekFirst(), policy.rollMove() ? Mode.MOVE : Mode.RESTART);
            } else {
                break;
            }
            rolling.removeFirst();
            down++;
        }
        if (rolling.isEmpty() && down == 0) {
            rolling = null;
            lastRoll = "done";
            hands.say("rolling restart is done: " + rolled + " of " + rollSize);
        }
    }

    private void abortRoll(String why) {
        if (rolling != null) {
            rolling = null;
            lastRoll = "aborted after " + rolled + " of " + rollSize + ": " + why;
            hands.say("rolling restart " + lastRoll);
            daemons.forEach(d -> d.turn = false);
        }
    }

    private static void set(Daemon d, State state, long now) {
        d.state = state;
        d.since = now;
    }

    // ---- What is known. ----

    /** Whether all that was asked for is over and the supervisor may end. */
    public boolean over() {
        return ending
                && daemons.stream()
                        .allMatch(d -> d.state == State.DOWN || d.state == State.GIVEN_UP || d.state == State.OUT);
    }

    /** Whether a stop for good may have left something in a journal. */
    public boolean leftOver() {
        return leftOver;
    }

    /** Whether the fleet is being stopped. */
    public boolean ending() {
        return ending;
    }

    public State state(int daemon) {
        return daemons.get(daemon).state;
    }

    /** How long it has been in its state. */
    public long age(long now, int daemon) {
        return now - daemons.get(daemon).since;
    }

    /** How often it was started by this supervisor. */
    public long starts(int daemon) {
        return daemons.get(daemon).starts;
    }

    public int size() {
        return daemons.size();
    }

    /** Whether all daemons that are wanted are ready. */
    public boolean allReady() {
        return daemons.subList(0, wanted).stream().allMatch(d -> d.state == State.READY);
    }

    public int wanted() {
        return wanted;
    }

    /** Whether just the wanted daemons are there: those ready, all others out. */
    public boolean scaled() {
        return allReady() && daemons.subList(wanted, daemons.size()).stream().allMatch(d -> d.state == State.OUT);
    }

    /** none, runs, done, or aborted and why. */
    public String rollingState() {
        return rolling != null ? rolled + " of " + rollSize + " done" : lastRoll;
    }
}
