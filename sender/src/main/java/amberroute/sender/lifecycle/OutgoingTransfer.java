package amberroute.sender.lifecycle;

import amberroute.sender.client.ClientServer;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The side of a process that lets another take its place: it gives everything away in one step and then only carries out what
 * the successor asks. What its calls come to, and what its clients still hand in, goes over the line; the answers come back. At
 * most {@value #MOST_ASKED} submissions wait there; a further one is refused at once. When the successor dies, what was told to
 * it and what was asked of it is still here, for whoever owns the folder next in this process ({@link #takeBack}).
 */
public final class OutgoingTransfer {
    static final int MOST_ASKED = 2_048;

    /** What giving away means to the sender; called on the event loop. */
    public interface Host {
        /** Null if the sender may give itself away now, or why not. */
        String refusal();

        /** Gives all away: from its return on this process owns nothing, and another may take the folder. */
        JsonObject give();

        /** The one that took over wants the call stopped that carries this message. */
        void cancel(long number);

        /** The one that took over is gone, and with it whoever owned the messages. */
        void orphaned();
    }

    /** A submission whose answer is still to come, and when it was passed on, in nanoseconds of the monotonic clock. */
    private record ForwardedSubmission(ClientServer.Submission submission, ClientServer.Answer answer, long at) {}

    /** What the successor was told and asked; it may have acted on any part of it, which only the journal tells. */
    public record UnacknowledgedWork(List<UpstreamClient.Result> outcomes, List<Resubmission> submissions) {}

    /** A submission with the time that it has left now. */
    public record Resubmission(ClientServer.Submission submission, ClientServer.Answer answer) {}

    private final EventLoop loop;
    private final Host host;
    private Channel server;
    private final Map<Long, ForwardedSubmission> asked = new LinkedHashMap<>();
    /** Outcomes that the successor was told; at most one for each call that was out when it took over. */
    private final List<UpstreamClient.Result> told = new ArrayList<>();

    private long nextAsked = 1;
    private TransferChannel.Endpoint successor;
    /** Its process id, 0 where it did not tell. */
    private long successorProcess;

    private boolean gone;
    /** Nobody will answer what is asked here. */
    private boolean abandoned;

    public OutgoingTransfer(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    /** Listens, also where another process did meanwhile; the folder's lock has to be held. Not on the event loop. */
    public void listen(Path state) throws IOException {
        if (server != null) {
            server.close().awaitUninterruptibly();
        }
        server = TransferChannel.listen(loop, state, () -> {
            TransferChannel.Endpoint[] line = new TransferChannel.Endpoint[1];
            line[0] = new TransferChannel.Endpoint(word -> onWord(line[0], word), () -> onEnd(line[0]));
            return line[0];
        });
    }

    /** This process ends: that its line to the successor ends with it says nothing of the successor. */
    public void close() {
        gone = true;
        if (server != null) {
            server.close();
        }
    }

    /** Submissions whose answer is still to come. */
    public int waiting() {
        return asked.size();
    }

    private void onWord(TransferChannel.Endpoint line, JsonObject word) {
        switch (word.get("do").getAsString()) {
            case "take" -> take(line, word);
            case "cancel" -> {
                if (line == successor) {
                    host.cancel(word.get("number").getAsLong());
                }
            }
            case "answer" -> {
                ForwardedSubmission answered =
                        line == successor ? asked.remove(word.get("asked").getAsLong()) : null;
                if (answered != null) {
                    answered.answer().line(word.get("line").getAsString());
                }
            }
            default -> LogEvent.of("transfer_command_unknown")
                    .with("side", "predecessor")
                    .warn();
        }
    }

    private void take(TransferChannel.Endpoint line, JsonObject word) {
        String refusal = successor != null
                ? "given away already"
                : word.get("v").getAsInt() != IncomingTransfer.VERSION ? "another version of the line" : host.refusal();
        if (refusal != null) {
            JsonObject no = word("no");
            no.addProperty("why", refusal);
            line.say(no);
            LogEvent.of("ownership_transfer_refused")
                    .with("side", "predecessor")
                    .with("reason", refusal)
                    .warn();
            return;
        }
        successor = line;
        successorProcess = word.has("pid") ? word.get("pid").getAsLong() : 0;
        JsonObject yours = word("yours");
        yours.add("estate", host.give());
        line.say(yours);
    }

    private void onEnd(TransferChannel.Endpoint line) {
        if (line != successor || gone) {
            return;
        }
        gone = true;
        LogEvent.of("successor_disconnected")
                .with("process", successorProcess)
                .with("unanswered_submissions", asked.size())
                .warn();
        host.orphaned();
    }

    /** Another process owns the folder and does not know this one: whether it took them on nobody can tell here. */
    public void abandon() {
        abandoned = true;
        List<ForwardedSubmission> left = List.copyOf(asked.values());
        asked.clear();
        left.forEach(one -> one.answer().error("the process that took over is gone"));
    }

    /** This process owns the folder again, and another may ask for it. */
    public UnacknowledgedWork takeBack() {
        UnacknowledgedWork unsettled = new UnacknowledgedWork(
                List.copyOf(told),
                asked.values().stream().map(OutgoingTransfer::again).toList());
        told.clear();
        asked.clear();
        successor = null;
        gone = false;
        abandoned = false;
        return unsettled;
    }

    private static Resubmission again(ForwardedSubmission one) {
        long passed = (System.nanoTime() - one.at()) / 1_000_000;
        return new Resubmission(one.submission().after(passed), one.answer());
    }

    /** Passes a submission on, whose answer follows; false where there is no room or nobody to ask. */
    public boolean submit(ClientServer.Submission s, ClientServer.Answer answer) {
        if (abandoned || asked.size() >= MOST_ASKED || !gone && successor.crowded()) {
            return false;
        }
        long number = nextAsked++;
        long now = System.nanoTime();
        asked.put(number, new ForwardedSubmission(s, answer, now));
        JsonObject word = word("submit");
        word.addProperty("asked", number);
        word.addProperty("at", now);
        word.addProperty("key", Long.toHexString(s.key()));
        word.addProperty("id", s.id());
        word.addProperty("class", s.className());
        word.addProperty("time_left", s.timeLeft());
        word.addProperty("destination", s.destination());
        word.addProperty("idempotency_key", s.idempotencyKey());
        word.addProperty("body", Base64.getEncoder().encodeToString(s.body()));
        successor.say(word);
        return true;
    }

    public void outcome(UpstreamClient.Result r, String uid) {
        told.add(r);
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
        successor.say(word);
    }

    private static JsonObject word(String what) {
        JsonObject word = new JsonObject();
        word.addProperty("do", what);
        return word;
    }
}
