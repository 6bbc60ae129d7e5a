package amberroute.membership;

/** Checks of the values in a datagram: one that is out of range is an {@link IllegalArgumentException}, for which the datagram is dropped. */
public final class DatagramChecks {
    private static final float MAX_RATE_PER_SECOND = 1e9f;

    private DatagramChecks() {}

    /** The value, where it is from {@code least} to {@code most}. */
    public static int intInRange(int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException("out of range");
        }
        return value;
    }

    /** A fraction of a whole, 0 to 1. */
    public static float fraction(float value) {
        if (!(value >= 0) || value > 1) {
            throw new IllegalArgumentException("no part");
        }
        return value;
    }

    /** An amount a second, 0 to 1e9. */
    public static float perSecond(float value) {
        if (!(value >= 0) || value > MAX_RATE_PER_SECOND) {
            throw new IllegalArgumentException("no rate");
        }
        return value;
    }
}
