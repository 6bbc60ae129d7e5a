package amberroute.sender.discovery;

/**
 * Assembles a JSON object from the lines that it came in: usually one, several where it is indented. A blank line, or one with an opening
 * brace as its first character, shows that an incomplete object was truncated. The caller bounds the length by {@link #length}. Not safe
 * for use by several threads.
 */
final class JsonObjectAssembler {
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** Whether this line shows that the object before it was truncated; that object is dropped. */
    boolean cutBy(String line) {
        boolean cut = text.length() > 0 && (line.isBlank() || line.charAt(0) == '{');
        if (cut) {
            clear();
        }
        return cut;
    }

    /** Adds the next line, not a blank one, without its line end; returns the object that it completes, or null. */
    String add(String line) {
        text.append(line).append('\n');
        for (int i = 0; i < line.length(); i++) {
            scan(line.charAt(i));
        }
        // A string ends with its line at the latest.
        inString = false;
        escaped = false;
        if (depth > 0) {
            return null;
        }
        String whole = text.toString();
        clear();
        return whole;
    }

    /** Characters of the incomplete object. */
    int length() {
        return text.length();
    }

    private void scan(char c) {
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            depth++;
        } else if (c == '}' || c == ']') {
            depth--;
        }
    }

    private void clear() {
        text.setLength(0);
        depth = 0;
    }
}
