package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;

/**
 * The network between senders: each knows each other one by an address of its own, TCP and UDP. What passes takes a while. A sender
 * that is cut off hears and says nothing: datagrams are lost, connections stay open and silent, and go on when it is back.
 */
public final class PeerNet {
    private static final class Chunk implements Delayed {
        final long dueNanos;
        final byte[] bytes;

        Chunk(long dueNanos, byte[] bytes) {
            this.dueNanos = dueNanos;
            this.bytes = bytes;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(dueNanos, ((Chunk) other).dueNanos);
        }
    }

    private final class Link {
        final int to;
        final ServerSocket connections;
        final DatagramSocket datagrams;
        final int from;

        Link(int from, int to) throws IOException {
            this.from = from;
            this.to = to;
            ServerSocket tcp = null;
            DatagramSocket udp = null;
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            for (int i = 0; udp == null; i++) {
                tcp = new ServerSocket(0, 64, loopback);
                try {
                    udp = new DatagramSocket(new InetSocketAddress(loopback, tcp.getLocalPort()));
                } catch (IOException e) {
                    tcp.close();
                    if (i == 100) {
                        throw e;
                    }
                }
            }
            connections = tcp;
            datagrams = udp;
        }

        void start() {
            Net.serve(connections, this::connected);
            Net.daemon(this::passDatagrams);
        }

        private void connected(Socket near) throws IOException {
            try (Socket far = new Socket("127.0.0.1", targets[to])) {
                far.setTcpNoDelay(true);
                Thread there = pump(near, far);
                Thread back = pump(far, near);
                there.join();
                back.join();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private Thread pump(Socket source, Socket sink) throws IOException {
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            DelayQueue<Chunk> queue = new DelayQueue<>();
            Thread writer = Net.daemon(() -> {
                try {
                    while (true) {
                        Chunk chunk = queue.take();
                        awaitOpen(from, to);
                        if (chunk.bytes.length == 0) {
                            break;
                        }
                        out.write(chunk.bytes);
                        out.flush();
                    }
                } catch (IOException | InterruptedException e) {
                    // One side has gone.
                }
                close(source);
                close(sink);
            });
            Net.daemon(() -> {
                byte[] buffer = new byte[64 << 10];
                try {
                    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                        queue.add(new Chunk(dueNanos(), java.util.Arrays.copyOf(buffer, n)));
                    }
                } catch (IOException e) {
                    // As an end.
                }
                queue.add(new Chunk(dueNanos(), new byte[0]));
            });
            return writer;
        }

        private void passDatagrams() {
            byte[] buffer = new byte[64 << 10];
            DelayQueue<Chunk> queue = new DelayQueue<>();
            Net.daemon(() -> {
                try {
                    while (true) {
                        byte[] bytes = queue.take().bytes;
                        links[to][from].datagrams.send(
                                new DatagramPacket(bytes, bytes.length, InetAddress.getByName("127.0.0.1"), targets[to]));
                    }
                } catch (IOException | InterruptedException e) {
                    // The run is over.
                }
            });
            while (true) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                try {
                    datagrams.receive(packet);
                } catch (IOException e) {
                    continue;
                }
                if (!isCut(from, to)) {
                    queue.add(new Chunk(dueNanos(), java.util.Arrays.copyOf(buffer, packet.getLength())));
                }
            }
        }
    }

    private final Rec rec;
    private final int[] targets;
    private final Link[][] links;
    private final long latencyMs;
    private int cutOff = -1;

    /** Between senders that listen on these ports. */
    public PeerNet(Rec rec, int[] targets, long latencyMs) throws IOException {
        this.rec = rec;
        this.targets = targets.clone();
        this.latencyMs = latencyMs;
        links = new Link[targets.length][targets.length];
        for (int a = 0; a < targets.length; a++) {
            for (int b = 0; b < targets.length; b++) {
                if (a != b) {
                    links[a][b] = new Link(a, b);
                }
            }
        }
        for (Link[] some : links) {
            for (Link link : some) {
                if (link != null) {
                    link.start();
                }
            }
        }
    }

    /** The address by which one sender knows another. */
    public String address(int from, int to) {
        return "127.0.0.1:" + links[from][to].connections.getLocalPort();
    }

    /** Cuts this sender off from the others, none for -1. */
    public synchronized void cutOff(int sender) {
        rec.log(sender < 0 ? "the network between the senders is whole again" : "sender " + (sender + 1) + " is cut off from the others");
        cutOff = sender;
        notifyAll();
    }

    private synchronized boolean isCut(int a, int b) {
        return cutOff == a || cutOff == b;
    }

    private synchronized void awaitOpen(int a, int b) throws InterruptedException {
        while (cutOff == a || cutOff == b) {
            wait();
        }
    }

    private long dueNanos() {
        return System.nanoTime() + latencyMs * 1_000_000;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
