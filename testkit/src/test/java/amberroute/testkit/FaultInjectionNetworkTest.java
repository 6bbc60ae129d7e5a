package amberroute.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.testkit.FaultScript.Fault;
import amberroute.testkit.FaultScript.Kind;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The net's ways, each direction on its own, and its scripts. */
class FaultInjectionNetworkTest {
    @Test
    void aCutOfOneDirectionLetsTheOtherThrough() throws Exception {
        try (TestEnvironment stage = new TestEnvironment(1);
                DatagramSocket a = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket b = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            FaultInjectionNetwork net = stage.network(
                    List.of(address(a.getLocalPort()), address(b.getLocalPort())), TestEnvironment.freePorts(4, 1));
            FaultInjectionNetwork lines = stage.network(
                    List.of(address(listener.getLocalPort()), address(listener.getLocalPort())),
                    TestEnvironment.freePorts(4, 2));
            a.setSoTimeout(5_000);
            b.setSoTimeout(5_000);
            InetSocketAddress bForA = parse(net.address(0, 1));
            InetSocketAddress aForB = parse(net.address(1, 0));
            send(a, bForA);
            // It arrives from the address by which b knows a.
            assertEquals(aForB.getPort(), receive(b).getPort());
            stage.runOnLoop(() -> net.cut(0, 1, true));
            send(a, bForA);
            b.setSoTimeout(200);
            assertThrows(SocketTimeoutException.class, () -> receive(b));
            send(b, aForB);
            assertEquals(bForA.getPort(), receive(a).getPort());
            stage.runOnLoop(net::heal);
            b.setSoTimeout(5_000);
            send(a, bForA);
            receive(b);
            stage.runOnLoop(() -> net.conditions(new FaultInjectionNetwork.LinkConditions(0, 1, 0)));
            send(a, bForA);
            receive(b);
            receive(b);

            try (Socket client = new Socket(
                            InetAddress.getLoopbackAddress(),
                            parse(lines.address(0, 1)).getPort());
                    Socket served = listener.accept()) {
                client.getOutputStream().write('x');
                assertEquals('x', served.getInputStream().read());
                stage.runOnLoop(() -> lines.cut(1, 0, true));
                served.getOutputStream().write('y');
                client.getOutputStream().write('z');
                assertEquals('z', served.getInputStream().read());
                client.setSoTimeout(200);
                assertThrows(SocketTimeoutException.class, () -> client.getInputStream()
                        .read());
            }
        }
    }

    @Test
    void aScriptIsReadAsItIsPrintedAndShortenedToWhatFails() {
        FaultScript drawn = FaultScript.draw(new Random(3), 7, List.of(Kind.values()));
        assertEquals(drawn, FaultScript.read(drawn.toString()));
        FaultScript all = new FaultScript(List.of(
                new Fault(Kind.KILL, 1, 0, 5),
                new Fault(Kind.CUT, 2, 1, 5),
                new Fault(Kind.PAUSE, 3, 2, 5),
                new Fault(Kind.STORM, 4, 3, 5)));
        FaultScript least = all.shortened(s -> s.faults().stream().anyMatch(f -> f.kind() == Kind.CUT)
                && s.faults().stream().anyMatch(f -> f.kind() == Kind.STORM));
        assertEquals(
                List.of(Kind.CUT, Kind.STORM),
                least.faults().stream().map(Fault::kind).toList());
        assertThrows(IllegalArgumentException.class, () -> FaultScript.read("KILL:1"));
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            FaultScript one = FaultScript.draw(random, 5, List.of(Kind.LOSE, Kind.KILL));
            assertFalse(one.faults().isEmpty());
            assertTrue(one.faults().stream().filter(f -> f.kind() == Kind.LOSE).count() <= 1);
        }
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static InetSocketAddress parse(String address) {
        return address(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }

    private static void send(DatagramSocket from, InetSocketAddress to) throws Exception {
        from.send(new DatagramPacket(new byte[] {1}, 1, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[8], 8);
        at.receive(packet);
        return packet;
    }
}
