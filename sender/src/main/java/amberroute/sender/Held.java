package amberroute.sender;

import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.Objects;

/** A message that this sender has taken on, and what must survive a restart to end it. */
final class Held {
    private static final byte[] EMPTY = new byte[0];

    /** Number in the module and in the journal; grows in the order of acceptance. */
    final long number;

    final String id;
    /** Idempotency key, empty where the class has none. */
    final String idempotencyKey;

    final String className;
    /** Key of the order, 0 for none. */
    final long key;

    final int destination;
    /** Wall time in milliseconds, as it must mean the same after a restart. */
    final long deadline;
    /** Tells messages apart that came under one id; the body itself goes with the end. */
    final int content;

    byte[] body;
    /** Number of the version of its class in the {@link ClassBook}, -1 where only the name is known. */
    int type = -1;

    int attempts;
    /** Wall time at which the first attempt that may have run was sent, 0 where none may have, and where. */
    long doubtSince;

    String doubtAt = "";
    /** Whether an attempt is out; in a message read from the journal, whether one was at the end. */
    boolean out;
    /** Offered to another daemon whose answer is not known: nobody works on it here meanwhile. */
    boolean frozen;
    /** Came from another daemon, whose peers may hold its key until it is over. */
    boolean adopted;

    long sentAt;
    String sentTo = "";
    /** The notice that ends it, until it is answered; null while the message goes on. */
    String notice;
    /** Place in the order of acceptance; its number, unless it went behind others. */
    long rank;

    Held(
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
    Held(
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
        this.deadline = deadline;
        this.body = body;
        this.content = content;
    }

    /** The same for what is the same; never 0. */
    static int content(String className, long key, int destination, String idempotencyKey, byte[] body) {
        return Objects.hash(className, key, destination, idempotencyKey, Arrays.hashCode(body)) | 1;
    }

    void attempt(String uid, long wall) {
        attempts++;
        out = true;
        sentAt = wall;
        sentTo = uid;
    }

    /** What attempts change, to be put back where one could not be recorded. */
    record Attempts(int attempts, boolean out, long sentAt, String sentTo) {}

    Attempts attempts() {
        return new Attempts(attempts, out, sentAt, sentTo);
    }

    void restore(Attempts before) {
        attempts = before.attempts();
        out = before.out();
        sentAt = before.sentAt();
        sentTo = before.sentTo();
    }

    void outcome(boolean mayHaveRun) {
        out = false;
        if (mayHaveRun && doubtSince == 0) {
            doubtSince = sentAt;
            doubtAt = sentTo;
        }
    }

    /** An ended message keeps no body: only its notice is owed. */
    void end(String line) {
        notice = line;
        body = EMPTY;
    }

    String failed() {
        return status("failed").toString();
    }

    /** The advice is in milliseconds, 0 for none. */
    String returned(long after) {
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
