package amberroute.sender.upstream;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.message.AcceptedMessage;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Makes calls to endpoints over kept-alive connections, one call at a time on each, and reports the outcome of each message's attempt.
 *
 * <p>Owns the calls in flight. Belongs to the event loop.
 */
public final class UpstreamClient {
    private static final long MICROS_PER_MILLI = 1_000;

    /** One message's part in a call. */
    public record CallMessage(AcceptedMessage message, int attempt) {}

    /**
     * The outcome of one message's attempt; times are in microseconds.
     *
     * @param messageCompleted whether the message has its end at the destination, so that it is over
     * @param retryAfterMicros the wait that the endpoint asks for, 0 for none
     * @param loadReport the endpoint's load report, empty for none
     * @param connectionIdleMicros how long the connection was idle before the call, 0 for a fresh one; above 0 for a fresh one that the
     *     endpoint kept behind a rejection, which so was none of the connection
     */
    public record Result(
            AcceptedMessage message,
            int attempt,
            long endpoint,
            AttemptOutcome outcome,
            long durationMicros,
            boolean messageCompleted,
            long retryAfterMicros,
            List<Double> loadReport,
            long connectionIdleMicros) {}

    /** Learns of calls, on the event loop. */
    public interface Listener {
        /** An attempt has ended. */
        void attemptCompleted(Result result);

        /** A call is about to be written, perhaps long after its start; what this throws keeps it back. */
        void beforeWrite();

        /** A call with so many messages was written completely. */
        void callWritten(int messages);
    }

    /** Where calls to an endpoint go; a wait that one endpoint asks for holds for all routes of its {@code waitGroup}. */
    public record Route(long endpoint, InetSocketAddress address, Object waitGroup) {}

    private final EventLoop loop;
    private final EventLoopStallDetector stallDetector;
    private final Listener listener;
    private final ConnectionPool pool;
    private final ResponseInterpreter interpreter;
    private final ConnectionEvents connectionEvents = new ConnectionEvents();
    private final Set<UpstreamCall> calls = new LinkedHashSet<>();
    private final Map<Long, UpstreamCall> callByMessage = new HashMap<>();
    private long connectTimeoutMicros;

    /** Creates a client with the settings of {@link #configure} that holds at most {@code mostOpen} connections. */
    public UpstreamClient(
            EventLoop loop,
            EventLoopStallDetector stallDetector,
            Listener listener,
            long connectMicros,
            long idleMicros,
            int mostOpen,
            List<String> reportNames) {
        this.loop = loop;
        this.stallDetector = stallDetector;
        this.listener = listener;
        pool = new ConnectionPool(loop, mostOpen);
        interpreter = new ResponseInterpreter(reportNames);
        configure(connectMicros, idleMicros, reportNames);
    }

    /**
     * Sets the connect time-out and the time after which endpoints close idle connections, both in microseconds, and the names of the values of a
     * load report. Idle connections close where the idle time gets shorter.
     */
    public void configure(long connectMicros, long idleMicros, List<String> reportNames) {
        pool.setEndpointIdleTimeout(idleMicros);
        connectTimeoutMicros = connectMicros;
        interpreter.setReportNames(reportNames);
    }

