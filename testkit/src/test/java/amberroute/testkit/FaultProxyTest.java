package amberroute.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
    private TestEnvironment stage;
    private ServerSocket echo;
    private FaultProxy proxy;

    @BeforeEach
    void build() throws Exception {
        stage = new TestEnvironment(1);
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket s = echo.accept();
                    Thread one = new Thread(() -> {
                        try (s) {
                            s.getInputStream().transferTo(s.getOutputStream());
                        } catch (IOException e) {
                            // The way is cut.
                        }
                    });
                    one.setDaemon(true);
                    one.start();
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        proxy = stage.proxy((InetSocketAddress) echo.getLocalSocketAddress());
    }

    @AfterEach
    void end() throws IOException {
        stage.close();
        echo.close();
    }

    private Socket open(FaultProxy.Fault fault) throws IOException {
        stage.runOnLoop(() -> proxy.fault(fault));
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(proxy.address().substring(proxy.address().indexOf(':') + 1)));
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static byte[] pass(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return socket.getInputStream().readNBytes(bytes.length);
    }

    private static byte[] bytes(int n) {
        byte[] out = new byte[n];
        for (int i = 0; i < n; i++) {
            out[i] = (byte) (i * 31 + i / 251);
        }
        return out;
    }

    @Test
    void passesAllBytesInOrderDelayedOrNot() throws IOException {
        for (FaultProxy.Fault fault : new FaultProxy.Fault[] {
            FaultProxy.Fault.NONE, FaultProxy.Fault.delayed(3_000), FaultProxy.Fault.slowReads(500)
        }) {
            try (Socket socket = open(fault)) {
                for (int n : new int[] {1, 1_000, 60_000}) {
                    assertTrue(java.util.Arrays.equals(bytes(n), pass(socket, bytes(n))), fault + " " + n);
                }
            }
        }
    }

    @Test
    void aDelayIsNoticed() throws IOException {
        try (Socket socket = open(FaultProxy.Fault.delayed(50_000))) {
            long from = System.nanoTime();
            pass(socket, new byte[1]);
            assertTrue(System.nanoTime() - from >= 100_000_000L, "both ways are delayed");
        }
    }

    @Test
    void resetsAfterSoManyBytes() throws IOException {
        try (Socket socket = open(FaultProxy.Fault.resetAfter(10))) {
            pass(socket, new byte[10]);
            socket.getOutputStream().write(new byte[5]);
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
        }
    }

    @Test
    void fallsSilentInOneDirection() throws IOException {
        try (Socket socket = open(FaultProxy.Fault.deafAfter(4))) {
            pass(socket, new byte[4]);
            socket.getOutputStream().write(new byte[4]);
            socket.setSoTimeout(200);
            InputStream in = socket.getInputStream();
            assertThrows(SocketTimeoutException.class, in::read);
        }
    }

    @Test
    void cutsWhatIsOpenAndWhatComes() throws IOException {
        try (Socket socket = open(FaultProxy.Fault.NONE)) {
            pass(socket, new byte[4]);
            stage.runOnLoop(() -> proxy.cut(FaultProxy.Cut.RESET));
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
        }
        stage.runOnLoop(() -> proxy.cut(FaultProxy.Cut.SILENT));
        try (Socket socket = open(FaultProxy.Fault.NONE)) {
            socket.getOutputStream().write(1);
            socket.setSoTimeout(200);
            assertThrows(
                    SocketTimeoutException.class, () -> socket.getInputStream().read());
            stage.runOnLoop(() -> proxy.cut(FaultProxy.Cut.NONE));
            socket.setSoTimeout(10_000);
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
        }
        try (Socket socket = open(FaultProxy.Fault.NONE)) {
            assertEquals(4, pass(socket, new byte[4]).length);
        }
    }
}
