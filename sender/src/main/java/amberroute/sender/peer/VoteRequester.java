package amberroute.sender.peer;

import amberroute.sender.peer.ReplicationProtocolMessage.VoteReply;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Asks the voters of an attempt, each on a connection of its own that ends with the reply. A voter that does not answer is asked
 * again by the caller. Lives on the event loop.
 */
final class VoteRequester {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int REPLY_TIMEOUT_SECONDS = 1;
    private static final int MAX_REPLY_BYTES = 1 << 12;

    private final ReplicationContext context;
    private final BiConsumer<ElectionAttempt, VoteReply> onReply;

    VoteRequester(ReplicationContext context, BiConsumer<ElectionAttempt, VoteReply> onReply) {
        this.context = context;
        this.onReply = onReply;
    }

    /** Asks all voters that have not answered. */
    void request(ElectionAttempt attempt) {
        attempt.askedAtNanos = System.nanoTime();
        VoteRequest request = new VoteRequest(
                context.self(),
                attempt.replica.journalId,
                attempt.candidacy.term(),
                attempt.isPreVote(),
                attempt.candidacy.logPosition());
        for (String voter : attempt.candidacy.pendingVoters()) {
            InetSocketAddress address = context.peers().get(voter);
            if (address != null) {
                send(attempt, voter, address, request);
            }
        }
    }

    private void send(ElectionAttempt attempt, String voter, InetSocketAddress address, VoteRequest request) {
        new Bootstrap()
                .group(context.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                                        new LineBasedFrameDecoder(MAX_REPLY_BYTES, true, true),
                                        new ReplyHandler(attempt, voter));
                    }
                })
                .connect(address)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        done.channel().writeAndFlush(ReplicationCodec.encode(request));
                    }
                });
    }

    /** Takes one voter's reply and closes its connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final ElectionAttempt attempt;
        private final String voter;

        ReplyHandler(ElectionAttempt attempt, String voter) {
            this.attempt = attempt;
            this.voter = voter;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext channel, ByteBuf line) {
            if (!(ReplicationCodec.decodeReply(JsonLine.parse(line)) instanceof VoteReply reply)) {
                throw new MalformedPeerMessageException(JsonLine.WORD, "an answer to a vote request");
            }
            attempt.voterAhead |= reply.ahead();
            attempt.formerJournalOpen |= reply.formerJournalOpen();
            attempt.candidacy.onVote(voter, reply.requestedTerm(), reply.granted(), reply.term());
            channel.close();
            onReply.accept(attempt, reply);
        }

        /** A voter that does not answer in time, or not at all, is asked again. */
        @Override
        public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
            channel.close();
        }
    }
}
