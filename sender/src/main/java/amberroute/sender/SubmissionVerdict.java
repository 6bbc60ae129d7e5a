package amberroute.sender;

import amberroute.sender.journal.Journal;

/** The decision of {@link SubmissionAdmission} on a submission, carried out by {@link SubmissionHandler}. */
sealed interface SubmissionVerdict {
    /** Why a submission is answered {@code -BUSY}. For reused ids, a retry is rejected again as long as the id is known. */
    enum RejectionReason {
        /** The id belongs to another message: an id identifies one message for its lifetime. */
        ID_REUSED,
        /** The id belongs to another message, in a journal that this sender continues for another sender. */
        ID_REUSED_IN_FAILOVER,
        /** The journal cannot be replicated to enough senders now. */
        TOO_FEW_REPLICAS,
        /** The sender is stopping. */
        STOPPING,
        /** The limit on pending messages is reached, or that on the memory for requests. */
        CAPACITY,
        /** The submission that came first with this id was rejected, and the id is pending again. */
        DUPLICATE_REJECTED
    }

    /** Why a submission is invalid for this sender. */
    enum InvalidReason {
        /** The class was removed after the request was read, or a process with older settings read it. */
        UNKNOWN_CLASS("unknown class"),
        UNKNOWN_DESTINATION("unknown destination");

        private final String wireText;

        InvalidReason(String wireText) {
            this.wireText = wireText;
        }

        /** The error text that is sent to the client. */
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

    /** The message was accepted before, into this journal; the client is answered after the record is durable. */
    record Duplicate(Journal journal) implements SubmissionVerdict {}

    /** Answered {@code -BUSY}; {@code retryAfterMillis} is the retry advice, 0 for none. */
    record Reject(RejectionReason reason, long retryAfterMillis) implements SubmissionVerdict {}

    /** The submission is invalid for this sender; the client is sent an error. */
    record Invalid(InvalidReason reason) implements SubmissionVerdict {}

    /** The submission is decided later. */
    record Defer(DeferReason reason) implements SubmissionVerdict {}
}
