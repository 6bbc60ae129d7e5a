package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between daemons: who says it, in which of its lives, what it has to tell of partners, and requests for and
 * grants of shares. At most {@value #MOST_BYTES} bytes, so that it is never cut up on the way. The form is ours:
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
        String from,
        long incarnation,
        long number,
        MembershipView.Phase phase,
        List<SlowStartUpdate> news,
        List<QuotaLoan> loans) {
    /** Below what any link carries whole. */
    public static final int MOST_BYTES = 1_400;

    public static final int MOST_NEWS = 24;
    public static final int MOST_LOANS = 32;
    /** The largest age that can be told, in milliseconds: some twelve days. */
    public static final int LONGEST_AGE = 1 << 30;

    private static final byte VERSION = 1;
    private static final int LONGEST_NAME = 64;

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
            int outAgo,
            int backAgo,
            int okAgo,
            float served,
            float usual,
            float waiting) {}

    /** A request for a part of a partner's limit, or its answer under the same number. */
    public record QuotaLoan(boolean grant, int destination, long number, float part) {}

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer write() {
        byte[] name = from.getBytes(StandardCharsets.US_ASCII);
        if (name.length == 0 || name.length > LONGEST_NAME || news.size() > MOST_NEWS || loans.size() > MOST_LOANS) {
            throw new IllegalArgumentException("too much for a datagram");
        }
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.put((byte) 'A')
                .put((byte) 'R')
                .put(VERSION)
                .put((byte) phase.ordinal())
                .put((byte) name.length)
                .put(name);
        out.putLong(incarnation).putLong(number).put((byte) news.size());
        for (SlowStartUpdate n : news) {
            out.putInt(n.destination)
                    .put((byte) n.health.ordinal())
                    .putInt(n.outAgo)
                    .putInt(n.backAgo)
                    .putInt(n.okAgo)
                    .putFloat(n.served)
                    .putFloat(n.usual)
                    .putFloat(n.waiting);
        }
        out.put((byte) loans.size());
        for (QuotaLoan l : loans) {
            out.put((byte) (l.grant ? 1 : 0))
                    .putInt(l.destination)
                    .putLong(l.number)
                    .putFloat(l.part);
        }
        return out.flip();
    }

    /** Reads a datagram; null where it is none of ours. */
    public static Heartbeat read(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'R' || in.get() != VERSION) {
                return null;
            }
            int phase = in.get();
            byte[] name = new byte[DatagramChecks.within(in.get(), 1, LONGEST_NAME)];
            in.get(name);
            String from = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long number = in.getLong();
            List<SlowStartUpdate> news = new ArrayList<>();
            for (int i = DatagramChecks.within(in.get(), 0, MOST_NEWS); i > 0; i--) {
                news.add(new SlowStartUpdate(
                        in.getInt(),
                        Health.values()[DatagramChecks.within(in.get(), 0, 3)],
                        age(in.getInt()),
                        age(in.getInt()),
                        age(in.getInt()),
                        DatagramChecks.rate(in.getFloat()),
                        DatagramChecks.rate(in.getFloat()),
                        DatagramChecks.rate(in.getFloat())));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int i = DatagramChecks.within(in.get(), 0, MOST_LOANS); i > 0; i--) {
                loans.add(new QuotaLoan(
                        DatagramChecks.within(in.get(), 0, 1) == 1,
                        in.getInt(),
                        in.getLong(),
                        DatagramChecks.part(in.getFloat())));
            }
            if (in.hasRemaining() || !from.matches("[A-Za-z0-9._-]+") || number < 0 || incarnation < 0) {
                return null;
            }
            return new Heartbeat(
                    from,
                    incarnation,
                    number,
                    MembershipView.Phase.values()[DatagramChecks.within(phase, 0, 2)],
                    List.copyOf(news),
                    List.copyOf(loans));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static int age(int value) {
        return DatagramChecks.within(value, -1, LONGEST_AGE);
    }
}
