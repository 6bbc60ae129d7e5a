package amberroute.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** What {@link SupervisionPolicy} knows of one daemon. Times are milliseconds on the policy's clock. */
final class SupervisedDaemon {
    final String name;
    SupervisionPolicy.State state = SupervisionPolicy.State.DOWN;
    /** Since when it has been in this state. */
    long sinceMillis;

    long startAtMillis;
    int consecutiveCrashes;
    final Deque<Long> crashTimesMillis = new ArrayDeque<>();
    /** A stop that was asked for, so that its end is no death. */
    boolean stopRequested;

    boolean killed;
    /** The stop that was asked for is one for good. */
    boolean finalStop;

    boolean inRollingRestart;
    /** It was out and is wanted again: others may have been told that no client finds it. */
    boolean returning;

    long startCount;

    SupervisedDaemon(String name) {
        this.name = name;
    }
}
