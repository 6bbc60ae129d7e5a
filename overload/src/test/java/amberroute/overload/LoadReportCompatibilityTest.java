package amberroute.overload;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.overload.LoadReport.QuotaLoan;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Load report datagrams recorded from version 131520b, which senders of both versions must read and write alike. */
class LoadReportCompatibilityTest {
    @Test
    void emptyReportMatchesTheRecordedDatagram() throws IOException {
        assertMatchesRecording("report_empty", new LoadReport("s1", 1_700_000_000_000_000L, 7, Map.of(), List.of()));
    }

    @Test
    void reportOfLoadsMatchesTheRecordedDatagram() throws IOException {
        double[] demand = new double[PriorityBands.COUNT];
        demand[0] = 1.5;
        demand[31] = 200;
        demand[63] = 0.25;
        Map<Integer, DestinationLoad> loads = new LinkedHashMap<>();
        loads.put(4, new DestinationLoad(demand, 120.5, 3.25, 40));
        loads.put(-2, new DestinationLoad(new double[PriorityBands.COUNT], 0, 0, 0));
        assertMatchesRecording("report_loads", new LoadReport("sender-2.east_b", 5, 9_000_000_000L, loads, List.of()));
    }

    @Test
    void reportOfLoansMatchesTheRecordedDatagram() throws IOException {
        List<QuotaLoan> loans =
                List.of(new QuotaLoan(false, 4, 123_456_789_012L, 0.25f), new QuotaLoan(true, 9, -8, 1f));
        assertMatchesRecording("report_loans", new LoadReport("s3", 1, 2, Map.of(), loans));
    }

    private static void assertMatchesRecording(String name, LoadReport expected) throws IOException {
        byte[] datagram = recordedDatagrams().get(name);
        LoadReport decoded = LoadReport.decode(ByteBuffer.wrap(datagram));
        assertEquals(expected.sender(), decoded.sender());
        assertEquals(expected.incarnation(), decoded.incarnation());
        assertEquals(expected.sequence(), decoded.sequence());
        assertEquals(expected.loans(), decoded.loans());
        assertEquals(
                List.copyOf(expected.loads().keySet()),
                List.copyOf(decoded.loads().keySet()));
        expected.loads().forEach((destination, load) -> {
            DestinationLoad decodedLoad = decoded.loads().get(destination);
            assertArrayEquals(load.demandByBand(), decodedLoad.demandByBand());
            assertEquals(load.servedPerSecond(), decodedLoad.servedPerSecond());
            assertEquals(load.rejectedPerSecond(), decodedLoad.rejectedPerSecond());
            assertEquals(load.pendingMessages(), decodedLoad.pendingMessages());
        });
        assertEquals(hex(ByteBuffer.wrap(datagram)), hex(expected.encode()));
        assertEquals(hex(ByteBuffer.wrap(datagram)), hex(decoded.encode()));
    }

    private static String hex(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static Map<String, byte[]> recordedDatagrams() throws IOException {
        Map<String, byte[]> datagrams = new HashMap<>();
        try (InputStream in =
                LoadReportCompatibilityTest.class.getResourceAsStream("/compatibility/131520b/load-reports.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
                String[] nameAndHex = line.split(" ");
                datagrams.put(nameAndHex[0], HexFormat.of().parseHex(nameAndHex[1]));
            }
        }
        return datagrams;
    }
}
