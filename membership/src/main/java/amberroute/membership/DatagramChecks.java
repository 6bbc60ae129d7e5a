package amberroute.membership;

/** Checks of what a datagram says; whatever is out of range is an IllegalArgumentException, for which the datagram is passed over. */
public final class DatagramChecks {
    private static final float MAX_PER_SECOND = 1e9f;

    private DatagramChecks() {}

    public static int intInRange(int value, int least, int most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException("out of range");
        }
        return value;
    }

    /** A share of a whole, 0 to 1. */
    public static float fraction(float value) {
        if (!(value >= 0) || value > 1) {
            throw new IllegalArgumentException("no part");
        }
        return value;
    }

    /** So much a second. */
    public static float perSecond(float value) {
        if (!(value >= 0) || value > MAX_PER_SECOND) {
            throw new IllegalArgumentException("no rate");
        }
        return value;
    }
}