    /**
     * Starts a call.
     *
     * @param giveUpAfter time-out in microseconds, after which its connection is closed
     * @param longestIdle only a connection that was idle for less, in microseconds, carries it, or a fresh one
     * @param writeWithin milliseconds; a call whose connection comes up later is not written and ends as not sent
     */
    public void start(Route route, List<CallMessage> items, long giveUpAfter, long longestIdle, long writeWithin) {
        UpstreamCall call = new UpstreamCall(route, List.copyOf(items), giveUpAfter, writeWithin);
        calls.add(call);
        items.forEach(item -> callByMessage.put(item.message().number, call));
        call.timeout = loop.schedule(
                () -> abandon(call, call.written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED),
                Math.max(0, giveUpAfter),
                TimeUnit.MICROSECONDS);
        UpstreamConnection idle = pool.take(route, longestIdle);
        if (idle != null) {
            call.connectionIdleMicros =
                    Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - idle.idleSinceNanos));
            idle.send(call);
        } else {
            connect(call);
        }
    }

    private void connect(UpstreamCall call) {
        if (!pool.makeRoom()) {
            // Later, as the caller is in the middle of starting calls.
            loop.execute(() -> abandon(call, AttemptOutcome.MOOT));
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(call, connectionEvents);
        call.connection = connection;
        pool.connectionOpened();
        connection.open(
                loop,
                (int) Math.max(1, connectTimeoutMicros / MICROS_PER_MILLI),
                pool::connectionClosed,
                connected -> connectCompleted(connection, call, connected));
    }

    private void connectCompleted(UpstreamConnection connection, UpstreamCall call, boolean connected) {
        if (connection.channel == null) {
            pool.connectionClosed();
        }
        if (call.done) {
            if (connection.channel != null) {
                connection.channel.close();
            }
        } else if (connected) {
            // What bars this call may lie unread beside the event that its connection is up.
            stallDetector.behindReads(loop, () -> sendOrClose(connection, call));
        } else {
            finish(call, AttemptOutcome.CONNECT_FAILED);
        }
    }

    private static void sendOrClose(UpstreamConnection connection, UpstreamCall call) {
        if (call.done) {
            connection.channel.close();
        } else {
            connection.send(call);
        }
    }

    /** Calls in flight. */
    public int callCount() {
        return calls.size();
    }

    /** Whether a call with this message is in flight. */
    public boolean isCalled(AcceptedMessage message) {
        return callByMessage.containsKey(message.number);
    }

    /** All calls whose outcome is still to be reported. */
    public List<UpstreamCall> callsInFlight() {
        return List.copyOf(calls);
    }

    /** Cancels all calls in flight; each message's result follows when its connection has closed. */
    public void cancelAll() {
        for (UpstreamCall call : List.copyOf(calls)) {
            abandon(call, cancelledOutcome(call));
        }
    }

    /** Cancels the call that carries this attempt, and so its other messages' attempts; false where there is none. */
    public boolean cancel(AcceptedMessage message, int attempt) {
        UpstreamCall call = callByMessage.get(message.number);
        if (call == null || !call.items.contains(new CallMessage(message, attempt))) {
            return false;
        }
        abandon(call, cancelledOutcome(call));
        return true;
    }

    private static AttemptOutcome cancelledOutcome(UpstreamCall call) {
        return call.written ? AttemptOutcome.CANCELLED : AttemptOutcome.CONNECT_FAILED;
    }

    /**
     * Replaces the messages of the calls in flight after the journal was recovered anew. {@code owner} gives a message's present part in its
     * call, null where the call is not its present attempt: then the call is closed without a report.
     */
    public void rebind(UnaryOperator<CallMessage> owner) {
        for (UpstreamCall call : List.copyOf(calls)) {
            List<CallMessage> owned =
                    call.items.stream().map(owner).filter(Objects::nonNull).toList();
            if (owned.size() == call.items.size()) {
                call.items = owned;
            } else {
                disown(call);
            }
        }
    }

    private void disown(UpstreamCall call) {
        call.disowned = true;
        release(call);
        if (call.connection != null && call.connection.channel != null) {
            call.connection.channel.close();
        }
    }

    /** Closes the idle connections to these endpoints. */
    public void closeIdle(LongPredicate endpoints) {
        pool.closeIdle(endpoints);
    }

    /**
     * Keeps calls on these routes that still wait for their connection from being written: a wait or a drain that was announced meanwhile holds
     * from a call's first byte on, and connecting may take longer than its grace period.
     */
    public void preventWrites(Predicate<Route> routes) {
        calls.stream().filter(call -> !call.written && routes.test(call.route)).forEach(call -> call.barred = true);
    }

    /** Idle connections that can carry a call. */
    public int idleConnections() {
        return pool.usable();
    }

    /** Ends a call; its outcome is reported only when its connection has closed, as the endpoint's slot is taken until then. */
    private void abandon(UpstreamCall call, AttemptOutcome outcome) {
        if (call.done) {
            return;
        }
        call.done = true;
        boolean delivered = call.written && !call.isBatch() && call.connection.deliveryStatusReceived();
        Channel channel = call.connection == null ? null : call.connection.channel;
        if (delivered) {
            channel.close().addListener(closed -> finish(call, AttemptOutcome.OK, true));
        } else if (channel == null) {
            finish(call, outcome);
        } else {
            channel.close().addListener(closed -> finish(call, outcome));
        }
    }

    private void finish(UpstreamCall call, AttemptOutcome outcome) {
        finish(call, outcome, false);
    }

    private void finish(UpstreamCall call, AttemptOutcome outcome, boolean completed) {
        ResponseInterpreter.MessageOutcome each = new ResponseInterpreter.MessageOutcome(outcome, completed);
        report(call, new ResponseInterpreter.CallOutcome(0, List.of(), Collections.nCopies(call.items.size(), each)));
    }

    private void finish(UpstreamCall call, ResponseReader.Response response) {
        ResponseInterpreter.CallOutcome outcome = interpreter.interpret(call, response);
        if (response.reusable() && outcome.rejected()) {
            call.connectionIdleMicros = Math.max(1, call.connectionIdleMicros);
        }
        if (outcome.retryAfterMicros() > 0) {
            preventWrites(route -> route.waitGroup().equals(call.route.waitGroup()));
        }
        report(call, outcome);
    }

    private void report(UpstreamCall call, ResponseInterpreter.CallOutcome outcome) {
        release(call);
        List<CallMessage> items = call.items;
        for (int i = 0; i < items.size() && !call.disowned; i++) {
            CallMessage item = items.get(i);
            ResponseInterpreter.MessageOutcome message = outcome.messages().get(i);
            listener.attemptCompleted(new Result(
                    item.message(),
                    item.attempt(),
                    call.route.endpoint(),
                    message.outcome(),
                    call.elapsedMicros(),
                    message.completed(),
                    outcome.retryAfterMicros(),
                    outcome.loadReport(),
                    call.connectionIdleMicros));
        }
    }

    private void release(UpstreamCall call) {
        call.done = true;
        call.timeout.cancel(false);
        calls.remove(call);
        Set<Long> numbers = new HashSet<>();
        call.items.forEach(item -> numbers.add(item.message().number));
        callByMessage.keySet().removeAll(numbers);
    }

    /** Microseconds since this call was started. */
    public static long elapsedMicros(UpstreamCall call) {
        return call.elapsedMicros();
    }

    /** Ends calls by what becomes of their connections. */
    private final class ConnectionEvents implements UpstreamConnection.Listener {
        @Override
        public void beforeWrite() {
            listener.beforeWrite();
        }

        @Override
        public void written(UpstreamCall call) {
            listener.callWritten(call.items.size());
        }

        @Override
        public void notWritten(UpstreamConnection connection, UpstreamCall call) {
            finish(call, AttemptOutcome.MOOT);
            pool.keep(connection);
        }

        @Override
        public void writeFailed(UpstreamCall call) {
            finish(call, AttemptOutcome.CONNECT_FAILED);
        }

        /** The report may start a call at once, so a connection that cannot be reused closes first. */
        @Override
        public void responseReceived(
                UpstreamConnection connection, UpstreamCall call, ResponseReader.Response response) {
            if (call == null || call.done) {
                connection.channel.close();
            } else if (response.reusable()) {
                pool.keep(connection);
                finish(call, response);
            } else {
                call.done = true;
                connection.channel.close().addListener(closed -> finish(call, response));
            }
        }

        @Override
        public void unexpectedBytes(UpstreamConnection connection) {
            pool.close(connection);
        }

        @Override
        public void connectionClosed(UpstreamConnection connection, UpstreamCall call) {
            pool.remove(connection);
            if (call != null && !call.done) {
                finish(call, call.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
            }
        }
    }
}
