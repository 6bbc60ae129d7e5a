package amberroute.sender.config;

import amberroute.decisions.DeliveryScheduler.EndpointState;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * An entry of an endpoint list as discovery or an operator's file has it.
 *
 * @param uid the endpoint's name, unique within a list
 * @param state whether the endpoint takes new calls, drains or is gone
 * @param destination number of the destination that the endpoint serves, from 0 to 65,535
 * @param kind index into {@link SenderConfig#kinds()}, 0 for a name that is not configured
 * @param zone index into {@link SenderConfig#zones()}, 0 for a name that is not configured
 * @param weight relative capacity as listed, 1 where the list gives none
 * @param address where the endpoint takes calls
 */
public record EndpointListEntry(
        String uid,
        EndpointState state,
        int destination,
        int kind,
        int zone,
        double weight,
        InetSocketAddress address) {
    /** Longest uid in characters. */
    private static final int LONGEST_UID = 128;

    private static final int MAX_DESTINATION = 0xffff;

    /**
     * Reads one entry of the platform's form.
     *
     * @throws RuntimeException if a field is missing, of another type or out of range
     */
    public static EndpointListEntry parse(JsonObject item, SenderConfig config) {
        String uid = item.get("uid").getAsString();
        EndpointState state =
                switch (item.get("state").getAsString()) {
                    case "Ready" -> EndpointState.READY;
                    case "Terminating" -> EndpointState.DRAINING;
                    case "Gone" -> EndpointState.GONE;
                    default -> throw new IllegalArgumentException("unknown state of " + uid);
                };
        int destination = item.get("pod_group").getAsInt();
        int kind = item.has("model") ? index(config.kinds(), item.get("model").getAsString()) : 0;
        int zone = item.has("az") ? index(config.zones(), item.get("az").getAsString()) : 0;
        double weight = item.has("capacity_hint") ? item.get("capacity_hint").getAsDouble() : 1;
        InetSocketAddress address = SenderConfig.address(item.get("endpoint").getAsString());
        if (destination < 0 || destination > MAX_DESTINATION || uid.length() > LONGEST_UID) {
            throw new IllegalArgumentException("bad destination or uid");
        }
        return new EndpointListEntry(uid, state, destination, kind, zone, weight, address);
    }

    private static int index(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
