package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One reading of all live contents of a log. Segments whose bytes recovery has retained are not read and checked a second time.
 */
final class LiveContentReading {
    private final LogFiles files;
    private final LogIndex index;
    private final ContentReader reader;
    /** Owners with live contents in a segment whose bytes are in memory; an owner may stand in it twice. */
    private final Map<SegmentFile, List<OwnerContents>> cachedOwners = new HashMap<>();

    LiveContentReading(LogFiles files, LogIndex index, ContentReader reader) {
        this.files = files;
        this.index = index;
        this.reader = reader;
    }

    /**
     * Gives each live content to the reader once and frees the retained bytes.
     *
     * @throws IOException where a segment cannot be read, or of the reader
     */
    void run() throws IOException {
        for (SegmentFile segment : files.segments.values()) {
            if (files.cache.get(segment) == null) {
                readFile(segment);
            } else {
                cachedOwners.put(segment, new ArrayList<>(segment.copies));
            }
        }
        groupOwners();
        for (Map.Entry<SegmentFile, List<OwnerContents>> entry : cachedOwners.entrySet()) {
            readCached(entry.getKey(), entry.getValue());
        }
        resetDelivered();
        files.cache.clear();
    }

    private void groupOwners() {
        for (OwnerContents owner : index.owners()) {
            SegmentFile last = null;
            for (ContentLocation content : owner.contents) {
                // Most owners have all live contents in one segment: this saves the look-up.
                if (content.segment != last && cachedOwners.containsKey(content.segment)) {
                    cachedOwners.get(content.segment).add(owner);
                }
                last = content.segment;
            }
        }
    }

    private void readCached(SegmentFile segment, List<OwnerContents> owners) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(files.cache.get(segment));
        for (OwnerContents owner : owners) {
            for (ContentLocation content : owner.contents) {
                if (content.segment == segment && !content.delivered) {
                    content.delivered = true;
                    reader.content(
                            owner.owner,
                            content.kind,
                            content.version,
                            bytes.slice((int) content.offset, content.lengthBytes));
                }
            }
        }
    }

    private void resetDelivered() {
        for (List<OwnerContents> owners : cachedOwners.values()) {
            for (OwnerContents owner : owners) {
                for (ContentLocation content : owner.contents) {
                    content.delivered = false;
                }
            }
        }
    }

    private void readFile(SegmentFile segment) throws IOException {
        SegmentReader.read(files.load(segment, Long.MAX_VALUE), segment.salt, new SegmentVisitor() {
            private long recordOffset;

            @Override
            public void record(long offset, long sequence) {
                recordOffset = offset;
            }

            @Override
            public void content(
                    long owner,
                    int kind,
                    boolean exclusive,
                    long version,
                    byte[] bytes,
                    int offset,
                    int lengthBytes,
                    int itemBytes)
                    throws IOException {
                if (isLive(segment, owner, kind, recordOffset, offset)) {
                    ByteBuffer content =
                            ByteBuffer.wrap(bytes, offset, lengthBytes).slice();
                    reader.content(owner, kind, version, content);
                }
            }
        });
    }

    private boolean isLive(SegmentFile segment, long owner, int kind, long recordOffset, long offset) {
        OwnerContents known = index.find(owner);
        ContentLocation content = known == null || known.deleted ? null : known.find(kind);
        return content != null
                && content.segment == segment
                && content.recordOffset == recordOffset
                && content.offset == offset;
    }
}
