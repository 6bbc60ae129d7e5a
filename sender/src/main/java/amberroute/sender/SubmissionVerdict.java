package amberroute.sender;

import amberroute.sender.journal.Journal;

/** What {@link SubmissionAdmission} decides for a submission; {@link SubmissionHandler} carries it out. */
sealed interface SubmissionVerdict {
    /** Why a submission is answered {@code -BUSY}; for the reused ids a retry is rejected again while the id is known. */
    enum RejectionReason {
        /** The id belongs to another message: an id identifies one message for its lifetime. */
        ID_REUSED,
        /** The id belongs to another message, whose journal this sender continues for another daemon. */
        ID_REUSED_IN_FAILOVER,
        /** The journal cannot be replicated to enough daemons now. */
        TOO_FEW_REPLICAS,
        /** The sender stops. */
        STOPPING,
        /** The bound on pending messages is reached. */
        CAPACITY
    }

    /** Why a submission cannot be accepted by any sender. */
    enum InvalidReason {
        /** The class vanished since the request was read, or a process with older settings read it. */
        UNKNOWN_CLASS("unknown class"),
        UNKNOWN_DESTINATION("unknown destination");

        private final String wireText;

        InvalidReason(String wireText) {
            this.wireText = wireText;
        }

        /** The error as the client is sent it. */
        String wireText() {
            return wireText;
        }
    }

    /** Why a submission is decided later. */
    enum DeferReason {
        /** A submission with the same id is answered in the next event loop iteration. */
        DUPLICATE_ARRIVING,
        /** A peer is about to take over the ordered key. */
        KEY_OWNER_UNKNOWN
    }

    /** The scheduler decides on it in the next event loop iteration. */
    record Accept() implements SubmissionVerdict {}

    /** Another process owns the messages, and decides. */
    record Forward() implements SubmissionVerdict {}

    /** The message was accepted before, into this journal; the client has its answer once the record is durable. */
    record Duplicate(Journal journal) implements SubmissionVerdict {}

    /** Answered {@code -BUSY}; {@code retryAfterMillis} is the advice when to retry, 0 for none. */
    record Reject(RejectionReason reason, long retryAfterMillis) implements SubmissionVerdict {}

    /** The client is in error. */
    record Invalid(InvalidReason reason) implements SubmissionVerdict {}

    /** The submission is decided later. */
    record Defer(DeferReason reason) implements SubmissionVerdict {}
}
