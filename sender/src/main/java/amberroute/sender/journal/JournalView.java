package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What a state folder owed at the moment of reading. Writes nothing, so it may be read beside a running daemon. */
public final class JournalView {
    private final List<AcceptedMessage> owed;
    private final List<String> unread;
    private final boolean damaged;
    private final long used;
    private final long live;

    private JournalView(List<AcceptedMessage> owed, List<String> unread, boolean damaged, long used, long live) {
        this.owed = owed;
        this.unread = unread;
        this.damaged = damaged;
        this.used = used;
        this.live = live;
    }

    /** Reads the folder's journal, also one of an earlier version; its process may go on writing. */
    public static JournalView read(Path folder) throws IOException {
        if (!Files.isRegularFile(folder.resolve("journal"))) {
            throw new IOException("no journal in " + folder);
        }
        Journal journal = Journal.openReadOnly(folder);
        try (journal) {
            return new JournalView(
                    List.copyOf(journal.pendingMessages()),
                    journal.unread(),
                    journal.damaged(),
                    journal.usedBytes(),
                    journal.liveBytes());
        }
    }

    /** Each message on a line, in the order of acceptance: id, class, destination, time left, attempts and state. */
    public List<String> lines(long wallMillis) {
        List<String> out = new ArrayList<>();
        for (AcceptedMessage m : owed) {
            String state = m.notice != null
                    ? "ended, its notice is not answered: " + m.notice
                    : m.out
                            ? "a call is out to " + m.sentTo
                            : m.doubtSince != 0
                                    ? "may have run at " + m.doubtAt
                                    : m.attempts > 0 ? "has not run" : "not tried";
            out.add(m.id + " " + m.className + " dest=" + m.destination
                    + (m.key == 0 ? "" : " key=" + Long.toHexString(m.key)) + " left=" + (m.deadline - wallMillis)
                    + "ms attempts=" + m.attempts
                    + " (" + state + ")");
        }
        return out;
    }

    /** Counts for people. */
    public String summary() {
        long notices = owed.stream().filter(m -> m.notice != null).count();
        long doubt = owed.stream()
                .filter(m -> m.notice == null && (m.out || m.doubtSince != 0))
                .count();
        return owed.size() - notices + " messages held, " + doubt + " of them in doubt; " + notices
                + " notices not answered; " + live + " of " + used + " bytes are wanted"
                + (unread.isEmpty() ? "" : "; COULD NOT BE READ: " + String.join(", ", unread));
    }

    /** What could not be read, a part each; empty for a sound journal. */
    public List<String> unreadable() {
        return unread;
    }

    /** Whether more than a torn end could not be read. */
    public boolean damaged() {
        return damaged;
    }

    /** Writes all that can be read into another folder that has no journal, and reads that. */
    public static JournalView repair(Path from, Path into) throws IOException {
        Journal.repair(from, into);
        return read(into);
    }

    /** Messages owed, notices included. */
    public int pendingCount() {
        return owed.size();
    }
}
