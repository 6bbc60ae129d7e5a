package amberroute.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Spans, sizes and addresses as people write them. */
public final class Units {
    private static final Pattern FIGURE = Pattern.compile("([0-9]{1,15}(?:\\.[0-9]{1,6})?) ?([A-Za-z]{1,3})");
    private static final Map<String, Double> SPANS =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "m", 6e7, "h", 3.6e9, "d", 8.64e10);
    private static final Map<String, Double> SIZES = Map.of(
            "B",
            1.0,
            "KB",
            1e3,
            "MB",
            1e6,
            "GB",
            1e9,
            "KiB",
            1024.0,
            "MiB",
            1024.0 * 1024,
            "GiB",
            1024.0 * 1024 * 1024);

    private Units() {}

    /** A span in microseconds; IllegalArgumentException where it cannot be read. */
    public static long micros(String text) {
        return figure(text, SPANS);
    }

    /** A size in bytes; IllegalArgumentException where it cannot be read. */
    public static long bytes(String text) {
        return figure(text, SIZES);
    }

    private static long figure(String text, Map<String, Double> units) {
        Matcher m = FIGURE.matcher(text);
        Double unit = m.matches() ? units.get(m.group(2)) : null;
        if (unit == null) {
            throw new IllegalArgumentException("no figure with a unit: " + text);
        }
        double value = Double.parseDouble(m.group(1)) * unit;
        if (value > 1e17) {
            throw new IllegalArgumentException("too large: " + text);
        }
        return Math.round(value);
    }

    /** Microseconds with the largest unit that leaves a short number. */
    public static String span(long micros) {
        if (micros % 86_400_000_000L == 0 && micros != 0) {
            return micros / 86_400_000_000L + "d";
        }
        if (micros % 3_600_000_000L == 0 && micros != 0) {
            return micros / 3_600_000_000L + "h";
        }
        return micros % 1_000_000 == 0
                ? micros / 1_000_000 + "s"
                : micros % 1_000 == 0 ? micros / 1_000 + "ms" : micros + "us";
    }

    /** A number without a fraction where it has none. */
    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** An address in figures and a port; IllegalArgumentException for anything else, names too. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0
                || !text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]{2,45}\\]")
                || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("not an address in figures with a port: " + text);
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address in figures with a port: " + text);
        }
    }
}
