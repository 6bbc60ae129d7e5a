package amberroute.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One datagram of the membership protocol: a question, its answer or a request to ask somebody else, with news of members. At
 * most {@value Beat#MOST_BYTES} bytes. The form is ours, the version tells it from a {@link Beat}:
 *
 * <pre>
 * "AR", version 2, kind, number (8), the sender's incarnation (8), phase,
 * three texts, each with its length before it: sender, zone, target (may be empty),
 * count and news: state (1), phase (1), incarnation (8), name and zone as texts
 * </pre>
 */
public record Probe(
        Kind kind,
        long number,
        String from,
        long incarnation,
        FleetView.Phase phase,
        String zone,
        String target,
        List<News> news) {
    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._-]*");
    /** What it wants: an answer, is one, wants the target to be asked, or says that the target did not answer. */
    public enum Kind {
        PING,
        ACK,
        ASK,
        NACK
    }

    /** What is said of a member. */
    public enum State {
        ALIVE,
        SUSPECT,
        GONE
    }

    /** Of one member; the higher incarnation counts, and of the same one the worse state. */
    public record News(String name, State state, long incarnation, FleetView.Phase phase, String zone) {
        int bytes() {
            return 12 + name.length() + zone.length();
        }
    }

    /** Room for news in one datagram, whatever the names before them. */
    static final int NEWS_BYTES = Beat.MOST_BYTES - 256;

    private static final byte VERSION = 2;
    private static final int LONGEST = 64;
    private static final int MOST_NEWS = 100;

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer write() {
        ByteBuffer out = ByteBuffer.allocate(Beat.MOST_BYTES);
        out.put((byte) 'A')
                .put((byte) 'R')
                .put(VERSION)
                .put((byte) kind.ordinal())
                .putLong(number)
                .putLong(incarnation)
                .put((byte) phase.ordinal());
        text(out, from);
        text(out, zone);
        text(out, target);
        out.put((byte) news.size());
        for (News n : news) {
            out.put((byte) n.state.ordinal()).put((byte) n.phase.ordinal()).putLong(n.incarnation);
            text(out, n.name);
            text(out, n.zone);
        }
        return out.flip();
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        if (bytes.length > LONGEST) {
            throw new IllegalArgumentException("too long for a datagram: " + text);
        }
        out.put((byte) bytes.length).put(bytes);
    }

    /** Reads a datagram; null where it is none of this kind. */
    public static Probe read(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'R' || in.get() != VERSION) {
                return null;
            }
            Kind kind = Kind.values()[Ranges.within(in.get(), 0, Kind.values().length - 1)];
            long number = in.getLong();
            long incarnation = in.getLong();
            FleetView.Phase phase = phase(in);
            String from = text(in);
            String zone = text(in);
            String target = text(in);
            List<News> news = new ArrayList<>();
            for (int i = Ranges.within(in.get(), 0, MOST_NEWS); i > 0; i--) {
                State state = State.values()[Ranges.within(in.get(), 0, State.values().length - 1)];
                FleetView.Phase theirs = phase(in);
                long of = in.getLong();
                news.add(new News(text(in), state, of, theirs, text(in)));
            }
            return in.hasRemaining()
                            || from.isEmpty()
                            || incarnation < 0
                            || news.stream().anyMatch(n -> n.incarnation < 0)
                    ? null
                    : new Probe(kind, number, from, incarnation, phase, zone, target, List.copyOf(news));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static FleetView.Phase phase(ByteBuffer in) {
        return FleetView.Phase.values()[Ranges.within(in.get(), 0, FleetView.Phase.values().length - 1)];
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[Ranges.within(in.get(), 0, LONGEST)];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.US_ASCII);
        if (!PLAIN.matcher(text).matches()) {
            throw new IllegalArgumentException("no plain word");
        }
        return text;
    }
}
