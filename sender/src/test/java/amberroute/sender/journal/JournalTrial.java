package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.Disk;
import amberroute.storage.SimulatedDisk;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * For tests and rigs: plays a journal at full load on a simulated disk that kills the process, fails or fills up at an
 * operation chosen in turn, recovers it, and compares each message with a model that never saw the disk. Counts three kinds
 * of harm: a message that is lost, one that would get a second answer or a second effect, one whose state is wrong. What was
 * under way when the process died may stand either way, as nobody was told. The same seed plays the same.
 */
public final class JournalTrial {
    private static final long BUDGET = 420_000;
    private static final int LIVES = 3;
    private static final int STEPS = 260;
    private static final long WALL = 1_700_000_000_000L;

    /** What came of some rounds. */
    public static final class Counts {
        public long rounds;
        public long kills;
        public long accepted;
        public long refused;
        public long writesFailed;
        public long lost;
        public long second;
        public long wrong;
        /** What was wrong first, for whoever looks into it; empty where nothing was. */
        public String first = "";

        public boolean ok() {
            return lost == 0 && second == 0 && wrong == 0;
        }
    }

    /** What the model knows of one message. */
    private static final class Known {
        final String id;
        AcceptedMessage held;
        /** Whether its client was told that it is taken on. */
        boolean told;
        /** Refused while the disk was uncertain: it may be there. */
        boolean uncertain;

        int attempts;
        boolean out;
        boolean mayHaveRun;
        /** Ends asked for and told. */
        String notice;

        boolean noticeSent;
        boolean concluded;
        boolean concludedForSure;
        /** What the last call that did not return may have changed. */
        boolean open;

        Known(String id) {
            this.id = id;
        }
    }

    private final SimulatedDisk disk = new SimulatedDisk();
    private final Disk seen;
    private final SplittableRandom random;
    private final Counts counts;
    private final String name;
    private Map<String, Known> model = new LinkedHashMap<>();
    private Journal journal;
    private int ids;

    private JournalTrial(long seed, String name, Counts counts, UnaryOperator<Disk> broken) {
        random = new SplittableRandom(seed);
        this.name = name;
        this.counts = counts;
        seen = broken.apply(disk);
    }

    /** Plays rounds {@code from} to {@code to}; {@code broken} puts a defect between the engine and the disk, for tests of this. */
    public static Counts play(long seed, int from, int to, UnaryOperator<Disk> broken) {
        Counts counts = new Counts();
        for (int round = from; round < to; round++) {
            SimulatedDisk.Fault[] faults = {
                SimulatedDisk.Fault.KILL,
                SimulatedDisk.Fault.KILL,
                SimulatedDisk.Fault.FULL,
                SimulatedDisk.Fault.FAIL,
                SimulatedDisk.Fault.FAIL_AND_TRUNCATE_FAILS
            };
            SimulatedDisk.Fault fault = faults[round % faults.length];
            new JournalTrial(
                            seed * 1_000_003 + round,
                            "seed " + seed + ", round " + round + ", " + fault,
                            counts,
                            broken)
                    .round(fault, 2 + round / faults.length % 400);
            counts.rounds++;
        }
        return counts;
    }

    private void round(SimulatedDisk.Fault fault, int at) {
        for (int life = 0; life < LIVES; life++) {
            disk.restart(random.nextLong(), fault, at + random.nextInt(3));
            if (fault == SimulatedDisk.Fault.FULL && life < LIVES - 1) {
                disk.until(at + 40 + random.nextInt(200));
            }
            try {
                open(", life " + life);
                live();
            } catch (SimulatedDisk.Killed e) {
                counts.kills++;
            } catch (IOException e) {
                // A journal that cannot be opened serves nobody; the next life finds what it left.
                counts.writesFailed++;
            }
            // The recovery may be cut short too.
            if (fault == SimulatedDisk.Fault.KILL && random.nextBoolean()) {
                disk.restart(random.nextLong(), SimulatedDisk.Fault.KILL, 1 + random.nextInt(30));
                try {
                    Journal.open(null, seen, BUDGET).retry();
                } catch (SimulatedDisk.Killed | IOException e) {
                    counts.kills++;
                }
            }
        }
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        try {
            open(", at the end");
        } catch (IOException e) {
            harm(2, "cannot be opened: " + e);
        }
    }

    private void harm(int kind, String what) {
        counts.lost += kind == 0 ? 1 : 0;
        counts.second += kind == 1 ? 1 : 0;
        counts.wrong += kind == 2 ? 1 : 0;
        if (counts.first.isEmpty()) {
            counts.first = name + ": " + what;
        }
    }

