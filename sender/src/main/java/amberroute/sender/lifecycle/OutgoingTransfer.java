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
 * The predecessor's side of a transfer of ownership. It transfers its state in one step; from then on it only ends its calls and
 * forwards their outcomes and the submissions of its clients, whose answers come back. At most {@value #MAX_UNANSWERED} submissions
 * wait for an answer; a further one is rejected at once. When the successor is gone, what it was sent and has perhaps not processed is
 * available from {@link #takeBack}. Event loop only, but for {@link #listen}.
 */
public final class OutgoingTransfer {
    static final int MAX_UNANSWERED = 2_048;

    /** What a transfer means to the sender; called on the event loop. */
    public interface Host {
        /** Why the ownership cannot be transferred now, null where it can. */
        String rejectionReason();

        /** Releases the ownership and returns the state: when this returns, the successor may lock the state folder. */
        JsonObject releaseOwnership();

        /** The successor cancels the call with this message. */
        void cancel(long number);

        /** The successor, and with it the owner of the messages, is gone. */
        void successorGone();
    }

    /** A submission without an answer, and when it was forwarded, in nanoseconds of the monotonic clock. */
    private record ForwardedSubmission(
            ClientServer.Submission submission, ClientServer.Answer answer, long forwardedAtNanos) {}

    /** What the successor was sent; the journal says which part of it the successor has processed. */
    public record UnacknowledgedWork(List<UpstreamClient.Result> outcomes, List<Resubmission> submissions) {}

    /** A submission with the time left now. */
    public record Resubmission(ClientServer.Submission submission, ClientServer.Answer answer) {}

    private final EventLoop loop;
    private final Host host;
    private Channel server;
    private final Map<Long, ForwardedSubmission> unanswered = new LinkedHashMap<>();
    /** Outcomes that the successor was sent; at most one for each call in flight at the transfer. */
    private final List<UpstreamClient.Result> forwardedOutcomes = new ArrayList<>();

    private long nextSubmission = 1;
    private TransferChannel.Endpoint successor;
    /** The process id of the successor, 0 where it is unknown. */
    private long successorProcess;

    private boolean successorGone;
    /** Whether no process will answer submissions. */
    private boolean abandoned;

    /** Listens to no successor before {@link #listen}. */
    public OutgoingTransfer(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    /** Listens for a successor, also anew; the lock of the folder has to be held. Not on the event loop. */
    public void listen(Path state) throws IOException {
        if (server != null) {
            server.close().awaitUninterruptibly();
        }
        server = TransferChannel.listen(loop, state, () -> {
            TransferChannel.Endpoint[] channel = new TransferChannel.Endpoint[1];
            channel[0] = new TransferChannel.Endpoint(
                    command -> onLine(channel[0], command), () -> onDisconnected(channel[0]));
            return channel[0];
        });
    }

    /** Closes the listener because this process ends; the end of the channel does not count as the end of the successor. */
    public void close() {
        successorGone = true;
        if (server != null) {
            server.close();
        }
    }

    /** The number of submissions without an answer. */
    public int unansweredSubmissions() {
        return unanswered.size();
    }

    private void onLine(TransferChannel.Endpoint channel, JsonObject command) {
        switch (command.get("do").getAsString()) {
            case "take" -> transfer(channel, command);
            case "cancel" -> {
                if (channel == successor) {
                    host.cancel(command.get("number").getAsLong());
                }
            }
            case "answer" -> {
                ForwardedSubmission answered = channel == successor
                        ? unanswered.remove(command.get("asked").getAsLong())
                        : null;
                if (answered != null) {
                    answered.answer().send(command.get("line").getAsString());
                }
            }
            default -> LogEvent.of("transfer_command_unknown")
                    .with("side", "predecessor")
                    .warn();
        }
    }

    private void transfer(TransferChannel.Endpoint channel, JsonObject command) {
        String refusal = successor != null
                ? "given away already"
                : command.get("v").getAsInt() != IncomingTransfer.VERSION
                        ? "another version of the line"
                        : host.rejectionReason();
        if (refusal != null) {
            JsonObject answer = command("no");
            answer.addProperty("why", refusal);
            channel.send(answer);
            LogEvent.of("ownership_transfer_refused")
                    .with("side", "predecessor")
                    .with("reason", refusal)
                    .warn();
            return;
        }
        successor = channel;
        successorProcess = command.has("pid") ? command.get("pid").getAsLong() : 0;
        JsonObject answer = command("yours");
        answer.add("estate", host.releaseOwnership());
        channel.send(answer);
    }

    private void onDisconnected(TransferChannel.Endpoint channel) {
        if (channel != successor || successorGone) {
            return;
        }
        successorGone = true;
        LogEvent.of("successor_disconnected")
                .with("process", successorProcess)
                .with("unanswered_submissions", unanswered.size())
                .warn();
        host.successorGone();
    }

    /** Another process owns the folder and has no channel to this one: whether it accepted the submissions is unknown. */
    public void abandon() {
        abandoned = true;
        List<ForwardedSubmission> remaining = List.copyOf(unanswered.values());
        unanswered.clear();
        remaining.forEach(forwarded -> forwarded.answer().error("the process that took over is gone"));
    }

    /** This process owns the folder again, and the next successor may request it. Returns what the last one was sent. */
    public UnacknowledgedWork takeBack() {
        UnacknowledgedWork unacknowledged = new UnacknowledgedWork(
                List.copyOf(forwardedOutcomes),
                unanswered.values().stream().map(OutgoingTransfer::resubmission).toList());
        forwardedOutcomes.clear();
        unanswered.clear();
        successor = null;
        successorGone = false;
        abandoned = false;
        return unacknowledged;
    }

    private static Resubmission resubmission(ForwardedSubmission forwarded) {
        long passedMillis = (System.nanoTime() - forwarded.forwardedAtNanos()) / 1_000_000;
        return new Resubmission(forwarded.submission().after(passedMillis), forwarded.answer());
    }

    /** Forwards a submission, whose answer follows; false where too many are unanswered or the successor is gone. */
    public boolean forwardSubmission(ClientServer.Submission submission, ClientServer.Answer answer) {
        if (abandoned || unanswered.size() >= MAX_UNANSWERED || !successorGone && successor.congested()) {
            return false;
        }
        long number = nextSubmission++;
        long nowNanos = System.nanoTime();
        unanswered.put(number, new ForwardedSubmission(submission, answer, nowNanos));
        JsonObject command = command("submit");
        command.addProperty("asked", number);
        command.addProperty("at", nowNanos);
        command.addProperty("key", Long.toHexString(submission.key()));
        command.addProperty("id", submission.id());
        command.addProperty("class", submission.className());
        command.addProperty("time_left", submission.timeLeftMillis());
        command.addProperty("destination", submission.destination());
        command.addProperty("idempotency_key", submission.idempotencyKey());
        command.addProperty("body", Base64.getEncoder().encodeToString(submission.body()));
        successor.send(command);
        return true;
    }

    /** Sends the outcome of a call to the successor; {@code uid} is the one of its endpoint. */
    public void forwardOutcome(UpstreamClient.Result result, String uid) {
        forwardedOutcomes.add(result);
        JsonObject command = command("outcome");
        command.addProperty("number", result.message().number);
        command.addProperty("uid", uid);
        command.addProperty("ending", result.outcome().name());
        command.addProperty("took", result.durationMicros());
        command.addProperty("closed", result.messageCompleted());
        command.addProperty("wait", result.retryAfterMicros());
        command.addProperty("idle", result.connectionIdleMicros());
        JsonArray report = new JsonArray();
        result.loadReport().forEach(report::add);
        command.add("report", report);
        successor.send(command);
    }

    private static JsonObject command(String name) {
        JsonObject command = new JsonObject();
        command.addProperty("do", name);
        return command;
    }
}
