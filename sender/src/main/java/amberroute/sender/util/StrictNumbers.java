package amberroute.sender.util;

import java.util.regex.Pattern;

/** Reads numbers as people write them: no sign ahead, no names such as NaN, and none of Java's other spellings. */
public final class StrictNumbers {
    private static final Pattern PLAIN =
            Pattern.compile("([0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18})([eE][+-]?[0-9]{1,2})?");

    private StrictNumbers() {}

    /** The value, or -1 where the text is no such number. */
    public static double parse(String text) {
        return text != null && PLAIN.matcher(text).matches() ? Double.parseDouble(text) : -1;
    }
}
