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
 * At most {@value #MOST_BYTES} bytes. The form is ours, all numbers big-endian:
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
        String from, long incarnation, long number, Map<Integer, DestinationLoad> loads, List<QuotaLoan> loans) {
    /** A request for a part of what a destination can take, or its answer under the same number. */
    public record QuotaLoan(boolean grant, int destination, long number, float part) {}

    /** Below what any link carries whole. */
    public static final int MOST_BYTES = 1_400;

    private static final byte VERSION = 1;
    private static final int LONGEST_NAME = 64;
    private static final int MOST_LOADS = 64;
    /** A load takes so much, and so much more for each step. */
    private static final int LOAD_BYTES = 17;

    private static final int STEP_BYTES = 5;
    /** Beside no load at all. */
    static final int MOST_LOANS = 32;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]+");

    /** Bytes without any load. */
    static int head(String from) {
        return 22 + from.length();
    }

    static int bytes(DestinationLoad load) {
        int steps = 0;
        for (double d : load.demand()) {
            steps += d > 0 ? 1 : 0;
        }
        return LOAD_BYTES + STEP_BYTES * steps;
    }

    /** Whether one more fits. */
    static boolean fits(int bytes, int loads, DestinationLoad load) {
        return loads < MOST_LOADS && bytes + bytes(load) <= MOST_BYTES;
    }

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer write() {
        byte[] name = from.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.put((byte) 'A').put((byte) 'L').put(VERSION).put((byte) name.length).put(name);
        out.putLong(incarnation).putLong(number).put((byte) loads.size());
        loads.forEach((destination, load) -> {
            out.putInt(destination)
                    .putFloat((float) load.served())
                    .putFloat((float) load.full())
                    .putFloat((float) load.waiting());
            out.put((byte) ((bytes(load) - LOAD_BYTES) / STEP_BYTES));
            for (int step = 0; step < PriorityBands.STEPS; step++) {
                if (load.demand()[step] > 0) {
                    out.put((byte) step).putFloat((float) load.demand()[step]);
                }
            }
        });
        out.put((byte) loans.size());
        loans.forEach(l -> out.put((byte) (l.grant ? 1 : 0))
                .putInt(l.destination)
                .putLong(l.number)
                .putFloat(l.part));
        return out.flip();
    }

    /** Reads a datagram; null where it is none of ours. */
    public static LoadReport read(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'L' || in.get() != VERSION) {
                return null;
            }
            byte[] name = new byte[DatagramChecks.within(in.get(), 1, LONGEST_NAME)];
            in.get(name);
            String from = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long number = in.getLong();
            Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
            for (int i = DatagramChecks.within(in.get(), 0, MOST_LOADS); i > 0; i--) {
                int destination = in.getInt();
                float served = DatagramChecks.rate(in.getFloat());
                float full = DatagramChecks.rate(in.getFloat());
                float waiting = DatagramChecks.rate(in.getFloat());
                double[] demand = new double[PriorityBands.STEPS];
                for (int steps = DatagramChecks.within(in.get(), 0, PriorityBands.STEPS); steps > 0; steps--) {
                    demand[DatagramChecks.within(in.get(), 0, PriorityBands.STEPS - 1)] =
                            DatagramChecks.rate(in.getFloat());
                }
                loads.put(destination, new DestinationLoad(demand, served, full, waiting));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int i = DatagramChecks.within(in.get(), 0, MOST_LOANS); i > 0; i--) {
                loans.add(new QuotaLoan(
                        DatagramChecks.within(in.get(), 0, 1) == 1,
                        in.getInt(),
                        in.getLong(),
                        DatagramChecks.part(in.getFloat())));
            }
            return in.hasRemaining() || !NAME.matcher(from).matches() || number < 0 || incarnation < 0
                    ? null
                    : new LoadReport(from, incarnation, number, loads, loans);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }
}
