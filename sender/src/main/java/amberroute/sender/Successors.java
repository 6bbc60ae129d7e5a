package amberroute.sender;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

import io.netty.channel.EventLoop;

/**
 * The side of a process that lets another take its place: it gives everything away in one step and is from then on a
 * mere pair of hands. What its calls come to, and what its clients still hand in, goes over the line; the answers come
 * back. At most {@value #MOST_ASKED} submissions wait there; a further one is refused at once.
 */
final class Successors {
    static final int MOST_ASKED = 2_048;

    /** What giving away means to the sender; called on the event loop. */
    interface Host {
        /** Null if the sender may give itself away now, or why not. */
        String refusal();

        /** Gives all away: from its return on this process owns nothing, and another may take the folder. */
        JsonObject give();

        /** The one that took over wants the call stopped that carries this message. */
        void cancel(long number);

        /** The one that took over is gone, and with it whoever owned the messages. */
        void orphaned();
    }

    private final EventLoop loop;
    private final Host host;
    private final Map<Long, ClientServer.Answer> asked = new HashMap<>();
    private long nextAsked = 1;
    private Succession.Line heir;
    /** Its process id, 0 where it did not tell. */
    private long heirProcess;
    private boolean gone;

    Successors(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    void listen(java.nio.file.Path state) throws IOException {
        Succession.listen(loop, state, () -> {
            Succession.Line[] line = new Succession.Line[1];
            line[0] = new Succession.Line(word -> onWord(line[0], word), () -> onEnd(line[0]));
            return line[0];
        });
    }

    /** Submissions whose answer is still to come. */
    int waiting() {
        return asked.size();
    }

    private void onWord(Succession.Line line, JsonObject word) {
        switch (word.get("do").getAsString()) {
            case "take" -> take(line, word);
            case "cancel" -> {
                if (line == heir) {
                    host.cancel(word.get("number").getAsLong());
                }
            }
            case "answer" -> {
                ClientServer.Answer answer = line == heir ? asked.remove(word.get("asked").getAsLong()) : null;
                if (answer != null) {
                    answer.line(word.get("line").getAsString());
                }
            }
            default -> Log.warn("succession: unknown word");
        }
    }

    private void take(Succession.Line line, JsonObject word) {
        String refusal = heir != null ? "given away already" : word.get("v").getAsInt() != Predecessor.VERSION
                ? "another version of the line" : host.refusal();
        if (refusal != null) {
            JsonObject no = word("no");
            no.addProperty("why", refusal);
            line.say(no);
            Log.warn("succession: turned down a process that asked for the folder: " + refusal);
            return;
        }
        heir = line;
        heirProcess = word.has("pid") ? word.get("pid").getAsLong() : 0;
        JsonObject yours = word("yours");
        yours.add("estate", host.give());
        line.say(yours);
    }

    private void onEnd(Succession.Line line) {
        if (line != heir || gone) {
            return;
        }
        gone = true;
        Log.warn("succession: the line to process " + heirProcess + ", which took over, has ended; " + asked.size()
                + " submissions wait there");
        List<ClientServer.Answer> left = new ArrayList<>(asked.values());
        asked.clear();
        // Whether it took them on nobody can tell now.
        left.forEach(answer -> answer.error("the process that took over is gone"));
        host.orphaned();
    }

    /** Passes a submission on, whose answer follows; false where there is no room or nobody to ask. */
    boolean submit(ClientServer.Submission s, ClientServer.Answer answer) {
        if (gone || asked.size() >= MOST_ASKED || heir.crowded()) {
            return false;
        }
        long number = nextAsked++;
        asked.put(number, answer);
        JsonObject word = word("submit");
        word.addProperty("asked", number);
        word.addProperty("at", System.nanoTime());
        word.addProperty("key", Long.toHexString(s.key()));
        word.addProperty("id", s.id());
        word.addProperty("class", s.className());
        word.addProperty("time_left", s.timeLeft());
        word.addProperty("destination", s.destination());
        word.addProperty("idempotency_key", s.idempotencyKey());
        word.addProperty("body", Base64.getEncoder().encodeToString(s.body()));
        heir.say(word);
        return true;
    }

    void outcome(Receivers.Result r, String uid) {
        JsonObject word = word("outcome");
        word.addProperty("number", r.message().number);
        word.addProperty("uid", uid);
        word.addProperty("ending", r.ending().name());
        word.addProperty("took", r.took());
        word.addProperty("closed", r.closed());
        word.addProperty("wait", r.toldWait());
        word.addProperty("idle", r.idle());
        JsonArray report = new JsonArray();
        r.report().forEach(report::add);
        word.add("report", report);
        heir.say(word);
    }

    private static JsonObject word(String what) {
        JsonObject word = new JsonObject();
        word.addProperty("do", what);
        return word;
    }
}
