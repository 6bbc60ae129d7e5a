package amberroute.sender.util;

import java.util.HashMap;
import java.util.Map;

/**
 * The sender's log on standard error. Each line starts with the wall clock in milliseconds and the id of the process, as two
 * processes of one sender may write to one file.
 */
public final class Log {
    private static final int MOST_OF_A_KIND = 200;
    private static final int MOST_KINDS = 256;
    private static final int LONGEST = 500;
    private static final Map<String, Integer> WRITTEN = new HashMap<>();
    private static final long PROCESS = ProcessHandle.current().pid();

    private Log() {}

    /**
     * Bounded for each kind of line, as its first words tell, so that a flood of bad input neither fills the disk
     * of whoever keeps the log nor takes the place of other lines.
     */
    public static synchronized void warn(String text) {
        int blank = text.indexOf(' ');
        String kind = blank < 0 ? text : text.substring(0, blank);
        if (!WRITTEN.containsKey(kind) && WRITTEN.size() >= MOST_KINDS) {
            kind = "";
        }
        if (WRITTEN.merge(kind, 1, Integer::sum) <= MOST_OF_A_KIND) {
            System.err.println(System.currentTimeMillis() + " [" + PROCESS + "] "
                    + text.substring(0, Math.min(LONGEST, text.length())).replaceAll("\\p{Cntrl}", "?"));
        }
    }

    /**
     * Carries out one of several actions. A defect that it brings to light must not drop the others: whoever decided on them
     * takes them for carried out, and their messages would never end. Nothing else would tell of it, as the event loop's own
     * log is off. Returns whether the action was carried out.
     */
    public static boolean guarded(String what, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException e) {
            LogEvent.of("action_failed")
                    .with("action", what)
                    .cause(e)
                    .with("at", e.getStackTrace()[0])
                    .warn();
            return false;
        }
    }
}
