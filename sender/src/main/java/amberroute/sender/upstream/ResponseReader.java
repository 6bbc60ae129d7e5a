package amberroute.sender.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Reads the responses on one connection to an endpoint, one for each call. Keeps the status of a response that is malformed further on,
 * bounds the bytes and the time of each response, and says whether the connection can be reused.
 *
 * <p>A response is judged when all that came in one event loop iteration is decoded, as only then it is known what follows it. Belongs to the
 * event loop.
 */
final class ResponseReader {
    private static final int MAX_RESPONSE_BYTES = 1 << 17;
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEAD_BYTES = 16_384;
    /** From the first byte of a response to its last; one that takes longer counts as incomplete. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    /**
     * A response.
     *
     * @param status of the status line, 0 where that could not be read
     * @param whole whether the rest is complete and well-formed
     * @param reusable whether the connection can carry another call
     * @param headers null where none could be read
     * @param body empty unless {@code whole}
     */
    record Response(int status, boolean whole, boolean reusable, HttpHeaders headers, String body) {}

    /** Learns of responses on the event loop. */
    interface Listener {
        /** The response to the expected call, complete or not. */
        void responseReceived(Response response);

        /** Bytes came that belong to no call, so that the connection cannot be trusted any more. */
        void unexpectedBytes();

        /** The connection has closed; a response that it still brought was reported before. */
        void connectionClosed();
    }

    private final Listener listener;
    private final StatusDecoder decoder = new StatusDecoder();
    private boolean expecting;
    private long receivedBytes;
    private int status;
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean complete;
    private boolean malformed;
    private boolean bytesFollow;
    private Future<?> responseTimeout;

    ResponseReader(Listener listener) {
        this.listener = listener;
    }

    /** Adds the codec and this reader to a new connection's pipeline. */
    void install(ChannelPipeline pipeline) {
        pipeline.addLast(new ByteCounter(), decoder, new HttpRequestEncoder(), new ResponseAssembler());
    }

    /** To be called before a call's first byte is written. */
    void expect() {
        expecting = true;
        receivedBytes = 0;
        status = 0;
        head = null;
        body = Unpooled.buffer(64);
        complete = false;
        malformed = false;
        bytesFollow = false;
    }

    /** The status line of the response in progress, 0 while there is none. */
    int status() {
        return status;
    }

    private void finish(boolean whole) {
        expecting = false;
        if (responseTimeout != null) {
            responseTimeout.cancel(false);
            responseTimeout = null;
        }
        boolean reusable =
                whole && HttpUtil.isKeepAlive(head) && endIsDelimited() && !bytesFollow && !decoder.holdsBytes();
        String text = whole ? body.toString(StandardCharsets.ISO_8859_1) : "";
        body = Unpooled.EMPTY_BUFFER;
        listener.responseReceived(new Response(status, whole, reusable, head == null ? null : head.headers(), text));
    }

    /** Whether the response itself says where it ends, rather than the end of its connection. */
    private boolean endIsDelimited() {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    /** To be called when all bytes of an event loop iteration are decoded. */
    private void finishIfKnown() {
        if (expecting && (malformed || receivedBytes > MAX_RESPONSE_BYTES)) {
            finish(false);
        } else if (expecting && complete) {
            finish(true);
        }
    }

    /** Counts bytes before they are decoded, and starts the time-out at the first. */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!expecting) {
                ReferenceCountUtil.release(message);
                listener.unexpectedBytes();
                return;
            }
            receivedBytes += ((ByteBuf) message).readableBytes();
            if (responseTimeout == null) {
                responseTimeout = context.executor()
                        .schedule(
                                () -> {
                                    responseTimeout = null;
                                    if (expecting) {
                                        finish(false);
                                    }
                                },
                                RESPONSE_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
            if (malformed || receivedBytes > MAX_RESPONSE_BYTES) {
                ReferenceCountUtil.release(message);
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.fireChannelReadComplete();
            finishIfKnown();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            context.fireChannelInactive();
            finishIfKnown();
            if (expecting && receivedBytes > 0) {
                finish(false);
            }
            expecting = false;
            listener.connectionClosed();
        }
    }

    /** Keeps the status, and takes any 1xx as informational, also a 101: no request asks to switch protocols. */
    private final class StatusDecoder extends HttpResponseDecoder {
        StatusDecoder() {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEAD_BYTES)
                    .setMaxChunkSize(MAX_HEAD_BYTES));
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] line) {
            HttpMessage message = super.createMessage(line);
            int code = ((HttpResponse) message).status().code();
            if (!complete && code >= 200 && code < 600) {
                status = code;
            }
            return message;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return isInformational((HttpResponse) message) || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected boolean isSwitchingToNonHttp1Protocol(HttpResponse message) {
            return false;
        }
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().code() >= 100 && response.status().code() < 200;
    }

    /** Assembles the decoded parts of a response. */
    private final class ResponseAssembler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                take((HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(HttpObject part) {
            if (complete) {
                bytesFollow = true;
                return;
            }
            malformed |= !part.decoderResult().isSuccess();
            if (malformed) {
                return;
            }
            if (part instanceof HttpResponse response) {
                head = isInformational(response) ? null : response;
                malformed = head != null && (status == 0 || announcedBytes(response) > MAX_RESPONSE_BYTES);
            }
            if (part instanceof HttpContent content && head != null) {
                body.writeBytes(content.content());
                complete = part instanceof LastHttpContent;
            }
        }

        private static long announcedBytes(HttpResponse response) {
            return HttpUtil.getContentLength(response, 0L);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
