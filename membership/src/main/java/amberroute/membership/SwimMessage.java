package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A datagram of the SWIM protocol: a ping, an acknowledgement, a request to ping another member or a negative acknowledgement, with
 * piggybacked membership updates. It has at most {@value Heartbeat#MAX_DATAGRAM_BYTES} bytes and is told apart from a {@link Heartbeat}
 * by its version. The format, with sizes in bytes:
 *
 * <pre>
 * "AR", version 2, kind, sequence (8), the sender's incarnation (8), phase,
 * three length-prefixed strings: sender, zone, target (may be empty),
 * count and updates: state (1), phase (1), incarnation (8), name and zone as length-prefixed strings
 * </pre>
 *
 * All numbers are big-endian. Immutable.
 *
 * @param target the member to ping in a ping request, and the member that a forwarded or negative acknowledgement is about; otherwise empty
 */
public record SwimMessage(
        Kind kind,
        long sequence,
        String sender,
        long incarnation,
        MembershipView.Phase phase,
        String zone,
        String target,
        List<MemberUpdate> updates) {
    private static final Pattern PLAIN_TEXT = Pattern.compile("[A-Za-z0-9._-]*");

    /**
     * The message type. A member sends a NACK to confirm that it received a ping request and has pinged the target. The ordinals are
     * sent on the wire.
     */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        NACK
    }

    /** The reported state of a member, in order of increasing severity. The ordinals are sent on the wire. */
    public enum MemberState {
        ALIVE,
        SUSPECT,
        FAILED
    }

    /** A gossiped update about one member. The higher incarnation wins and, within an incarnation, the more severe state. */
    public record MemberUpdate(
            String name, MemberState state, long incarnation, MembershipView.Phase phase, String zone) {
        private static final int FIXED_BYTES = 12;

        int encodedBytes() {
            return FIXED_BYTES + name.length() + zone.length();
        }
    }

    /** The space for updates in one datagram; the remainder holds the header with names and zones of the maximum length. */
    static final int MAX_UPDATE_BYTES = Heartbeat.MAX_DATAGRAM_BYTES - 256;

    private static final byte VERSION = 2;
    private static final int MAX_TEXT_BYTES = 64;
    private static final int MAX_UPDATES = 100;

    /**
     * Encodes the message into a buffer that is ready to be read.
     *
     * @throws IllegalArgumentException if a string has more than 64 bytes
     */
    public ByteBuffer encode() {
        ByteBuffer out = ByteBuffer.allocate(Heartbeat.MAX_DATAGRAM_BYTES);
        out.put((byte) 'A')
                .put((byte) 'R')
                .put(VERSION)
                .put((byte) kind.ordinal())
                .putLong(sequence)
                .putLong(incarnation)
                .put((byte) phase.ordinal());
        encodeText(out, sender);
        encodeText(out, zone);
        encodeText(out, target);
        out.put((byte) updates.size());
        for (MemberUpdate update : updates) {
            out.put((byte) update.state.ordinal())
                    .put((byte) update.phase.ordinal())
                    .putLong(update.incarnation);
            encodeText(out, update.name);
            encodeText(out, update.zone);
        }
        return out.flip();
    }

    private static void encodeText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException(
                    "string in datagram has more than " + MAX_TEXT_BYTES + " bytes: " + text);
        }
        out.put((byte) bytes.length).put(bytes);
    }

    /** Decodes a datagram. Returns null if it is malformed or not a SWIM message. */
    public static SwimMessage decode(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'R' || in.get() != VERSION) {
                return null;
            }
            Kind kind = Kind.values()[DatagramChecks.intInRange(in.get(), 0, Kind.values().length - 1)];
            long sequence = in.getLong();
            long incarnation = in.getLong();
            MembershipView.Phase phase = decodePhase(in);
            String sender = decodeText(in);
            String zone = decodeText(in);
            String target = decodeText(in);
            List<MemberUpdate> updates = new ArrayList<>();
            for (int remaining = DatagramChecks.intInRange(in.get(), 0, MAX_UPDATES); remaining > 0; remaining--) {
                updates.add(decodeUpdate(in));
            }
            return in.hasRemaining()
                            || sender.isEmpty()
                            || incarnation < 0
                            || updates.stream().anyMatch(update -> update.incarnation < 0)
                    ? null
                    : new SwimMessage(kind, sequence, sender, incarnation, phase, zone, target, List.copyOf(updates));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static MemberUpdate decodeUpdate(ByteBuffer in) {
        MemberState state =
                MemberState.values()[DatagramChecks.intInRange(in.get(), 0, MemberState.values().length - 1)];
        MembershipView.Phase phase = decodePhase(in);
        long incarnation = in.getLong();
        return new MemberUpdate(decodeText(in), state, incarnation, phase, decodeText(in));
    }

    private static MembershipView.Phase decodePhase(ByteBuffer in) {
        return MembershipView.Phase.values()[
                DatagramChecks.intInRange(in.get(), 0, MembershipView.Phase.values().length - 1)];
    }

    private static String decodeText(ByteBuffer in) {
        byte[] bytes = new byte[DatagramChecks.intInRange(in.get(), 0, MAX_TEXT_BYTES)];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.US_ASCII);
        if (!PLAIN_TEXT.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "string in datagram has characters other than letters, digits, dot, underscore and hyphen");
        }
        return text;
    }
}
