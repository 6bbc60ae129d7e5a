package amberroute.sender.config;

import amberroute.config.ConfigException;
import amberroute.config.Schema;
import amberroute.config.Settings;
import amberroute.config.Units;
import amberroute.decisions.DeliveryScheduler;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The sender's file outside the platform, {@code deploy/amberroute.toml}: every key with its type, bounds, default and
 * meaning, and how they become a {@link SenderConfig}. {@code GW_NAME}, {@code GW_LISTEN}, {@code GW_DISCOVERY} and
 * {@code GW_STATE} hold over the file where they are set, so that one file serves many instances.
 */
public final class StandaloneConfig {
    /** A Unix socket's path may be so long, on Linux less one for the end. */
    static final int LONGEST_SOCKET_PATH = 107;

    private static final long LONGEST_LIST = 16 << 20;

    private static final Schema CLASS = new Schema()
            .needText("name", "what clients write behind c=")
            .choice(
                    "effect",
                    List.of("safe", "keyed", "unsafe"),
                    null,
                    "safe: repeating does no harm; keyed: the destination drops a key that it knows; unsafe: never twice")
            .choice(
                    "key_scope",
                    List.of("destination", "zone", "endpoint"),
                    "endpoint",
                    "how far a destination's memory of a key reaches")
            .duration("key_life", "5s", "1ms", "7d", "how long a destination knows a key")
            .flag("in_order", false, "messages of one key run one after another")
            .real("worth", 1.0, 0.001, 1e6, "what one is worth beside the other classes'")
            .real("late_share", 0.0, 0, 1, "share of the worth that is left at the deadline")
            .duration("aim", null, "1ms", "1h", "worth is whole up to here")
            .duration("deadline", null, "1ms", "1h", "the longest that one may take; clients may give less");

    private static final Schema KIND = new Schema()
            .needText("name", "what the list of endpoints calls it (model)")
            .whole("messages_per_call", 1L, 1, 1_000, "messages that one call may carry")
            .flag("routes_apart", false, "its endpoints have each a limit and outages of their own");

