package amberroute.sender.journal;

/** Kinds of contents in the journal's segments. The numbers are on disk: none is ever reused for another kind. */
public final class RecordKind {
    /** An accepted message, its notice, or the id of a completed message; see {@link JournalRecordCodec}. */
    static final int MESSAGE = 1;

    /** Attempts of a message and what is unknown of their outcome. */
    static final int ATTEMPTS = 2;

    /** A handoff batch. */
    static final int HANDOFF_BATCH = 3;

    /** A key that another daemon holds. */
    static final int KEY_HOLD = 4;

    /** The health of an endpoint or destination. */
    static final int HEALTH = 5;

    /** A version of a message class. */
    static final int MESSAGE_CLASS = 6;

    /** The order of a message behind others, where it differs from its number. */
    static final int RANK = 7;

    /** The position in the replicated log that the journal has come to. */
    public static final int REPLICATION_POSITION = 8;

    /** The replica set of the journal. */
    public static final int REPLICA_SET = 9;

    private RecordKind() {}
}
