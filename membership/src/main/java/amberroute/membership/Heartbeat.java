package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A heartbeat datagram between senders: the identity and incarnation of the sender, its view of destinations, and requests and
 * grants for quota lending. It has at most {@value #MAX_DATAGRAM_BYTES} bytes, so that it is never fragmented. The format, with sizes
 * in bytes:
 *
 * <pre>
 * "AR", version 1, phase, length and bytes of the sender, incarnation (8), sequence (8),
 * count and updates: destination (4), health (1), three ages in ms (4 each), three floats (4 each),
 * count and loans: kind (1), destination (4), request number (8), fraction (4)
 * </pre>
 *
 * All numbers are big-endian. A datagram in another format, or with values out of range, is not decoded. Immutable.
 *
 * @param incarnation increases with each new process of the sender
 * @param sequence increases with each heartbeat of one incarnation
 */
public record Heartbeat(
        String sender,
        long incarnation,
        long sequence,
        MembershipView.Phase phase,
        List<SlowStartUpdate> updates,
        List<QuotaLoan> loans) {
    /** Fits into the MTU of common links with room for the IP and UDP headers. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Maximum number of slow start updates in one datagram. */
    public static final int MAX_UPDATES = 24;
    /** Maximum number of quota loans in one datagram. */
    public static final int MAX_LOANS = 32;
    /** The largest age that can be encoded, in milliseconds: about twelve days. */
    public static final int MAX_AGE_MILLIS = 1 << 30;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;

    /** The health of a destination as one sender sees it; NEW if it has not answered this sender yet. The ordinals are sent on the wire. */
    public enum Health {
        NEW,
        HEALTHY,
        UNAVAILABLE,
        SLOW_START
    }

    /**
     * The state of a destination as one sender sees it. Ages are in milliseconds, -1 if the event has not happened.
     *
     * @param outageAgoMillis time since the outage of the destination began
     * @param recoveryAgoMillis time since the destination recovered
     * @param successAgoMillis time since the destination last answered
     * @param servedPerSecond the current rate of messages that the destination answers to this sender
     * @param peakPerSecond the highest rate of messages that the destination has answered to all senders together
     * @param pendingMessages the number of messages for the destination that are pending at this sender
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

    /**
     * A request to borrow a fraction of the quota of a destination, or the grant that answers the request of the same number.
     *
     * @param granted true for a grant, false for a request
     */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /**
     * Encodes the heartbeat into a buffer that is ready to be read.
     *
     * @throws IllegalArgumentException if the sender name is empty or too long, or if there are too many updates or loans
     */
    public ByteBuffer encode() {
        byte[] name = sender.getBytes(StandardCharsets.US_ASCII);
        if (name.length == 0
                || name.length > MAX_NAME_BYTES
                || updates.size() > MAX_UPDATES
                || loans.size() > MAX_LOANS) {
            throw new IllegalArgumentException("heartbeat needs a sender name of 1 to " + MAX_NAME_BYTES
                    + " bytes, at most " + MAX_UPDATES + " updates and at most " + MAX_LOANS + " loans");
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

    /** Decodes a datagram. Returns null if it is malformed or not a heartbeat. */
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
