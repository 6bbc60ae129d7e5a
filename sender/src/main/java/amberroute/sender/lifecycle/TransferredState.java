package amberroute.sender.lifecycle;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;

/**
 * The state that a process transfers to its successor, beside its journal. Endpoints go by their uids, as each process numbers them
 * itself. Does no I/O. The keys of the JSON form do not change between versions.
 *
 * @param atNanos when the state was taken, on the system's monotonic clock, which all processes of a machine read alike
 * @param endpointList the endpoint list as the endpoint watch writes it
 * @param callsInFlight the calls whose outcomes the predecessor reports later
 * @param snapshots the state of each upstream
 * @param pausedKeys ordered keys that wait after an unknown outcome
 */
public record TransferredState(
        long atNanos,
        JsonObject endpointList,
        List<CallInFlight> callsInFlight,
        List<DeliveryScheduler.UpstreamSnapshot> snapshots,
        List<DeliveryScheduler.KeyPause> pausedKeys) {
    /** A call in flight with the numbers of its messages, sent so many microseconds before {@link #atNanos}. */
    public record CallInFlight(List<Long> numbers, String uid, long sentAgoMicros) {}

    /** The JSON form; {@code endpointUids} gives the uid of an endpoint's number. */
    public JsonObject write(LongFunction<String> endpointUids) {
        JsonObject json = new JsonObject();
        json.addProperty("at", atNanos);
        json.add("list", endpointList);
        JsonArray calls = new JsonArray();
        for (CallInFlight call : callsInFlight) {
            JsonObject item = new JsonObject();
            JsonArray numbers = new JsonArray();
            call.numbers().forEach(numbers::add);
            item.add("numbers", numbers);
            item.addProperty("uid", call.uid());
            item.addProperty("sent_ago", call.sentAgoMicros());
            calls.add(item);
        }
        json.add("out", calls);
        JsonArray snapshotArray = new JsonArray();
        for (DeliveryScheduler.UpstreamSnapshot snapshot : snapshots) {
            snapshotArray.add(write(
                    snapshot,
                    snapshot.checkpoint().endpoint() == 0
                            ? ""
                            : endpointUids.apply(snapshot.checkpoint().endpoint())));
        }
        json.add("learned", snapshotArray);
        JsonArray pauseArray = new JsonArray();
        for (DeliveryScheduler.KeyPause pause : pausedKeys) {
            JsonArray item = new JsonArray();
            item.add(Long.toHexString(pause.key()));
            item.add(pause.remainingMicros());
            item.add(pause.exemptMessage());
            pauseArray.add(item);
        }
        json.add("rests", pauseArray);
        return json;
    }

    /**
     * Reads the JSON form; {@code endpointNumbers} gives the number of an endpoint's uid.
     *
     * @throws RuntimeException if it cannot be read
     */
    public static TransferredState read(JsonObject json, ToLongFunction<String> endpointNumbers) {
        List<CallInFlight> calls = new ArrayList<>();
        for (JsonElement item : json.getAsJsonArray("out")) {
            JsonObject call = item.getAsJsonObject();
            List<Long> messages = new ArrayList<>();
            call.getAsJsonArray("numbers").forEach(n -> messages.add(n.getAsLong()));
            calls.add(new CallInFlight(
                    messages,
                    call.get("uid").getAsString(),
                    call.get("sent_ago").getAsLong()));
        }
        List<DeliveryScheduler.UpstreamSnapshot> snapshots = new ArrayList<>();
        json.getAsJsonArray("learned")
                .forEach(item -> snapshots.add(snapshot(item.getAsJsonObject(), endpointNumbers)));
        List<DeliveryScheduler.KeyPause> pauses = new ArrayList<>();
        for (JsonElement item : json.getAsJsonArray("rests")) {
            JsonArray pause = item.getAsJsonArray();
            pauses.add(new DeliveryScheduler.KeyPause(
                    Long.parseUnsignedLong(pause.get(0).getAsString(), 16),
                    pause.get(1).getAsLong(),
                    pause.get(2).getAsLong()));
        }
        return new TransferredState(json.get("at").getAsLong(), json.getAsJsonObject("list"), calls, snapshots, pauses);
    }

    private static JsonObject write(DeliveryScheduler.UpstreamSnapshot snapshot, String uid) {
        DeliveryScheduler.HealthCheckpoint checkpoint = snapshot.checkpoint();
        JsonObject json = new JsonObject();
        json.addProperty("destination", checkpoint.destination());
        json.addProperty("uid", uid);
        json.addProperty("health", checkpoint.status().storedName());
        json.addProperty("since", checkpoint.sinceMicros());
        json.addProperty("former_pace", checkpoint.callsPerSecond());
        json.addProperty("usual", checkpoint.usualLatencyMicros());
        json.addProperty("wait_left", snapshot.retryAfterMicros());
        json.addProperty("backoff_left", snapshot.backoffMicros());
        // JSON has no infinity, which stands for no limit.
        json.addProperty("pace", Double.isInfinite(snapshot.pacePerSecond()) ? -1 : snapshot.pacePerSecond());
        json.addProperty("refused_ago", snapshot.sinceRejectionMicros());
        json.addProperty("ok_ago", snapshot.sinceSuccessMicros());
        json.addProperty("present", snapshot.presentLatencyMicros());
        json.addProperty("p", snapshot.expectedServiceMicros());
        json.addProperty("odds", snapshot.successProbability());
        json.addProperty("sent", snapshot.sentPerSecond());
        json.addProperty("served", snapshot.servedPerSecond());
        json.addProperty("weight", snapshot.reportedLimit());
        json.addProperty("harm", snapshot.failureRatio());
        return json;
    }

    private static DeliveryScheduler.UpstreamSnapshot snapshot(
            JsonObject json, ToLongFunction<String> endpointNumbers) {
        String uid = json.get("uid").getAsString();
        double pace = json.get("pace").getAsDouble();
        return new DeliveryScheduler.UpstreamSnapshot(
                new DeliveryScheduler.HealthCheckpoint(
                        json.get("destination").getAsInt(),
                        uid.isEmpty() ? 0 : endpointNumbers.applyAsLong(uid),
                        UpstreamStatus.ofStoredName(json.get("health").getAsString()),
                        json.get("since").getAsLong(),
                        json.get("former_pace").getAsDouble(),
                        json.get("usual").getAsDouble()),
                json.get("wait_left").getAsLong(),
                json.get("backoff_left").getAsLong(),
                pace < 0 ? Double.POSITIVE_INFINITY : pace,
                json.get("refused_ago").getAsLong(),
                json.get("ok_ago").getAsLong(),
                json.get("present").getAsDouble(),
                json.get("p").getAsDouble(),
                json.get("odds").getAsDouble(),
                json.get("sent").getAsDouble(),
                json.get("served").getAsDouble(),
                json.get("weight").getAsDouble(),
                json.get("harm").getAsDouble());
    }
}
