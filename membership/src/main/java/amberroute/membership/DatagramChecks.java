package amberroute.membership;

/** Range checks for decoded values. They throw {@link IllegalArgumentException}, on which the decoder drops the datagram. */
public final class DatagramChecks {
    private static final float MAX_RATE_PER_SECOND = 1e9f;

    private DatagramChecks() {}

    /** Returns the value if it is between {@code min} and {@code max}, both inclusive. */
    public static int intInRange(int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException("integer in datagram is out of range");
        }
        return value;
    }

    /** Returns the value if it is a fraction from 0 to 1. */
    public static float fraction(float value) {
        if (!(value >= 0) || value > 1) {
            throw new IllegalArgumentException("fraction in datagram is not between 0 and 1");
        }
        return value;
    }

    /** Returns the value if it is a rate from 0 to 1e9 per second. */
    public static float perSecond(float value) {
        if (!(value >= 0) || value > MAX_RATE_PER_SECOND) {
            throw new IllegalArgumentException("rate in datagram is not between 0 and 1e9 per second");
        }
        return value;
    }
}
