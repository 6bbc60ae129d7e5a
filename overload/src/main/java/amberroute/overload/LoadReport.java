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
 * One datagram in which a daemon reports its load at some destinations, beside the heartbeats on the same socket.
 * At most {@value #MAX_DATAGRAM_BYTES} bytes. The form, all numbers big-endian:
 *
 * <pre>
 * "AL", version 1, length and bytes of the sender, incarnation (8), sequence (8),
 * count and loads: destination (4), served, rejected, pending (floats), count and bands: band (1), demand (float),
 * count and loans: kind (1), destination (4), request number (8), fraction (float)
 * </pre>
 *
 * A datagram of another form, or with values out of range, is no load report. Immutable.
 *
 * @param incarnation tells the processes of the sender apart and grows
 * @param sequence counts the sender's reports
 */
public record LoadReport(
        String sender, long incarnation, long sequence, Map<Integer, DestinationLoad> loads, List<QuotaLoan> loans) {
    /** A request for a fraction of a destination's capacity, or its answer under the same request number. */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /** Below what any link carries whole. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;
    private static final int MAX_LOADS = 64;
    /** All fields but the name, without loads and loans. */
    private static final int FIXED_BYTES = 22;
    /** A load takes so much, and so much more for each band. */
    private static final int LOAD_BYTES = 17;

    private static final int BAND_BYTES = 5;
    /** Beside no load at all. */
    static final int MAX_LOANS = 32;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]+");

    /** Bytes without any load. */
    static int headerBytes(String sender) {
        return FIXED_BYTES + sender.length();
    }

    static int encodedBytes(DestinationLoad load) {
        return LOAD_BYTES + BAND_BYTES * bandsWithDemand(load);
    }

    private static int bandsWithDemand(DestinationLoad load) {
        int bands = 0;
        for (double demand : load.demandByBand()) {
            bands += demand > 0 ? 1 : 0;
        }
        return bands;
    }

    /** Whether one more load fits. */
    static boolean fits(int bytes, int loads, DestinationLoad load) {
        return loads < MAX_LOADS && bytes + encodedBytes(load) <= MAX_DATAGRAM_BYTES;
    }

    /** The bytes to send, from 0 to the limit. */
    public ByteBuffer encode() {
        byte[] name = sender.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.put((byte) 'A').put((byte) 'L').put(VERSION).put((byte) name.length).put(name);
        out.putLong(incarnation).putLong(sequence).put((byte) loads.size());
        loads.forEach((destination, load) -> encodeLoad(out, destination, load));
        out.put((byte) loans.size());
        for (QuotaLoan loan : loans) {
            out.put((byte) (loan.granted ? 1 : 0))
                    .putInt(loan.destination)
                    .putLong(loan.requestNumber)
                    .putFloat(loan.fraction);
        }
        return out.flip();
    }

    private static void encodeLoad(ByteBuffer out, int destination, DestinationLoad load) {
        out.putInt(destination)
                .putFloat((float) load.servedPerSecond())
                .putFloat((float) load.rejectedPerSecond())
                .putFloat((float) load.pendingMessages())
                .put((byte) bandsWithDemand(load));
        for (int band = 0; band < PriorityBands.COUNT; band++) {
            if (load.demandByBand()[band] > 0) {
                out.put((byte) band).putFloat((float) load.demandByBand()[band]);
            }
        }
    }

    /** Reads a datagram; null where it is no load report. */
    public static LoadReport decode(ByteBuffer in) {
        try {
            if (in.get() != 'A' || in.get() != 'L' || in.get() != VERSION) {
                return null;
            }
            byte[] name = new byte[DatagramChecks.intInRange(in.get(), 1, MAX_NAME_BYTES)];
            in.get(name);
            String sender = new String(name, StandardCharsets.US_ASCII);
            long incarnation = in.getLong();
            long sequence = in.getLong();
            Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
            for (int remaining = DatagramChecks.intInRange(in.get(), 0, MAX_LOADS); remaining > 0; remaining--) {
                loads.put(in.getInt(), decodeLoad(in));
            }
            List<QuotaLoan> loans = new ArrayList<>();
            for (int remaining = DatagramChecks.intInRange(in.get(), 0, MAX_LOANS); remaining > 0; remaining--) {
                loans.add(decodeLoan(in));
            }
            return in.hasRemaining() || !NAME.matcher(sender).matches() || sequence < 0 || incarnation < 0
                    ? null
                    : new LoadReport(sender, incarnation, sequence, loads, loans);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static DestinationLoad decodeLoad(ByteBuffer in) {
        float served = DatagramChecks.perSecond(in.getFloat());
        float rejected = DatagramChecks.perSecond(in.getFloat());
        float pending = DatagramChecks.perSecond(in.getFloat());
        double[] demandByBand = new double[PriorityBands.COUNT];
        for (int remaining = DatagramChecks.intInRange(in.get(), 0, PriorityBands.COUNT); remaining > 0; remaining--) {
            int band = DatagramChecks.intInRange(in.get(), 0, PriorityBands.COUNT - 1);
            demandByBand[band] = DatagramChecks.perSecond(in.getFloat());
        }
        return new DestinationLoad(demandByBand, served, rejected, pending);
    }

    private static QuotaLoan decodeLoan(ByteBuffer in) {
        return new QuotaLoan(
                DatagramChecks.intInRange(in.get(), 0, 1) == 1,
                in.getInt(),
                in.getLong(),
                DatagramChecks.fraction(in.getFloat()));
    }
}
