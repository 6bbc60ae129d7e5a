package amberroute.sender.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a client: carries out its requests, and bounds the time of each, the number of unanswered ones and of invalid ones.
 *
 * <p>Belongs to the event loop. The channel is closed by {@link OrderlyClose} once {@link #close} was called.
 */
final class ClientSession extends SimpleChannelInboundHandler<RespDecoder.Request> {
    /** With more requests unanswered the connection is not read on. */
    private static final int MAX_UNANSWERED_WHILE_READING = 64;
    /** The same for their bytes; a client that waits for each reply stays below it. */
    private static final long MAX_UNANSWERED_BYTES_WHILE_READING = 2 * RespDecoder.LARGEST_VALUE;
    /** With more requests unanswered, all from one read, the connection ends. */
    private static final int MAX_UNANSWERED = 4_096;
    /** For the first request of a connection, and from the first byte of each later one. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** Pause in reading after an invalid request, doubled with each in a row. */
    private static final long INVALID_REQUEST_PAUSE_MILLIS = 50;

    private static final int MAX_PAUSE_DOUBLINGS = 4;
    /** After so many invalid requests in a row the connection ends. */
    private static final int MAX_INVALID_REQUESTS = 16;
    /** An ending connection is read on, so that its last replies arrive, for at most so many bytes. */
    private static final long MAX_DISCARDED_BYTES = 1 << 18;

    /** What a session needs of its server. */
    interface Host {
        EventLoop loop();

        ConnectionTable connections();

        OrderlyClose closing();

        /** Names of the classes whose messages are accepted now. */
        Set<String> classNames();

        /** Whether connections close after their next reply. */
        boolean retiring();

        /** Memory for large requests that have no reply yet. */
        RequestMemory unansweredMemory();

        /** Passes a submission on; its answer is given once, now or later. */
        void submit(ClientServer.Submission submission, ClientServer.Answer answer);

        /** Turns a submission away, as there is no memory for it. */
        void shed(ClientServer.Submission submission, ClientServer.Answer answer);

        /** Counts a request whose client has disconnected before it was passed on. */
        void countAbandoned();
    }

    private final Host host;
    private final RespDecoder decoder;
    private final RequestAge requestAge;
    private final EventLoop loop;
    private Channel channel;
    private ReplyQueue replies;
    private long lastUseNanos = System.nanoTime();
    private Future<?> requestTimeout;
    private int invalidRequestsInARow;
    private boolean pausedForInvalidRequest;
    /** Whether the event loop is within a read of this connection; replies that are given in it are written at its end. */
    private boolean inRead;

    private boolean ending;
    /** Since when what is read next may have waited, 0 where only the event loop's own delay counts. */
    private long unreadSinceNanos;

    private long readingStoppedNanos;

    /** A session for a connection that was accepted just now, behind its decoder in the pipeline. */
    ClientSession(Host host, RespDecoder decoder, RequestAge requestAge) {
        this.host = host;
        this.decoder = decoder;
        this.requestAge = requestAge;
        loop = host.loop();
        unreadSinceNanos = requestAge.connectionAccepted();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        replies = new ReplyQueue(channel, this::replyGiven);
        startRequestTimeout();
        host.connections().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        host.connections().remove(this);
        stopRequestTimeout();
    }

    /** When the last valid request was read, in monotonic nanoseconds. */
    long lastUseNanos() {
        return lastUseNanos;
    }

    /** Whether a request has no reply yet. */
    boolean owesReply() {
        return !replies.isEmpty();
    }

    /** Whether it owes no reply and no part of a next request has come. */
    boolean isResting() {
        return replies.isEmpty() && !decoder.unfinished();
    }

    /** Closes the connection after what was written to it; what still arrives is discarded. */
    void close() {
        ending = true;
        stopRequestTimeout();
        decoder.stop();
        host.connections().remove(this);
        host.closing().close((SocketChannel) channel);
    }

    private void closeIfResting() {
        if (!ending && isResting()) {
            close();
        }
    }

    private void startRequestTimeout() {
        requestTimeout = loop.schedule(this::requestTimedOut, REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopRequestTimeout() {
        if (requestTimeout != null) {
            requestTimeout.cancel(false);
            requestTimeout = null;
        }
    }

    /** Only an incomplete request gets an error: a complete one that crosses the close would take it for its reply. */
    private void requestTimedOut() {
        if (!decoder.unfinished()) {
            close();
        } else if (!ending) {
            endWith(replies.add(0), "no whole request in time");
        }
    }

    /** Gives an error as the last reply; the connection closes when it and those before it are written. */
    private void endWith(ReplyQueue.Reply reply, String reason) {
        ending = true;
        stopRequestTimeout();
        decoder.stop();
        reply.setLast();
        reply.error(reason);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, RespDecoder.Request request) {
        if (ending || !channel.isActive()) {
            return;
        }
        inRead = true;
        stopRequestTimeout();
        ReplyQueue.Reply reply = replies.add(request.bytes());
        if (request.fatal()) {
            endWith(reply, request.error());
        } else if (replies.size() > MAX_UNANSWERED) {
            endWith(reply, "too many requests at once");
        } else {
            if (!mayReadOn()) {
                stopReading();
            }
            execute(request, reply);
        }
    }

    private boolean mayReadOn() {
        return replies.size() <= MAX_UNANSWERED_WHILE_READING
                && replies.requestBytes() <= MAX_UNANSWERED_BYTES_WHILE_READING;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        inRead = false;
        writeReplies();
        unreadSinceNanos = channel.config().isAutoRead() ? 0 : readingStoppedNanos;
        if (ending && decoder.discarded() > MAX_DISCARDED_BYTES) {
            if (replies.isEmpty()) {
                context.close();
            } else {
                channel.config().setAutoRead(false);
            }
        } else if (channel.config().isAutoRead()) {
            limitUnfinishedRequest();
        }
    }

    /** While reading is stopped, the rest of a request may lie unread: the client is not to blame for it. */
    private void limitUnfinishedRequest() {
        if (!ending && requestTimeout == null && decoder.unfinished()) {
            startRequestTimeout();
        }
    }

    private void execute(RespDecoder.Request request, ReplyQueue.Reply reply) {
        List<byte[]> words = request.values();
        try {
            String name =
                    words.isEmpty() ? "" : SubmitCommand.text(words.get(0)).toUpperCase(Locale.ROOT);
            switch (name) {
                case "PING" -> {
                    validRequest();
                    reply.send("+PONG\r\n");
                }
                case "SUBMIT" -> submit(request, reply);
                default -> throw new IllegalArgumentException("unknown command");
            }
        } catch (IllegalArgumentException e) {
            invalidRequest(reply, e.getMessage());
        }
    }

    private void submit(RespDecoder.Request request, ReplyQueue.Reply reply) {
        long unreadMillis = requestAge.unreadMillis(unreadSinceNanos, System.nanoTime());
        ClientServer.Submission asSent = SubmitCommand.parse(request.values(), host.classNames());
        long inClientMillis = requestAge.waitedInClientMillis(asSent.key(), System.nanoTime());
        ClientServer.Submission submission = asSent.after(Math.max(unreadMillis, inClientMillis));
        reply.setKey(submission.key());
        validRequest();
        if (!reply.reserve(host.unansweredMemory())) {
            host.shed(submission, reply);
        } else if (unreadMillis < QueueingDelay.CLIENT_TIMEOUT_MS) {
            host.submit(submission, reply);
        } else {
            requestAge.outageStillFelt(System.nanoTime());
            submitIfStillConnected(submission, reply);
        }
    }

    /**
     * Passes a request on whose client has probably given up: after a restart most of the accept queue is such connections, and
     * work on them would delay those behind them until they give up too. The end of a connection is read one event loop iteration after
     * its last request; the inner task runs in the next iteration, after its reads.
     */
    private void submitIfStillConnected(ClientServer.Submission submission, ReplyQueue.Reply reply) {
        long readNanos = System.nanoTime();
        Runnable submitOrDrop = () -> {
            if (reply.isClientConnected()) {
                long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readNanos);
                host.submit(submission.after(passedMillis), reply);
            } else {
                reply.release();
                host.countAbandoned();
            }
        };
        loop.execute(() -> loop.schedule(submitOrDrop, 0, TimeUnit.MILLISECONDS));
    }

    private void validRequest() {
        invalidRequestsInARow = 0;
        lastUseNanos = System.nanoTime();
        host.connections().used(this);
    }

    /** Slows down a client that repeats an invalid request as soon as it is rejected. */
    private void invalidRequest(ReplyQueue.Reply reply, String reason) {
        invalidRequestsInARow++;
        if (invalidRequestsInARow >= MAX_INVALID_REQUESTS) {
            endWith(reply, reason);
            return;
        }
        reply.error(reason);
        if (!pausedForInvalidRequest) {
            pausedForInvalidRequest = true;
            stopReading();
            long pauseMillis = INVALID_REQUEST_PAUSE_MILLIS << Math.min(invalidRequestsInARow - 1, MAX_PAUSE_DOUBLINGS);
            loop.schedule(this::resumeAfterInvalidRequest, pauseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeAfterInvalidRequest() {
        pausedForInvalidRequest = false;
        resumeReading();
    }

    private void resumeReading() {
        channel.config().setAutoRead(true);
        limitUnfinishedRequest();
    }

    /** What arrives from now on waits until reading goes on. */
    private void stopReading() {
        readingStoppedNanos = channel.config().isAutoRead() ? System.nanoTime() : readingStoppedNanos;
        channel.config().setAutoRead(false);
    }

    private void replyGiven(long key) {
        requestAge.answered(key, System.nanoTime());
        if (!inRead) {
            writeReplies();
        }
    }

    private void writeReplies() {
        ReplyQueue.Flushed flushed = replies.flush();
        if (flushed == ReplyQueue.Flushed.NOTHING) {
            return;
        }
        if (flushed == ReplyQueue.Flushed.LAST_REPLY) {
            close();
        } else if (host.retiring()) {
            // After this read: a request that came with the answered one is owed a reply too.
            loop.execute(this::closeIfResting);
        }
        if (!pausedForInvalidRequest && !ending && mayReadOn() && channel.isWritable()) {
            resumeReading();
        }
    }

    /** A client that does not read its replies is not read either. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!pausedForInvalidRequest && !channel.isWritable()) {
            stopReading();
        } else if (!pausedForInvalidRequest) {
            resumeReading();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
