package rig;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Sockets on loopback, a thread for each connection. */
public final class Net {
    /** Ports that {@link #freePort} has given out, none twice. */
    private static final Set<Integer> DEALT = ConcurrentHashMap.newKeySet();

    /** Serves one connection until it ends. */
    interface Server {
        void serve(Socket socket) throws Exception;
    }

    private Net() {}

    static void serve(ServerSocket server, Server each) {
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        each.serve(socket);
                    } catch (Exception e) {
                        // The other side has gone.
                    }
                });
            }
        });
    }

    /** Runs something on a thread of its own that keeps nobody from ending. */
    public static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "rig", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * A port that was free just now, below the range that the system deals out, so that no listener on port 0 takes it before
     * its program binds it.
     */
    public static int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(18_000);
            if (!DEALT.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Somebody has it; the next one.
            }
        }
        throw new IOException("no free port");
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