    /** Opens it and compares; from then on the model is what was found, as the sender's own is. */
    private void open(String when) throws IOException {
        journal = Journal.open(null, seen, BUDGET);
        Map<String, Known> next = new LinkedHashMap<>();
        Set<String> live = new HashSet<>();
        List<String> order = new ArrayList<>();
        for (AcceptedMessage m : journal.pendingMessages()) {
            live.add(m.id);
            order.add(m.id);
            Known known = model.get(m.id);
            if (known == null) {
                harm(1, m.id + " came from nowhere" + when);
            } else {
                compare(known, m, when);
                next.put(m.id, found(m));
            }
        }
        for (Known known : model.values()) {
            if (!live.contains(known.id) && known.told && !known.concluded) {
                harm(0, known.id + " is lost" + when);
            }
        }
        if (!order.equals(model.keySet().stream().filter(live::contains).toList())) {
            harm(2, "the order changed" + when);
        }
        model = next;
    }

    private void compare(Known known, AcceptedMessage m, String when) {
        if (!known.told && !known.uncertain && !known.open) {
            harm(1, m.id + " was refused and is there" + when);
        }
        if (known.concludedForSure) {
            harm(1, m.id + " was over and is back" + when);
        }
        if (known.noticeSent && !known.notice.equals(m.notice)) {
            harm(1, m.id + " was told as ended and has " + m.notice + when);
        }
        if (m.notice != null && !m.notice.equals(known.notice)) {
            harm(2, m.id + " ended as nobody asked: " + m.notice + when);
        }
        if (m.notice == null) {
            boolean counted = m.attempts == known.attempts || known.open && m.attempts == known.attempts + 1;
            if (!counted) {
                harm(1, m.id + " had " + known.attempts + " attempts and has " + m.attempts + when);
            }
            if (known.out && !m.out && m.doubtSince == 0) {
                harm(1, m.id + " was out and is not" + when);
            }
            if (known.mayHaveRun && m.doubtSince == 0 && !m.out) {
                harm(1, m.id + " may have run and is in no doubt" + when);
            }
            if (m.body.length != 40 + m.id.hashCode() % 40 + 40 || m.key != 7) {
                harm(2, m.id + " is not what it was" + when);
            }
        }
    }

    /** What the journal found is what this process goes on from. */
    private Known found(AcceptedMessage m) {
        Known known = new Known(m.id);
        known.held = m;
        known.told = true;
        known.attempts = m.attempts;
        known.out = m.out;
        known.mayHaveRun = m.doubtSince != 0;
        known.notice = m.notice;
        return known;
    }

    private void live() {
        for (int i = 0; i < STEPS; i++) {
            step();
            if (random.nextInt(4) == 0) {
                journal.compactSlice();
            }
            if (random.nextInt(6) == 0) {
                journal.retry();
                settled();
            }
        }
    }

    /** With nothing owed, all that was asked for is on the disk. */
    private void settled() {
        if (journal.pendingWriteCount() == 0) {
            model.values().forEach(k -> k.concludedForSure |= k.concluded);
        }
    }

    private Known any() {
        List<Known> all =
                model.values().stream().filter(k -> k.told && !k.concluded).toList();
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private void step() {
        Known known = any();
        int what = random.nextInt(10);
        if (known == null || what < 4) {
            accept();
        } else if (known.notice != null) {
            if (known.noticeSent) {
                conclude(known);
            } else if (known.held.notice != null && random.nextBoolean()) {
                // A process that found it ended sends its notice again.
                known.noticeSent |= journal.pendingWriteCount() == 0;
            }
        } else if (known.out) {
            known.open = true;
            boolean mayHaveRun = random.nextBoolean();
            if (what < 6) {
                known.out = false;
                conclude(known);
            } else {
                known.out = false;
                known.mayHaveRun |= mayHaveRun;
                journal.outcome(known.held, mayHaveRun);
            }
            known.open = false;
        } else if (what < 8) {
            known.open = true;
            boolean may = journal.attempt(known.held, "uid-" + what, WALL);
            known.open = false;
            counts.writesFailed += may ? 0 : 1;
            // Not made, but perhaps recorded all the same: it may be found as though it had been.
            known.open |= !may && journal.uncertain();
            if (may) {
                known.attempts++;
                known.out = true;
            }
        } else {
            String notice = known.held.failed();
            known.notice = notice;
            journal.end(known.held, notice, () -> known.noticeSent = true);
        }
        settled();
    }

    private void conclude(Known known) {
        known.concluded = true;
        journal.conclude(known.held);
    }

    private void accept() {
        Known known = new Known("m" + ids++);
        byte[] body = new byte[40 + known.id.hashCode() % 40 + 40];
        known.held = new AcceptedMessage(journal.nextNumber(), known.id, "", "unsafe", 7, 3, WALL, body);
        known.open = true;
        model.put(known.id, known);
        known.told = journal.accept(known.held);
        known.open = false;
        known.uncertain = !known.told && journal.uncertain();
        counts.accepted += known.told ? 1 : 0;
        counts.refused += known.told ? 0 : 1;
    }

    // ---- The same with real processes. ----

    /**
     * Fills the folder's journal until it is killed, and tells on standard output what it has told others: {@code A} taken
     * on, {@code T} an attempt that may go out, {@code E} an end that was told, {@code C} over; before a change that may stand
     * either way, {@code ?}.
     */
    public static void main(String[] args) throws IOException {
        SplittableRandom random = new SplittableRandom(Long.parseLong(args[1]));
        Journal own = Journal.open(Path.of(args[0]), 3 << 20);
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.US_ASCII);
        out.println("R");
        for (int i = 0; ; i++) {
            List<AcceptedMessage> all = List.copyOf(own.pendingMessages());
            AcceptedMessage m = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
            if (m == null || all.size() < 200 && random.nextInt(3) > 0) {
                String id = "m" + args[1] + "-" + i;
                AcceptedMessage fresh = new AcceptedMessage(
                        own.nextNumber(), id, "", "unsafe", 7, 3, WALL, new byte[random.nextInt(2_000)]);
                out.println("? " + id);
                if (own.accept(fresh)) {
                    out.println("A " + id);
                }
            } else if (m.notice != null) {
                out.println("? " + m.id);
                own.conclude(m);
                out.println("C " + m.id);
            } else if (m.out) {
                out.println("? " + m.id);
                own.outcome(m, true);
            } else if (random.nextInt(3) > 0) {
                out.println("? " + m.id);
                if (own.attempt(m, "uid", WALL)) {
                    out.println("T " + m.id + " " + m.attempts);
                }
            } else {
                out.println("? " + m.id);
                own.end(m, m.failed());
                out.println("E " + m.id);
            }
            own.compactSlice();
        }
    }

