package amberroute.simulator;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.decisions.settings.PlatformSettingsReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Translates batches of the wire into events for the instances, and their actions into replies. */
final class WireHost {
    private static final int HEADER = 20;
    private static final int RECORD = 48;
    private static final int ENTRY = 25;
    private static final int PAGES = 16;

    private final Function<DeliveryScheduler.Settings, DeliveryScheduler> maker;
    private final Map<Integer, DeliveryScheduler> instances = new HashMap<>();
    private final Set<Integer> touched = new LinkedHashSet<>();
    private final List<List<DeliveryScheduler.EndpointEntry>> pages = new ArrayList<>();
    private final Replies replies = new Replies();
    private ByteBuffer body;
    private int tailAt;

    WireHost(Function<DeliveryScheduler.Settings, DeliveryScheduler> maker) {
        this.maker = maker;
        for (int i = 0; i < PAGES; i++) {
            pages.add(List.of());
        }
    }

    /** Answers every batch until the input ends. */
    void serve(InputStream in, OutputStream out) throws IOException {
        for (byte[] head = in.readNBytes(HEADER); head.length > 0; head = in.readNBytes(HEADER)) {
            if (head.length < HEADER) {
                throw new InvalidSettingsException("truncated frame: header of " + head.length + " bytes");
            }
            ByteBuffer h = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
            int length = h.getInt(0);
            int sequence = h.getInt(16);
            byte[] content = length < 0 ? new byte[0] : in.readNBytes(length);
            if (length < 0 || content.length < length) {
                throw new InvalidSettingsException("truncated frame: batch " + Integer.toUnsignedString(sequence));
            }
            out.write(answer(content, h.getInt(4), h.getLong(8), sequence));
            out.flush();
        }
    }

    private byte[] answer(byte[] content, int count, long now, int sequence) {
        body = ByteBuffer.wrap(content).order(ByteOrder.LITTLE_ENDIAN);
        if (count < 0 || (long) count * RECORD > content.length) {
            throw new InvalidSettingsException("batch " + Integer.toUnsignedString(sequence) + " is too short for its "
                    + Integer.toUnsignedString(count) + " records");
        }
        tailAt = count * RECORD;
        replies.clear();
        touched.clear();
        for (int i = 0; i < count; i++) {
            take(i * RECORD, now);
        }
        Event turn = new Event.Decide();
        for (int instance : touched) {
            pass(instance, now, turn);
        }
        return replies.frame(sequence);
    }

    private void take(int at, long now) {
        int code = body.getShort(at) & 0xffff;
        int who = body.getShort(at + 2) & 0xffff;
        switch (code) {
            case 256 -> note(who, now, new Event.PeerMessageReceived(u32(at + 4), bytes(at + 8)));
            case 257 -> note(who, now, listing(at));
            case 258 -> pages.set(page(u32(at + 2), at), entries(at + 6));
            case 259 -> provision(who, at);
            case 260 -> note(
                    who, now, new Event.HealthCheckCompleted(endpoint(at + 9), ending(body.get(at + 4)), u32(at + 5)));
            case 261 -> note(who, now, new Event.TimerExpired(body.getLong(at + 4)));
            case 262 -> {
                instances.remove(who);
                touched.remove(who);
            }
            case 263 -> note(who, now, new Event.MessageCancelled(u32(at + 4)));
            case 264 -> note(who, now, outcome(at));
            case 265 -> note(
                    who,
                    now,
                    new Event.MessageSubmitted(
                            u32(at + 4),
                            body.getShort(at + 8) & 0xffff,
                            body.getInt(at + 10),
                            body.getLong(at + 14),
                            u32(at + 22),
                            (int) body.getFloat(at + 30)));
            case 266 -> note(who, now, new Event.StreamStarted(u32(at + 4), body.get(at + 18) & 0xff));
            default -> throw new InvalidSettingsException("unknown event code " + code + " at byte " + at);
        }
    }

    private void provision(int who, int at) {
        String text = new String(bytes(at + 12), StandardCharsets.UTF_8);
        try {
            instances.put(who, maker.apply(new PlatformSettingsReader(text).settings(body.getLong(at + 4))));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("instance " + who + ": " + e.getMessage());
        }
        touched.add(who);
    }

