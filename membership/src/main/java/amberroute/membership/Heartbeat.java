package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between daemons: who sends it, in which incarnation, how it sees destinations, and requests for and
 * grants of quota. At most {@value #MAX_DATAGRAM_BYTES} bytes, so that it is never fragmented. The form:
 *
 * <pre>
 * "AR", version 1, phase, length and bytes of the sender, incarnation (8), sequence (8),
 * count and updates: destination (4), health (1), three ages in ms (4 each), three floats (4 each),
 * count and loans: kind (1), destination (4), request number (8), fraction (4)
 * </pre>
 *
 * All numbers are big-endian. A datagram of another form, or with values out of range, is no heartbeat. Immutable.
 *
 * @param incarnation tells the processes of the sender apart and grows
 * @param sequence counts the sender's heartbeats
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

    /** Updates in one datagram. */
    public static final int MAX_UPDATES = 24;
    /** Loans in one datagram. */
    public static final int MAX_LOANS = 32;
    /** The largest age that can be said, in milliseconds: some twelve days. */
    public static final int MAX_AGE_MILLIS = 1 << 30;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;

    /** How one daemon sees a destination; NEW is one that has not answered it yet. Ordinals are on the wire. */
    public enum Health {
        NEW,
        HEALTHY,
        UNAVAILABLE,
        SLOW_START
    }

    /**
     * How one daemon sees a destination. Ages are milliseconds, -1 where there is none.
     *
     * @param outageAgoMillis since its outage began
     * @param recoveryAgoMillis since it recovered
     * @param successAgoMillis since it last answered
     * @param servedPerSecond messages that it answers this daemon now
     * @param peakPerSecond the most that all daemons together were answered
     * @param pendingMessages messages that wait for it here
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

    /** A request for a fraction of a destination's quota, or its answer under the same request number. */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /** The bytes to send, from 0 to the limit; an {@link IllegalArgumentException} where a bound is exceeded. */
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
        updates.forEach(update -> encodeUpdate(out, update));
        out.put((byte) loans.size());
        loans.forEach(loan -> encodeLoan(out, loan));
        return out.flip();
    }

    private static void encodeUpdate(ByteBuffer out, SlowStartUpdate update) {
        out.putInt(update.destination)
                .put((byte) update.health.ordinal())
                .putInt(update.outageAgoMillis)
                .putInt(update.recoveryAgoMillis)
                .putInt(update.successAgoMillis)
                .putFloat(update.servedPerSecond)
                .putFloat(update.peakPerSecond)
                .putFloat(update.pendingMessages);
    }

    private static void encodeLoan(ByteBuffer out, QuotaLoan loan) {
        out.put((byte) (loan.granted ? 1 : 0))
                .putInt(loan.destination)
                .putLong(loan.requestNumber)
                .putFloat(loan.fraction);
    }

    /** Reads a datagram; null where it is no heartbeat. */
    public static Heartbeat decode(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'R' || in.get() != VERSION) {
                return null;
            }
            int phase = in.get();
            byte[] name = new byte[DatagramChecks.intInRange(in.get(), 1, MAX_NAME_BYTES)];
            in.get(name);
            String sender = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long sequence = in.getLong();
            List<SlowStartUpdate> updates = new ArrayList<>();
            for (int remaining = DatagramChecks.intInRange(in.get(), 0, MAX_UPDATES); remaining > 0; remaining--) {
                updates.add(decodeUpdate(in));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int remaining = DatagramChecks.intInRange(in.get(), 0, MAX_LOANS); remaining > 0; remaining--) {
                loans.add(decodeLoan(in));
            }
            if (in.hasRemaining() || !sender.matches("[A-Za-z0-9._-]+") || sequence < 0 || incarnation < 0) {
                return null;
            }
            return new Heartbeat(
                    sender,
                    incarnation,
                    sequence,
                    MembershipView.Phase.values()[DatagramChecks.intInRange(phase, 0, 2)],
                    List.copyOf(updates),
                    List.copyOf(loans));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static SlowStartUpdate decodeUpdate(ByteBuffer in) {
        return new SlowStartUpdate(
                in.getInt(),
                Health.values()[DatagramChecks.intInRange(in.get(), 0, 3)],
                decodeAgeMillis(in),
                decodeAgeMillis(in),
                decodeAgeMillis(in),
                DatagramChecks.perSecond(in.getFloat()),
                DatagramChecks.perSecond(in.getFloat()),
                DatagramChecks.perSecond(in.getFloat()));
    }

    private static QuotaLoan decodeLoan(ByteBuffer in) {
        return new QuotaLoan(
                DatagramChecks.intInRange(in.get(), 0, 1) == 1,
                in.getInt(),
                in.getLong(),
                DatagramChecks.fraction(in.getFloat()));
    }

    private static int decodeAgeMillis(ByteBuffer in) {
        return DatagramChecks.intInRange(in.getInt(), -1, MAX_AGE_MILLIS);
    }
}
