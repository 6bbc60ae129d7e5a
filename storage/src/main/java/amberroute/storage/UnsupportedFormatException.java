package amberroute.storage;

import java.io.IOException;

/** A segment was written by a later version, in a format that this one does not know. Not retriable. */
public final class UnsupportedFormatException extends IOException {
    private static final long serialVersionUID = 1;

    UnsupportedFormatException(int version) {
        super("format " + version + " is newer than this program's " + SegmentFormat.FORMAT_VERSION);
    }
}
