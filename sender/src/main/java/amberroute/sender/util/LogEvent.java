package amberroute.sender.util;

/**
 * One line of the log: an event name, the subject and its values, such as {@code event=breaker_open endpoint=e7 failures=3}.
 *
 * <p>Event names and keys are lower case with underscores and do not change between versions, as engineers search for them.
 * {@link Log} bounds the number of lines for each event name. Not safe for use by several threads.
 */
public final class LogEvent {
    private final StringBuilder line = new StringBuilder("event=");

    private LogEvent(String name) {
        line.append(name);
    }

    /** Begins a line for the event with this name, such as {@code journal_write_failed}. */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /** Adds a value; text with blanks, quotes or equals signs is quoted. */
    public LogEvent with(String key, Object value) {
        String text = String.valueOf(value);
        line.append(' ').append(key).append('=');
        if (text.isEmpty() || text.chars().anyMatch(c -> c <= ' ' || c == '"' || c == '=')) {
            line.append('"')
                    .append(text.replace("\\", "\\\\").replace("\"", "\\\""))
                    .append('"');
        } else {
            line.append(text);
        }
        return this;
    }

    /** Adds the number of an amount in its unit, such as {@code waited_ms=120}. */
    public LogEvent with(String key, long value) {
        line.append(' ').append(key).append('=').append(value);
        return this;
    }

    /** Adds the class and the message of an error under {@code error}. */
    public LogEvent cause(Throwable error) {
        String text = error.getMessage();
        return with("error", error.getClass().getSimpleName() + (text == null ? "" : ": " + text));
    }

    /** Writes the line. */
    public void warn() {
        Log.warn(line.toString());
    }

    @Override
    public String toString() {
        return line.toString();
    }
}
