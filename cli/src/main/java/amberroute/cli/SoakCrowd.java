package amberroute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Idle clients that fill the descriptors of one sender for some time. */
final class SoakCrowd {
    /** More than the descriptors of one sender. */
    private static final int CLIENTS = 300;

    private static final long STAY_MILLIS = 2_500;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private SoakCrowd() {}

    /** Connects the clients and returns when they have gone. */
    static void visit(InetSocketAddress address, SoakTimeline timeline) throws InterruptedException, IOException {
        timeline.action("clients", "crowd of " + CLIENTS + " at " + address);
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket();
                sockets.add(socket);
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            }
        } catch (IOException e) {
            timeline.action("clients", sockets.size() + " of the crowd came in: " + e.getMessage());
        }
        Thread.sleep(STAY_MILLIS);
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
