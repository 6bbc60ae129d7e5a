package amberroute.sender.journal;

/** Kinds of records in the journal's segments. The numbers are stored on disk and never reused for another kind. */
public final class RecordKind {
    /** An accepted message, its notice, or the id of a completed message; see {@link JournalRecordCodec}. */
    static final int MESSAGE = 1;

    /** The attempts of a message, and which of them has an unknown outcome. */
    static final int ATTEMPTS = 2;

    /** A handoff batch. */
    static final int HANDOFF_BATCH = 3;

    /** A hold of another sender on a key. */
    static final int KEY_HOLD = 4;

    /** The health of an endpoint or destination. */
    static final int HEALTH = 5;

    /** A version of a message class. */
    static final int MESSAGE_CLASS = 6;

    /** The place of a message in the order, if it differs from its number. */
    static final int RANK = 7;

    /** The position in the replicated log that the journal has reached. */
    public static final int REPLICATION_POSITION = 8;

    /** The replica set of the journal. */
    public static final int REPLICA_SET = 9;

    private RecordKind() {}
}
