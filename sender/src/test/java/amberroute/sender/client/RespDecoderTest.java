package amberroute.sender.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Requests are decoded as they are read, wherever reads cut them, and hold no more memory than they reserve. */
class RespDecoderTest {
    private static final long MEMORY_BYTES = 1 << 20;
    private static final int SEEDS = 200;

    private final RequestMemory memory = new RequestMemory(MEMORY_BYTES);
    private final EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(memory));

    private static String large(int bytes) {
        return "*2\r\n$4\r\nPING\r\n$" + bytes + "\r\n" + "x".repeat(bytes) + "\r\n";
    }

    /** Requests as text, or their errors, since the last call. */
    private List<String> decoded() {
        List<String> decoded = new ArrayList<>();
        for (RespDecoder.Request request = channel.readInbound(); request != null; request = channel.readInbound()) {
            List<String> words = request.values().stream()
                    .map(value -> new String(value, StandardCharsets.ISO_8859_1))
                    .toList();
            decoded.add(request.error() == null ? String.join(" ", words) : request.error());
        }
        return decoded;
    }

    private ByteBuf read(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        channel.writeInbound(bytes);
        return bytes;
    }

    /** Guards against buffers that gather what pipelining clients send: nothing that was read is kept but the request it is part of. */
    @Test
    void keepsNoBufferThatItHasRead() {
        String request = large(RespDecoder.LARGEST_VALUE);
        String pipelined = request.repeat(5);
        int cut = request.length() / 3;
        for (int from = 0; from < pipelined.length(); from += cut) {
            ByteBuf bytes = read(pipelined.substring(from, Math.min(pipelined.length(), from + cut)));
            assertEquals(0, bytes.refCnt(), "kept what it has read");
        }
        assertEquals(5, decoded().size());
        assertTrue(memory.reserve(MEMORY_BYTES), "a complete request holds memory");
    }

    /** Wherever reads cut the stream, also within a line, a length or a terminator, the requests are the same. */
    @Test
    void requestsAreTheSameHoweverTheyAreCut() {
        String stream = "PING\r\n\r\n*1\r\n$4\r\nPING\r\n*0\r\n*3\r\n$6\r\nSUBMIT\r\n$0\r\n\r\n$2\r\n\r\n\r\nget  it\n"
                + large(9_000) + "*1\r\n$4\r\nlast\r\n";
        read(stream);
        List<String> whole = decoded();
        assertEquals(6, whole.size(), whole.toString());
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int most = 1 + random.nextInt(40);
            for (int from = 0; from < stream.length(); ) {
                int to = Math.min(stream.length(), from + 1 + random.nextInt(most));
                read(stream.substring(from, to));
                from = to;
            }
            assertEquals(whole, decoded(), "seed " + seed);
        }
    }

    /** Many values below the size that is reserved make a request that has to be. */
    @Test
    void reservesARequestOfManySmallValues() {
        read("*16\r\n" + ("$4000\r\n" + "x".repeat(4_000) + "\r\n").repeat(15));
        assertTrue(!memory.reserve(MEMORY_BYTES - 15 * 4_000 + 1), "its values are not counted");
        channel.close();
        assertTrue(memory.reserve(MEMORY_BYTES), "the end of the connection gives nothing back");
    }

    @Test
    void refusesAValueThatIsNotAsLongAsItSays() {
        read("*1\r\n$4\r\nPINGS\r\n");
        assertEquals(List.of("Protocol error: a value is not as long as it says"), decoded());
        read("*1\r\n$4\r\nPING\r\n");
        assertEquals(List.of(), decoded());
    }

    @Test
    void readsAreAsLargeAsTheValueThatIsMissing() {
        RequestReadAllocator reads =
                new RequestReadAllocator((RespDecoder) channel.pipeline().first());
        int between = reads.nextReadBytes();
        read("*1\r\n$60000\r\nxy");
        assertEquals(60_000, reads.nextReadBytes());
        read("x".repeat(59_997));
        assertEquals(between, reads.nextReadBytes());
        read("x\r\n");
        assertEquals(1, decoded().size());
        assertEquals(between, reads.nextReadBytes());
    }
}