    /** All keys of the file. */
    public static final Schema SCHEMA = new Schema()
            .text("name", "sender", "this instance, the same after a restart")
            .address("listen", false, "where clients connect; port 0 takes any")
            .text("state", null, "folder for what outlasts the process, relative to this file; no two share one")
            .address("discovery", false, "who lists the endpoints")
            .text(
                    "endpoints",
                    null,
                    "a file with the list of endpoints, in place of discovery; followed when it is replaced")
            .address(
                    "notices",
                    false,
                    "who is told of messages that end undelivered; discovery's address if there is one")
            .text("control", null, "the control socket, in the state folder if not told")
            .whole("senders", 1L, 1, 4_096, "how many instances share the destinations' limits")
            .list("zones", "names of the zones, as the list of endpoints has them")
            .text("zone", null, "the zone of this instance, the first if not told")
            .list("reports", "names of the values in X-Server-Load; x0 is what is left of a limit, x1 the limit")
            .whole("limits.slots", 16L, 1, 100_000, "calls that may be out at once")
            .whole("limits.open_messages", 400L, 1, 200_000, "messages that may be held at once")
            .whole("limits.max_attempts", 12L, 1, 100, "calls that one message may have")
            .size("limits.memory", "192MB", "16MB", "64GB", "what the process may use; sizes buffers for requests")
            .whole("limits.descriptors", 1024L, 128, 1_000_000, "open files and connections of the process")
            .size("limits.disk", "16MB", "256KB", "64GB", "what the state folder may hold")
            .duration("limits.tick", "5ms", "100us", "1s", "a turn gathers events for so long at most")
            .flag("retry.advice", true, "refusals tell when to come again")
            .duration("retry.longest", "3s", "1ms", "10m", "the longest such time")
            .duration("connections.idle", "15s", "100ms", "1h", "endpoints close an idle connection after this")
            .duration("connections.connect", "1s", "10ms", "30s", "how long a connection may take to come up")
            .real("cold.from", 0.15, 0.01, 1, "share of its capacity that a destination has after a start")
            .duration("cold.span", "14s", "0s", "1h", "how long a destination takes to warm up")
            .real("cold.multiple", 2.5, 1, 100, "work above so many times its capacity brings a cold destination down")
            .duration("cold.window", "1500ms", "10ms", "1m", "the span in which that is counted")
            .duration("rules.settle", "100ms", "0s", "1m", "a key rests so long after a call whose end is unknown")
            .duration("stop.deadline", "8s", "100ms", "1h", "a stop is over by then, whatever is held")
            .duration("stop.back_after", "3s", "0s", "1h", "a restarted sender serves again so long after its stop")
            .flag("adoption", false, "a peer may take the state folder over while this process is stopped or cut off")
            .list("adopt", "state folders of instances that this one replaces: taken over before it serves")
            .address("ops", false, "where operators ask for readiness and figures (HTTP); nobody may if not told")
            .address(
                    "handover.listen",
                    false,
                    "where peers hand over what they hold when they leave; none is taken if not told")
            .list("handover.peers", "who may be handed what this sender holds when it stops for good, as name=address")
            .choice(
                    "journal.durability",
                    List.of("none", "batch", "each"),
                    "none",
                    "what outlasts a loss of power: nothing for sure, all that a client was told (forced together), or each change")
            .flag(
                    "fleet.gentle",
                    false,
                    "daemons agree on what they give a partner that is cold; needs handover.listen and handover.peers")
            .real(
                    "fleet.first",
                    20.0,
                    0.1,
                    1e6,
                    "messages a second that all daemons together give a partner that none of them knows")
            .duration("fleet.lease", "500ms", "50ms", "10s", "how long a part of a cold partner's limit is lent")
            .flag(
                    "fleet.overload",
                    false,
                    "daemons tell one another what they are asked for, and turn away what is worth least to all; needs handover.listen and handover.peers")
            .flag(
                    "fleet.parts",
                    false,
                    "with fleet.overload: calls to a partner at its limit are held to parts of it that daemons lend one another; not with fleet.gentle")
            .flag(
                    "survival.on",
                    false,
                    "peers hold copies of what this sender has in hand and go on with it when it is lost; needs handover.listen and handover.peers")
            .whole(
                    "survival.copies",
                    3L,
                    3,
                    7,
                    "how many hold each message, this sender among them; more than half have to be there")
            .duration("survival.replace", "10s", "1s", "1h", "a holder that is away for so long is replaced")
            .real("costs.handshake", 0.06, 0, 1_000, "what a new connection costs beside a message's worth")
            .tables("class", CLASS, 1, "a class of messages, in the order of their numbers")
            .tables("kind", KIND, 0, "a kind of destination; one with one message a call if there is none");

    /**
     * What only a sender outside the platform has; spans in milliseconds. {@code endpoints} and {@code notificationAddress} may be
     * null.
     */
    public record Standalone(
            Path endpoints,
            InetSocketAddress notificationAddress,
            Path control,
            long stopDeadlineMillis,
            long backAfterMillis,
            InetSocketAddress handOver,
            Map<String, InetSocketAddress> peers,
            boolean adoption,
            List<Path> adopt,
            long slowStartLeaseMicros,
            double initialSlowStartRate,
            Durability durability,
            ReplicationSettings replication,
            String zone,
            boolean overload,
            boolean parts) {
        /** The same with another address for notices. */
        Standalone withNotificationAddress(InetSocketAddress newAddress) {
            return new Standalone(
                    endpoints,
                    newAddress,
                    control,
                    stopDeadlineMillis,
                    backAfterMillis,
                    handOver,
                    peers,
                    adoption,
                    adopt,
                    slowStartLeaseMicros,
                    initialSlowStartRate,
                    durability,
                    replication,
                    zone,
                    overload,
                    parts);
        }

        /** The configuration of a failover in another sender's process: its peers, and no listener for clients or operators. */
        public Standalone forFailover(Map<String, InetSocketAddress> others) {
            return new Standalone(
                    endpoints,
                    notificationAddress,
                    null,
                    stopDeadlineMillis,
                    backAfterMillis,
                    null,
                    others,
                    false,
                    List.of(),
                    0,
                    initialSlowStartRate,
                    durability,
                    null,
                    zone,
                    false,
                    false);
        }
    }