    private void note(int who, long now, Event event) {
        touched.add(who);
        pass(who, now, event);
    }

    private void pass(int who, long now, Event event) {
        DeliveryScheduler relay = instances.get(who);
        if (relay == null) {
            throw new InvalidSettingsException("event for instance " + who + " before its start");
        }
        replies.actFor(who);
        try {
            relay.step(now, event, replies);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            replies.broken(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Event listing(int at) {
        int code = body.get(at + 4) & 0xff;
        EndpointListKind kind =
                switch (code) {
                    case 0 -> EndpointListKind.DELTA;
                    case 1 -> EndpointListKind.CACHED;
                    case 2 -> EndpointListKind.FAILED;
                    case 3 -> EndpointListKind.FULL;
                    default -> throw new InvalidSettingsException("unknown list kind " + code + " at byte " + at);
                };
        List<DeliveryScheduler.EndpointEntry> entries =
                kind == EndpointListKind.FAILED ? List.of() : pages.get(page(u32(at + 9), at));
        return new Event.EndpointListUpdated(kind, entries);
    }

    private Event outcome(int at) {
        AttemptOutcome ending = ending(body.get(at + 15));
        long wait = ending == AttemptOutcome.FULL ? u32(at + 21) * 1000 : 0;
        int n = body.get(at + 25) & 0xff;
        List<Double> report = new ArrayList<>(4);
        for (int i = 0; i < Math.min(n, 4); i++) {
            report.add((double) body.getFloat(at + 26 + 4 * i));
        }
        return new Event.AttemptCompleted(
                u32(at + 4),
                body.get(at + 8) & 0xff,
                endpoint(at + 9),
                ending,
                u32(at + 16),
                body.get(at + 20) != 0,
                wait,
                report);
    }

    private List<DeliveryScheduler.EndpointEntry> entries(int at) {
        int from = tail(at, ENTRY);
        int n = body.getInt(at + 4);
        List<DeliveryScheduler.EndpointEntry> out = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            int e = from + i * ENTRY;
            EndpointState state =
                    switch (body.get(e + 8)) {
                        case 0 -> EndpointState.GONE;
                        case 1 -> EndpointState.READY;
                        case 2 -> EndpointState.DRAINING;
                        default -> throw new InvalidSettingsException("unknown state in a list at byte " + e);
                    };
            out.add(new DeliveryScheduler.EndpointEntry(
                    endpoint(e),
                    body.getShort(e + 6) & 0xffff,
                    state,
                    body.getFloat(e + 17),
                    body.getShort(e + 21) & 0xffff,
                    body.getShort(e + 23) & 0xffff));
        }
        return out;
    }

    private byte[] bytes(int at) {
        byte[] out = new byte[0];
        int from = tail(at, 1);
        if (body.getInt(at + 4) > 0) {
            out = new byte[body.getInt(at + 4)];
            body.get(from, out);
        }
        return out;
    }

    /** Position of what the reference at {@code at} names, checked against the tail. */
    private int tail(int at, int size) {
        long offset = u32(at);
        long length = u32(at + 4) * size;
        if (tailAt + offset + length > body.capacity()) {
            throw new InvalidSettingsException("reference outside the tail at byte " + at);
        }
        return (int) (tailAt + offset);
    }

    private static int page(long number, int at) {
        if (number >= PAGES) {
            throw new InvalidSettingsException("unknown list " + number + " at byte " + at);
        }
        return (int) number;
    }

    private long endpoint(int at) {
        return u32(at) << 16 | body.getShort(at + 4) & 0xffff;
    }

    private long u32(int at) {
        return body.getInt(at) & 0xffffffffL;
    }

    private static AttemptOutcome ending(byte code) {
        return switch (code) {
            case 0 -> AttemptOutcome.OK;
            case 5 -> AttemptOutcome.ERROR;
            case 11 -> AttemptOutcome.FULL;
            case 104 -> AttemptOutcome.RESET;
            case 110 -> AttemptOutcome.TIMEOUT;
            case 111 -> AttemptOutcome.CONNECT_FAILED;
            case 114 -> AttemptOutcome.MOOT;
            case 125 -> AttemptOutcome.CANCELLED;
            default -> AttemptOutcome.UNKNOWN;
        };
    }
}
