package amberroute.sender.message;

import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.Objects;

/** A message that this sender has taken on, and what must survive a restart to end it. */
public final class AcceptedMessage {
    /** Longest lifetime of a message in milliseconds; an offer that a peer rejected cannot return after it. */
    public static final long MAX_LIFETIME_MILLIS = 3_600_000;

    private static final byte[] EMPTY = new byte[0];

    /** Number in the module and in the journal; grows in the order of acceptance. */
    public final long number;

    public final String id;
    /** Idempotency key, empty where the class has none. */
    public final String idempotencyKey;

    public final String className;
    /** Key of the order, 0 for none. */
    public final long key;

    public final int destination;
    /** Milliseconds of the folder's {@code SteadyClock}, as it must mean the same after a restart. */
    public final long deadlineMillis;
    /** Tells messages apart that came under one id; the body itself goes with the end. */
    public final int contentHash;

    public byte[] body;
    /** Number of the version of its class in the {@link MessageClassRegistry}, -1 where only the name is known. */
    public int classNumber = -1;

    public int attempts;
    /** Milliseconds of the steady clock at which the first attempt that may have run was sent, 0 where none may have, and where. */
    public long unknownOutcomeSinceMillis;

    public String unknownOutcomeEndpoint = "";
    /** Whether an attempt is out; in a message read from the journal, whether one was at the end. */
    public boolean attemptInFlight;
    /** Offered to another daemon whose answer is not known: nobody works on it here meanwhile. */
    public boolean offeredToPeer;
    /** Came from another daemon, whose peers may hold its key until it is over. */
    public boolean adopted;

    public long attemptSentAtMillis;
    /** Milliseconds of the steady clock at which the last attempt is given up at the latest, 0 where that is not known. */
    public long attemptGiveUpMillis;

    public String attemptEndpoint = "";
    /** Whether the last attempt is that of a former owner, whose process may live. */
    public boolean attemptByFormerOwner;
    /** The notice that ends it, until it is answered; null while the message goes on. */
    public String pendingNotification;
    /** Place in the order of acceptance; its number, unless it went behind others. */
    public long rank;

    public AcceptedMessage(
            long number,
            String id,
            String idempotencyKey,
            String className,
            long key,
            int destination,
            long deadline,
            byte[] body) {
        this(
                number,
                id,
                idempotencyKey,
                className,
                key,
                destination,
                deadline,
                body,
                content(className, key, destination, idempotencyKey, body));
    }

    /** One whose body is gone: {@code content} is of what it was. */
    public AcceptedMessage(
            long number,
            String id,
            String idempotencyKey,
            String className,
            long key,
            int destination,
            long deadline,
            byte[] body,
            int content) {
        this.number = number;
        rank = number;
        this.id = id;
        this.idempotencyKey = idempotencyKey;
        this.className = className;
        this.key = key;
        this.destination = destination;
        this.deadlineMillis = deadline;
        this.body = body;
        this.contentHash = content;
    }

    /** The same for what is the same; never 0. */
    public static int content(String className, long key, int destination, String idempotencyKey, byte[] body) {
        return Objects.hash(className, key, destination, idempotencyKey, Arrays.hashCode(body)) | 1;
    }

    /** Begins an attempt at the endpoint with this uid; both times are milliseconds of the steady clock. */
    public void attempt(String uid, long sentAtMillis, long giveUpMillis) {
        attempts++;
        attemptInFlight = true;
        attemptSentAtMillis = sentAtMillis;
        attemptGiveUpMillis = giveUpMillis;
        attemptEndpoint = uid;
        attemptByFormerOwner = false;
    }

    /** Milliseconds of the steady clock from when on the last attempt is out no longer, if its process lives: at its deadline at the latest. */
    public long attemptEndMillis() {
        return attemptGiveUpMillis == 0 ? deadlineMillis : attemptGiveUpMillis;
    }

    /** What attempts change, to be put back where one could not be recorded. */
    public record Attempts(
            int attempts, boolean out, long sentAt, long giveUpAt, String sentTo, boolean byFormerOwner) {}

    public Attempts attempts() {
        return new Attempts(
                attempts,
                attemptInFlight,
                attemptSentAtMillis,
                attemptGiveUpMillis,
                attemptEndpoint,
                attemptByFormerOwner);
    }

    public void restore(Attempts before) {
        attempts = before.attempts();
        attemptInFlight = before.out();
        attemptSentAtMillis = before.sentAt();
        attemptGiveUpMillis = before.giveUpAt();
        attemptEndpoint = before.sentTo();
        attemptByFormerOwner = before.byFormerOwner();
    }

    public void outcome(boolean mayHaveRun) {
        attemptInFlight = false;
        if (mayHaveRun && unknownOutcomeSinceMillis == 0) {
            unknownOutcomeSinceMillis = attemptSentAtMillis;
            unknownOutcomeEndpoint = attemptEndpoint;
        }
    }

    /** An ended message keeps no body: only its notice is owed. */
    public void end(String line) {
        pendingNotification = line;
        body = EMPTY;
    }

    public String failed() {
        return status("failed").toString();
    }

    /** The advice is in milliseconds, 0 for none. */
    public String returned(long after) {
        JsonObject status = status("returned");
        if (after > 0) {
            status.addProperty("after_ms", after);
        }
        return status.toString();
    }

    private JsonObject status(String state) {
        JsonObject status = new JsonObject();
        status.addProperty("id", id);
        status.addProperty("state", state);
        return status;
    }
}
