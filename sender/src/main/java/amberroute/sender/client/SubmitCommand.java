package amberroute.sender.client;

import amberroute.sender.util.StrictNumbers;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses a client's SUBMIT command (PROTOCOL, "Clients to senders"): key, id, names and values, body. An invalid command throws
 * {@link IllegalArgumentException} with a message that may be sent to the client. Stateless.
 */
public final class SubmitCommand {
    private static final int WORDS = 5;
    private static final int LONGEST_WORD = 1_024;
    private static final int LONGEST_NAME = 128;
    private static final int LARGEST_DESTINATION = 0xffff;

    private SubmitCommand() {}

    /** The submission with the time left in milliseconds as the client states it; its class is one of {@code classNames}. */
    static ClientServer.Submission parse(List<byte[]> words, Set<String> classNames) {
        require(words.size() == WORDS, "SUBMIT takes key, id, names and values, body");
        String id = text(words.get(2));
        require(!id.isEmpty() && printable(id), "bad id");
        Map<String, String> options = options(text(words.get(3)));
        String className = options.getOrDefault("c", "");
        require(classNames.contains(className), "unknown class");
        String idempotencyKey = options.getOrDefault("k", "");
        require(printable(idempotencyKey), "bad idempotency key");
        long key = key(text(words.get(1)));
        long timeLeft = number(options.get("d"), "d", Integer.MAX_VALUE);
        int destination = (int) number(options.get("dest"), "dest", LARGEST_DESTINATION);
        return new ClientServer.Submission(key, id, className, timeLeft, destination, idempotencyKey, words.get(4));
    }

    private static Map<String, String> options(String text) {
        Map<String, String> options = new HashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            require(equals > 0, "bad option " + (printable(pair) ? pair : ""));
            options.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return options;
    }

    /** A word of a command as text. */
    static String text(byte[] word) {
        require(word.length <= LONGEST_WORD, "too long a word");
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    /** What may stand in a header or on a line: at most 128 visible characters of ASCII. */
    public static boolean printable(String word) {
        return word.length() <= LONGEST_NAME && word.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long key(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("bad key");
        }
    }

    private static long number(String text, String name, long most) {
        double value = StrictNumbers.parse(text);
        require(value >= 0 && value <= most, "bad number " + name);
        return (long) value;
    }

    private static void require(boolean holds, String reason) {
        if (!holds) {
            throw new IllegalArgumentException(reason);
        }
    }
}
