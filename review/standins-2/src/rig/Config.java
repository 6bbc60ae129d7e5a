package rig;

import java.util.ArrayList;
import java.util.List;

/** The platform's configuration of one sender, in the platform's form. */
public final class Config {
    private final List<String> lanes = new ArrayList<>();
    public int balancers = 2;
    public int slots = 16;
    public int openCap = 160;
    public int diskMb = 3;
    public int memoryMb = 192;
    public int sockets = 1_024;
    public double startCapacity = 0.13;
    public long coldUs = 14_000_000;
    public double fallMultiple = 2.5;
    public long fallUs = 1_500_000;
    public long connectTimeoutUs = 1_000_000;
    public long keepaliveUs = 15_000_000;
    public int maxAttempts = 12;

    /** Adds a class; effect is pure, token or side_effect. */
    public Config lane(
            String name, String effect, double importance, long goalMs, long deadlineMs, long keyTtlMs, boolean ordered) {
        lanes.add("{\"deadline_us\":" + deadlineMs * 1_000 + ",\"dedup_scope\":\"all\",\"effect\":\"" + effect
                + "\",\"goal_time_us\":" + goalMs * 1_000 + ",\"importance\":" + importance + ",\"key_ttl_us\":"
                + keyTtlMs * 1_000 + ",\"late_share\":0.5,\"name\":\"" + name + "\",\"sequential\":" + ordered
                + ",\"stream\":false}");
        return this;
    }

    /** The three classes of the brief. */
    public Config briefClasses() {
        return lane("quote-status", "pure", 2, 2_500, 24_000, 5_000, false)
                .lane("policy-order", "token", 1, 2_000, 20_000, 5_000, true)
                .lane("premium-charge", "side_effect", 4, 3_000, 16_000, 5_000, false);
    }

    public String json(String name, String listen, Platform platform) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + platform.address()
                + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\n\"known\":" + platform.known()
                + ",\n\"settings\":" + settings() + "}";
    }

    private String settings() {
        return "{\"allowed\":{\"cancel\":true,\"connect_timeout_us\":" + connectTimeoutUs
                + ",\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,\"keepalive_us\":" + keepaliveUs
                + ",\"max_attempts\":" + maxAttempts + ",\"max_retry_after_us\":3000000,\"may_probe\":false,\"open_cap\":"
                + openCap + ",\"parallel_tries\":false,\"peers\":false,\"retry_after\":true,\"streams_per_conn\":1},"
                + "\"az\":0,\"balancers\":" + balancers + ",\"callers\":{\"marks_retry\":false},\"family\":\"deliver\","
                + "\"family_info\":{\"calls_out\":" + slots + ",\"late\":\"even\",\"per_call\":[1,1],\"routes_apart\":"
                + "[false,false],\"toll\":[0.0],\"turned_away_price\":0.03},\"kinds\":[\"insurer\",\"small-partner\"],"
                + "\"lanes\":[" + String.join(",", lanes) + "],\"layers\":[\"partner-systems\"],\"membership_mode\":"
                + "\"pushed\",\"objective_mix\":{\"whole\":0.5,\"worst_class\":0.2,\"worst_tenant\":0.0,\"worst_window\":0.3},"
                + "\"over_share_worth\":0.1,\"parties\":[],\"prices\":{\"connection\":0.0,\"cross_zone\":0.0,"
                + "\"handshake\":0.06,\"late_fail\":0.03,\"membership_mode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,"
                + "\"probe\":0.0,\"waste\":0.03},\"reporting\":{\"how\":\"inline\",\"names\":[\"x0\",\"x1\"]},\"rules\":{"
                + "\"answer_slack_us\":20000,\"ask_within_us\":10000000,\"cold_us\":" + coldUs + ",\"drain_grace_us\":250000,"
                + "\"fall_multiple\":" + fallMultiple + ",\"fall_us\":" + fallUs + ",\"settle_after_doubt_us\":100000,"
                + "\"start_capacity\":" + startCapacity + "},\"slot_no\":0,\"tick_us\":5000,\"tier\":0,\"value_by\":"
                + "\"request\",\"weight_kind\":\"off\",\"zones\":[\"a\"]}";
    }
}
