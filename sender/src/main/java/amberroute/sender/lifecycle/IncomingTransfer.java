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
 * The side of a process that takes another's place while that one still runs. First it asks for the estate; from then on
 * it owns everything, and the other tells what its calls come to and what its clients still hand in. What is told before
 * {@link #open} waits until then. When the line ends, whatever was still out may have run, and nobody will tell.
 */
public final class IncomingTransfer {
    static final int VERSION = 1;
    private static final long ANSWER_MS = 3_000;

    /** Where news go, on the event loop. */
    public interface Host {
        /** What became of a message's attempt that was out; {@code uid} is empty where nobody can tell. */
        void outcome(long number, String uid, AttemptOutcome ending, JsonObject told);

        /** A client of the other process handed this in. */
        void submitted(ClientServer.Submission submission, ClientServer.Answer answer);

        /** The other process is gone, or says nothing any more. */
        void gone();
    }

    private final EventLoop loop;
    private final Host host;
    private final CompletableFuture<JsonObject> estate = new CompletableFuture<>();
    private final Deque<JsonObject> early = new ArrayDeque<>();
    private final Set<Long> underway = new HashSet<>();
    private final TransferChannel.Endpoint line = new TransferChannel.Endpoint(this::onWord, this::onEnd);
    private boolean opened;
    private boolean ended;

    public IncomingTransfer(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    /** Asks for the estate. Null where nobody gives it: then the folder's lock tells what to do. Not on the loop. */
    public JsonObject take(Path state) throws IOException {
        if (!TransferChannel.connect(loop, state, line)) {
            return null;
        }
        JsonObject word = word("take");
        word.addProperty("v", VERSION);
        word.addProperty("pid", ProcessHandle.current().pid());
        loop.execute(() -> line.say(word));
        try {
            return estate.get(ANSWER_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            loop.execute(line::close);
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }

    /** All that was taken over is in place: news count from now on, and these messages are out over there. */
    public void open(Set<Long> out) {
        underway.addAll(out);
        opened = true;
        while (!early.isEmpty()) {
            act(early.poll());
        }
        if (ended) {
            loseAll();
        }
    }

    /** Whether any call is out from the other process. */
    public boolean busy() {
        return !underway.isEmpty();
    }

    /** Whether a message's call is out from the other process. */
    public boolean has(long number) {
        return underway.contains(number);
    }

    public void close() {
        line.close();
    }

    public void cancel(long number) {
        JsonObject word = word("cancel");
        word.addProperty("number", number);
        line.say(word);
    }

    private void onWord(JsonObject word) {
        String what = word.get("do").getAsString();
        if (what.equals("yours")) {
            estate.complete(word.getAsJsonObject("estate"));
        } else if (what.equals("no")) {
            LogEvent.of("ownership_transfer_refused")
                    .with("side", "successor")
                    .with("reason", word.get("why").getAsString())
                    .warn();
            estate.complete(null);
        } else if (opened) {
            act(word);
        } else {
            early.add(word);
        }
    }

    private void act(JsonObject word) {
        switch (word.get("do").getAsString()) {
            case "outcome" -> {
                long number = word.get("number").getAsLong();
                if (underway.remove(number)) {
                    host.outcome(
                            number,
                            word.get("uid").getAsString(),
                            AttemptOutcome.valueOf(word.get("ending").getAsString()),
                            word);
                }
            }
            case "submit" -> {
                // The time that the message has left went on counting on its way here.
                long passed = (System.nanoTime() - word.get("at").getAsLong()) / 1_000_000;
                host.submitted(
                        new ClientServer.Submission(
                                Long.parseUnsignedLong(word.get("key").getAsString(), 16),
                                word.get("id").getAsString(),
                                word.get("class").getAsString(),
                                Math.max(0, word.get("time_left").getAsLong() - passed),
                                word.get("destination").getAsInt(),
                                word.get("idempotency_key").getAsString(),
                                Base64.getDecoder().decode(word.get("body").getAsString())),
                        new ForwardedAnswer(word.get("asked").getAsLong()));
            }
            default -> LogEvent.of("transfer_command_unknown")
                    .with("side", "successor")
                    .warn();
        }
    }

    private void onEnd() {
        ended = true;
        estate.complete(null);
        LogEvent.of("predecessor_disconnected")
                .with("calls_in_flight", underway.size())
                .warn();
        if (opened) {
            loseAll();
        }
        host.gone();
    }

    private void loseAll() {
        List<Long> lost = new ArrayList<>(underway);
        underway.clear();
        lost.forEach(number -> host.outcome(number, "", AttemptOutcome.RESET, null));
    }

    private static JsonObject word(String what) {
        JsonObject word = new JsonObject();
        word.addProperty("do", what);
        return word;
    }

    /** An answer that goes back over the line. */
    private final class ForwardedAnswer extends ClientServer.Answer {
        private final long asked;

        ForwardedAnswer(long asked) {
            this.asked = asked;
        }

        @Override
        public boolean wanted() {
            return !ended;
        }

        @Override
        public void line(String text) {
            JsonObject word = word("answer");
            word.addProperty("asked", asked);
            word.addProperty("line", text);
            line.say(word);
        }
    }
}
