package amberroute.simulator;

import amberroute.decisions.DeliveryScheduler;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the action records of one reply. */
final class Replies implements DeliveryScheduler.Actions {
    private static final int HEADER = 12;
    private static final int RECORD = 24;

    private ByteBuffer records = buffer(1 << 12);
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;
    private int instance;

    /** Starts an empty reply. */
    void clear() {
        records.clear();
        tail.reset();
        count = 0;
    }

    /** Names the instance that acts from here on. */
    void actFor(int newInstance) {
        instance = newInstance;
    }

    /** The whole frame that answers a batch. */
    byte[] frame(int sequence) {
        int body = count * RECORD + tail.size();
        ByteBuffer out = buffer(HEADER + body);
        out.putInt(count).putInt(body).putInt(sequence);
        out.put(records.array(), 0, count * RECORD).put(tail.toByteArray());
        return out.array();
    }

    /** Declares that the decision code failed. */
    void broken(String text) {
        withText(265, text);
    }

    @Override
    public void send(long id, long endpoint, long giveUpAt) {
        ByteBuffer r = record(256).putInt((int) id);
        putEndpoint(r, endpoint).putLong(giveUpAt);
    }

    @Override
    public void reject(long id, long retryAfter) {
        record(257).putInt((int) id).putInt((int) retryAfter);
    }

    @Override
    public void fail(long id) {
        record(258).putInt((int) id);
    }

    @Override
    public void cancel(long id, int attempt) {
        record(259).putInt((int) id).put((byte) attempt);
    }

    @Override
    public void closeIdle(long endpoint) {
        putEndpoint(record(262), endpoint);
    }

    @Override
    public void scheduleTimer(long delay, long token) {
        record(260).putInt((int) delay).putLong(token);
    }

    @Override
    public void subscribe() {
        record(266).put((byte) 1);
    }

    private void withText(int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        record(code).putInt(tail.size()).putInt(bytes.length);
        tail.write(bytes, 0, bytes.length);
    }

    private ByteBuffer record(int code) {
        int at = count * RECORD;
        if (records.capacity() < at + RECORD) {
            records = ByteBuffer.wrap(Arrays.copyOf(records.array(), records.capacity() * 2))
                    .order(ByteOrder.LITTLE_ENDIAN);
        }
        count++;
        Arrays.fill(records.array(), at, at + RECORD, (byte) 0);
        return records.position(at).putShort((short) code).putShort((short) instance);
    }

    private static ByteBuffer putEndpoint(ByteBuffer r, long endpoint) {
        return r.putInt((int) (endpoint >>> 16)).putShort((short) endpoint);
    }

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }
}
