package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One pass over all live contents of a log. Segments whose bytes recovery has cached are not read and verified again.
 */
final class LiveContentScan {
    private final LogFiles files;
    private final LogIndex index;
    private final ContentVisitor visitor;
    /** By cached segment, the owners with live contents in it; a list may contain an owner twice. */
    private final Map<SegmentFile, List<OwnerContents>> cachedOwners = new HashMap<>();

    LiveContentScan(LogFiles files, LogIndex index, ContentVisitor visitor) {
        this.files = files;
        this.index = index;
        this.visitor = visitor;
    }

    /**
     * Passes each live content to the visitor once, then clears the cache.
     *
     * @throws IOException if a segment cannot be read or the visitor throws it
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
                // Most owners have all live contents in one segment: comparing with the previous one saves the lookup.
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