    /** How work in hand outlasts its machine (docs/survival.md); null for not at all. */
    public record ReplicationSettings(int copies, long replaceMillis) {}

    private StandaloneConfig() {}

    /** Reads and checks a file and starts nothing; the summary is for people. */
    public static String check(Path file, Map<String, String> environment) throws IOException {
        SenderConfig config = read(file, environment);
        return config.name() + " listens on " + config.listen().getAddress().getHostAddress() + ":"
                + config.listen().getPort() + ", " + config.classes().size() + " classes, "
                + (config.discovery() == null
                        ? config.known().getAsJsonArray("targets").size() + " endpoints from a file"
                        : "discovery at " + config.discovery())
                + ", state in " + config.state();
    }

    static SenderConfig read(Path file, Map<String, String> environment) throws IOException {
        Settings s = SCHEMA.read(file);
        Path base = file.toAbsolutePath().normalize().getParent();
        InetSocketAddress listen = address(s, "listen", environment.get("GW_LISTEN"));
        InetSocketAddress discovery = address(s, "discovery", environment.get("GW_DISCOVERY"));
        Path endpoints = s.has("endpoints") ? base.resolve(s.text("endpoints")) : null;
        String state = environment.getOrDefault("GW_STATE", s.text("state"));
        if (listen == null) {
            throw s.bad("listen", "is missing: where clients connect");
        }
        if (state == null || state.isBlank()) {
            throw s.bad("state", "is missing: a folder for what outlasts the process");
        }
        if (discovery == null == (endpoints == null)) {
            throw s.bad(
                    "endpoints",
                    discovery == null
                            ? "or discovery is needed: nobody lists the endpoints"
                            : "and discovery are both there: one of them lists the endpoints");
        }
        InetSocketAddress notices = s.has("notices") ? s.address("notices") : discovery;
        if (notices == null) {
            throw s.bad("notices", "is missing: who is told of messages that end undelivered");
        }
        Path folder = base.resolve(state).normalize();
        Path control = s.has("control") ? base.resolve(s.text("control")) : folder.resolve("control");
        if (control.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8).length > LONGEST_SOCKET_PATH) {
            throw s.bad(
                    "control",
                    "is longer than " + LONGEST_SOCKET_PATH + " bytes, which no Unix socket may be: " + control);
        }
        List<String> classes = names(s, "class");
        List<String> kinds = names(s, "kind");
        List<String> zones = s.list("zones").isEmpty() ? List.of("-") : s.list("zones");
        if (s.has("zone") && !zones.contains(s.text("zone"))) {
            throw s.bad("zone", "is not among zones");
        }
        InetSocketAddress handOver = address(s, "handover.listen", "GW_HANDOVER", environment.get("GW_HANDOVER"));
        Map<String, InetSocketAddress> peers = peers(
                s,
                environment.containsKey("GW_PEERS")
                        ? List.of(environment.get("GW_PEERS").split(","))
                        : s.list("handover.peers"));
        boolean gentle = s.flag("fleet.gentle")
                || environment.getOrDefault("GW_GENTLE", "").equals("true");
        if (gentle && (handOver == null || peers.isEmpty())) {
            throw s.bad("fleet.gentle", "needs handover.listen and handover.peers");
        }
        Standalone standalone = new Standalone(
                endpoints,
                notices,
                control,
                s.millis("stop.deadline"),
                s.millis("stop.back_after"),
                handOver,
                peers,
                s.flag("adoption"),
                (environment.containsKey("GW_ADOPT")
                                ? List.of(environment.get("GW_ADOPT").split(":"))
                                : s.list("adopt"))
                        .stream()
                                .filter(path -> !path.isBlank())
                                .map(path -> base.resolve(path).normalize())
                                .toList(),
                gentle ? s.micros("fleet.lease") : 0,
                s.real("fleet.first"),
                Durability.valueOf(s.text("journal.durability").toUpperCase(Locale.ROOT)),
                replication(s, handOver, peers),
                s.has("zone") ? s.text("zone") : zones.get(0),
                s.flag("fleet.overload"),
                s.flag("fleet.parts"));
        if (standalone.parts() && (!standalone.overload() || gentle)) {
            throw s.bad(
                    "fleet.parts",
                    gentle ? "does not go with fleet.gentle, which sets ceilings of its own" : "needs fleet.overload");
        }
        if (standalone.overload() && (handOver == null || peers.isEmpty())) {
            throw s.bad("fleet.overload", "needs handover.listen and handover.peers");
        }
        JsonObject known = new JsonObject();
        SenderConfig config = new SenderConfig(
                environment.getOrDefault("GW_NAME", s.text("name")),
                listen,
                discovery,
                folder,
                s.whole("limits.descriptors"),
                s.bytes("limits.memory"),
                s.bytes("limits.disk"),
                known,
                settings(s, classes, zones),
                classes,
                zones,
                kinds.isEmpty() ? List.of("-") : kinds,
                s.list("reports"),
                address(s, "ops", environment.get("GW_OPS")),
                Map.of(),
                standalone);
        if (endpoints != null) {
            JsonObject list = endpoints(endpoints, config);
            list.entrySet().forEach(e -> known.add(e.getKey(), e.getValue()));
        }
        return config;
    }

    /**
     * Reads a list of endpoints in discovery's form. Unlike news from discovery it counts as a whole: one bad entry and
     * none of it is taken, as whoever wrote it can mend it.
     */
    public static JsonObject endpoints(Path file, SenderConfig config) {
        try {
            if (Files.size(file) > LONGEST_LIST) {
                throw new ConfigException(file + ": longer than 16 MiB");
            }
            JsonObject list = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
            if (!list.has("targets") || !list.get("targets").isJsonArray()) {
                throw new ConfigException(file + ": targets is missing: a list of endpoints");
            }
            Set<String> uids = new HashSet<>();
            int i = 0;
            for (var item : list.getAsJsonArray("targets")) {
                try {
                    EndpointListEntry entry = EndpointListEntry.parse(item.getAsJsonObject(), config);
                    if (!uids.add(entry.uid())) {
                        throw new IllegalArgumentException("uid " + entry.uid() + " is there twice");
                    }
                } catch (RuntimeException e) {
                    throw new ConfigException(file + ": targets[" + i + "]: " + reason(e));
                }
                i++;
            }
            return list;
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        } catch (ConfigException e) {
            throw e;
        } catch (RuntimeException e) {
            throw new ConfigException(file + ": is no list of endpoints: " + reason(e));
        }
    }

    private static DeliveryScheduler.Idempotency idempotency(String effect) {
        return switch (effect) {
            case "safe" -> DeliveryScheduler.Idempotency.IDEMPOTENT;
            case "keyed" -> DeliveryScheduler.Idempotency.KEYED;
            case "unsafe" -> DeliveryScheduler.Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect " + effect);
        };
    }

    private static ReplicationSettings replication(
            Settings s, InetSocketAddress handOver, Map<String, InetSocketAddress> peers) {
        if (!s.flag("survival.on")) {
            return null;
        }
        if (handOver == null || peers.isEmpty()) {
            throw s.bad("survival.on", "needs handover.listen and handover.peers");
        }
        return new ReplicationSettings(s.whole("survival.copies"), s.millis("survival.replace"));
    }

    private static String reason(RuntimeException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("").replaceAll("\\p{Cntrl}", "?");
    }

    private static InetSocketAddress address(Settings s, String key, String over) {
        return address(s, key, "GW_" + key.toUpperCase(java.util.Locale.ROOT), over);
    }

    private static InetSocketAddress address(Settings s, String key, String variable, String over) {
        if (over == null) {
            return s.address(key);
        }
        try {
            return Units.address(over);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(variable + ": " + e.getMessage());
        }
    }

    private static Map<String, InetSocketAddress> peers(Settings s, List<String> told) {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String peer : told) {
            if (peer.isBlank()) {
                continue;
            }
            int eq = peer.indexOf('=');
            try {
                if (eq < 0
                        || !peer.substring(0, eq).matches("[A-Za-z0-9._-]{1,64}")
                        || peers.put(peer.substring(0, eq), Units.address(peer.substring(eq + 1))) != null) {
                    throw new IllegalArgumentException("has to be name=address, each name once");
                }
            } catch (IllegalArgumentException e) {
                throw s.bad("handover.peers", e.getMessage() + ": " + peer);
            }
        }
        return peers;
    }

    private static List<String> names(Settings s, String tables) {
        List<String> names = new ArrayList<>();
        for (Settings row : s.tables(tables)) {
            String name = row.text("name");
            if (names.contains(name) || !name.matches("[A-Za-z0-9._-]{1,64}")) {
                throw s.bad(tables + ".name", "is there twice or no plain word: " + name);
            }
            names.add(name);
        }
        return List.copyOf(names);
    }

    private static DeliveryScheduler.Settings settings(Settings s, List<String> classes, List<String> zones) {
        List<DeliveryScheduler.MessageClass> types = new ArrayList<>();
        for (Settings row : s.tables("class")) {
            if (row.micros("aim") > row.micros("deadline")) {
                throw s.bad("class.aim", "is behind the deadline of class " + row.text("name"));
            }
            DeliveryScheduler.Idempotency effect = idempotency(row.text("effect"));
            types.add(new DeliveryScheduler.MessageClass(
                    row.real("worth"),
                    row.real("late_share"),
                    row.micros("aim"),
                    row.micros("deadline"),
                    effect,
                    DeliveryScheduler.KeyScope.valueOf(row.text("key_scope").toUpperCase(java.util.Locale.ROOT)),
                    effect == DeliveryScheduler.Idempotency.KEYED ? row.micros("key_life") : 0,
                    row.flag("in_order")));
        }
        List<DeliveryScheduler.DestinationKind> kinds = new ArrayList<>();
        s.tables("kind")
                .forEach(row -> kinds.add(new DeliveryScheduler.DestinationKind(
                        row.flag("routes_apart"), row.whole("messages_per_call"))));
        if (kinds.isEmpty()) {
            kinds.add(new DeliveryScheduler.DestinationKind(false, 1));
        }
        List<String> reports = s.list("reports");
        return new DeliveryScheduler.Settings(
                System.nanoTime(),
                s.whole("senders"),
                s.has("zone") ? zones.indexOf(s.text("zone")) : 0,
                s.micros("limits.tick"),
                false,
                1,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                types,
                List.of(),
                kinds,
                new DeliveryScheduler.Limits(
                        s.whole("limits.slots"),
                        s.whole("limits.open_messages"),
                        s.whole("limits.max_attempts"),
                        false,
                        true,
                        s.flag("retry.advice"),
                        s.micros("retry.longest"),
                        1,
                        s.micros("connections.idle"),
                        s.micros("connections.connect")),
                new DeliveryScheduler.Rules(
                        20_000,
                        10_000_000,
                        s.real("cold.from"),
                        s.micros("cold.span"),
                        s.real("cold.multiple"),
                        s.micros("cold.window"),
                        s.micros("rules.settle")),
                new DeliveryScheduler.Prices(s.real("costs.handshake"), 0, List.of()),
                new DeliveryScheduler.ReportFields(reports.indexOf("x0"), reports.indexOf("x1")));
    }
}
