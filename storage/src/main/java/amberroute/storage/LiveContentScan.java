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
final class LiveContentScan {
    private final LogFiles files;
    private final LogIndex index;
    private final ContentVisitor visitor;
    /** Owners with live contents in a segment whose bytes are in memory; an owner may stand in it twice. */
    private final Map<SegmentFile, List<OwnerContents>> cachedOwners = new HashMap<>();

    LiveContentScan(LogFiles files, LogIndex index, ContentVisitor visitor) {
        this.files = files;
        this.index = index;
        this.visitor = visitor;
    }

    /**
     * Gives each live content to the reader once and frees the retained bytes.
     *
     * @throws IOException where a segment cannot be read, or of the reader
     */
    void run() throws IOException {
        for (SegmentFile segment : files.segments.values()) {
            if (files.cache.get(segment) == null) {
                visitFile(segment);
            } else {
                cachedOwners.put(segment, new ArrayList<>(segment.copyCount));
            }
        }
        collectCachedOwners();
        for (Map.Entry<SegmentFile, List<OwnerContents>> entry : cachedOwners.entrySet()) {
            visitCached(entry.getKey(), entry.getValue());
        }
        resetVisited();
        files.cache.clear();
    }

    private void collectCachedOwners() {
        for (OwnerContents owner : index.owners()) {
            SegmentFile previousSegment = null;
            for (ContentLocation content : owner.contents) {
                // Most owners have all live contents in one segment: this saves the look-up.
                if (content.segment != previousSegment && cachedOwners.containsKey(content.segment)) {
                    cachedOwners.get(content.segment).add(owner);
                }
                previousSegment = content.segment;
            }
        }
    }

    private void visitCached(SegmentFile segment, List<OwnerContents> owners) throws IOException {
        ByteBuffer segmentBytes = ByteBuffer.wrap(files.cache.get(segment));
        for (OwnerContents owner : owners) {
            for (ContentLocation content : owner.contents) {
                if (content.segment == segment && !content.visited) {
                    content.visited = true;
                    visitor.visit(
                            owner.ownerId,
                            content.kind,
                            content.version,
                            segmentBytes.slice((int) content.offset, content.lengthBytes));
                }
            }
        }
    }

    private void resetVisited() {
        for (List<OwnerContents> owners : cachedOwners.values()) {
            for (OwnerContents owner : owners) {
                for (ContentLocation content : owner.contents) {
                    content.visited = false;
                }
            }
        }
    }

    private void visitFile(SegmentFile segment) throws IOException {
        SegmentReader.read(files.load(segment, Long.MAX_VALUE), segment.salt, new SegmentVisitor() {
            private long recordOffset;

            @Override
            public void visitRecord(long offset, long sequence) {
                recordOffset = offset;
            }

            @Override
            public void visitContent(
                    long ownerId,
                    int kind,
                    boolean exclusive,
                    long version,
                    byte[] segmentBytes,
                    int offset,
                    int lengthBytes,
                    int itemBytes)
                    throws IOException {
                if (isLive(segment, ownerId, kind, recordOffset, offset)) {
                    ByteBuffer content =
                            ByteBuffer.wrap(segmentBytes, offset, lengthBytes).slice();
                    visitor.visit(ownerId, kind, version, content);
                }
            }
        });
    }

    private boolean isLive(SegmentFile segment, long ownerId, int kind, long recordOffset, long offset) {
        OwnerContents ownerContents = index.find(ownerId);
        ContentLocation content = ownerContents == null || ownerContents.deleted ? null : ownerContents.find(kind);
        return content != null
                && content.segment == segment
                && content.recordOffset == recordOffset
                && content.offset == offset;
    }
}
