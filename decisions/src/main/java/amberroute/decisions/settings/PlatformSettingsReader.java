package amberroute.decisions.settings;

import amberroute.decisions.DeliveryScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;

/** Reads the path=value settings of an instance; the real sender flattens its JSON to the same paths. */
public final class PlatformSettingsReader {
    private final Map<String, String> values = new HashMap<>();

    /** Settings as lines of path=value; other lines are passed over. */
    public PlatformSettingsReader(String text) {
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq), line.substring(eq + 1).strip());
            }
        }
    }

    /** Settings that already are pairs of path and value. */
    public PlatformSettingsReader(Map<String, String> values) {
        this.values.putAll(values);
    }

    /** The settings in the module's own terms. */
    public DeliveryScheduler.Settings settings(long seed) {
        return new DeliveryScheduler.Settings(
                seed,
                whole("balancers"),
                whole("az", 0),
                micros("tick_us"),
                text("membership_mode").equals("on_request"),
                real("over_share_worth", 1),
                lateWorth(),
                weightKind(),
                items("lanes", this::messageClass),
                items("parties", i -> new DeliveryScheduler.Tenant(real("parties." + i + ".quota_per_s"))),
                kinds(),
                limits(),
                rules(),
                new DeliveryScheduler.Prices(
                        real("prices.handshake", 0), real("prices.cross_zone", 0), reals("family_info.toll")),
                reportFields());
    }

    private DeliveryScheduler.LateValueDecay lateWorth() {
        return values.getOrDefault("family_info.late", "even").equals("by_half")
                ? DeliveryScheduler.LateValueDecay.HALVING
                : DeliveryScheduler.LateValueDecay.LINEAR;
    }

    private DeliveryScheduler.WeightKind weightKind() {
        return switch (values.getOrDefault("weight_kind", "off")) {
            case "nominal" -> DeliveryScheduler.WeightKind.NOMINAL;
            case "rough" -> DeliveryScheduler.WeightKind.ESTIMATED;
            default -> DeliveryScheduler.WeightKind.NONE;
        };
    }

    private DeliveryScheduler.MessageClass messageClass(int i) {
        String p = "lanes." + i + ".";
        DeliveryScheduler.Idempotency effect =
                switch (text(p + "effect")) {
                    case "pure" -> DeliveryScheduler.Idempotency.IDEMPOTENT;
                    case "token" -> DeliveryScheduler.Idempotency.KEYED;
                    case "side_effect" -> DeliveryScheduler.Idempotency.NON_IDEMPOTENT;
                    default -> throw bad(p + "effect");
                };
        DeliveryScheduler.KeyScope scope =
                switch (values.getOrDefault(p + "dedup_scope", "")) {
                    case "all" -> DeliveryScheduler.KeyScope.DESTINATION;
                    case "zone" -> DeliveryScheduler.KeyScope.ZONE;
                    default -> DeliveryScheduler.KeyScope.ENDPOINT;
                };
        return new DeliveryScheduler.MessageClass(
                real(p + "importance"),
                real(p + "late_share", 0),
                micros(p + "goal_time_us"),
                micros(p + "deadline_us"),
                effect,
                scope,
                effect == DeliveryScheduler.Idempotency.KEYED ? micros(p + "key_ttl_us") : 0,
                flag(p + "sequential"));
    }

    private List<DeliveryScheduler.DestinationKind> kinds() {
        List<String> names = list("kinds");
        List<String> apart = list("family_info.routes_apart");
        List<String> perCall = list("family_info.per_call");
        List<DeliveryScheduler.DestinationKind> out = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            boolean isApart = i < apart.size() && apart.get(i).equals("true");
            int messages = i < perCall.size() ? parse("family_info.per_call", perCall.get(i), Integer::parseInt) : 1;
            out.add(new DeliveryScheduler.DestinationKind(isApart, messages));
        }
        return out;
    }

    private DeliveryScheduler.Limits limits() {
        return new DeliveryScheduler.Limits(
                whole("family_info.calls_out"),
                whole("allowed.open_cap"),
                whole("allowed.max_attempts"),
                flag("allowed.parallel_tries"),
                flag("allowed.cancel"),
                flag("allowed.retry_after"),
                micros("allowed.max_retry_after_us"),
                whole("allowed.streams_per_conn"),
                micros("allowed.keepalive_us"),
                micros("allowed.connect_timeout_us"));
    }

    private DeliveryScheduler.Rules rules() {
        return new DeliveryScheduler.Rules(
                micros("rules.answer_slack_us"),
                micros("rules.ask_within_us"),
                real("rules.start_capacity"),
                micros("rules.cold_us"),
                real("rules.fall_multiple"),
                micros("rules.fall_us"),
                values.containsKey("rules.settle_after_doubt_us") ? micros("rules.settle_after_doubt_us") : 0);
    }

    private DeliveryScheduler.ReportFields reportFields() {
        boolean inline = values.getOrDefault("reporting.how", "off").equals("inline");
        List<String> names = inline ? list("reporting.names") : List.of();
        return new DeliveryScheduler.ReportFields(names.indexOf("x0"), names.indexOf("x1"));
    }

    private <T> List<T> items(String path, IntFunction<T> reader) {
        List<T> out = new ArrayList<>();
        int n = whole(path + ".count", 0);
        for (int i = 0; i < n; i++) {
            out.add(reader.apply(i));
        }
        return out;
    }

    /** Names of the classes in the order of their indexes. */
    public List<String> classNames() {
        return items("lanes", i -> text("lanes." + i + ".name"));
    }

    /** A list of plain values; empty where the setting is absent. */
    public List<String> list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<Double> reals(String path) {
        List<Double> out = new ArrayList<>();
        for (String value : list(path)) {
            out.add(parse(path, value, Double::parseDouble));
        }
        return out;
    }

    private boolean flag(String path) {
        return values.getOrDefault(path, "false").equals("true");
    }

    private String text(String path) {
        String value = values.get(path);
        if (value == null) {
            throw bad(path);
        }
        return value;
    }

    private long micros(String path) {
        return parse(path, text(path), Long::parseLong);
    }

    private int whole(String path) {
        return parse(path, text(path), Integer::parseInt);
    }

    private int whole(String path, int absent) {
        return values.containsKey(path) ? whole(path) : absent;
    }

    private double real(String path) {
        return parse(path, text(path), Double::parseDouble);
    }

    private double real(String path, double absent) {
        return values.containsKey(path) ? real(path) : absent;
    }

    private static <T> T parse(String path, String value, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (NumberFormatException e) {
            throw bad(path);
        }
    }

    private static InvalidSettingsException bad(String path) {
        return new InvalidSettingsException("setting " + path + " is missing or cannot be read");
    }
}
