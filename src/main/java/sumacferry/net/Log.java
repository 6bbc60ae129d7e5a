package sumacferry.net;

/** The sender's log on standard error. */
final class Log {
    private static final int MOST = 2_000;
    private static int written;

    private Log() {
    }

    /** Bounded, so that a flood of bad input cannot fill the disk of whoever keeps the log. */
    static void warn(String text) {
        if (written++ < MOST) {
            System.err.println(System.currentTimeMillis() + " " + text);
        }
    }
}
