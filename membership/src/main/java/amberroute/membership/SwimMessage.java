package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One datagram of the membership protocol: a question, its answer or a request to ask somebody else, with news of members. At
 * most {@value Heartbeat#MAX_DATAGRAM_BYTES} bytes. The form is ours, the version tells it from a {@link Heartbeat}:
 *
 * <pre>
 * "AR", version 2, kind, number (8), the sender's incarnation (8), phase,
 * three texts, each with its length before it: sender, zone, target (may be empty),
 * count and news: state (1), phase (1), incarnation (8), name and zone as texts
 * </pre>
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
    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._-]*");
    /** What it wants: an answer, is one, wants the target to be asked, or says that the target did not answer. */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        NACK
    }

    /** What is said of a member. */
    public enum MemberState {
        ALIVE,
        SUSPECT,
        FAILED
    }

    /** Of one member; the higher incarnation counts, and of the same one the worse state. */
    public record MemberUpdate(
            String name, MemberState state, long incarnation, MembershipView.Phase phase, String zone) {
        int encodedBytes() {
            return 12 + name.length() + zone.length();
        }
    }

    /** Room for news in one datagram, whatever the names before them. */
    static final int MAX_UPDATE_BYTES = Heartbeat.MAX_DATAGRAM_BYTES - 256;

    private static final byte VERSION = 2;
    private static final int MAX_TEXT_BYTES = 64;
    private static final int MAX_UPDATES = 100;

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer encode() {
        ByteBuffer out = ByteBuffer.allocate(Heartbeat.MAX_DATAGRAM_BYTES);
        out.put((byte) 'A')
                .put((byte) 'R')
                .put(VERSION)
                .put((byte) kind.ordinal())
                .putLong(sequence)
                .putLong(incarnation)
                .put((byte) phase.ordinal());
        text(out, sender);
        text(out, zone);
        text(out, target);
        out.put((byte) updates.size());
        for (MemberUpdate n : updates) {
            out.put((byte) n.state.ordinal()).put((byte) n.phase.ordinal()).putLong(n.incarnation);
            text(out, n.name);
            text(out, n.zone);
        }
        return out.flip();
    }

    private static void text(ByteBuffer out, String text) {
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
            long number = in.getLong();
            long incarnation = in.getLong();
            MembershipView.Phase phase = phase(in);
            String from = text(in);
            String zone = text(in);
            String target = text(in);
            List<MemberUpdate> news = new ArrayList<>();
            for (int i = DatagramChecks.intInRange(in.get(), 0, MAX_UPDATES); i > 0; i--) {
                MemberState state =
                        MemberState.values()[DatagramChecks.intInRange(in.get(), 0, MemberState.values().length - 1)];
                MembershipView.Phase theirs = phase(in);
                long of = in.getLong();
                news.add(new MemberUpdate(text(in), state, of, theirs, text(in)));
            }
            return in.hasRemaining()
                            || from.isEmpty()
                            || incarnation < 0
                            || news.stream().anyMatch(n -> n.incarnation < 0)
                    ? null
                    : new SwimMessage(kind, number, from, incarnation, phase, zone, target, List.copyOf(news));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static MembershipView.Phase phase(ByteBuffer in) {
        return MembershipView.Phase.values()[
                DatagramChecks.intInRange(in.get(), 0, MembershipView.Phase.values().length - 1)];
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[DatagramChecks.intInRange(in.get(), 0, MAX_TEXT_BYTES)];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.US_ASCII);
        if (!PLAIN.matcher(text).matches()) {
            throw new IllegalArgumentException("no plain word");
        }
        return text;
    }
}
