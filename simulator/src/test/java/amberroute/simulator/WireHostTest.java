package amberroute.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.settings.InvalidSettingsException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Frames written by hand from the layout of the wire. */
class WireHostTest {
    private static final String FACTS =
            """
            balancers=2
            tick_us=5000
            membership_mode=pushed
            kinds=a
            family_info.calls_out=4
            family_info.per_call=1
            family_info.routes_apart=false
            allowed.open_cap=20
            allowed.max_attempts=3
            allowed.max_retry_after_us=1000
            allowed.streams_per_conn=1
            allowed.keepalive_us=1000000
            allowed.connect_timeout_us=1000000
            rules.answer_slack_us=20000
            rules.ask_within_us=1000000
            rules.start_capacity=0.2
            rules.cold_us=9000000
            rules.fall_multiple=2.0
            rules.fall_us=3000000
            lanes.count=1
            lanes.0.importance=1.0
            lanes.0.goal_time_us=1000000
            lanes.0.deadline_us=8000000
            lanes.0.effect=pure
            unknown.setting=ignored
            """;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;

    private WireHostTest record(int code, int who, String rest) {
        ByteBuffer r = ByteBuffer.allocate(48).order(ByteOrder.LITTLE_ENDIAN);
        r.putShort((short) code).putShort((short) who).put(HexFormat.of().parseHex(rest.replace(" ", "")));
        records.writeBytes(r.array());
        count++;
        return this;
    }

    private WireHostTest provision(int who, String facts) {
        byte[] text = facts.getBytes(StandardCharsets.UTF_8);
        record(259, who, "0100000000000000" + le(tail.size()) + le(text.length));
        tail.writeBytes(text);
        return this;
    }

    private static String le(int value) {
        return HexFormat.of()
                .formatHex(ByteBuffer.allocate(4)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(value)
                        .array());
    }

    private byte[] batch(long now, int sequence) {
        int size = records.size() + tail.size();
        ByteBuffer out = ByteBuffer.allocate(20 + size).order(ByteOrder.LITTLE_ENDIAN);
        out.putInt(size).putInt(count).putLong(now).putInt(sequence);
        out.put(records.toByteArray()).put(tail.toByteArray());
        records.reset();
        tail.reset();
        count = 0;
        return out.array();
    }

    private static byte[] serve(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(AtcDeliveryScheduler::new).serve(new ByteArrayInputStream(input), out);
        return out.toByteArray();
    }

    @Test
    void emptyBatchHasAnEmptyReply() throws IOException {
        byte[] in = HexFormat.of().parseHex("00000000000000005a5c80000000000001000000");
        assertArrayEquals(HexFormat.of().parseHex("000000000000000001000000"), serve(in));
    }

    @Test
    void idleConnectionsAreShutByTheWiresClose() {
        Replies replies = new Replies();
        replies.clear();
        replies.actFor(3);
        replies.closeIdle(0x074a120aL << 16 | 0x1b5b);
        assertArrayEquals(
                HexFormat.of()
                        .parseHex("010000001800000009000000" + "060103000a124a075b1b" + "0000000000000000000000000000"),
                replies.frame(9));
    }

    @Test
    void messageIsSentToItsEndpoint() throws IOException {
        provision(3, FACTS);
        record(258, 0, "0000" + le(tail.size()) + le(1));
        tail.writeBytes(HexFormat.of().parseHex("0a124a075b1b3900010000000000000000" + "0000803f" + "00000000"));
        record(257, 3, "00" + le(1) + le(0));
        record(265, 3, "c4913afd" + "0000" + le(0) + "0000000000000000" + le(8_000_000) + le(0) + "00006442" + "00");
        byte[] reply = serve(batch(1_000_000, 9));
        ByteBuffer r = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(9, r.getInt(8));
        assertEquals(256, r.getShort(12));
        assertEquals(3, r.getShort(14));
        assertEquals("c4913afd" + "0a124a075b1b", HexFormat.of().formatHex(reply, 16, 26));
        assertTrue(r.getLong(26) > 1_000_000 && r.getLong(26) <= 9_000_000);
    }

    @Test
    void everyOutcomeIsRead() throws IOException {
        List<DeliveryScheduler.Event> seen = new ArrayList<>();
        provision(1, FACTS);
        record(
                264,
                1,
                "0700000002" + "0a124a075b1b" + "0b" + le(1234) + "00" + le(250) + "02" + "0000803f" + "00000040"
                        + "00000000" + "00000000");
        byte[] in = batch(1, 1);
        new WireHost(s -> (now, event, actions) -> seen.add(event))
                .serve(new ByteArrayInputStream(in), new ByteArrayOutputStream());
        DeliveryScheduler.Event.AttemptCompleted o =
                assertInstanceOf(DeliveryScheduler.Event.AttemptCompleted.class, seen.get(0));
        assertEquals(
                new DeliveryScheduler.Event.AttemptCompleted(
                        7,
                        2,
                        0x074a120a1b5bL,
                        DeliveryScheduler.AttemptOutcome.FULL,
                        1234,
                        false,
                        250_000,
                        List.of(1.0, 2.0)),
                o);
        assertInstanceOf(DeliveryScheduler.Event.Decide.class, seen.get(1));
    }

    @Test
    void restartUnderTheSameNumberInOneBatch() throws IOException {
        provision(1, FACTS).record(262, 1, "").provision(1, FACTS);
        assertEquals(12, serve(batch(1, 1)).length);
    }

    @Test
    void failureOfTheModuleIsReported() throws IOException {
        provision(1, FACTS);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(s -> (now, event, actions) -> {
                    throw new IllegalStateException("odd");
                })
                .serve(new ByteArrayInputStream(batch(1, 1)), out);
        assertEquals(
                265,
                ByteBuffer.wrap(out.toByteArray())
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .getShort(12));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("odd"));
    }

    @Test
    void badInputIsNamed() {
        assertTrue(failure(new byte[7]).contains("truncated"));
        assertTrue(failure(record(999, 1, "").batch(1, 1)).contains("999"));
        assertTrue(failure(record(259, 1, "0100000000000000" + le(5) + le(90)).batch(1, 1))
                .contains("tail"));
        assertTrue(failure(provision(1, FACTS.replace("balancers=2", "balancers=x"))
                        .batch(1, 1))
                .contains("balancers"));
        assertTrue(failure(provision(1, FACTS.replace("balancers=2", "balancers=0"))
                        .batch(1, 1))
                .contains("senders"));
    }

    private static String failure(byte[] input) {
        return assertThrows(InvalidSettingsException.class, () -> serve(input)).getMessage();
    }
}
