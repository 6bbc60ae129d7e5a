package amberroute.sender.upstream;

import amberroute.sender.message.AcceptedMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Encodes a call as an HTTP request in the form of the platform (PROTOCOL, "Senders to receivers"). Stateless. */
final class CallRequest {
    private static final String PATH = "/receive";
    private static final String BATCH_PATH = "/receive-many";
    private static final String REQUEST_ID = "X-Request-ID";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String TIMEOUT = "X-Timeout";
    private static final long MICROS_PER_MILLI = 1_000;

    private CallRequest() {}

    /** The request of this call; its buffer belongs to whoever writes it. */
    static FullHttpRequest encode(UpstreamCall call) {
        ByteBuf body = call.isBatch()
                ? batchBody(call)
                : Unpooled.buffer().writeBytes(call.items.get(0).message().body);
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, call.isBatch() ? BATCH_PATH : PATH, body);
        request.headers()
                .set(HttpHeaderNames.HOST, call.route.address().getAddress().getHostAddress());
        if (!call.isBatch()) {
            AcceptedMessage message = call.items.get(0).message();
            request.headers().set(REQUEST_ID, message.id);
            if (!message.idempotencyKey.isEmpty()) {
                request.headers().set(IDEMPOTENCY_KEY, message.idempotencyKey);
            }
        }
        request.headers().set(TIMEOUT, Math.max(1, call.remainingMicros() / MICROS_PER_MILLI) + "m");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return request;
    }

    private static ByteBuf batchBody(UpstreamCall call) {
        ByteBuf body = Unpooled.buffer();
        for (UpstreamClient.CallMessage item : call.items) {
            AcceptedMessage message = item.message();
            String key = message.idempotencyKey.isEmpty() ? "-" : message.idempotencyKey;
            String head = message.id + " " + key + " " + message.body.length + "\r\n";
            body.writeCharSequence(head, StandardCharsets.ISO_8859_1);
            body.writeBytes(message.body);
            body.writeCharSequence("\r\n", StandardCharsets.ISO_8859_1);
        }
        return body;
    }
}