    /**
     * Starts processes that run {@link #main}, kills each behind some of its words, at whatever it does by then, and compares
     * what its folder has with what it told; {@code command} gets the folder and a seed appended.
     */
    public static Counts kill(List<String> command, Path folder, long seed, int rounds) throws IOException {
        Counts counts = new Counts();
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Told> told = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            List<String> line = new ArrayList<>(command);
            line.add(folder.toString());
            line.add(Long.toString(seed * 1_000 + round));
            Process process = new ProcessBuilder(line)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            int after = 50 + random.nextInt(1_500);
            try (BufferedReader in = process.inputReader(StandardCharsets.US_ASCII)) {
                if (in.readLine() == null) {
                    throw new IOException("the process of round " + round + " did not start");
                }
                // All that it wrote is in the pipe, also behind its end; a line cut off by that was not told.
                int lines = 0;
                for (String said = in.readLine(); said != null; said = in.readLine()) {
                    take(told, said);
                    if (++lines == after) {
                        // Not the process's own method: it closes the pipe with what is still in it.
                        process.toHandle().destroyForcibly();
                    }
                }
            }
            counts.kills++;
            counts.rounds++;
            compare(told, folder, counts, "round " + round);
        }
        return counts;
    }

    private static final class Told {
        int attempts;
        boolean taken;
        boolean ended;
        boolean over;
        boolean open;
    }

    private static void take(Map<String, Told> told, String line) {
        String[] words = line.split(" ");
        if (words.length < 2) {
            return;
        }
        Told of = told.computeIfAbsent(words[1], id -> new Told());
        switch (words[0]) {
            case "?" -> {
                told.values().forEach(t -> t.open = false);
                of.open = true;
            }
            case "A" -> of.taken = true;
            case "T" -> of.attempts = words.length > 2 ? Integer.parseInt(words[2]) : of.attempts;
            case "E" -> of.ended = true;
            case "C" -> of.over = true;
            default -> throw new IllegalArgumentException(line);
        }
    }

    private static void compare(Map<String, Told> told, Path folder, Counts counts, String when) throws IOException {
        Map<String, AcceptedMessage> live = new LinkedHashMap<>();
        try (Journal journal = Journal.openReadOnly(folder)) {
            journal.pendingMessages().forEach(m -> live.put(m.id, m));
            counts.wrong += journal.unread().stream()
                    .filter(what -> what.contains("segment"))
                    .count();
        }
        told.forEach((id, of) -> {
            AcceptedMessage m = live.get(id);
            counts.lost += m == null && of.taken && !of.over && !of.open ? 1 : 0;
            counts.second += m != null && of.over ? 1 : 0;
            counts.wrong += m != null && of.ended && m.notice == null ? 1 : 0;
            counts.wrong += m != null && m.notice == null && m.attempts < of.attempts ? 1 : 0;
            counts.accepted += of.taken ? 1 : 0;
            if (!counts.ok() && counts.first.isEmpty()) {
                counts.first = when + ": " + id;
            }
        });
        // What stood either way stands now as it was found.
        told.values().removeIf(of -> of.over);
        told.entrySet().removeIf(entry -> !live.containsKey(entry.getKey()));
        live.forEach((id, m) -> {
            Told of = told.computeIfAbsent(id, i -> new Told());
            of.taken = true;
            of.attempts = m.attempts;
            of.ended = m.notice != null;
            of.open = false;
        });
    }
}
