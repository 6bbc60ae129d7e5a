package amberroute.sender.lifecycle;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.client.ClientServer;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The successor's side of a transfer of ownership from a process that still runs. The predecessor first transfers its state; from
 * then on this process owns all messages, and the predecessor forwards the outcomes of its calls and the submissions of its clients.
 * Lines that come before {@link #open} wait until then. When the channel ends, the outcomes of calls in flight stay unknown. Event
 * loop only, but for {@link #request}.
 */
public final class IncomingTransfer {
    static final int VERSION = 1;
    private static final long ANSWER_TIMEOUT_MS = 3_000;

    /** Receives what the predecessor reports, on the event loop. */
    public interface Host {
        /**
         * The outcome of a call in flight; {@code report} is the line, null and {@code uid} empty where the channel has ended and the
         * outcome is unknown.
         */
        void outcome(long number, String uid, AttemptOutcome ending, JsonObject report);

        /** A client of the predecessor submitted this. */
        void submitted(ClientServer.Submission submission, ClientServer.Answer answer);

        /** The channel has ended. */
        void predecessorGone();
    }

    private final EventLoop loop;
    private final Host host;
    private final CompletableFuture<JsonObject> transferredState = new CompletableFuture<>();
    private final Deque<JsonObject> deferredLines = new ArrayDeque<>();
    private final Set<Long> callsInFlight = new HashSet<>();
    private final TransferChannel.Endpoint channel = new TransferChannel.Endpoint(this::onLine, this::onDisconnected);
    private boolean opened;
    private boolean disconnected;

    /** Connects to no predecessor before {@link #request}. */
    public IncomingTransfer(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    /**
     * Requests the transfer and waits for the state. Not on the event loop.
     *
     * @return the state, null where no process transfers it: then the lock of the folder says whether one owns it
     * @throws IOException if the thread is interrupted
     */
    public JsonObject request(Path state) throws IOException {
        if (!TransferChannel.connect(loop, state, channel)) {
            return null;
        }
        JsonObject command = command("take");
        command.addProperty("v", VERSION);
        command.addProperty("pid", ProcessHandle.current().pid());
        loop.execute(() -> channel.send(command));
        try {
            return transferredState.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            loop.execute(channel::close);
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }

    /** The state is in place: lines count from now on, and the predecessor has calls with these messages in flight. */
    public void open(Set<Long> numbers) {
        callsInFlight.addAll(numbers);
        opened = true;
        while (!deferredLines.isEmpty()) {
            carryOut(deferredLines.poll());
        }
        if (disconnected) {
            abandonCalls();
        }
    }

    /** Whether the predecessor has any call in flight. */
    public boolean hasCallsInFlight() {
        return !callsInFlight.isEmpty();
    }

    /** Whether the predecessor has a call with this message in flight. */
    public boolean callInFlight(long number) {
        return callsInFlight.contains(number);
    }

    /** Closes the channel. */
    public void close() {
        channel.close();
    }

    /** Asks the predecessor to cancel the call with this message. */
    public void cancel(long number) {
        JsonObject command = command("cancel");
        command.addProperty("number", number);
        channel.send(command);
    }

    private void onLine(JsonObject command) {
        String name = command.get("do").getAsString();
        if (name.equals("yours")) {
            transferredState.complete(command.getAsJsonObject("estate"));
        } else if (name.equals("no")) {
            LogEvent.of("ownership_transfer_refused")
                    .with("side", "successor")
                    .with("reason", command.get("why").getAsString())
                    .warn();
            transferredState.complete(null);
        } else if (opened) {
            carryOut(command);
        } else {
            deferredLines.add(command);
        }
    }

    private void carryOut(JsonObject command) {
        switch (command.get("do").getAsString()) {
            case "outcome" -> {
                long number = command.get("number").getAsLong();
                if (callsInFlight.remove(number)) {
                    host.outcome(
                            number,
                            command.get("uid").getAsString(),
                            AttemptOutcome.valueOf(command.get("ending").getAsString()),
                            command);
                }
            }
            case "submit" -> {
                // The deadline came closer while the submission was on its way.
                long passedMillis = (System.nanoTime() - command.get("at").getAsLong()) / 1_000_000;
                host.submitted(
                        new ClientServer.Submission(
                                Long.parseUnsignedLong(command.get("key").getAsString(), 16),
                                command.get("id").getAsString(),
                                command.get("class").getAsString(),
                                Math.max(0, command.get("time_left").getAsLong() - passedMillis),
                                command.get("destination").getAsInt(),
                                command.get("idempotency_key").getAsString(),
                                Base64.getDecoder().decode(command.get("body").getAsString())),
                        new ForwardedAnswer(command.get("asked").getAsLong()));
            }
            default -> LogEvent.of("transfer_command_unknown")
                    .with("side", "successor")
                    .warn();
        }
    }

    private void onDisconnected() {
        disconnected = true;
        transferredState.complete(null);
        LogEvent.of("predecessor_disconnected")
                .with("calls_in_flight", callsInFlight.size())
                .warn();
        if (opened) {
            abandonCalls();
        }
        host.predecessorGone();
    }

    private void abandonCalls() {
        List<Long> lost = new ArrayList<>(callsInFlight);
        callsInFlight.clear();
        lost.forEach(number -> host.outcome(number, "", AttemptOutcome.RESET, null));
    }

    private static JsonObject command(String name) {
        JsonObject command = new JsonObject();
        command.addProperty("do", name);
        return command;
    }

    /** An answer to a client of the predecessor. */
    private final class ForwardedAnswer extends ClientServer.Answer {
        private final long submission;

        ForwardedAnswer(long submission) {
            this.submission = submission;
        }

        @Override
        public boolean isClientConnected() {
            return !disconnected;
        }

        @Override
        public void send(String text) {
            JsonObject command = command("answer");
            command.addProperty("asked", submission);
            command.addProperty("line", text);
            channel.send(command);
        }
    }
}
