package amberroute.sender.lifecycle;

import amberroute.decisions.DeliveryScheduler;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;

/**
 * What a process passes on, beside its journal, to the one that takes its place: the list of receivers, the calls it
 * still has out, and what was learned. Receivers go by their uids, as each process numbers them itself; {@code at} is the
 * system's monotonic clock in nanoseconds, which all processes of a machine read alike. Does no I/O.
 */
public record TransferredState(
        long at,
        JsonObject list,
        List<CallInFlight> out,
        List<DeliveryScheduler.UpstreamSnapshot> learned,
        List<DeliveryScheduler.KeyPause> rests) {
    /** A call that is out, with the numbers of its messages; {@code sentAgo} in microseconds at {@link #at}. */
    public record CallInFlight(List<Long> numbers, String uid, long sentAgo) {}

    public JsonObject write(LongFunction<String> uids) {
        JsonObject json = new JsonObject();
        json.addProperty("at", at);
        json.add("list", list);
        JsonArray calls = new JsonArray();
        for (CallInFlight call : out) {
            JsonObject one = new JsonObject();
            JsonArray numbers = new JsonArray();
            call.numbers().forEach(numbers::add);
            one.add("numbers", numbers);
            one.addProperty("uid", call.uid());
            one.addProperty("sent_ago", call.sentAgo());
            calls.add(one);
        }
        json.add("out", calls);
        JsonArray places = new JsonArray();
        for (DeliveryScheduler.UpstreamSnapshot l : learned) {
            places.add(write(
                    l,
                    l.checkpoint().endpoint() == 0
                            ? ""
                            : uids.apply(l.checkpoint().endpoint())));
        }
        json.add("learned", places);
        JsonArray keys = new JsonArray();
        for (DeliveryScheduler.KeyPause rest : rests) {
            JsonArray one = new JsonArray();
            one.add(Long.toHexString(rest.key()));
            one.add(rest.remainingMicros());
            one.add(rest.exemptMessage());
            keys.add(one);
        }
        json.add("rests", keys);
        return json;
    }

    /** Throws a RuntimeException where it cannot be read. */
    public static TransferredState read(JsonObject json, ToLongFunction<String> numbers) {
        List<CallInFlight> out = new ArrayList<>();
        for (JsonElement item : json.getAsJsonArray("out")) {
            JsonObject call = item.getAsJsonObject();
            List<Long> messages = new ArrayList<>();
            call.getAsJsonArray("numbers").forEach(n -> messages.add(n.getAsLong()));
            out.add(new CallInFlight(
                    messages,
                    call.get("uid").getAsString(),
                    call.get("sent_ago").getAsLong()));
        }
        List<DeliveryScheduler.UpstreamSnapshot> learned = new ArrayList<>();
        json.getAsJsonArray("learned").forEach(item -> learned.add(learned(item.getAsJsonObject(), numbers)));
        List<DeliveryScheduler.KeyPause> rests = new ArrayList<>();
        for (JsonElement item : json.getAsJsonArray("rests")) {
            JsonArray rest = item.getAsJsonArray();
            rests.add(new DeliveryScheduler.KeyPause(
                    Long.parseUnsignedLong(rest.get(0).getAsString(), 16),
                    rest.get(1).getAsLong(),
                    rest.get(2).getAsLong()));
        }
        return new TransferredState(json.get("at").getAsLong(), json.getAsJsonObject("list"), out, learned, rests);
    }

    private static JsonObject write(DeliveryScheduler.UpstreamSnapshot l, String uid) {
        DeliveryScheduler.HealthCheckpoint m = l.checkpoint();
        JsonObject json = new JsonObject();
        json.addProperty("destination", m.destination());
        json.addProperty("uid", uid);
        json.addProperty("health", m.status().storedName());
        json.addProperty("since", m.sinceMicros());
        json.addProperty("former_pace", m.callsPerSecond());
        json.addProperty("usual", m.usualLatencyMicros());
        json.addProperty("wait_left", l.retryAfterMicros());
        json.addProperty("backoff_left", l.backoffMicros());
        // JSON has no infinity, which here means that there is no pace to keep to.
        json.addProperty("pace", Double.isInfinite(l.pacePerSecond()) ? -1 : l.pacePerSecond());
        json.addProperty("refused_ago", l.sinceRejectionMicros());
        json.addProperty("ok_ago", l.sinceSuccessMicros());
        json.addProperty("present", l.presentLatencyMicros());
        json.addProperty("p", l.expectedServiceMicros());
        json.addProperty("odds", l.successProbability());
        json.addProperty("sent", l.sentPerSecond());
        json.addProperty("served", l.servedPerSecond());
        json.addProperty("weight", l.reportedLimit());
        json.addProperty("harm", l.failureRatio());
        return json;
    }

    private static DeliveryScheduler.UpstreamSnapshot learned(JsonObject j, ToLongFunction<String> numbers) {
        String uid = j.get("uid").getAsString();
        double pace = j.get("pace").getAsDouble();
        return new DeliveryScheduler.UpstreamSnapshot(
                new DeliveryScheduler.HealthCheckpoint(
                        j.get("destination").getAsInt(),
                        uid.isEmpty() ? 0 : numbers.applyAsLong(uid),
                        DeliveryScheduler.UpstreamStatus.ofStoredName(
                                j.get("health").getAsString()),
                        j.get("since").getAsLong(),
                        j.get("former_pace").getAsDouble(),
                        j.get("usual").getAsDouble()),
                j.get("wait_left").getAsLong(),
                j.get("backoff_left").getAsLong(),
                pace < 0 ? Double.POSITIVE_INFINITY : pace,
                j.get("refused_ago").getAsLong(),
                j.get("ok_ago").getAsLong(),
                j.get("present").getAsDouble(),
                j.get("p").getAsDouble(),
                j.get("odds").getAsDouble(),
                j.get("sent").getAsDouble(),
                j.get("served").getAsDouble(),
                j.get("weight").getAsDouble(),
                j.get("harm").getAsDouble());
    }
}
