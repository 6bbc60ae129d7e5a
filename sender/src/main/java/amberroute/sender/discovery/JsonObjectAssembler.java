package amberroute.sender.discovery;

/**
 * Puts one object of discovery's list together from the lines that it came in: usually one, several where it is indented. A blank
 * line, or one that opens an object at its first character, ends one that is not whole: it was cut short. How long an object may
 * be is for whoever adds lines to say ({@link #length}).
 */
final class JsonObjectAssembler {
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean quoted;
    private boolean escaped;

    /** Whether this line shows that the object before it was cut short; that one is dropped. */
    boolean cutBy(String line) {
        boolean cut = text.length() > 0 && (line.isBlank() || line.charAt(0) == '{');
        if (cut) {
            clear();
        }
        return cut;
    }

    /** The next line, not a blank one, without its end; returns the object that it completes, or null. */
    String add(String line) {
        text.append(line).append('\n');
        for (int i = 0; i < line.length(); i++) {
            look(line.charAt(i));
        }
        // A text ends with its line.
        quoted = false;
        escaped = false;
        if (depth > 0) {
            return null;
        }
        String whole = text.toString();
        clear();
        return whole;
    }

    /** Characters of what is not whole yet. */
    int length() {
        return text.length();
    }

    private void look(char c) {
        if (quoted) {
            quoted = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            quoted = true;
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
