package amberroute.storage;

import java.io.IOException;

/** Thrown if a segment was written by a newer version in a format that this version cannot read. Not retriable. */
public final class UnsupportedFormatException extends IOException {
    private static final long serialVersionUID = 1;

    UnsupportedFormatException(int version) {
        super("segment format " + version + " is newer than the newest supported format "
                + SegmentFormat.FORMAT_VERSION);
    }
}
