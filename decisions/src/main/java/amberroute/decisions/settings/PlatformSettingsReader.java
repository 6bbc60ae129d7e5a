package amberroute.decisions.settings;

import amberroute.decisions.DeliveryScheduler.DestinationKind;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.KeyScope;
import amberroute.decisions.DeliveryScheduler.LateValueDecay;
import amberroute.decisions.DeliveryScheduler.Limits;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.DeliveryScheduler.Prices;
import amberroute.decisions.DeliveryScheduler.ReportFields;
import amberroute.decisions.DeliveryScheduler.Rules;
import amberroute.decisions.DeliveryScheduler.Settings;
import amberroute.decisions.DeliveryScheduler.Tenant;
import amberroute.decisions.DeliveryScheduler.WeightKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;

/**
 * Reads the platform's settings, which are pairs of path and value, and maps the platform's names to the terms of this module:
 * lanes are message classes, parties are tenants, balancers are senders, an importance is a priority weight. The names of paths
 * and values belong to the platform and appear nowhere else in the module. Times are microseconds (paths that end in {@code _us}).
 */
public final class PlatformSettingsReader {
    private final Map<String, String> values = new HashMap<>();

    /** Reads settings from lines of the form {@code path=value}; other lines are ignored. */
    public PlatformSettingsReader(String text) {
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator),
                        line.substring(separator + 1).strip());
            }
        }
    }

    /** Reads settings from pairs of path and value. */
    public PlatformSettingsReader(Map<String, String> values) {
        this.values.putAll(values);
    }

    /**
     * Returns the settings of a scheduler. The scheduler checks their ranges.
     *
     * @param seed the seed of all random choices
     * @throws InvalidSettingsException if a setting is missing or invalid
     */
    public Settings settings(long seed) {
        return new Settings(
                seed,
                integer("balancers"),
                integer("az", 0),
                micros("tick_us"),
                text("membership_mode").equals("on_request"),
                decimal("over_share_worth", 1),
                lateValueDecay(),
                weightKind(),
                items("lanes", this::messageClass),
                items("parties", index -> new Tenant(decimal("parties." + index + ".quota_per_s"))),
                destinationKinds(),
                limits(),
                rules(),
                new Prices(
                        decimal("prices.handshake", 0), decimal("prices.cross_zone", 0), decimals("family_info.toll")),
                reportFields());
    }

    private LateValueDecay lateValueDecay() {
        return values.getOrDefault("family_info.late", "even").equals("by_half")
                ? LateValueDecay.HALVING
                : LateValueDecay.LINEAR;
    }

    private WeightKind weightKind() {
        return switch (values.getOrDefault("weight_kind", "off")) {
            case "nominal" -> WeightKind.NOMINAL;
            case "rough" -> WeightKind.ESTIMATED;
            default -> WeightKind.NONE;
        };
    }

    private MessageClass messageClass(int index) {
        String prefix = "lanes." + index + ".";
        Idempotency idempotency = idempotency(prefix + "effect");
        return new MessageClass(
                decimal(prefix + "importance"),
                decimal(prefix + "late_share", 0),
                micros(prefix + "goal_time_us"),
                micros(prefix + "deadline_us"),
                idempotency,
                keyScope(prefix + "dedup_scope"),
                idempotency == Idempotency.KEYED ? micros(prefix + "key_ttl_us") : 0,
                flag(prefix + "sequential"));
    }

    private Idempotency idempotency(String path) {
        return switch (text(path)) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.KEYED;
            case "side_effect" -> Idempotency.NON_IDEMPOTENT;
            default -> throw invalidSetting(path);
        };
    }

    private KeyScope keyScope(String path) {
        return switch (values.getOrDefault(path, "")) {
            case "all" -> KeyScope.DESTINATION;
            case "zone" -> KeyScope.ZONE;
            default -> KeyScope.ENDPOINT;
        };
    }

    private List<DestinationKind> destinationKinds() {
        int count = list("kinds").size();
        List<String> independentValues = list("family_info.routes_apart");
        List<String> messagesPerCallValues = list("family_info.per_call");
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean independentEndpoints =
                    i < independentValues.size() && independentValues.get(i).equals("true");
            int messagesPerCall = i < messagesPerCallValues.size()
                    ? parse("family_info.per_call", messagesPerCallValues.get(i), Integer::parseInt)
                    : 1;
            kinds.add(new DestinationKind(independentEndpoints, messagesPerCall));
        }
        return kinds;
    }

    private Limits limits() {
        return new Limits(
                integer("family_info.calls_out"),
                integer("allowed.open_cap"),
                integer("allowed.max_attempts"),
                flag("allowed.parallel_tries"),
                flag("allowed.cancel"),
                flag("allowed.retry_after"),
                micros("allowed.max_retry_after_us"),
                integer("allowed.streams_per_conn"),
                micros("allowed.keepalive_us"),
                micros("allowed.connect_timeout_us"));
    }

    private Rules rules() {
        return new Rules(
                micros("rules.answer_slack_us"),
                micros("rules.ask_within_us"),
                decimal("rules.start_capacity"),
                micros("rules.cold_us"),
                decimal("rules.fall_multiple"),
                micros("rules.fall_us"),
                values.containsKey("rules.settle_after_doubt_us") ? micros("rules.settle_after_doubt_us") : 0);
    }

    /** The platform names the values of a load report x0 (remaining allowance) and x1 (limit). */
    private ReportFields reportFields() {
        boolean inline = values.getOrDefault("reporting.how", "off").equals("inline");
        List<String> names = inline ? list("reporting.names") : List.of();
        return new ReportFields(names.indexOf("x0"), names.indexOf("x1"));
    }

    private <T> List<T> items(String path, IntFunction<T> reader) {
        List<T> items = new ArrayList<>();
        int count = integer(path + ".count", 0);
        for (int i = 0; i < count; i++) {
            items.add(reader.apply(i));
        }
        return items;
    }

    /**
     * Returns the names of the message classes in the order of their indexes.
     *
     * @throws InvalidSettingsException if a name is missing
     */
    public List<String> classNames() {
        return items("lanes", index -> text("lanes." + index + ".name"));
    }

    /** Returns a list of plain values, empty if the setting is absent. */
    public List<String> list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<Double> decimals(String path) {
        List<Double> decimals = new ArrayList<>();
        for (String value : list(path)) {
            decimals.add(parse(path, value, Double::parseDouble));
        }
        return decimals;
    }

    private boolean flag(String path) {
        return values.getOrDefault(path, "false").equals("true");
    }

    private String text(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalidSetting(path);
        }
        return value;
    }

    private long micros(String path) {
        return parse(path, text(path), Long::parseLong);
    }

    private int integer(String path) {
        return parse(path, text(path), Integer::parseInt);
    }

    private int integer(String path, int defaultValue) {
        return values.containsKey(path) ? integer(path) : defaultValue;
    }

    private double decimal(String path) {
        return parse(path, text(path), Double::parseDouble);
    }

    private double decimal(String path, double defaultValue) {
        return values.containsKey(path) ? decimal(path) : defaultValue;
    }

    private static <T> T parse(String path, String value, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (NumberFormatException e) {
            throw invalidSetting(path);
        }
    }

    private static InvalidSettingsException invalidSetting(String path) {
        return new InvalidSettingsException("setting " + path + " is missing or invalid");
    }
}
