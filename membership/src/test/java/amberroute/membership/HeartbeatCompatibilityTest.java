package amberroute.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import amberroute.membership.Heartbeat.Health;
import amberroute.membership.Heartbeat.QuotaLoan;
import amberroute.membership.Heartbeat.SlowStartUpdate;
import amberroute.membership.MembershipView.Phase;
import amberroute.membership.SwimMessage.Kind;
import amberroute.membership.SwimMessage.MemberState;
import amberroute.membership.SwimMessage.MemberUpdate;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the datagram formats against datagrams recorded from version 131520b. During a rolling upgrade old and new senders run in the same
 * fleet, so each version must read the datagrams of the other.
 */
class HeartbeatCompatibilityTest {
    private static final Map<String, Heartbeat> HEARTBEATS = Map.of(
            "heartbeat_empty",
            new Heartbeat("s1", 1_700_000_000_000L, 7, Phase.STARTING, List.of(), List.of()),
            "heartbeat_updates",
            new Heartbeat(
                    "sender-2.east_b",
                    5,
                    9_000_000_000L,
                    Phase.READY,
                    List.of(
                            new SlowStartUpdate(1, Health.NEW, -1, -1, -1, 0f, 0f, 0f),
                            new SlowStartUpdate(-7, Health.HEALTHY, 120_000, 90_000, 3, 125.5f, 3_000.25f, 0f),
                            new SlowStartUpdate(70_000, Health.UNAVAILABLE, 1 << 30, -1, 250, 0f, 812.75f, 40f),
                            new SlowStartUpdate(4, Health.SLOW_START, 2_000, 1_500, 0, 1e9f, 1f, 0.5f)),
                    List.of()),
            "heartbeat_loans",
            new Heartbeat(
                    "s3",
                    1,
                    2,
                    Phase.DRAINING,
                    List.of(),
                    List.of(
                            new QuotaLoan(false, 4, 123_456_789_012L, 0.25f),
                            new QuotaLoan(true, 4, -3, 0f),
                            new QuotaLoan(true, 9, 8, 1f))));

    private static final Map<String, SwimMessage> SWIM_MESSAGES = Map.of(
            "swim_ping",
            new SwimMessage(Kind.PING, 1, "one", 0, Phase.STARTING, "-", "", List.of()),
            "swim_ack",
            new SwimMessage(
                    Kind.ACK,
                    Long.MAX_VALUE,
                    "two",
                    1_700_000_000_000L,
                    Phase.READY,
                    "zone-a",
                    "",
                    List.of(
                            new MemberUpdate("three", MemberState.ALIVE, 3, Phase.READY, "zone-b"),
                            new MemberUpdate("four", MemberState.SUSPECT, 0, Phase.DRAINING, ""),
                            new MemberUpdate("five", MemberState.FAILED, 9, Phase.STARTING, "z"))),
            "swim_ping_request",
            new SwimMessage(Kind.PING_REQUEST, -4, "a.b_c-d", 2, Phase.DRAINING, "", "three", List.of()),
            "swim_nack",
            new SwimMessage(Kind.NACK, 77, "one", 2, Phase.READY, "z1", "three", List.of()));

    @ParameterizedTest
    @ValueSource(strings = {"heartbeat_empty", "heartbeat_updates", "heartbeat_loans"})
    void recordedHeartbeatDecodesAndEncodesIdentically(String name) throws IOException {
        byte[] datagram = recordedDatagrams().get(name);
        Heartbeat expected = HEARTBEATS.get(name);
        assertEquals(expected, Heartbeat.decode(ByteBuffer.wrap(datagram)));
        assertEquals(hex(datagram), hex(expected.encode()));
        assertNull(SwimMessage.decode(ByteBuffer.wrap(datagram)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"swim_ping", "swim_ack", "swim_ping_request", "swim_nack"})
    void recordedSwimMessageDecodesAndEncodesIdentically(String name) throws IOException {
        byte[] datagram = recordedDatagrams().get(name);
        SwimMessage expected = SWIM_MESSAGES.get(name);
        assertEquals(expected, SwimMessage.decode(ByteBuffer.wrap(datagram)));
        assertEquals(hex(datagram), hex(expected.encode()));
        assertNull(Heartbeat.decode(ByteBuffer.wrap(datagram)));
    }

    @Test
    void everyRecordedDatagramHasAnExpectedMessage() throws IOException {
        Map<String, byte[]> datagrams = recordedDatagrams();
        assertEquals(HEARTBEATS.size() + SWIM_MESSAGES.size(), datagrams.size());
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static String hex(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return hex(bytes);
    }

    private static Map<String, byte[]> recordedDatagrams() throws IOException {
        Map<String, byte[]> datagrams = new HashMap<>();
        try (InputStream in =
                HeartbeatCompatibilityTest.class.getResourceAsStream("/compatibility/131520b/heartbeats.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
                String[] nameAndHex = line.split(" ");
                datagrams.put(nameAndHex[0], HexFormat.of().parseHex(nameAndHex[1]));
            }
        }
        return datagrams;
    }
}
