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
 * A datagram in which a sender reports its load for some destinations. It uses the same socket as the heartbeats and has at most
 * {@value #MAX_DATAGRAM_BYTES} bytes. The format, with all numbers big-endian:
 *
 * <pre>
 * "AL", version 1, length and bytes of the sender, incarnation (8), sequence (8),
 * count and loads: destination (4), served, rejected, pending (floats), count and bands: band (1), demand (float),
 * count and loans: kind (1), destination (4), request number (8), fraction (float)
 * </pre>
 *
 * A datagram of another format, or with values out of range, is not a load report. Immutable.
 *
 * @param incarnation identifies the process of the sender; later processes have higher values
 * @param sequence number of the report, increasing within an incarnation
 */
public record LoadReport(
        String sender, long incarnation, long sequence, Map<Integer, DestinationLoad> loads, List<QuotaLoan> loans) {
    /** A request for a fraction of a destination's capacity, or the answer to one, with the same request number. */
    public record QuotaLoan(boolean granted, int destination, long requestNumber, float fraction) {}

    /** Below the MTU of common links, so that a datagram is not fragmented. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    private static final byte VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;
    private static final int MAX_LOADS = 64;
    /** Bytes of all fixed fields, without the name, loads and loans. */
    private static final int FIXED_BYTES = 22;
    /** Bytes of a load without its bands; each band takes {@link #BAND_BYTES} more. */
    private static final int LOAD_BYTES = 17;

    private static final int BAND_BYTES = 5;
    /** Maximum number of loans in a report. Senders put no loads into a report with loans, so the loans fit into a datagram. */
    static final int MAX_LOANS = 32;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]+");

    /** Bytes of a report without loads and loans. */
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

    /** Whether one more load fits into a datagram of {@code bytes} bytes with {@code loads} loads. */
    static boolean fits(int bytes, int loads, DestinationLoad load) {
        return loads < MAX_LOADS && bytes + encodedBytes(load) <= MAX_DATAGRAM_BYTES;
    }

    /** Encodes the report; the datagram is the content of the buffer from position 0 to its limit. */
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

    /** Decodes a datagram; returns null if it is not a valid load report. */
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
