package amberroute.sender;

/**
 * Puts one object of discovery's list together from the lines that it came in: usually one, several where it is indented. What
 * is spoilt costs itself alone: a blank line, or one that opens an object at its first character, ends whatever is not whole.
 */
final class ListText {
    private final int longest;
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    private int dropped;

    /** For objects of so many characters at most. */
    ListText(int longest) {
        this.longest = longest;
    }

    /** The next line, without its end; returns the object that it completes, or null. */
    String add(String line) {
        if (text.length() > 0 && (line.isBlank() || line.charAt(0) == '{') || text.length() + line.length() > longest) {
            drop();
        }
        if (line.isBlank()) {
            return null;
        }
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

    private void drop() {
        dropped += text.length() > 0 ? 1 : 0;
        clear();
    }

    private void clear() {
        text.setLength(0);
        depth = 0;
        quoted = false;
        escaped = false;
    }

    /** How many objects were not whole, since this was last asked for. */
    int dropped() {
        int n = dropped;
        dropped = 0;
        return n;
    }
}
