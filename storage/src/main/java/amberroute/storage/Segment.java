package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * How a segment is laid out, as bytes: a head of {@value #HEAD} bytes (magic, format version, segment number, which was
 * before it and where that ends, the first owner's number that was free, CRC32C), then records of {@value #FRAME} bytes
 * (marker, length, sequence number, CRC32C over the segment's salt, all of that and the content) and their content, which is a
 * list of items. The salt stands in the file's name: content that came from outside cannot look like a record, where one is
 * looked for behind damage. Numbers are big-endian, in items of variable length with seven bits a byte.
 *
 * <p>Reading never stops at a record that cannot be read: it looks for the next whole one behind it. What is bad and has
 * nothing whole behind it is a tail, torn as a process ended; what has is damage.
 */
public final class Segment {
    static final int HEAD = 48;
    static final int FRAME = 20;
    /** The longest content of a record. */
    public static final int LONGEST = 1 << 18;

    static final short VERSION = 1;
    /** The highest kind of a content. */
    static final int KINDS = 63;

    private static final int SOLE = 64;
    /** Bytes of the longest number. */
    private static final int LONGEST_NUMBER = 10;
    /** The item that tells which owners are over. */
    static final int ENDS = 0;

    private static final int PARTS = -1;
    private static final int RETIRED = -2;
    private static final long MAGIC = 0x414d4252_5345474dL;
    private static final int MARKER = 0x5245_4331;

    /** Whether the head is whole, its words, and where the file's last whole record ends. */
    record Head(boolean whole, long number, long previousNumber, long previousEnd, long owners) {}

    /** Bytes that could not be read, from one place to another. */
    public record Damage(long from, long to) {}

    /** Takes what a segment has, in its order. */
    interface Visitor {
        /** Where one record stands and how long its items are. */
        default void record(long at, long sequence) throws IOException {}

        /** A content that stands at {@code at} in {@code bytes}; {@code size} counts the item's own head as well. */
        void put(long owner, int kind, boolean sole, long version, byte[] bytes, int at, int length, int size)
                throws IOException;

        void ends(List<Long> owners, int size) throws IOException;

        /** The segments that are there, as its writer knew when it began this one; then each that it retired. */
        default void parts(List<Long> numbers) throws IOException {}

        default void retired(long number) throws IOException {}
    }

    /** What is told of a segment that was read; {@code end} is behind its last whole record. */
    record Summary(Head head, List<Damage> damages, int records, long end, long length) {
        /** Bytes behind the last whole record. */
        long tail() {
            return length - end;
        }

        /** Never begun: not even its head was written, which stands there before any record. */
        boolean nothing() {
            return !head.whole() && records == 0;
        }
    }

    /** A segment of a format that this program does not know. */
    public static final class UnsupportedFormatException extends IOException {
        private static final long serialVersionUID = 1;

        UnsupportedFormatException(int version) {
            super("format " + version + " is newer than this program's " + VERSION);
        }
    }

    private Segment() {}

    static ByteBuffer head(long number, long previousNumber, long previousEnd, long owners) {
        ByteBuffer out = ByteBuffer.allocate(HEAD);
        out.putLong(MAGIC)
                .putShort(VERSION)
                .putShort((short) 0)
                .putLong(number)
                .putLong(previousNumber)
                .putLong(previousEnd)
                .putLong(owners);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, HEAD - Integer.BYTES);
        return out.putInt((int) crc.getValue()).flip();
    }

    // ---- Writing. ----

    /** Items of one record, behind room for its frame. */
    static final class Items {
        private byte[] bytes = new byte[FRAME + 256];
        private int end = FRAME;

        /** Returns the bytes that it takes. */
        int put(long owner, int kind, boolean sole, long version, byte[] content) {
            int before = end;
            room(1 + 3 * LONGEST_NUMBER + content.length);
            bytes[end++] = (byte) (kind | (sole ? SOLE : 0));
            number(owner);
            number(version);
            number(content.length);
            System.arraycopy(content, 0, bytes, end, content.length);
            end += content.length;
            return end - before;
        }

        int ends(List<Long> owners) {
            return list(ENDS, owners);
        }

        void parts(List<Long> numbers) {
            list(PARTS, numbers);
        }

        void retired(long number) {
            list(RETIRED, List.of(number));
        }

        private int list(int kind, List<Long> numbers) {
            int before = end;
            room(1 + (numbers.size() + 1) * LONGEST_NUMBER);
            bytes[end++] = (byte) kind;
            number(numbers.size());
            numbers.forEach(this::number);
            return end - before;
        }

        int size() {
            return end - FRAME;
        }

        private void room(int more) {
            if (end + more > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, end + more));
            }
        }

        private void number(long value) {
            long rest = value;
            while ((rest & ~0x7fL) != 0) {
                bytes[end++] = (byte) (rest & 0x7f | 0x80);
                rest >>>= 7;
            }
            bytes[end++] = (byte) rest;
        }

        /** A whole record of them; the same bytes with each call. */
        ByteBuffer frame(long salt, long sequence) {
            if (size() > LONGEST) {
                throw new IllegalArgumentException("a record of " + size() + " bytes");
            }
            ByteBuffer out = ByteBuffer.wrap(bytes, 0, end);
            out.putInt(0, MARKER).putInt(4, size()).putLong(8, sequence);
            return out.putInt(FRAME - Integer.BYTES, crc(salt, bytes, 0, size()));
        }
    }

    /** Over the frame without its own place, and the content. */
    private static int crc(long salt, byte[] bytes, int at, int length) {
        CRC32C crc = new CRC32C();
        byte[] salted = new byte[Long.BYTES];
        ByteBuffer.wrap(salted).putLong(salt);
        crc.update(salted, 0, Long.BYTES);
        crc.update(bytes, at, FRAME - Integer.BYTES);
        crc.update(bytes, at + FRAME, length);
        return (int) crc.getValue();
    }

    // ---- Reading. ----

    /** A file's bytes, at most so many. */
    static byte[] load(Disk.Handle file, long most) throws IOException {
        long length = Math.min(file.size(), most);
        if (length > Integer.MAX_VALUE - 64) {
            throw new IOException("a segment of " + length + " bytes");
        }
        byte[] all = new byte[(int) length];
        ByteBuffer into = ByteBuffer.wrap(all);
        while (into.hasRemaining() && file.read(into.position(), into) >= 0) {
            // Goes on where the last read ended.
        }
        return into.hasRemaining() ? Arrays.copyOf(all, into.position()) : all;
    }

    /** Shows all whole records of a segment's bytes to the visitor. */
    static Summary read(byte[] all, long salt, Visitor visitor) throws IOException {
        int length = all.length;
        Head head = head(all, length);
        List<Damage> damages = new ArrayList<>();
        int place = head.whole() ? HEAD : 0;
        int end = place;
        int records = 0;
        ByteBuffer in = ByteBuffer.wrap(all);
        while (place < length) {
            if (!whole(in, salt, place)) {
                place = next(in, place + 1);
                continue;
            }
            if (place > end) {
                damages.add(new Damage(end, place));
            }
            records++;
            items(in, place, visitor);
            place += FRAME + in.getInt(place + 4);
            end = place;
        }
        return new Summary(head, damages, records, end, length);
    }

    private static Head head(byte[] bytes, int length) throws IOException {
        if (length >= HEAD) {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            CRC32C crc = new CRC32C();
            crc.update(bytes, 0, HEAD - Integer.BYTES);
            if (in.getLong(0) == MAGIC && in.getInt(HEAD - Integer.BYTES) == (int) crc.getValue()) {
                if (in.getShort(8) > VERSION) {
                    throw new UnsupportedFormatException(in.getShort(8));
                }
                return new Head(true, in.getLong(12), in.getLong(20), in.getLong(28), in.getLong(36));
            }
        }
        return new Head(false, -1, -1, -1, 0);
    }

    private static boolean whole(ByteBuffer in, long salt, int at) {
        if (at + FRAME > in.limit() || in.getInt(at) != MARKER) {
            return false;
        }
        int length = in.getInt(at + 4);
        return length >= 0
                && length <= LONGEST
                && at + FRAME + length <= in.limit()
                && in.getInt(at + FRAME - Integer.BYTES) == crc(salt, in.array(), at, length);
    }

    /** The next place at which a record may begin, or the end. */
    private static int next(ByteBuffer in, int from) {
        for (int at = from; at + FRAME <= in.limit(); at++) {
            if (in.get(at) == (byte) (MARKER >> 24) && in.getInt(at) == MARKER) {
                return at;
            }
        }
        return in.limit();
    }

    private static void items(ByteBuffer in, int at, Visitor visitor) throws IOException {
        visitor.record(at, in.getLong(at + 8));
        ByteBuffer items = in.duplicate();
        items.position(at + FRAME).limit(at + FRAME + in.getInt(at + 4));
        while (items.hasRemaining()) {
            int begin = items.position();
            int kind = items.get();
            if (kind <= ENDS) {
                int count = (int) number(items);
                List<Long> numbers = new ArrayList<>(Math.min(count, items.remaining()));
                for (int i = 0; i < count; i++) {
                    numbers.add(number(items));
                }
                switch (kind) {
                    case ENDS -> visitor.ends(numbers, items.position() - begin);
                    case PARTS -> visitor.parts(numbers);
                    case RETIRED -> visitor.retired(numbers.get(0));
                    default -> throw new IOException("an item of kind " + kind);
                }
            } else {
                long owner = number(items);
                long version = number(items);
                int length = (int) number(items);
                visitor.put(
                        owner,
                        kind & ~SOLE,
                        (kind & SOLE) != 0,
                        version,
                        in.array(),
                        items.position(),
                        length,
                        items.position() - begin + length);
                items.position(items.position() + length);
            }
        }
    }

    /** An owner's content that was put at this place, null where it does not stand there whole. */
    static byte[] content(byte[] segment, long salt, long record, long at, long owner, long version)
            throws IOException {
        ByteBuffer all = ByteBuffer.wrap(segment);
        if (record < 0 || record + FRAME > segment.length || !whole(all, salt, (int) record)) {
            return null;
        }
        byte[][] content = new byte[1][];
        items(all, (int) record, new Visitor() {
            @Override
            public void put(long of, int kind, boolean sole, long put, byte[] bytes, int place, int length, int size) {
                if (place == at && of == owner && put == version) {
                    content[0] = Arrays.copyOfRange(bytes, place, place + length);
                }
            }

            @Override
            public void ends(List<Long> owners, int size) {}
        });
        return content[0];
    }

    private static long number(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                break;
            }
        }
        return value;
    }
}
