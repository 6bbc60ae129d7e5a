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
 * Reads the answers on one connection to a receiver, one for each call. It keeps the first line of an answer that
 * is spoilt further on, bounds the bytes and the time of each, and tells whether the connection can be used again.
 */
final class ResponseReader {
    private static final int LARGEST = 1 << 17;
    private static final int LONGEST_LINE = 4_096;
    private static final int LARGEST_HEAD = 16_384;
    /** From the first byte of an answer to its last: what takes longer is taken to be cut or without end. */
    private static final long SPAN_MS = 500;

    /**
     * What came back. {@code status} is that of the first line, 0 where that could not be read; {@code whole} says
     * that the rest could be read too, {@code reusable} that nothing followed and another call may.
     */
    record Response(int status, boolean whole, boolean reusable, HttpHeaders headers, String body) {}

    /** Learns of answers on the event loop. */
    interface Listener {
        void answered(Response answer);

        /** Bytes came that belong to no call: nothing on this connection can be trusted any more. */
        void strayed();

        /** The connection has ended; an answer it still brought was told before. */
        void ended();
    }

    private final Listener listener;
    private final Decoder decoder = new Decoder();
    private boolean expecting;
    private long bytes;
    private int firstLine;
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean complete;
    private boolean broken;
    private boolean surplus;
    private Future<?> deadline;

    ResponseReader(Listener listener) {
        this.listener = listener;
    }

    void install(ChannelPipeline pipeline) {
        pipeline.addLast(new Bytes(), decoder, new HttpRequestEncoder(), new ResponseHandler());
    }

    /** To be called before a call's first byte is written. */
    void expect() {
        expecting = true;
        bytes = 0;
        firstLine = 0;
        head = null;
        body = Unpooled.buffer(64);
        complete = false;
        broken = false;
        surplus = false;
    }

    /** The status on the first line of the answer that is expected, 0 while there is none. */
    int firstLine() {
        return firstLine;
    }

    private void finish(boolean whole) {
        expecting = false;
        if (deadline != null) {
            deadline.cancel(false);
            deadline = null;
        }
        boolean reusable = whole && HttpUtil.isKeepAlive(head) && delimited() && !surplus && !decoder.holdsBytes();
        String text = whole ? body.toString(StandardCharsets.ISO_8859_1) : "";
        body = Unpooled.EMPTY_BUFFER;
        listener.answered(new Response(firstLine, whole, reusable, head == null ? null : head.headers(), text));
    }

    /** Whether the answer itself tells where it ends, rather than the end of its connection. */
    private boolean delimited() {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    /** Everything that has come in this pass of the loop has been decoded: only now is it known what follows. */
    private void judge() {
        if (expecting && (broken || bytes > LARGEST)) {
            finish(false);
        } else if (expecting && complete) {
            finish(true);
        }
    }

    /** Counts what comes before anything is decoded. */
    private final class Bytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!expecting) {
                ReferenceCountUtil.release(message);
                listener.strayed();
                return;
            }
            bytes += ((ByteBuf) message).readableBytes();
            if (deadline == null) {
                deadline = context.executor()
                        .schedule(
                                () -> {
                                    deadline = null;
                                    if (expecting) {
                                        finish(false);
                                    }
                                },
                                SPAN_MS,
                                TimeUnit.MILLISECONDS);
            }
            if (broken || bytes > LARGEST) {
                ReferenceCountUtil.release(message);
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.fireChannelReadComplete();
            judge();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            context.fireChannelInactive();
            judge();
            if (expecting && bytes > 0) {
                finish(false);
            }
            expecting = false;
            listener.ended();
        }
    }

    /** Takes any 1xx, a 101 too, for what precedes the answer: nothing here ever asks to switch protocols. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(LONGEST_LINE)
                    .setMaxHeaderSize(LARGEST_HEAD)
                    .setMaxChunkSize(LARGEST_HEAD));
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] line) {
            HttpMessage message = super.createMessage(line);
            int status = ((HttpResponse) message).status().code();
            if (!complete && status >= 200 && status < 600) {
                firstLine = status;
            }
            return message;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return interim((HttpResponse) message) || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected boolean isSwitchingToNonHttp1Protocol(HttpResponse message) {
            return false;
        }
    }

    private static boolean interim(HttpResponse response) {
        return response.status().code() >= 100 && response.status().code() < 200;
    }

    /** Puts the decoded parts of an answer together. */
    private final class ResponseHandler extends ChannelInboundHandlerAdapter {
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
                surplus = true;
                return;
            }
            broken |= !part.decoderResult().isSuccess();
            if (broken) {
                return;
            }
            if (part instanceof HttpResponse response) {
                head = interim(response) ? null : response;
                broken = head != null && (firstLine == 0 || announced(response) > LARGEST);
            }
            if (part instanceof HttpContent content && head != null) {
                body.writeBytes(content.content());
                complete = part instanceof LastHttpContent;
            }
        }

        private static long announced(HttpResponse response) {
            return HttpUtil.getContentLength(response, 0L);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
