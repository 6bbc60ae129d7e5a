package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between daemons: who says it, in which of its lives, what it has to tell of partners, and requests for and
 * grants of shares. At most {@value #MAX_DATAGRAM_BYTES} bytes, so that it is never cut up on the way. The form is ours:
 *
 * <pre>
 * "AR", version 1, phase, length and bytes of the name, incarnation (8), number (8),
 * count and news: destination (4), health (1), three ages in ms (4 each), three floats (4 each),
 * count and loans: kind (1), destination (4), number (8), part (4)
 * </pre>
 *
 * All numbers are big-endian. What is not so, or has values out of range, is no beat.
 */
public record Heartbeat(
        String sender,
        long incarnation,
        long sequence,
        MembershipView.Phase phase,
        List<SlowStartUpdate> updates,
        List<QuotaLoan> loans) {
    /** Below what any link carries whole. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    public static final int MAX_UPDATES = 24;
    public static final int MAX_LOANS = 32;
    /** The largest age that can be told, in milliseconds: some twelve days. */
    public static final int MAX_AGE_MILLIS = 1 << 30;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;

    /** How a partner fares as one daemon sees it; NEW is one that has not answered it yet. */
    public enum Health {
        NEW,
        HEALTHY,
        UNAVAILABLE,
        SLOW_START
    }

    /**
     * Of one partner: ages in milliseconds since its outage began, since it came back, and since it last answered (-1 where
     * there is none), messages a second that it answers this daemon now, what all together were answered at their best, and
     * how many messages wait for it here.
     */
    public record SlowStartUpdate(
            int destination,
            Health health,
            int outageAgoMillis,
            int recoveryAgoMillis,
            int successAgoMillis,
            float servedPerSecond,
            float peakPerSecond,
            float pendingMessages) {}

    /** A request for a part of a partner's limit, or its answer under the same number. */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer encode() {
        byte[] name = sender.getBytes(StandardCharsets.US_ASCII);
        if (name.length == 0
                || name.length > MAX_NAME_BYTES
                || updates.size() > MAX_UPDATES
                || loans.size() > MAX_LOANS) {
            throw new IllegalArgumentException("too much for a datagram");
        }
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.put((byte) 'A')
                .put((byte) 'R')
                .put(VERSION)
                .put((byte) phase.ordinal())
                .put((byte) name.length)
                .put(name);
        out.putLong(incarnation).putLong(sequence).put((byte) updates.size());
        for (SlowStartUpdate n : updates) {
            out.putInt(n.destination)
                    .put((byte) n.health.ordinal())
                    .putInt(n.outageAgoMillis)
                    .putInt(n.recoveryAgoMillis)
                    .putInt(n.successAgoMillis)
                    .putFloat(n.servedPerSecond)
                    .putFloat(n.peakPerSecond)
                    .putFloat(n.pendingMessages);
        }
        out.put((byte) loans.size());
        for (QuotaLoan l : loans) {
            out.put((byte) (l.granted ? 1 : 0))
                    .putInt(l.destination)
                    .putLong(l.requestNumber)
                    .putFloat(l.fraction);
        }
        return out.flip();
    }

    /** Reads a datagram; null where it is none of ours. */
    public static Heartbeat decode(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'R' || in.get() != VERSION) {
                return null;
            }
            int phase = in.get();
            byte[] name = new byte[DatagramChecks.intInRange(in.get(), 1, MAX_NAME_BYTES)];
            in.get(name);
            String from = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long number = in.getLong();
            List<SlowStartUpdate> news = new ArrayList<>();
            for (int i = DatagramChecks.intInRange(in.get(), 0, MAX_UPDATES); i > 0; i--) {
                news.add(new SlowStartUpdate(
                        in.getInt(),
                        Health.values()[DatagramChecks.intInRange(in.get(), 0, 3)],
                        checkedAgeMillis(in.getInt()),
                        checkedAgeMillis(in.getInt()),
                        checkedAgeMillis(in.getInt()),
                        DatagramChecks.perSecond(in.getFloat()),
                        DatagramChecks.perSecond(in.getFloat()),
                        DatagramChecks.perSecond(in.getFloat())));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int i = DatagramChecks.intInRange(in.get(), 0, MAX_LOANS); i > 0; i--) {
                loans.add(new QuotaLoan(
                        DatagramChecks.intInRange(in.get(), 0, 1) == 1,
                        in.getInt(),
                        in.getLong(),
                        DatagramChecks.fraction(in.getFloat())));
            }
            if (in.hasRemaining() || !from.matches("[A-Za-z0-9._-]+") || number < 0 || incarnation < 0) {
                return null;
            }
            return new Heartbeat(
                    from,
                    incarnation,
                    number,
                    MembershipView.Phase.values()[DatagramChecks.intInRange(phase, 0, 2)],
                    List.copyOf(news),
                    List.copyOf(loans));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static int checkedAgeMillis(int value) {
        return DatagramChecks.intInRange(value, -1, MAX_AGE_MILLIS);
    }
}
