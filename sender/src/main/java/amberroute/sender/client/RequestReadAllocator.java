package amberroute.sender.client;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Sizes the reads of one connection: what the value that is being read lacks, else little. All that was read is decoded at once, so the size
 * of a read bounds the commands that are carried out beyond those after which a connection is not read on.
 */
final class RequestReadAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    /** Holds a usual request, and some hundreds of the shortest. */
    private static final int MIN_READ_BYTES = 2_048;

    private static final int MAX_READ_BYTES = RespDecoder.LARGEST_VALUE;

    private final RespDecoder decoder;

    RequestReadAllocator(RespDecoder decoder) {
        this.decoder = decoder;
    }

    /** The size of the next read in bytes. */
    int nextReadBytes() {
        return Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, decoder.missingValueBytes()));
    }

    @Override
    public MaxMessageHandle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return nextReadBytes();
            }
        };
    }
}
