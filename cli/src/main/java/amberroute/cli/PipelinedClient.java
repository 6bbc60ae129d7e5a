package amberroute.cli;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.IntFunction;

/** A rig's client on loopback that keeps some requests under way on one connection. */
final class PipelinedClient {
    static final String NO_KEY = "0000000000000000";
    static final String BODY = "x".repeat(120);
    private static final int MAX_IN_FLIGHT = 32;
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    private PipelinedClient() {}

    /** Hands in so many, each as its number makes it; returns how many were taken on. */
    static int submit(int port, int size, IntFunction<byte[]> request) throws IOException {
        int taken = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (int from = 0; from < size; from += MAX_IN_FLIGHT) {
                int n = Math.min(MAX_IN_FLIGHT, size - from);
                for (int i = from; i < from + n; i++) {
                    out.write(request.apply(i));
                }
                out.flush();
                for (int i = 0; i < n; i++) {
                    String line = in.readLine();
                    if (line == null) {
                        throw new IOException("the daemon closed the connection behind " + (from + i) + " answers");
                    }
                    taken += line.startsWith("+") ? 1 : 0;
                }
            }
        }
        return taken;
    }
}
