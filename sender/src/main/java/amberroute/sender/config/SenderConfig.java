package amberroute.sender.config;

import amberroute.config.Units;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.decisions.settings.PlatformSettingsReader;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * All that a sender is told at its start. On the platform {@code standalone} is null; elsewhere {@code discovery} may be.
 * {@code ops} is the address for operators, null for none; {@code keys} what the file held, with the kind of each value,
 * empty for files that a schema checks.
 */
public record SenderConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        Path state,
        int sockets,
        long memoryBytes,
        long diskBytes,
        JsonObject known,
        DeliveryScheduler.Settings settings,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        List<String> reportNames,
        InetSocketAddress ops,
        Map<String, String> keys,
        StandaloneConfig.Standalone standalone) {

    /**
     * Descriptors of the process itself (libraries, journal, discovery, notices, the listening socket), and of what one
     * pass of the loop accepts and closes: a closed socket keeps its descriptor until the next pass.
     */
    private static final int OWN_DESCRIPTORS = 64;
    /** Usual clients may hold a third of all descriptors; others must not be able to take those places. */
    private static final double CLIENT_SHARE = 0.55;

    /** Bytes for requests that are not whole yet: a small part, as all else has to fit beside them. */
    public long requestMemoryBytes() {
        return memoryBytes / 32;
    }

    /**
     * The configuration in force after a reload: this one, with which the process started, and in it the settings, the discovery address
     * and the address for notices of {@code reloaded}. All else counts from the next start.
     */
    public SenderConfig reloadedWith(SenderConfig reloaded) {
        return new SenderConfig(
                name,
                listen,
                reloaded.discovery,
                state,
                sockets,
                memoryBytes,
                diskBytes,
                known,
                reloaded.settings,
                reloaded.classes,
                reloaded.zones,
                reloaded.kinds,
                reloaded.reportNames,
                ops,
                reloaded.keys,
                standalone == null ? null : standalone.withNotificationAddress(reloaded.notificationAddress()));
    }

    /**
     * The configuration of a failover that runs in this process: the journal as its name, the folder of its replica, a quarter of the
     * descriptors and no listener. Its slots are those of the lost process: destinations get no more calls for it than before.
     *
     * @param endpoints the endpoint list that it begins with, in discovery's form
     */
    public SenderConfig forFailover(
            String journalId, Path folder, StandaloneConfig.Standalone failoverStandalone, JsonObject endpoints) {
        return new SenderConfig(
                journalId,
                null,
                discovery,
                folder,
                Math.max(2 * OWN_DESCRIPTORS, sockets / 4),
                memoryBytes / 4,
                diskBytes,
                endpoints,
                settings,
                classes,
                zones,
                kinds,
                reportNames,
                null,
                keys,
                failoverStandalone);
    }

    /** Who is told of messages that end undelivered. */
    public InetSocketAddress notificationAddress() {
        return standalone == null ? discovery : standalone.notificationAddress();
    }

    public int maxClientConnections() {
        return (int) Math.max(1, CLIENT_SHARE * (sockets - OWN_DESCRIPTORS));
    }

    /** Connections to receivers, with and without a call. */
    public int maxUpstreamConnections() {
        return Math.max(1, sockets - OWN_DESCRIPTORS - maxClientConnections());
    }

    /**
     * Whether the socket that clients connect to is passed down as descriptor 0, so that another process can take this
     * one's place. A JVM can take over no other descriptor.
     */
    public static boolean inherits(Map<String, String> environment) {
        String descriptor = environment.getOrDefault("GW_ACCEPT_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new InvalidSettingsException(
                    "GW_ACCEPT_FD is " + descriptor + "; only descriptor 0 can be taken over");
        }
        return !descriptor.isEmpty();
    }

    /** Reads the file that the environment names; where both tell something, the environment holds. */
    public static SenderConfig read(Map<String, String> environment) throws IOException {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new InvalidSettingsException("GW_CONFIG names no configuration");
        }
        if (file.endsWith(".toml")) {
            return StandaloneConfig.read(Path.of(file), environment);
        }
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new InvalidSettingsException("configuration " + file + " cannot be read: " + e);
        }
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject(), environment);
        } catch (RuntimeException e) {
            throw new InvalidSettingsException("configuration " + file + ": " + e.getMessage());
        }
    }

    /** Tells one text of the configuration's file from another; 0 where it cannot be read. */
    public static long fingerprint(Map<String, String> environment) {
        try {
            byte[] text = Files.readAllBytes(Path.of(environment.getOrDefault("GW_CONFIG", "")));
            CRC32 sum = new CRC32();
            sum.update(text);
            return (sum.getValue() << Integer.SIZE) + text.length;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /** Reads the file again while the sender runs: what it says of discovery then holds over the environment. */
    public static SenderConfig reread(Map<String, String> environment) throws IOException {
        Map<String, String> file = new HashMap<>(environment);
        file.remove("GW_DISCOVERY");
        return read(file);
    }

    /**
     * Whether this may take the place of the configuration in force: a file that lacks what that one told, or tells it
     * in another form, is half a file, and nothing of it is to be taken. Classes are compared by what all of them have.
     */
    public void checkAgainst(SenderConfig inForce) {
        inForce.keys.forEach((key, kind) -> {
            if (!keys.containsKey(key)) {
                throw new InvalidSettingsException(key + " is missing");
            } else if (!kind.equals(keys.get(key))) {
                throw new InvalidSettingsException(key + " is no " + kind);
            }
        });
    }

    /** Paths and kinds of what a file holds; {@code seed} and {@code known} may come and go. */
    private static Map<String, String> keys(JsonObject json) {
        Map<String, String> keys = new HashMap<>();
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            if (!entry.getKey().equals("seed") && !entry.getKey().equals("known")) {
                collect(entry.getKey(), entry.getValue(), keys);
            }
        }
        return keys;
    }

    private static void collect(String path, JsonElement value, Map<String, String> out) {
        if (value.isJsonObject()) {
            out.put(path, "object");
            value.getAsJsonObject().entrySet().forEach(e -> collect(path + "." + e.getKey(), e.getValue(), out));
        } else if (value.isJsonArray()) {
            out.put(path, "list");
            Map<String, String> common = null;
            for (JsonElement item : value.getAsJsonArray()) {
                Map<String, String> one = new HashMap<>();
                collect(path + "[]", item, one);
                if (common == null) {
                    common = one;
                } else {
                    common.entrySet().retainAll(one.entrySet());
                }
            }
            out.putAll(common == null ? Map.of() : common);
        } else if (value.isJsonPrimitive()) {
            out.put(
                    path,
                    value.getAsJsonPrimitive().isNumber()
                            ? "number"
                            : value.getAsJsonPrimitive().isBoolean() ? "flag" : "text");
        }
    }

    private static SenderConfig parse(JsonObject json, Map<String, String> environment) {
        for (String part : List.of("settings", "limits")) {
            if (!json.has(part) || !json.get(part).isJsonObject()) {
                throw new InvalidSettingsException(part + " is missing");
            }
        }
        Map<String, String> paths = new HashMap<>();
        flatten("", json.getAsJsonObject("settings"), paths);
        PlatformSettingsReader facts = new PlatformSettingsReader(paths);
        JsonObject limits = json.getAsJsonObject("limits");
        String state = environment.get("GW_STATE");
        if (state == null) {
            throw new InvalidSettingsException("GW_STATE names no folder");
        }
        JsonElement known = json.get("known");
        return new SenderConfig(
                environment.getOrDefault("GW_NAME", "sender"),
                address(
                        environment.containsKey("GW_LISTEN")
                                ? environment.get("GW_LISTEN")
                                : json.get("listen").getAsString()),
                address(
                        environment.containsKey("GW_DISCOVERY")
                                ? environment.get("GW_DISCOVERY")
                                : json.get("discovery").getAsString()),
                Path.of(state),
                limits.get("sockets").getAsInt(),
                (long) ((limits.has("memory_mb") ? limits.get("memory_mb").getAsDouble() : 64) * 1_000_000),
                (long) (limits.get("disk_mb").getAsDouble() * 1_000_000),
                known != null && known.isJsonObject() ? known.getAsJsonObject() : new JsonObject(),
                facts.settings(seed(json)),
                facts.classNames(),
                facts.list("zones"),
                facts.list("kinds"),
                facts.list("reporting.names"),
                ops(json, environment),
                keys(json),
                null);
    }

    private static InetSocketAddress ops(JsonObject json, Map<String, String> environment) {
        String text = environment.containsKey("GW_OPS")
                ? environment.get("GW_OPS")
                : json.has("ops") ? json.get("ops").getAsString() : "";
        return text.isEmpty() ? null : address(text);
    }

    private static long seed(JsonObject json) {
        return json.has("seed") ? Long.parseUnsignedLong(json.get("seed").getAsString(), 16) : System.nanoTime();
    }

    /** Nested settings to the paths of the simulator's wire, values spelled as there. */
    private static void flatten(String path, JsonElement value, Map<String, String> out) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), out));
        } else if (value.isJsonArray()) {
            flattenList(path, value.getAsJsonArray(), out);
        } else if (!value.isJsonNull()) {
            out.put(path, word(value));
        }
    }

    private static void flattenList(String path, JsonArray list, Map<String, String> out) {
        if (list.isEmpty() || list.get(0).isJsonPrimitive()) {
            List<String> words = new ArrayList<>();
            list.forEach(item -> words.add(word(item)));
            out.put(path, String.join(",", words));
            return;
        }
        out.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
            flatten(path + "." + i, list.get(i), out);
        }
    }

    private static String word(JsonElement value) {
        return value.getAsString().replace(' ', '_').replace(',', '_');
    }

    /** An address in figures and a port; names are never looked up, as there is no DNS. */
    public static InetSocketAddress address(String text) {
        try {
            return Units.address(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("not an address: " + text);
        }
    }
}
