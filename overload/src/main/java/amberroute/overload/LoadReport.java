package amberroute.overload;

import amberroute.membership.DatagramChecks;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * One datagram in which a sender tells what it has to do with some destinations, beside the beats and probes on the same socket.
 * At most {@value #MAX_DATAGRAM_BYTES} bytes. The form is ours, all numbers big-endian:
 *
 * <pre>
 * "AL", version 1, length and bytes of the name, incarnation (8), number (8),
 * count and loads: destination (4), served, refused as full, waiting (floats), count and steps: step (1), asked (float),
 * count and loans: kind (1), destination (4), number (8), part (float)
 * </pre>
 *
 * What is not so, or has values out of range, is none.
 */
public record LoadReport(
        String sender, long incarnation, long sequence, Map<Integer, DestinationLoad> loads, List<QuotaLoan> loans) {
    /** A request for a part of what a destination can take, or its answer under the same number. */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /** Below what any link carries whole. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;
    private static final int MAX_LOADS = 64;
    /** A load takes so much, and so much more for each step. */
    private static final int LOAD_BYTES = 17;

    private static final int BAND_BYTES = 5;
    /** Beside no load at all. */
    static final int MAX_LOANS = 32;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]+");

    /** Bytes without any load. */
    static int headerBytes(String from) {
        return 22 + from.length();
    }

    static int encodedBytes(DestinationLoad load) {
        int steps = 0;
        for (double d : load.demandByBand()) {
            steps += d > 0 ? 1 : 0;
        }
        return LOAD_BYTES + BAND_BYTES * steps;
    }

    /** Whether one more fits. */
    static boolean fits(int bytes, int loads, DestinationLoad load) {
        return loads < MAX_LOADS && bytes + encodedBytes(load) <= MAX_DATAGRAM_BYTES;
    }

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer encode() {
        byte[] name = sender.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.put((byte) 'A').put((byte) 'L').put(VERSION).put((byte) name.length).put(name);
        out.putLong(incarnation).putLong(sequence).put((byte) loads.size());
        loads.forEach((destination, load) -> {
            out.putInt(destination)
                    .putFloat((float) load.servedPerSecond())
                    .putFloat((float) load.rejectedPerSecond())
                    .putFloat((float) load.pendingMessages());
            out.put((byte) ((encodedBytes(load) - LOAD_BYTES) / BAND_BYTES));
            for (int step = 0; step < PriorityBands.COUNT; step++) {
                if (load.demandByBand()[step] > 0) {
                    out.put((byte) step).putFloat((float) load.demandByBand()[step]);
                }
            }
        });
        out.put((byte) loans.size());
        loans.forEach(l -> out.put((byte) (l.granted ? 1 : 0))
                .putInt(l.destination)
                .putLong(l.requestNumber)
                .putFloat(l.fraction));
        return out.flip();
    }

    /** Reads a datagram; null where it is none of ours. */
    public static LoadReport decode(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'L' || in.get() != VERSION) {
                return null;
            }
            byte[] name = new byte[DatagramChecks.intInRange(in.get(), 1, MAX_NAME_BYTES)];
            in.get(name);
            String from = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long number = in.getLong();
            Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
            for (int i = DatagramChecks.intInRange(in.get(), 0, MAX_LOADS); i > 0; i--) {
                int destination = in.getInt();
                float served = DatagramChecks.perSecond(in.getFloat());
                float full = DatagramChecks.perSecond(in.getFloat());
                float waiting = DatagramChecks.perSecond(in.getFloat());
                double[] demand = new double[PriorityBands.COUNT];
                for (int steps = DatagramChecks.intInRange(in.get(), 0, PriorityBands.COUNT); steps > 0; steps--) {
                    demand[DatagramChecks.intInRange(in.get(), 0, PriorityBands.COUNT - 1)] =
                            DatagramChecks.perSecond(in.getFloat());
                }
                loads.put(destination, new DestinationLoad(demand, served, full, waiting));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int i = DatagramChecks.intInRange(in.get(), 0, MAX_LOANS); i > 0; i--) {
                loans.add(new QuotaLoan(
                        DatagramChecks.intInRange(in.get(), 0, 1) == 1,
                        in.getInt(),
                        in.getLong(),
                        DatagramChecks.fraction(in.getFloat())));
            }
            return in.hasRemaining() || !NAME.matcher(from).matches() || number < 0 || incarnation < 0
                    ? null
                    : new LoadReport(from, incarnation, number, loads, loans);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }
}
