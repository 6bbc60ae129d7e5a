package amberroute.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;

/** Answers requests on the fleet's control socket; each answer has the fleet's status. Used by the supervisor's thread only. */
final class FleetRequestHandler {
    /** Values of a daemon's own status that are passed on. */
    private static final List<String> DAEMON_VALUES = List.of("held", "notices", "calls", "clients");

    private final FleetDefinition definition;
    private final SupervisionPolicy policy;
    private final List<ManagedDaemon> daemons;
    private final FleetStateFiles stateFiles;
    private final LongSupplier clockMillis;

    FleetRequestHandler(
            FleetDefinition definition,
            SupervisionPolicy policy,
            List<ManagedDaemon> daemons,
            FleetStateFiles stateFiles,
            LongSupplier clockMillis) {
        this.definition = definition;
        this.policy = policy;
        this.daemons = daemons;
        this.stateFiles = stateFiles;
        this.clockMillis = clockMillis;
    }

    /** Carries out one request line and returns the answer line. */
    String handle(String line) {
        String error;
        try {
            error = execute(JsonParser.parseString(line).getAsJsonObject());
        } catch (RuntimeException e) {
            error = "no request that can be read";
        }
        JsonObject answer = new JsonObject();
        answer.addProperty("ok", error == null);
        if (error != null) {
            answer.addProperty("error", error);
        }
        addStatus(answer);
        return answer.toString();
    }

    /** Null where the request was carried out, else why not. */
    private String execute(JsonObject request) {
        long now = clockMillis.getAsLong();
        return switch (request.get("do").getAsString()) {
            case "status" -> null;
            case "restart" -> policy.restart(now, names(request));
            case "reload" -> policy.reload(now);
            case "scale" -> scale(now, request.get("to").getAsInt());
            case "stop" -> policy.stop(
                    now,
                    request.has("final") && request.get("final").getAsBoolean()
                            ? SupervisionPolicy.Mode.FINAL
                            : SupervisionPolicy.Mode.RESTART);
            default -> "no such command";
        };
    }

    private static List<String> names(JsonObject request) {
        List<String> names = new ArrayList<>();
        if (request.has("names")) {
            request.getAsJsonArray("names").forEach(name -> names.add(name.getAsString()));
        }
        return names;
    }

    /** The number is on disk before anything is done for it, so that the successor of a killed supervisor goes on with it. */
    private String scale(long now, int wanted) {
        String rejection = policy.scaleRejection(wanted);
        if (rejection != null) {
            return rejection;
        }
        try {
            stateFiles.writeScale(wanted);
        } catch (IOException e) {
            return "the number cannot be kept: " + e;
        }
        policy.scale(now, wanted);
        return null;
    }

    private void addStatus(JsonObject answer) {
        answer.addProperty("fleet", definition.name());
        answer.addProperty("ready", policy.allReady());
        answer.addProperty("stopping", policy.stopping());
        answer.addProperty("rolling", policy.rollingRestartStatus());
        answer.addProperty("wanted", policy.wanted());
        answer.addProperty("scaled", policy.scaleReached());
        JsonArray statuses = new JsonArray();
        for (int i = 0; i < daemons.size(); i++) {
            statuses.add(daemonStatus(i));
        }
        answer.add("daemons", statuses);
    }

    private JsonObject daemonStatus(int index) {
        ManagedDaemon daemon = daemons.get(index);
        JsonObject status = new JsonObject();
        status.addProperty("name", daemon.instance.name());
        status.addProperty("state", policy.state(index).name().toLowerCase(Locale.ROOT));
        status.addProperty("for_ms", policy.stateAgeMillis(clockMillis.getAsLong(), index));
        status.addProperty("pid", daemon.pid());
        status.addProperty("starts", policy.startCount(index));
        status.addProperty("listen", daemon.instance.listen());
        JsonObject reported = daemon.control.lastStatus();
        if (reported != null) {
            for (String key : DAEMON_VALUES) {
                if (reported.has(key)) {
                    status.add(key, reported.get(key));
                }
            }
        }
        return status;
    }
}
