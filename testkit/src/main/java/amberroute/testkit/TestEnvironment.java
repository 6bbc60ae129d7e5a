package amberroute.testkit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * All stand-ins of one run with their book, on one event loop of their own. What is done to them from other threads goes
 * through {@link #callOnLoop}. Every random choice comes from the seed; sockets and processes still make runs differ.
 */
public final class TestEnvironment implements AutoCloseable {
    private static final long ORIGIN = System.nanoTime();

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final DeliveryHistory history = new DeliveryHistory();
    private final List<StubUpstreamServer> upstreams = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<FaultInjectionNetwork> networks = new ArrayList<>();
    private final long seed;
    private PlatformServer platform;
    private LoadClients clients;

    public TestEnvironment(long seed) throws InterruptedException {
        this.seed = seed;
        platform = new PlatformServer(loop, history).listen(0);
    }

    /** Microseconds since this class was loaded, on the monotonic clock. */
    public static long micros() {
        return (System.nanoTime() - ORIGIN) / 1_000;
    }

    /** Does something on the event loop and waits for it. */
    public <T> T callOnLoop(Callable<T> work) {
        try {
            return loop.inEventLoop() ? work.call() : loop.submit(work).get(30, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException("on the stage's loop: " + e, e);
        }
    }

    /** As {@link #callOnLoop(Callable)}, without a result. */
    public void runOnLoop(Runnable work) {
        callOnLoop(() -> {
            work.run();
            return null;
        });
    }

    /** Adds a destination with so many endpoints of these figures, listed as ready. */
    public TestEnvironment destination(int number, int endpoints, StubUpstream.Parameters figures, String model)
            throws InterruptedException {
        return destination(number, endpoints, figures, model, false);
    }

    /** As above; where asked for, each endpoint is listed by the address of a {@link FaultProxy} in front of it. */
    public TestEnvironment destination(
            int number, int endpoints, StubUpstream.Parameters figures, String model, boolean proxied)
            throws InterruptedException {
        StubUpstream memory = new StubUpstream(figures, seed);
        for (int i = 0; i < endpoints; i++) {
            String uid = "p" + number + "-" + i;
            StubUpstreamServer server = new StubUpstreamServer(
                            loop, history, number, uid, new StubUpstream(figures, seed + 31L * number + i), memory)
                    .listen(0);
            upstreams.add(server);
            String address =
                    !proxied ? server.address() : proxy(server.socketAddress()).address();
            runOnLoop(() -> platform.listEndpoint(uid, address, number, model, "Ready"));
        }
        return this;
    }

    /** A proxy on this stage's loop in front of an address. */
    public FaultProxy proxy(InetSocketAddress target) throws InterruptedException {
        FaultProxy proxy = new FaultProxy(loop, target, seed + proxies.size()).listen();
        proxies.add(proxy);
        return proxy;
    }

    /** A net on this stage's loop between processes at these addresses; it needs n times n free ports from this one on. */
    public FaultInjectionNetwork network(List<InetSocketAddress> targets, int firstPort) throws InterruptedException {
        FaultInjectionNetwork net = new FaultInjectionNetwork(loop, targets, firstPort, seed);
        networks.add(net);
        return net;
    }

    /** Stand-in clients for these senders; they ask for nothing before they are told to. */
    public LoadClients clients(List<InetSocketAddress> senders, List<LoadClients.Kind> kinds) {
        int destinations = upstreams.stream()
                .mapToInt(StubUpstreamServer::destination)
                .max()
                .orElse(1);
        clients = new LoadClients(loop, history, senders, kinds, destinations, seed);
        return clients;
    }

    /** The book; to be touched on the loop alone. */
    public DeliveryHistory history() {
        return history;
    }

    public PlatformServer platform() {
        return platform;
    }

    public List<StubUpstreamServer> upstreams() {
        return upstreams;
    }

    public DeliveryHistory.Totals totals() {
        return callOnLoop(() -> history.totals(micros()));
    }

    /** Sets a fault for the connections that open from now on through any proxy. */
    public void fault(FaultProxy.Fault fault) {
        runOnLoop(() -> proxies.forEach(p -> p.fault(fault)));
    }

    /** Resets all connections through one of the proxies, chosen by the number given. */
    public void resetOne(int choice) {
        runOnLoop(() -> {
            FaultProxy one = proxies.get(Math.floorMod(choice, proxies.size()));
            one.cut(FaultProxy.Cut.RESET);
            one.cut(FaultProxy.Cut.NONE);
        });
    }

    /** All endpoints of a destination go down or come back. */
    public void setMode(int destination, StubUpstream.Mode mode) {
        runOnLoop(() ->
                upstreams.stream().filter(p -> p.destination() == destination).forEach(p -> p.setMode(mode)));
    }

    /** The largest share of what a cold endpoint could stand that was used. */
    public double highestSlowStartShare() {
        return callOnLoop(() -> upstreams.stream()
                .mapToDouble(p -> p.upstream().highestSlowStartShare())
                .max()
                .orElse(0));
    }

    /** How often endpoints fell over. */
    public long overloadCount() {
        return callOnLoop(() ->
                upstreams.stream().mapToLong(p -> p.upstream().overloadCount()).sum());
    }

    /** The three classes that the demo and the rigs use; the sender file of {@link #senderFile} has the same. */
    public static List<LoadClients.Kind> messageKinds() {
        return List.of(
                new LoadClients.Kind("quote-status", DeliveryHistory.Effect.SAFE, false, 0.45, 1_500_000, 6_000_000),
                new LoadClients.Kind("policy-order", DeliveryHistory.Effect.KEYED, true, 0.35, 1_500_000, 6_000_000),
                new LoadClients.Kind(
                        "premium-charge", DeliveryHistory.Effect.UNSAFE, false, 0.2, 2_000_000, 6_000_000));
    }

    /** Writes the sender file for daemons on this stage. */
    public Path senderFile(Path folder, int senders) throws IOException {
        return senderFile(folder, senders, "");
    }

    /** The same with further keys, dotted where they belong to a table. */
    public Path senderFile(Path folder, int senders, String more) throws IOException {
        Path file = folder.resolve("amberroute.toml");
        Files.writeString(
                file,
                String.format(
                        Locale.ROOT,
                        """
                # Written for one run on stand-ins.
                listen = "127.0.0.1:0"
                discovery = "%s"
                senders = %d
                zones = ["a"]
                %s
                [limits]
                slots = 32
                open_messages = 1000
                descriptors = 512
                disk = "16MB"
                [stop]
                deadline = "4s"
                back_after = "1500ms"
                [[class]]
                name = "quote-status"
                effect = "safe"
                worth = 2.0
                late_share = 0.5
                aim = "1500ms"
                deadline = "6s"
                [[class]]
                name = "policy-order"
                effect = "keyed"
                key_scope = "destination"
                key_life = "60s"
                in_order = true
                late_share = 0.5
                aim = "1500ms"
                deadline = "6s"
                [[class]]
                name = "premium-charge"
                effect = "unsafe"
                worth = 4.0
                late_share = 0.5
                aim = "2s"
                deadline = "6s"
                [[kind]]
                name = "single"
                [[kind]]
                name = "batch"
                messages_per_call = 5
                """,
                        platform.address(),
                        senders,
                        more));
        return file;
    }

    /** Writes a service definition of daemons that read {@link #senderFile}; returns its path. */
    public Path fleetFile(Path folder, int daemons, int firstPort, Path jar, String more) throws IOException {
        Path file = folder.resolve("fleet.toml");
        Files.writeString(
                file,
                String.format(
                        Locale.ROOT,
                        """
                # Written for one run on stand-ins.
                name = "stage"
                sender = "amberroute.toml"
                folder = "run"
                count = %d
                listen = "127.0.0.1:%d"
                jar = "%s"
                %s
                """,
                        daemons,
                        firstPort,
                        jar,
                        more));
        return file;
    }

    /** Loopback addresses with so many ports in a row from this one on. */
    public static List<InetSocketAddress> addresses(int firstPort, int count) {
        List<InetSocketAddress> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + i));
        }
        return out;
    }

    /** Clients ask for nothing new; waits until all that they asked has its end in the book, for 20 s at most. */
    public void awaitCompletion(Runnable meanwhile) throws InterruptedException {
        runOnLoop(clients::pause);
        long end = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < end && callOnLoop(() -> clients.openRequests() > 0 || history.open() > 0)) {
            meanwhile.run();
            Thread.sleep(50);
        }
    }

    /** The first of so many ports in a row that are free just now; below the range that the system deals out. */
    public static int freePorts(int count, long seed) throws IOException {
        java.util.Random random =
                new java.util.Random(seed ^ ProcessHandle.current().pid());
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 12_000 + random.nextInt(18_000 - count);
            if (free(first, count)) {
                return first;
            }
        }
        throw new IOException("no " + count + " free ports in a row");
    }

    private static boolean free(int first, int count) {
        for (int i = 0; i < count; i++) {
            try (ServerSocket probe = new ServerSocket(first + i, 1, InetAddress.getLoopbackAddress())) {
                probe.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        runOnLoop(() -> {
            platform.shutDown();
            upstreams.forEach(StubUpstreamServer::close);
            proxies.forEach(FaultProxy::close);
            networks.forEach(FaultInjectionNetwork::close);
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
