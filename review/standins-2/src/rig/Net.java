package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Sockets on loopback, a thread for each connection. */
public final class Net {
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

    /** A port that was free just now. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
