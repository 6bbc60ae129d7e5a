package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The pending messages of a state folder at the time of reading, for operators. Writes nothing, so a folder may be read
 * while its sender runs.
 */
public final class JournalView {
    private final List<AcceptedMessage> pending;
    private final List<String> unreadable;
    private final boolean damaged;
    private final long usedBytes;
    private final long liveBytes;

    private JournalView(Journal journal) {
        pending = List.copyOf(journal.pendingMessages());
        unreadable = journal.dataLoss().lines();
        damaged = journal.dataLoss().damaged();
        usedBytes = journal.usedBytes();
        liveBytes = journal.liveBytes();
    }

    /**
     * Reads the folder's journal, including one of an earlier version.
     *
     * @throws IOException if there is none, or a later version has written it
     */
    public static JournalView read(Path folder) throws IOException {
        if (!Files.isRegularFile(folder.resolve(LegacyJournalReader.FILE_NAME))) {
            throw new IOException("no journal in " + folder);
        }
        try (Journal journal = Journal.openReadOnly(folder)) {
            return new JournalView(journal);
        }
    }

    /**
     * Copies all readable records into another folder, and reads that.
     *
     * @throws IOException if {@code targetFolder} already has a journal, or a folder cannot be read or written
     */
    public static JournalView repair(Path sourceFolder, Path targetFolder) throws IOException {
        JournalRepair.run(sourceFolder, targetFolder);
        return read(targetFolder);
    }

    /**
     * Returns a line for each message in the order of acceptance: id, class, destination, time left, attempts,
     * state.
     */
    public List<String> lines(long wallMillis) {
        List<String> lines = new ArrayList<>();
        for (AcceptedMessage message : pending) {
            lines.add(message.id + " " + message.className + " dest=" + message.destination
                    + (message.key == 0 ? "" : " key=" + Long.toHexString(message.key))
                    + " left=" + (message.deadlineMillis - wallMillis) + "ms attempts=" + message.attempts
                    + " (" + describeState(message) + ")");
        }
        return lines;
    }

    private static String describeState(AcceptedMessage message) {
        if (message.pendingNotification != null) {
            return "ended, notice not acknowledged: " + message.pendingNotification;
        }
        if (message.attemptInFlight) {
            return "call in flight to " + message.attemptEndpoint;
        }
        if (message.unknownOutcomeSinceMillis != 0) {
            return "outcome unknown at " + message.unknownOutcomeEndpoint;
        }
        return message.attempts > 0 ? "not executed" : "not attempted";
    }

    /** Returns the counts of messages, notices and bytes as one line. */
    public String summary() {
        long pendingNotices = pending.stream()
                .filter(message -> message.pendingNotification != null)
                .count();
        long unknownOutcomes = pending.stream()
                .filter(message -> message.pendingNotification == null
                        && (message.attemptInFlight || message.unknownOutcomeSinceMillis != 0))
                .count();
        return pending.size() - pendingNotices + " messages held, " + unknownOutcomes + " of them in doubt; "
                + pendingNotices
                + " notices not answered; " + liveBytes + " of " + usedBytes + " bytes are live"
                + (unreadable.isEmpty() ? "" : "; COULD NOT BE READ: " + String.join(", ", unreadable));
    }

    /** Returns a line for each part that could not be read; empty if the journal is undamaged. */
    public List<String> unreadable() {
        return unreadable;
    }

    /** Returns whether anything but a torn write could not be read. */
    public boolean damaged() {
        return damaged;
    }

    /** Returns the number of messages, including those with an unacknowledged notice. */
    public int pendingCount() {
        return pending.size();
    }
}
