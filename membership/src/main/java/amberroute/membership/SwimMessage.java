package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One datagram of SWIM membership: a ping, its acknowledgement or a request to ping somebody else, with updates of members. At
 * most {@value Heartbeat#MAX_DATAGRAM_BYTES} bytes. The version tells it from a {@link Heartbeat}; the form:
 *
 * <pre>
 * "AR", version 2, kind, sequence (8), the sender's incarnation (8), phase,
 * three texts, each with its length before it: sender, zone, target (may be empty),
 * count and updates: state (1), phase (1), incarnation (8), name and zone as texts
 * </pre>
 *
 * All numbers are big-endian. Immutable.
 *
 * @param target in a ping request and its negative acknowledgement the member that is asked for, else empty
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

    /** A ping, its acknowledgement, a request to ping the target, or that the target was asked. Ordinals are on the wire. */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        NACK
    }

    /** What is said of a member, from better to worse. Ordinals are on the wire. */
    public enum MemberState {
        ALIVE,
        SUSPECT,
        FAILED
    }

    /** Gossip on one member; the higher incarnation counts, and of the same one the worse state. */
    public record MemberUpdate(
            String name, MemberState state, long incarnation, MembershipView.Phase phase, String zone) {
        private static final int FIXED_BYTES = 12;

        int encodedBytes() {
            return FIXED_BYTES + name.length() + zone.length();
        }
    }

    /** Bytes for updates in one datagram, whatever the names before them. */
    static final int MAX_UPDATE_BYTES = Heartbeat.MAX_DATAGRAM_BYTES - 256;

    private static final byte VERSION = 2;
    private static final int MAX_TEXT_BYTES = 64;
    private static final int MAX_UPDATES = 100;

    /** The bytes to send, from 0 to the limit; an {@link IllegalArgumentException} for a name that is too long. */
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
            throw new IllegalArgumentException("too long for a datagram: " + text);
        }
        out.put((byte) bytes.length).put(bytes);
    }

    /** Reads a datagram; null where it is none of this kind. */
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
            throw new IllegalArgumentException("no plain word");
        }
        return text;
    }
}
