package amberroute.sender.client;

import amberroute.sender.util.LogEvent;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves clients over RESP2: passes each {@code SUBMIT} on to an {@link Acceptor} and writes each request's reply in the order of the requests.
 *
 * <p>Composes the listener, the connections and their limits, and drains them. All methods but the constructor and {@code listen}, which are
 * called while the sender starts, belong to the event loop.
 */
public final class ClientServer {
    private static final long SWEEP_INTERVAL_MILLIS = 100;
    /** While draining, connections used more recently than this close after their next reply: a request may be on its way. */
    private static final long DRAINING_IDLE_MILLIS = 250;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A message as submitted by a client.
     *
     * @param timeLeftMillis milliseconds until the deadline as of now; the time that the request may have waited unread is subtracted
     */
    public record Submission(
            long key,
            String id,
            String className,
            long timeLeftMillis,
            int destination,
            String idempotencyKey,
            byte[] body) {
        /** The same submission {@code passed} milliseconds later. */
        public Submission after(long passed) {
            return new Submission(
                    key, id, className, Math.max(0, timeLeftMillis - passed), destination, idempotencyKey, body);
        }
    }

    /** Decides on submissions; each gets exactly one answer, during the call or later. */
    public interface Acceptor {
        /** Takes a submission on the event loop; {@code answer} is to be given exactly once, on the event loop. */
        void submitted(Submission submission, Answer answer);

        /** Takes a submission for which there is no memory, to turn it away at once. */
        default void outOfMemory(Submission submission, Answer answer) {
            answer.busy(0);
        }
    }

    /** Takes the one reply to a request. */
    public abstract static class Answer {
        /** Whether the client is still connected; nothing is owed to one that has left. */
        public abstract boolean isClientConnected();

        /** Gives the reply: a complete line of the protocol with its line end. */
        public abstract void send(String text);

        /** The message is accepted. */
        public void ok() {
            send("+OK\r\n");
        }

        /** The message is rejected for now; {@code after} is the advised wait in milliseconds, 0 for none. */
        public void busy(long after) {
            send(after > 0 ? "-BUSY " + after + "\r\n" : "-BUSY\r\n");
        }

        /** The request cannot be used. */
        public void error(String reason) {
            send("-ERR " + reason + "\r\n");
        }
    }

    private final EventLoop loop;
    private final Acceptor acceptor;
    private final RequestMemory incompleteMemory;
    private final RequestMemory unansweredMemory;
    private final OrderlyClose closing;
    private final ConnectionTable connections;
    private final SessionHost host = new SessionHost();
    private final long createdNanos = System.nanoTime();
    private OptionalLong servedUntilNanos = OptionalLong.empty();
    private Set<String> classNames = Set.of();
    private RequestAge requestAge;
    private ClientListener listener;
    private boolean socketInherited;
    /** Whether connections close after their next reply. */
    private boolean retiring;

    private boolean drained;
    private long abandonedRequests;

    /**
     * Creates a server that does not listen yet.
     *
     * @param maxConnections connections that may be open at one time, those that are being closed included
     * @param requestMemoryBytes memory in bytes that incomplete requests of all connections may hold, and as much for those without a reply
     */
    public ClientServer(EventLoop loop, Acceptor acceptor, int maxConnections, long requestMemoryBytes) {
        this.loop = loop;
        this.acceptor = acceptor;
        closing = new OrderlyClose(loop);
        connections = new ConnectionTable(maxConnections, closing);
        incompleteMemory = new RequestMemory(requestMemoryBytes);
        unansweredMemory = new RequestMemory(requestMemoryBytes);
    }

    /** Accepts messages of these classes from now on. */
    public void setClassNames(Set<String> names) {
        classNames = names;
    }

    /** Binds a socket of its own and serves; returns the bound address, as port 0 takes any. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        requestAge = RequestAge.ofNewSocket(System.nanoTime());
        listener = new ClientListener(loop, requestAge, this::initialize);
        listener.bind(address);
        return serve();
    }

    /**
     * Sets up to when another process served the same socket; to be called before {@link #listen(ServerSocketChannel)}.
     *
     * @param moment monotonic time in nanoseconds
     */
    public void servedUntil(long moment) {
        servedUntilNanos = OptionalLong.of(moment);
    }

