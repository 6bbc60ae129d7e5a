package amberroute.sender.admin;

import amberroute.decisions.settings.InvalidSettingsException;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Carries out the commands of the control socket. Commands that read files run on a thread of their own, one at a time; all others on
 * the event loop. The JSON keys are part of the operators' interface and do not change between versions.
 */
public final class ControlCommands {
    private static final long LONGEST_STOP_MS = 3_600_000;
    private static final String NOT_REPLICATED = "nothing is copied: survival.on is not set";

    /** What the sender does for the commands; on the event loop unless it says otherwise. */
    public interface Host {
        /** The answer to {@code status}. */
        JsonObject status();

        /** Whether the sender has a configuration that can be read again. */
        boolean canReload();

        /** Reads the configuration again; null, or why it is not taken. Not on the event loop. */
        String reload();

        /** Whether the sender serves. */
        boolean serving();

        /**
         * Takes over the messages of an orphaned state folder, whose process is fenced where that is stated. Not on the event loop.
         *
         * @throws IOException if that failed
         */
        AdoptedMessages adopt(Path folder, boolean fenced) throws IOException;

        /** How long a stop may take where the command does not say, in milliseconds. */
        long defaultStopMillis();

        /** Whether messages may be handed over to peers. */
        boolean handsOver();

        /** Names the peers that are absent. */
        void absentPeers(Set<String> names);

        /** Begins a stop. */
        void stop(ShutdownMode mode, long withinMillis);

        /** Whether journals are replicated between daemons. */
        boolean replicated();

        /** The replicas that are stored here; only where {@link #replicated}. */
        JsonArray replicas();

        /** Continues the journal of another daemon here; null, or why not. */
        String takeReplica(String origin);

        /** Ends to continue the journal of another daemon here; null, or why not. */
        String releaseReplica(String origin);

        /** What daemons report of their load, null where they do not. */
        JsonObject load();
    }

    /** How many messages were taken over, and how many of them by an earlier, interrupted adoption. */
    public record AdoptedMessages(int adopted, int adoptedBefore) {}

    private final EventLoop loop;
    private final Host host;
    /** Whether a command runs that reads files. */
    private boolean busy;

    /** Commands that read files return to this event loop with their result. */
    public ControlCommands(EventLoop loop, Host host) {
        this.loop = loop;
        this.host = host;
    }

    /** Carries out a command and answers it, now or later, on any thread. */
    public void handle(JsonObject request, Consumer<JsonObject> answer) {
        String command = request.has("do") && request.get("do").isJsonPrimitive()
                ? request.get("do").getAsString()
                : "";
        switch (command) {
            case "status" -> answer.accept(host.status());
            case "stop" -> answer.accept(stop(request));
            case "reload" -> reload(answer);
            case "adopt" -> adopt(request, answer);
            case "estates" -> answer.accept(replicas());
            case "overload" -> answer.accept(load());
            case "take", "release" -> answer.accept(moveReplica(command, request));
            default -> answer.accept(ControlSocket.answer(false, "no such command"));
        }
    }

    private JsonObject stop(JsonObject request) {
        try {
            ShutdownMode mode = stopMode(request.get("mode").getAsString());
            long withinMillis =
                    request.has("within_ms") ? request.get("within_ms").getAsLong() : host.defaultStopMillis();
            if (host.handsOver() && request.has("absent")) {
                Set<String> names = new HashSet<>();
                request.getAsJsonArray("absent").forEach(name -> names.add(name.getAsString()));
                host.absentPeers(names);
            }
            host.stop(mode, Math.max(0, Math.min(withinMillis, LONGEST_STOP_MS)));
            return ControlSocket.answer(true, null);
        } catch (RuntimeException e) {
            return ControlSocket.answer(false, "stop needs a mode, restart, move or final, and a number within_ms");
        }
    }

    private static ShutdownMode stopMode(String name) {
        return switch (name) {
            case "restart" -> ShutdownMode.RESTART;
            case "final" -> ShutdownMode.FINAL;
            case "move" -> ShutdownMode.MOVE;
            default -> throw new IllegalArgumentException("mode is restart, move or final");
        };
    }

    private void reload(Consumer<JsonObject> answer) {
        if (busy || !host.canReload()) {
            answer.accept(ControlSocket.answer(false, busy ? "a reload is under way" : "nothing to read again yet"));
            return;
        }
        runBeside("reload", answer, () -> {
            String error = host.reload();
            return ControlSocket.answer(error == null, error);
        });
    }

    private void adopt(JsonObject request, Consumer<JsonObject> answer) {
        if (busy || !host.serving()) {
            answer.accept(ControlSocket.answer(false, busy ? "a reload or an adoption is under way" : "not serving"));
            return;
        }
        runBeside("adopt", answer, () -> adopted(request));
    }

    private JsonObject adopted(JsonObject request) {
        try {
            AdoptedMessages adopted = host.adopt(
                    Path.of(request.get("folder").getAsString()),
                    request.has("fence") && request.get("fence").getAsBoolean());
            JsonObject answer = ControlSocket.answer(true, null);
            answer.addProperty("adopted", adopted.adopted());
            answer.addProperty("adopted_before", adopted.adoptedBefore());
            return answer;
        } catch (InvalidSettingsException | IOException e) {
            return ControlSocket.answer(false, e.getMessage());
        } catch (RuntimeException e) {
            return ControlSocket.answer(false, "adopt needs a folder: " + e);
        }
    }

    private void runBeside(String name, Consumer<JsonObject> answer, Supplier<JsonObject> command) {
        busy = true;
        Runnable run = () -> {
            JsonObject result = command.get();
            loop.execute(() -> busy = false);
            answer.accept(result);
        };
        new Thread(run, name).start();
    }

    private JsonObject replicas() {
        if (!host.replicated()) {
            return ControlSocket.answer(false, NOT_REPLICATED);
        }
        JsonObject answer = ControlSocket.answer(true, null);
        answer.add("estates", host.replicas());
        return answer;
    }

    private JsonObject load() {
        JsonObject load = host.load();
        return load == null
                ? ControlSocket.answer(false, "daemons tell nothing of their load: fleet.overload is not set")
                : load;
    }

    private JsonObject moveReplica(String command, JsonObject request) {
        String error;
        if (!host.replicated()) {
            error = NOT_REPLICATED;
        } else if (!request.has("estate")) {
            error = command + " needs an estate";
        } else {
            String origin = request.get("estate").getAsString();
            error = command.equals("take") ? host.takeReplica(origin) : host.releaseReplica(origin);
        }
        return ControlSocket.answer(error == null, error);
    }
}
