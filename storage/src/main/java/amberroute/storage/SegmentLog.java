package amberroute.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Keeps contents of owners in segments: each owner has one content of each kind, the last that was put, until it is over. A
 * batch whose {@link #write} has returned is found by every later opening, unless its bytes are damaged on the disk; one whose
 * write has failed is not, and nothing else is lost by it.
 *
 * <p>After a failed write the torn part is cut off; where even that fails another segment is begun, whose head tells where the
 * one before ends, since a record may have landed whole though its write was reported as failed. Where nothing can be written
 * at all that stays open ({@link #uncertain}): until it is settled nobody may rely on the failed batch's not being there.
 *
 * <p>Room comes back when a segment is retired: what is live in it is copied on, a slice at a time ({@link #compact}), each
 * under the version under which it was first written, then the file is deleted. What is met twice counts once, so a crash
 * anywhere in between changes nothing. That an owner is over stays written until no copy of anything of it is left on the
 * disk, or it would come back. The proof is in {@code docs/journal.md}. Not thread-safe, but for {@link PendingForce#run}.
 */
public class SegmentLog implements Closeable {
    private static final String SUFFIX = ".seg";
    private static final String ASIDE = ".damaged";
    private static final String RESERVE = "reserve";
    /** Segments that are kept aside as they were found; the oldest goes first. */
    private static final int MOST_ASIDE = 2;

    private static final int BLOCK = 512;
    private static final long NEVER = Long.MAX_VALUE;
    /** A segment with a larger live share is not worth retiring. */
    private static final double DENSE = 0.99;

    private static final int ENDS_AT_ONCE = 4_096;
    /** The share of the heap that segments may take which are kept between opening and reading. */
    private static final int RETAINED_SHARE = 8;

    /**
     * {@code budget} bounds all files of the log together, in bytes, each counted in whole {@value #BLOCK}s; {@code reserve} is
     * of it and is kept as a file that is given up when the disk has no room left; {@code synced}: power may fail, so that
     * a segment goes only when what was copied from it has been forced.
     */
    public record Limits(long budgetBytes, long segmentBytes, long reserveBytes, boolean forceRequired) {
        public Limits {
            if (segmentBytes < 4_096 || budgetBytes < 4 * segmentBytes + reserveBytes || reserveBytes < 0) {
                throw new IllegalArgumentException("segments of " + segmentBytes + " bytes in " + budgetBytes);
            }
        }

        /** The least that {@link #of} takes. */
        public static final long MIN_BUDGET_BYTES = 64 << 10;

        /**
         * What suits a budget: some thirty segments, each with room for the largest message; below some 400 KB six, which
         * take shorter messages only.
         */
        public static Limits of(long budget, boolean synced) {
            long segment = Math.min(Math.min(1 << 20, budget / 6), Math.max(68 << 10, budget / 32));
            return new Limits(budget, segment, segment / 4, synced);
        }
    }

    /** The budget has no room for it, also after all that can be retired has been. */
    public static final class LogFullException extends IOException {
        private static final long serialVersionUID = 1;

        LogFullException(String message) {
            super(message);
        }
    }

    /** Where a segment has bytes that could not be read, with whole records behind them; {@code to} 0 for a missing file. */
    public record DataLoss(String segment, Segment.Damage damage) {}

    /** Takes what the log has, in no order; the buffer is a view of the log's own bytes, for the time of the call. */
    public interface ContentReader {
        void content(long owner, int kind, long version, ByteBuffer content) throws IOException;
    }

    /** Where the last content of an owner's kind stands. */
    private static final class Item {
        final int kind;
        boolean sole;
        long version;
        Part part;
        long record;
        long at;
        int length;
        /** With its own head; what it counts for as live. */
        int size;
        /** Given to a reader that has not seen all yet. */
        boolean told;

        Item(int kind) {
            this.kind = kind;
        }
    }

    private static final class Owned {
        private static final Item[] NONE = new Item[0];

        final long number;
        Item[] items = NONE;
        /** Version of the last content that was to be its only one; older ones do not count. */
        long sole;
        /** Contents of it on the disk, old ones and copies too. */
        int copies;

        boolean over;
        /** What tells that it is over, null where nothing does that is on the disk. */
        Ends endedBy;

        Owned(long number) {
            this.number = number;
        }

        Item item(int kind) {
            for (Item item : items) {
                if (item.kind == kind) {
                    return item;
                }
            }
            return null;
        }

        Item add(int kind) {
            Item item = new Item(kind);
            items = Arrays.copyOf(items, items.length + 1);
            items[items.length - 1] = item;
            return item;
        }
    }

    /** An item that tells that owners are over: those of them that still have copies. */
    private static final class Ends {
        final Set<Owned> left = new LinkedHashSet<>();
        final Part part;
        final int size;

        Ends(Part part, int size) {
            this.part = part;
            this.size = size;
        }
    }

    /** Sums over all segments, kept as they change: they are asked for with each write. */
    private static final class SegmentTotals {
        long rounded;
        long live;
        int suspects;
    }

    /** A segment's file. */
    static final class Part {
        private final SegmentTotals sums;
        final String name;
        final long number;
        final long salt;
        /** The owner of each content in it, one for each copy. */
        long[] owners = new long[8];

        int copies;
        final Set<Ends> ends = new LinkedHashSet<>();
        private long live;
        private long bytes;
        /** It tells where this one ends, and this one has bytes behind that: they would count if it went first. */
        Part keeps;
        /** A force of it has failed: what was in memory only may be gone. */
        private boolean suspect;

        private boolean gone;
        /** Has damage, and goes aside instead of away. */
        boolean damaged;
        /** How far copying is, whether nothing is left to copy, and the last record's number when that was found. */
        int cursor;

        boolean ready;
        long moved;

        Part(SegmentTotals sums, String name) {
            this.sums = sums;
            this.name = name;
            number = numberOf(name);
            salt = Long.parseUnsignedLong(name.substring(17, 33), 16);
        }

        void bytes(long now) {
            sums.rounded += rounded(now) - rounded(bytes);
            bytes = now;
        }

        void live(long more) {
            if (!gone) {
                sums.live += more;
                live += more;
            }
        }

        void suspect() {
            sums.suspects += suspect ? 0 : 1;
            suspect = true;
        }

        /** It is not there any more. */
        void gone() {
            bytes(0);
            live(-live);
            sums.suspects -= suspect ? 1 : 0;
            suspect = false;
            gone = true;
        }

        void copy(long owner) {
            if (copies == owners.length) {
                owners = Arrays.copyOf(owners, 2 * copies);
            }
            owners[copies++] = owner;
        }
    }

    /** What has to be forced, as of one moment. */
    public static final class PendingForce {
        private final List<Disk.Handle> files;
        private final List<Part> parts;
        private final Disk disk;
        private final long sequence;
        private final boolean names;

        private PendingForce(Disk disk, List<Disk.Handle> files, List<Part> parts, long sequence, boolean names) {
            this.disk = disk;
            this.files = files;
            this.parts = parts;
            this.sequence = sequence;
            this.names = names;
        }

        /** On any thread; slow. The log is told how it ended by {@link #done}. */
        public void run() throws IOException {
            for (Disk.Handle file : files) {
                file.force();
            }
            if (names) {
                disk.forceFolder();
            }
        }

        /** What is on the disk for good when it has succeeded. */
        public long sequence() {
            return sequence;
        }
    }

    private final Disk disk;
    private final Limits limits;
    private final LongSupplier salts;
    private final SegmentTotals sums = new SegmentTotals();
    private final Map<Long, Owned> owners = new HashMap<>();
    private final TreeMap<Long, Part> parts = new TreeMap<>();
    /** Bytes of segments between opening and the one reading that follows it. */
    private final Map<Part, byte[]> retained = new HashMap<>();

    private long retainedBytes;
    private final List<DataLoss> losses = new ArrayList<>();
    private final TreeSet<String> aside = new TreeSet<>();
    private long asideBytes;
    /** Sealed segments that are not forced yet, with their parts. */
    private final Map<Part, Disk.Handle> unforced = new HashMap<>();

    private boolean namesUnforced;
    private Part victim;
    private byte[] victimBytes;
    private Part active;
    private Disk.Handle file;
    private long sequence;
    private long forced;
    private long nextOwner = 1;
    private long tornBytes;
    private long lastNumber;
    /** The last segment that has a head, and where it ends. */
    private long previousNumber = -1;

    private long previousEnd = -1;
    private boolean uncertain;
    /** A file whose head may have landed though it was reported as failed. */
    private String stillborn;

    private long reserve;
    private boolean writable = true;
    private long copiedBytes;
    private long retired;

    /** {@code salts} gives a number that nobody outside can know, for each segment. */
    protected SegmentLog(Disk disk, Limits limits, LongSupplier salts) {
        this.disk = disk;
        this.limits = limits;
        this.salts = salts;
    }

    /** Opens or begins a log; nothing is written yet. A newer format than this program's changes nothing. */
    public static SegmentLog open(Disk disk, Limits limits, LongSupplier salts) throws IOException {
        SegmentLog log = new SegmentLog(disk, limits, salts);
        log.recover();
        log.refillReserve();
        return log;
    }

    /** For looking only: nothing can be written. */
    public static SegmentLog openReadOnly(Disk disk) throws IOException {
        SegmentLog log = new SegmentLog(disk, new Limits(NEVER, 1 << 20, 0, false), () -> 0);
        log.writable = false;
        log.recover();
        return log;
    }

    /** Whether a folder has a log, as far as names tell. */
    public static boolean containsLog(Collection<String> names) {
        return names.stream().anyMatch(SegmentLog::isSegment);
    }

    /** Whether this is a name of the log's own. */
    public static boolean isSegment(String name) {
        return name.matches("[0-9a-f]{16}-[0-9a-f]{16}\\" + SUFFIX);
    }

    // ---- Opening. ----

    final void recover() throws IOException {
        for (String name : disk.list()) {
            if (isSegment(name)) {
                Part part = new Part(sums, name);
                parts.put(part.number, part);
            } else if (name.endsWith(ASIDE)) {
                aside.add(name);
                asideBytes += sizeOf(name);
            } else if (name.equals(RESERVE)) {
                reserve = sizeOf(name);
            }
        }
        // Where a segment ends is told by the head of another, so heads come first.
        Map<Long, Part> tellers = new HashMap<>();
        Map<Long, Long> ends = new HashMap<>();
        for (Part part : parts.values()) {
            try (Disk.Handle handle = disk.read(part.name)) {
                part.bytes(handle.size());
                Segment.Head head = Segment.read(Segment.load(handle, Segment.HEAD), part.salt, NOTHING)
                        .head();
                if (head.whole() && head.previousNumber() >= 0) {
                    tellers.put(head.previousNumber(), part);
                    ends.put(head.previousNumber(), head.previousEnd());
                }
                nextOwner = Math.max(nextOwner, head.owners());
            }
        }
        Set<Long> listed = new TreeSet<>();
        for (Part part : parts.values()) {
            long end = ends.getOrDefault(part.number, NEVER);
            if (end < part.bytes) {
                tellers.get(part.number).keeps = part;
            }
            byte[] all = load(part, end);
            Segment.Summary read = Segment.read(all, part.salt, new Loading(part, listed));
            read.damages().forEach(damage -> losses.add(new DataLoss(part.name, damage)));
            part.damaged = !read.damages().isEmpty() || !read.head().whole() && read.records() > 0;
            if (!read.head().whole() && read.records() > 0) {
                losses.add(new DataLoss(part.name, new Segment.Damage(0, Segment.HEAD)));
            }
            tornBytes += read.nothing() ? part.bytes : read.tail();
            if (retainedBytes + all.length <= Runtime.getRuntime().maxMemory() / RETAINED_SHARE) {
                retained.put(part, all);
                retainedBytes += all.length;
            }
        }
        listed.removeAll(parts.keySet());
        listed.forEach(missing -> losses.add(new DataLoss(String.format("%016x", missing), new Segment.Damage(0, 0))));
        lastNumber = parts.isEmpty() ? 0 : parts.lastKey();
        forced = sequence;
        List.copyOf(owners.values()).forEach(this::settleEnds);
    }

    private static final Segment.Visitor NOTHING = new Segment.Visitor() {
        @Override
        public void put(long owner, int kind, boolean sole, long version, byte[] bytes, int at, int length, int size) {}

        @Override
        public void ends(List<Long> owners, int size) {}
    };

    /** Takes one segment in as it is read. */
    private final class Loading implements Segment.Visitor {
        private final Part part;
        private final Set<Long> listed;
        private long record;

        Loading(Part part, Set<Long> listed) {
            this.part = part;
            this.listed = listed;
        }

        @Override
        public void record(long at, long number) {
            record = at;
            sequence = Math.max(sequence, number);
        }

        @Override
        public void put(long owner, int kind, boolean sole, long version, byte[] bytes, int at, int length, int size) {
            placed(part, owner, kind, sole, version, record, at, length, size);
        }

        @Override
        public void ends(List<Long> ended, int size) {
            takeEnds(part, ended, size, true);
        }

        @Override
        public void parts(List<Long> numbers) {
            listed.clear();
            listed.addAll(numbers);
        }

        @Override
        public void retired(long number) {
            listed.remove(number);
        }
    }

    private long sizeOf(String name) throws IOException {
        try (Disk.Handle handle = disk.read(name)) {
            return handle.size();
        }
    }

    private static long numberOf(String name) {
        return Long.parseUnsignedLong(name.substring(0, 16), 16);
    }

    /**
     * Gives the last content of each kind of each owner that is not over. Segments that were kept in memory since the opening
     * are not read and checked a second time; they are let go here.
     */
    public void read(ContentReader reader) throws IOException {
        Map<Part, List<Owned>> kept = new HashMap<>();
        for (Part part : parts.values()) {
            if (retained.containsKey(part)) {
                kept.put(part, new ArrayList<>(part.copies));
            } else {
                readAgain(part, reader);
            }
        }
        for (Owned owned : owners.values()) {
            Part last = null;
            for (Item item : owned.items) {
                // Most owners have all that counts in one place.
                if (item.part != last && kept.containsKey(item.part)) {
                    kept.get(item.part).add(owned);
                }
                last = item.part;
            }
        }
        for (Map.Entry<Part, List<Owned>> entry : kept.entrySet()) {
            Part part = entry.getKey();
            ByteBuffer bytes = ByteBuffer.wrap(retained.get(part));
            for (Owned owned : entry.getValue()) {
                for (Item item : owned.items) {
                    if (item.part == part && !item.told) {
                        item.told = true;
                        reader.content(owned.number, item.kind, item.version, bytes.slice((int) item.at, item.length));
                    }
                }
            }
        }
        kept.values()
                .forEach(all -> all.forEach(owned -> {
                    for (Item item : owned.items) {
                        item.told = false;
                    }
                }));
        retained.clear();
        retainedBytes = 0;
    }

    private void readAgain(Part part, ContentReader reader) throws IOException {
        byte[] all = load(part, NEVER);
        long[] record = {0};
        Segment.read(all, part.salt, new Segment.Visitor() {
            @Override
            public void record(long at, long number) {
                record[0] = at;
            }

            @Override
            public void put(
                    long owner, int kind, boolean sole, long version, byte[] bytes, int at, int length, int size)
                    throws IOException {
                Owned owned = owners.get(owner);
                Item item = owned == null || owned.over ? null : owned.item(kind);
                if (item != null && item.part == part && item.record == record[0] && item.at == at) {
                    reader.content(
                            owner,
                            kind,
                            version,
                            ByteBuffer.wrap(bytes, at, length).slice());
                }
            }

            @Override
            public void ends(List<Long> ended, int size) {}
        });
    }

    private byte[] load(Part part, long most) throws IOException {
        try (Disk.Handle handle = disk.read(part.name)) {
            return Segment.load(handle, most);
        }
    }

    // ---- What stands where. ----

    /** A content stands there; it is the one that counts unless a newer one is known. */
    private void placed(
            Part part, long owner, int kind, boolean sole, long version, long record, long at, int length, int size) {
        nextOwner = Math.max(nextOwner, owner + 1);
        Owned owned = owners.computeIfAbsent(owner, Owned::new);
        owned.copies++;
        part.copy(owner);
        if (version < owned.sole) {
            return;
        }
        if (sole && version > owned.sole) {
            // Older contents of all kinds, in segments that were read before or will be, count no more.
            owned.sole = version;
            for (Item old : owned.items) {
                old.part.live(-(owned.over ? 0 : old.size));
            }
            owned.items = Owned.NONE;
        }
        Item item = owned.item(kind);
        if (item == null) {
            item = owned.add(kind);
        } else if (item.version > version) {
            return;
        } else if (!owned.over) {
            item.part.live(-item.size);
        }
        item.version = version;
        item.sole = sole;
        item.part = part;
        item.record = record;
        item.at = at;
        item.length = length;
        item.size = size;
        part.live(owned.over ? 0 : size);
    }

    /**
     * {@code opening}: owners that are not known yet may turn up in a later segment, as copies of theirs were moved on.
     */
    private void takeEnds(Part part, Collection<Long> ended, int size, boolean opening) {
        Ends ends = new Ends(part, size);
        for (long number : ended) {
            Owned owned = opening ? owners.computeIfAbsent(number, Owned::new) : owners.get(number);
            if (owned == null) {
                continue;
            }
            over(owned);
            if (owned.endedBy != null) {
                untie(owned);
            }
            owned.endedBy = ends;
            ends.left.add(owned);
            nextOwner = Math.max(nextOwner, number + 1);
        }
        if (!ends.left.isEmpty()) {
            part.ends.add(ends);
            part.live(size);
        }
    }

    private static void over(Owned owned) {
        if (!owned.over) {
            owned.over = true;
            for (Item item : owned.items) {
                item.part.live(-item.size);
            }
            owned.items = Owned.NONE;
        }
    }

    /** What ended it need not be kept for it any more. */
    private static void untie(Owned owned) {
        Ends ends = owned.endedBy;
        owned.endedBy = null;
        ends.left.remove(owned);
        if (ends.left.isEmpty() && ends.part.ends.remove(ends)) {
            ends.part.live(-ends.size);
        }
    }

    private void settleEnds(Owned owned) {
        if (owned.copies == 0) {
            owners.remove(owned.number);
            if (owned.endedBy != null) {
                untie(owned);
            }
        }
    }

    // ---- What is told. ----

    /** Bytes of all files, each in whole {@value #BLOCK}s. */
    public long usedBytes() {
        return rounded(reserve) + rounded(asideBytes) + aside.size() * (long) BLOCK + sums.rounded;
    }

    private static long rounded(long bytes) {
        return (bytes + BLOCK - 1) / BLOCK * BLOCK;
    }

    /** Bytes of all that is wanted, with their heads. */
    public long liveBytes() {
        return sums.live;
    }

    /** What is kept free for copying, for heads and for rounding: live contents may have the budget without this. */
    public long reservedBytes() {
        return 2 * limits.segmentBytes
                + limits.reserveBytes
                + (limits.budgetBytes / limits.segmentBytes + 2) * (BLOCK + 2 * Segment.HEAD)
                + MOST_ASIDE * (long) BLOCK
                + (long) (limits.budgetBytes * (1 - DENSE));
    }

    public Limits limits() {
        return limits;
    }

    /** What could not be read though records behind it could, and segments that are not there. */
    public List<DataLoss> losses() {
        return List.copyOf(losses);
    }

    /** Bytes of torn ends that were passed over. */
    public long tornBytes() {
        return tornBytes;
    }

    /** Sequence number of the last record. */
    public long sequence() {
        return sequence;
    }

    /** An owner's number that nobody had, also not in an earlier process. */
    public long nextOwner() {
        return nextOwner++;
    }

    /** Numbers below this are not given any more. */
    public void reserveOwnersBelow(long next) {
        nextOwner = Math.max(nextOwner, next);
    }

    /** Whether a batch whose write has failed may be found all the same if the process ends now. */
    public boolean uncertain() {
        return uncertain;
    }

    /** Whether what was written before a force failed is not on the disk again yet. */
    public boolean needsRewrite() {
        return sums.suspects > 0;
    }

    /** Whether the file that is given up when the disk is full is there. */
    public boolean hasReserve() {
        return reserve >= limits.reserveBytes;
    }

    public int segments() {
        return parts.size();
    }

    /** Bytes that were copied on by retiring, and segments that were retired, since the log was opened. */
    public long copiedBytes() {
        return copiedBytes;
    }

    public long retired() {
        return retired;
    }

    // ---- Writing. ----

    /** Writes a batch and returns its sequence number; on an error the log is as though it had not been asked. */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return sequence;
        }
        Segment.Items items = new Segment.Items();
        List<int[]> places = new ArrayList<>();
        // A segment that is begun for it takes a number too: what is in the record keeps this one.
        long version = sequence + 1;
        for (Batch.Put put : batch.puts) {
            if (!put.exclusive() && owners.containsKey(put.owner()) && owners.get(put.owner()).sole > 0) {
                throw new IllegalArgumentException("owner " + put.owner() + " has a last content");
            }
            int size = items.put(put.owner(), put.kind(), put.exclusive(), version, put.content());
            places.add(new int[] {items.size() - put.content().length, size});
        }
        List<Long> ended = batch.deletedOwners.stream()
                .filter(n -> owners.containsKey(n) && !owners.get(n).over
                        || batch.puts.stream().anyMatch(put -> put.owner() == n))
                .toList();
        int endsSize = ended.isEmpty() ? 0 : items.ends(ended);
        if (items.size() == 0) {
            return sequence;
        }
        room(items.size() + Segment.FRAME);
        long at = append(items);
        for (int i = 0; i < places.size(); i++) {
            Batch.Put put = batch.puts.get(i);
            placed(
                    active,
                    put.owner(),
                    put.kind(),
                    put.exclusive(),
                    version,
                    at,
                    at + Segment.FRAME + places.get(i)[0],
                    put.content().length,
                    places.get(i)[1]);
        }
        if (!ended.isEmpty()) {
            takeEnds(active, ended, endsSize, false);
        }
        return sequence;
    }

    /** Retires until so many bytes fit beside what copying needs. */
    private void room(long bytes) throws IOException {
        if (bytes + 2 * Segment.HEAD > limits.segmentBytes) {
            throw new LogFullException("a batch of " + bytes + " bytes; segments have " + limits.segmentBytes);
        }
        while (usedBytes() + rounded(bytes) + 2 * BLOCK + limits.segmentBytes > limits.budgetBytes) {
            if (!compact(limits.segmentBytes)) {
                throw new LogFullException(usedBytes() + " of " + limits.budgetBytes + " bytes are used, " + liveBytes()
                        + " of them live");
            }
        }
    }

    /** Returns where the record begins; on an error nothing has changed but perhaps the segment. */
    private long append(Segment.Items items) throws IOException {
        if (!writable) {
            throw new IOException("opened for looking only");
        }
        try {
            return place(items);
        } catch (IOException e) {
            if (!release()) {
                throw e;
            }
            return place(items);
        }
    }

    private long place(Segment.Items items) throws IOException {
        int bytes = Segment.FRAME + items.size();
        if (file == null
                || uncertain
                || active.bytes + bytes > limits.segmentBytes && active.bytes > 2 * Segment.HEAD) {
            begin();
        }
        long at = active.bytes;
        try {
            writeAll(file, items.frame(active.salt, sequence + 1));
        } catch (IOException e) {
            cutOff();
            throw e;
        }
        active.bytes(at + bytes);
        sequence++;
        return at;
    }

    private static void writeAll(Disk.Handle file, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (file.append(bytes) == 0) {
                throw new IOException("nothing could be written");
            }
        }
    }

    private void cutOff() {
        try {
            file.truncate(active.bytes);
        } catch (IOException e) {
            uncertain = true;
            try {
                begin();
            } catch (IOException again) {
                // Tried again ahead of the next record, and by settle().
            }
        }
    }

    /** Tries again to make sure that what has failed cannot be found. */
    public void resolveUncertainWrite() throws IOException {
        if (uncertain) {
            try {
                begin();
            } catch (IOException e) {
                if (!release()) {
                    throw e;
                }
                begin();
            }
        }
    }

    /** The next segment; the one before ends where its last good record does, and is only read from here on. */
    private void begin() throws IOException {
        retained.clear();
        retainedBytes = 0;
        if (stillborn != null) {
            disk.delete(stillborn);
            stillborn = null;
        }
        Part before = active;
        if (file != null) {
            previousNumber = active.number;
            previousEnd = active.bytes;
            seal();
        }
        Part fresh = new Part(sums, String.format("%016x-%016x%s", ++lastNumber, salts.getAsLong(), SUFFIX));
        stillborn = fresh.name;
        Disk.Handle handle = disk.open(fresh.name);
        namesUnforced = true;
        try {
            writeAll(handle, Segment.head(fresh.number, previousNumber, previousEnd, nextOwner));
            fresh.bytes(Segment.HEAD);
            Segment.Items list = new Segment.Items();
            List<Long> numbers = new ArrayList<>(parts.keySet());
            numbers.add(fresh.number);
            list.parts(numbers);
            ByteBuffer frame = list.frame(fresh.salt, sequence + 1);
            fresh.bytes(fresh.bytes + frame.remaining());
            writeAll(handle, frame);
        } catch (IOException e) {
            close(handle);
            fresh.gone();
            try {
                disk.delete(fresh.name);
                stillborn = null;
            } catch (IOException again) {
                // Deleted before the next one is begun: there is one of these at most.
            }
            throw e;
        }
        stillborn = null;
        sequence++;
        if (uncertain && before != null) {
            fresh.keeps = before;
        }
        uncertain = false;
        parts.put(fresh.number, fresh);
        active = fresh;
        file = handle;
    }

    private void seal() {
        Disk.Handle sealed = file;
        file = null;
        if (limits.forceRequired) {
            unforced.put(active, sealed);
        } else {
            close(sealed);
        }
    }

    private static void close(Disk.Handle handle) {
        try {
            handle.close();
        } catch (IOException e) {
            // Nothing is written to it any more.
        }
    }

    // ---- The reserve. ----

    /** Gives the reserve's room up; false where there is none. */
    private boolean release() {
        if (reserve == 0) {
            return false;
        }
        try (Disk.Handle handle = disk.open(RESERVE)) {
            handle.truncate(0);
            reserve = 0;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Lays the reserve in again where it was given up and there is room; to be called from time to time. */
    public boolean refillReserve() {
        if (hasReserve() || usedBytes() + rounded(limits.reserveBytes) + limits.segmentBytes > limits.budgetBytes) {
            return hasReserve();
        }
        try (Disk.Handle handle = disk.open(RESERVE)) {
            try {
                handle.truncate(0);
                ByteBuffer zeros = ByteBuffer.allocate(8_192);
                while (handle.size() < limits.reserveBytes) {
                    zeros.clear().limit((int) Math.min(zeros.capacity(), limits.reserveBytes - handle.size()));
                    writeAll(handle, zeros);
                }
                reserve = limits.reserveBytes;
            } catch (IOException e) {
                handle.truncate(0);
                reserve = 0;
            }
        } catch (IOException e) {
            return false;
        }
        return hasReserve();
    }

    // ---- Retiring. ----

    /** Whether there is more dead room than is worth keeping: to be asked between turns. */
    public boolean shouldCompact() {
        if (victim != null || needsRewrite()) {
            return true;
        }
        long most = Math.min(
                limits.budgetBytes - limits.reserveBytes - 6 * limits.segmentBytes,
                3 * liveBytes() + 8 * limits.segmentBytes);
        return usedBytes() - rounded(reserve) > most || parts.size() > 16 + limits.budgetBytes / limits.segmentBytes;
    }

    /**
     * Goes on retiring the segment with the smallest live part, by copying so many bytes at most (one content at least); the
     * last step deletes it. Returns whether anything was done.
     */
    public boolean compact(long most) throws IOException {
        if (victim == null) {
            victim = choose();
            if (victim == null) {
                return false;
            }
            victim.cursor = 0;
            victim.ready = false;
            try {
                victimBytes = bytesOf(victim);
            } catch (IOException e) {
                victim = null;
                throw e;
            }
        }
        if (!victim.ready) {
            copyLiveContents(victim, most);
            return true;
        }
        if (limits.forceRequired && victim.moved > forced) {
            return false;
        }
        retireSegment(victim);
        return true;
    }

    /** A segment's bytes are read once, not for each content that is copied on: it is sealed. */
    private byte[] bytesOf(Part part) throws IOException {
        byte[] bytes = new byte[(int) part.bytes];
        ByteBuffer into = ByteBuffer.wrap(bytes);
        try (Disk.Handle handle = disk.read(part.name)) {
            while (into.hasRemaining() && handle.read(into.position(), into) >= 0) {
                // Goes on where the last read ended.
            }
        }
        return bytes;
    }

    private Part choose() {
        Set<Part> kept = new LinkedHashSet<>();
        for (Part part : parts.values()) {
            if (part.keeps != null && parts.containsKey(part.keeps.number)) {
                kept.add(part);
            }
        }
        Part best = null;
        for (Part part : parts.values()) {
            if (part == active && file != null || kept.contains(part) || unforced.containsKey(part)) {
                continue;
            }
            if (part.suspect) {
                return part;
            }
            if (share(part) < DENSE && (best == null || share(part) < share(best))) {
                best = part;
            }
        }
        return best;
    }

    private static double share(Part part) {
        return part.live / (double) Math.max(1, part.bytes);
    }

    /** Copies a slice of what is live in a segment; where nothing is left to copy it is ready to go. */
    protected void copyLiveContents(Part part, long most) throws IOException {
        Segment.Items items = new Segment.Items();
        List<Item> moved = new ArrayList<>();
        List<Owned> of = new ArrayList<>();
        Set<Owned> taken = new HashSet<>();
        List<int[]> places = new ArrayList<>();
        long limit = Math.min(most, limits.segmentBytes - 4 * Segment.HEAD - Segment.FRAME);
        int next = part.cursor;
        byte[] bytes = victimBytes;
        for (boolean full = false; next < part.copies && !full; next += full ? 0 : 1) {
            Owned owned = owners.get(part.owners[next]);
            if (owned == null || owned.over || taken.contains(owned)) {
                continue;
            }
            int here = Arrays.stream(owned.items)
                    .filter(item -> item.part == part)
                    .mapToInt(item -> item.size)
                    .sum();
            full = !moved.isEmpty() && items.size() + here > limit;
            for (Item item : owned.items) {
                if (item.part == part && !full) {
                    copy(bytes, owned, item, items, places);
                    moved.add(item);
                    of.add(owned);
                    taken.add(owned);
                }
            }
        }
        if (!moved.isEmpty()) {
            long at = append(items);
            for (int i = 0; i < moved.size(); i++) {
                Item item = moved.get(i);
                placed(
                        active,
                        of.get(i).number,
                        item.kind,
                        item.sole,
                        item.version,
                        at,
                        at + Segment.FRAME + places.get(i)[0],
                        item.length,
                        places.get(i)[1]);
            }
            copiedBytes += items.size();
        } else {
            moveEnds(part);
        }
        part.cursor = next;
    }

    private static void copy(byte[] bytes, Owned owned, Item item, Segment.Items items, List<int[]> places)
            throws IOException {
        byte[] content = Segment.content(bytes, item.part.salt, item.record, item.at, owned.number, item.version);
        if (content == null) {
            throw new IOException(
                    "what owner " + owned.number + " has in " + item.part.name + " can no longer be read");
        }
        int size = items.put(owned.number, item.kind, item.sole, item.version, content);
        places.add(new int[] {items.size() - content.length, size});
    }

    /** That owners are over is told again where a copy of theirs is left in another segment. */
    private void moveEnds(Part part) throws IOException {
        List<Long> needed = new ArrayList<>();
        if (!part.ends.isEmpty()) {
            Map<Long, Integer> here = new HashMap<>();
            for (int i = 0; i < part.copies; i++) {
                here.merge(part.owners[i], 1, Integer::sum);
            }
            for (Ends ends : part.ends) {
                for (Owned owned : ends.left) {
                    if (owned.copies > here.getOrDefault(owned.number, 0) && needed.size() < ENDS_AT_ONCE) {
                        needed.add(owned.number);
                    }
                }
            }
        }
        if (needed.isEmpty()) {
            part.ready = true;
            part.moved = sequence;
        } else {
            Segment.Items items = new Segment.Items();
            int size = items.ends(needed);
            append(items);
            takeEnds(active, needed, size, false);
            copiedBytes += items.size();
        }
    }

    /** The one step after which nothing of a segment counts any more. */
    protected void retireSegment(Part part) throws IOException {
        tellRetired(part);
        remove(part);
        parts.remove(part.number);
        part.gone();
        victim = null;
        victimBytes = null;
        namesUnforced = true;
        retired++;
        for (int i = 0; i < part.copies; i++) {
            Owned owned = owners.get(part.owners[i]);
            if (owned != null) {
                owned.copies--;
                settleEnds(owned);
            }
        }
    }

    /** Ahead of the file's going, so that a file that goes without this is known to be missing. */
    private void tellRetired(Part part) throws IOException {
        Segment.Items items = new Segment.Items();
        items.retired(part.number);
        append(items);
    }

    private void remove(Part part) throws IOException {
        if (part.damaged && asideBytes + part.bytes <= limits.segmentBytes) {
            while (aside.size() >= MOST_ASIDE) {
                String oldest = aside.first();
                asideBytes -= sizeOf(oldest);
                disk.delete(oldest);
                aside.remove(oldest);
            }
            disk.rename(part.name, part.name + ASIDE);
            aside.add(part.name + ASIDE);
            asideBytes += part.bytes;
        } else {
            disk.delete(part.name);
        }
    }

    // ---- Forcing. ----

    /** What has to be forced for all that was written so far; null where that has been. */
    public PendingForce prepareForce() {
        if (forced >= sequence && unforced.isEmpty() && !namesUnforced) {
            return null;
        }
        List<Disk.Handle> files = new ArrayList<>(unforced.values());
        List<Part> forcing = new ArrayList<>(unforced.keySet());
        if (file != null) {
            files.add(file);
            forcing.add(active);
        }
        boolean names = namesUnforced;
        namesUnforced = false;
        return new PendingForce(disk, files, forcing, sequence, names);
    }

    /**
     * To be told how a force ended, before the next is prepared. Where it failed nobody knows what of its segments is on the
     * disk: nothing more is written to them, and what they have is copied on and forced anew ({@link #unsafe}).
     */
    public void forceCompleted(PendingForce force, boolean succeeded) {
        for (Part part : force.parts) {
            Disk.Handle sealed = unforced.remove(part);
            if (sealed != null) {
                close(sealed);
            }
            if (!succeeded) {
                part.suspect();
            }
        }
        if (succeeded) {
            forced = Math.max(forced, force.sequence);
        } else {
            namesUnforced = true;
            if (file != null && force.parts.contains(active)) {
                previousNumber = active.number;
                previousEnd = active.bytes;
                close(file);
                file = null;
            }
        }
    }

    /** Sequence number up to which all is on the disk for good, where nothing is {@link #unsafe}. */
    public long forcedSequence() {
        return forced;
    }

    /** Whether a segment waits to be retired until what was copied from it has been forced. */
    public boolean awaitsForce() {
        return limits.forceRequired && victim != null && victim.ready && victim.moved > forced;
    }

    /** Closes all files; nothing is forced. */
    @Override
    public void close() throws IOException {
        unforced.values().forEach(SegmentLog::close);
        unforced.clear();
        if (file != null) {
            Disk.Handle closing = file;
            file = null;
            closing.close();
        }
    }
}