    /**
     * Serves a socket that listens already, perhaps for other processes too. Its accept queue outlives processes, so requests in it may have
     * waited since before this process began.
     */
    public InetSocketAddress listen(ServerSocketChannel inherited) throws InterruptedException {
        socketInherited = true;
        requestAge = RequestAge.ofInheritedSocket(createdNanos, System.nanoTime(), servedUntilNanos);
        listener = new ClientListener(loop, requestAge, this::initialize);
        listener.register(inherited);
        return serve();
    }

    private void initialize(Channel channel) {
        RespDecoder decoder = new RespDecoder(incompleteMemory);
        channel.config().setRecvByteBufAllocator(new RequestReadAllocator(decoder));
        channel.pipeline().addLast(decoder, new ClientSession(host, decoder, requestAge));
    }

    private InetSocketAddress serve() {
        loop.scheduleWithFixedDelay(
                () -> requestAge.tick(System.nanoTime()),
                QueueingDelay.TICK_MS,
                QueueingDelay.TICK_MS,
                TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> connections.closeIdle(System.nanoTime()),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return listener.address();
    }

    /**
     * Stops accepting without closing the socket, which another process shares, and closes connections after their next reply. Those
     * without a request are left to {@link #closeResting}.
     */
    public void retire() {
        retiring = true;
        listener.accept(false);
    }

    /** Undoes {@link #retire}: connections stay, and new ones are accepted. */
    public void resume() {
        retiring = false;
        listener.accept(true);
    }

    /** Closes connections after their next reply, while new ones are still accepted. */
    public void closeAfterReplies() {
        retiring = true;
    }

    /** Closes up to {@code most} connections that owe no reply, the longest idle first. */
    public void closeResting(int most) {
        closeResting(most, 0);
    }

    /** Closes up to {@code most} connections that owe no reply and were last used at least {@code idle} milliseconds ago. */
    public void closeResting(int most, long idle) {
        connections.closeResting(most, System.nanoTime() - idle * NANOS_PER_MILLI);
    }

    /**
     * Closes as many connections as {@code draining} asks for by now; to be called repeatedly while the process ends.
     *
     * @param now milliseconds of the clock of {@code draining}
     */
    public void drain(ConnectionDraining draining, long now) {
        if (!draining.begun(now) || drained) {
            return;
        }
        if (socketInherited) {
            // New connections wait in the queue for the process that takes this one's place.
            listener.accept(false);
        } else {
            closeListener();
        }
        retiring = true;
        if (draining.isReadingOver(now)) {
            // The rest of an incomplete request can no longer be answered in time; its client sends it again.
            connections.closeUnanswered();
            drained = connections.size() == 0;
            if (drained) {
                LogEvent.of("client_connections_drained").warn();
            }
        } else {
            closeResting(draining.surplus(now, connections.size()), DRAINING_IDLE_MILLIS);
        }
    }

    /** Closes the listening socket once the connections in its accept queue, which would be reset with it, are accepted. */
    public void closeListener() {
        if (listener != null) {
            listener.closeWhenQueueIsEmpty();
        }
    }

    /** Closes the connections that owe no reply; a client whose request crosses the close sends it again. */
    public void closeUnanswered() {
        connections.closeUnanswered();
    }

    /** Requests so far that were read but not passed on, as their clients had timed out and disconnected. */
    public long abandonedRequests() {
        return abandonedRequests;
    }

    /** Connections that are served. */
    public int connections() {
        return connections.size();
    }

    /** Connections that are served, and those that are being closed until their clients have read the last replies. */
    public int openConnections() {
        return connections.open();
    }

    /** What sessions need of the server. */
    private final class SessionHost implements ClientSession.Host {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public ConnectionTable connections() {
            return connections;
        }

        @Override
        public OrderlyClose closing() {
            return closing;
        }

        @Override
        public Set<String> classNames() {
            return classNames;
        }

        @Override
        public boolean retiring() {
            return retiring;
        }

        @Override
        public RequestMemory unansweredMemory() {
            return unansweredMemory;
        }

        @Override
        public void submit(Submission submission, Answer answer) {
            acceptor.submitted(submission, answer);
        }

        @Override
        public void shed(Submission submission, Answer answer) {
            acceptor.outOfMemory(submission, answer);
        }

        @Override
        public void countAbandoned() {
            abandonedRequests++;
        }
    }
}
