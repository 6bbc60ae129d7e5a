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
 * For tests and experiments: runs a journal at full load on a simulated disk that kills the process, fails or fills up at an
 * operation chosen in turn, recovers it, and compares each message with a model that never saw the disk. Counts messages that are
 * lost, that would be answered or delivered twice, and whose state is wrong. A change that was interrupted may be found or not, as
 * nobody was answered. The same seed repeats the same run.
 */
public final class JournalTrial {
    private static final long BUDGET = 420_000;
    private static final int LIVES = 3;
    private static final int STEPS = 260;
    private static final long WALL = 1_700_000_000_000L;

    /** The results of some rounds. */
    public static final class Counts {
        public long rounds;
        public long kills;
        public long accepted;
        public long rejected;
        public long failedWrites;
        public long lost;
        public long duplicated;
        public long wrongState;
        /** The first violation, empty for none. */
        public String firstViolation = "";

        public boolean ok() {
            return lost == 0 && duplicated == 0 && wrongState == 0;
        }
    }

    private enum Violation {
        /** An accepted message is not found. */
        LOST,
        /** A message would be answered or delivered a second time. */
        DUPLICATED,
        WRONG_STATE
    }

    /** What the model knows of one message. */
    private static final class ModelMessage {
        final String id;
        AcceptedMessage message;
        /** Whether its client was answered that it is accepted. */
        boolean accepted;
        /** Rejected while the journal was uncertain: it may be found. */
        boolean uncertain;

        int attempts;
        boolean inFlight;
        boolean mayHaveRun;
        /** The notice that was asked for. */
        String notice;

        boolean noticeSent;
        boolean completed;
        boolean completedDurably;
        /** Whether the last call on it did not return, so that its change may be found or not. */
        boolean callInterrupted;

        ModelMessage(String id) {
            this.id = id;
        }
    }

    private final SimulatedDisk disk = new SimulatedDisk();
    private final Disk seen;
    private final SplittableRandom random;
    private final Counts counts;
    private final String name;
    private Map<String, ModelMessage> model = new LinkedHashMap<>();
    private Journal journal;
    private int ids;

    private JournalTrial(long seed, String name, Counts counts, UnaryOperator<Disk> broken) {
        random = new SplittableRandom(seed);
        this.name = name;
        this.counts = counts;
        seen = broken.apply(disk);
    }

    /** Runs rounds {@code from} to {@code to}; {@code broken} puts a defect between journal and disk, to test the trial itself. */
    public static Counts run(long seed, int from, int to, UnaryOperator<Disk> broken) {
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
                    .runRound(fault, 2 + round / faults.length % 400);
            counts.rounds++;
        }
        return counts;
    }

    private void runRound(SimulatedDisk.Fault fault, int at) {
        for (int life = 0; life < LIVES; life++) {
            disk.restart(random.nextLong(), fault, at + random.nextInt(3));
            if (fault == SimulatedDisk.Fault.FULL && life < LIVES - 1) {
                disk.endFaultBefore(at + 40 + random.nextInt(200));
            }
            try {
                open(", life " + life);
                runOperations();
            } catch (SimulatedDisk.ProcessKilledError e) {
                counts.kills++;
            } catch (IOException e) {
                // The next process finds what this one left.
                counts.failedWrites++;
            }
            // The recovery may be interrupted too.
            if (fault == SimulatedDisk.Fault.KILL && random.nextBoolean()) {
                disk.restart(random.nextLong(), SimulatedDisk.Fault.KILL, 1 + random.nextInt(30));
                try {
                    Journal.open(null, seen, BUDGET).retry();
                } catch (SimulatedDisk.ProcessKilledError | IOException e) {
                    counts.kills++;
                }
            }
        }
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        try {
            open(", at the end");
        } catch (IOException e) {
            recordViolation(Violation.WRONG_STATE, "cannot be opened: " + e);
        }
    }

    private void recordViolation(Violation kind, String what) {
        switch (kind) {
            case LOST -> counts.lost++;
            case DUPLICATED -> counts.duplicated++;
            case WRONG_STATE -> counts.wrongState++;
            default -> throw new IllegalArgumentException(kind.name());
        }
        if (counts.firstViolation.isEmpty()) {
            counts.firstViolation = name + ": " + what;
        }
    }

    /** Opens the journal and compares; from then on the model is what was found, as in the sender. */
    private void open(String when) throws IOException {
        journal = Journal.open(null, seen, BUDGET);
        Map<String, ModelMessage> next = new LinkedHashMap<>();
        Set<String> live = new HashSet<>();
        List<String> order = new ArrayList<>();
        for (AcceptedMessage m : journal.pendingMessages()) {
            live.add(m.id);
            order.add(m.id);
            ModelMessage known = model.get(m.id);
            if (known == null) {
                recordViolation(Violation.DUPLICATED, m.id + " came from nowhere" + when);
            } else {
                compare(known, m, when);
                next.put(m.id, modelOf(m));
            }
        }
        for (ModelMessage known : model.values()) {
            if (!live.contains(known.id) && known.accepted && !known.completed) {
                recordViolation(Violation.LOST, known.id + " is lost" + when);
            }
        }
        if (!order.equals(model.keySet().stream().filter(live::contains).toList())) {
            recordViolation(Violation.WRONG_STATE, "the order changed" + when);
        }
        model = next;
    }

    private void compare(ModelMessage known, AcceptedMessage m, String when) {
        if (!known.accepted && !known.uncertain && !known.callInterrupted) {
            recordViolation(Violation.DUPLICATED, m.id + " was refused and is there" + when);
        }
        if (known.completedDurably) {
            recordViolation(Violation.DUPLICATED, m.id + " was over and is back" + when);
        }
        if (known.noticeSent && !known.notice.equals(m.pendingNotification)) {
            recordViolation(Violation.DUPLICATED, m.id + " was told as ended and has " + m.pendingNotification + when);
        }
        if (m.pendingNotification != null && !m.pendingNotification.equals(known.notice)) {
            recordViolation(Violation.WRONG_STATE, m.id + " ended as nobody asked: " + m.pendingNotification + when);
        }
        if (m.pendingNotification == null) {
            boolean counted = m.attempts == known.attempts || known.callInterrupted && m.attempts == known.attempts + 1;
            if (!counted) {
                recordViolation(
                        Violation.DUPLICATED,
                        m.id + " had " + known.attempts + " attempts and has " + m.attempts + when);
            }
            if (known.inFlight && !m.attemptInFlight && m.unknownOutcomeSinceMillis == 0) {
                recordViolation(Violation.DUPLICATED, m.id + " was out and is not" + when);
            }
            if (known.mayHaveRun && m.unknownOutcomeSinceMillis == 0 && !m.attemptInFlight) {
                recordViolation(Violation.DUPLICATED, m.id + " may have run and is in no doubt" + when);
            }
            if (m.body.length != 40 + m.id.hashCode() % 40 + 40 || m.key != 7) {
                recordViolation(Violation.WRONG_STATE, m.id + " is not what it was" + when);
            }
        }
    }

    /** The model of a message that the journal has found. */
    private ModelMessage modelOf(AcceptedMessage m) {
        ModelMessage known = new ModelMessage(m.id);
        known.message = m;
        known.accepted = true;
        known.attempts = m.attempts;
        known.inFlight = m.attemptInFlight;
        known.mayHaveRun = m.unknownOutcomeSinceMillis != 0;
        known.notice = m.pendingNotification;
        return known;
    }

    private void runOperations() {
        for (int i = 0; i < STEPS; i++) {
            runOperation();
            if (random.nextInt(4) == 0) {
                journal.compactSlice();
            }
            if (random.nextInt(6) == 0) {
                journal.retry();
                markDurableCompletions();
            }
        }
    }

    /** Without pending writes, all completions are on the disk. */
    private void markDurableCompletions() {
        if (journal.pendingWriteCount() == 0) {
            model.values().forEach(k -> k.completedDurably |= k.completed);
        }
    }

    private ModelMessage randomMessage() {
        List<ModelMessage> all =
                model.values().stream().filter(k -> k.accepted && !k.completed).toList();
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private void runOperation() {
        ModelMessage known = randomMessage();
        int what = random.nextInt(10);
        if (known == null || what < 4) {
            accept();
        } else if (known.notice != null) {
            if (known.noticeSent) {
                conclude(known);
            } else if (known.message.pendingNotification != null && random.nextBoolean()) {
                // A process that found it ended sends its notice again.
                known.noticeSent |= journal.pendingWriteCount() == 0;
            }
        } else if (known.inFlight) {
            known.callInterrupted = true;
            boolean mayHaveRun = random.nextBoolean();
            if (what < 6) {
                known.inFlight = false;
                conclude(known);
            } else {
                known.inFlight = false;
                known.mayHaveRun |= mayHaveRun;
                journal.outcome(known.message, mayHaveRun);
            }
            known.callInterrupted = false;
        } else if (what < 8) {
            known.callInterrupted = true;
            boolean may = journal.attempt(known.message, "uid-" + what, WALL);
            known.callInterrupted = false;
            counts.failedWrites += may ? 0 : 1;
            // Not made, but perhaps recorded all the same.
            known.callInterrupted |= !may && journal.uncertain();
            if (may) {
                known.attempts++;
                known.inFlight = true;
            }
        } else {
            String notice = known.message.failed();
            known.notice = notice;
            journal.end(known.message, notice, () -> known.noticeSent = true);
        }
        markDurableCompletions();
    }

    private void conclude(ModelMessage known) {
        known.completed = true;
        journal.conclude(known.message);
    }

    private void accept() {
        ModelMessage known = new ModelMessage("m" + ids++);
        byte[] body = new byte[40 + known.id.hashCode() % 40 + 40];
        known.message = new AcceptedMessage(journal.nextNumber(), known.id, "", "unsafe", 7, 3, WALL, body);
        known.callInterrupted = true;
        model.put(known.id, known);
        known.accepted = journal.accept(known.message);
        known.callInterrupted = false;
        known.uncertain = !known.accepted && journal.uncertain();
        counts.accepted += known.accepted ? 1 : 0;
        counts.rejected += known.accepted ? 0 : 1;
    }

    // ---- The same with real processes. ----

    /**
     * Fills the folder's journal until it is killed, and reports on standard output: {@code A} a message accepted, {@code T} an
     * attempt recorded, {@code E} an end recorded, {@code C} a message completed; before each of them {@code ?}, as the change may
     * be found or not if the process is killed during it.
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
            } else if (m.pendingNotification != null) {
                out.println("? " + m.id);
                own.conclude(m);
                out.println("C " + m.id);
            } else if (m.attemptInFlight) {
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
     * Starts processes that run {@link #main}, kills each after some of its reports, and compares its folder with them.
     *
     * @param command gets the folder and a seed appended
     */
    public static Counts runProcesses(List<String> command, Path folder, long seed, int rounds) throws IOException {
        Counts counts = new Counts();
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, ReportedMessage> told = new LinkedHashMap<>();
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
                // The pipe has all that the process wrote, also behind its end; a line that is cut off was not
                // reported.
                int lines = 0;
                for (String said = in.readLine(); said != null; said = in.readLine()) {
                    recordLine(told, said);
                    if (++lines == after) {
                        // Not Process.destroyForcibly(): it closes the pipe with what is still in it.
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

    private static final class ReportedMessage {
        int attempts;
        boolean accepted;
        boolean ended;
        boolean completed;
        boolean callInterrupted;
    }

    private static void recordLine(Map<String, ReportedMessage> told, String line) {
        String[] words = line.split(" ");
        if (words.length < 2) {
            return;
        }
        ReportedMessage of = told.computeIfAbsent(words[1], id -> new ReportedMessage());
        switch (words[0]) {
            case "?" -> {
                told.values().forEach(t -> t.callInterrupted = false);
                of.callInterrupted = true;
            }
            case "A" -> of.accepted = true;
            case "T" -> of.attempts = words.length > 2 ? Integer.parseInt(words[2]) : of.attempts;
            case "E" -> of.ended = true;
            case "C" -> of.completed = true;
            default -> throw new IllegalArgumentException(line);
        }
    }

    private static void compare(Map<String, ReportedMessage> told, Path folder, Counts counts, String when)
            throws IOException {
        Map<String, AcceptedMessage> live = new LinkedHashMap<>();
        try (Journal journal = Journal.openReadOnly(folder)) {
            journal.pendingMessages().forEach(m -> live.put(m.id, m));
            counts.wrongState += journal.dataLoss().lines().stream()
                    .filter(what -> what.contains("segment"))
                    .count();
        }
        told.forEach((id, of) -> {
            AcceptedMessage m = live.get(id);
            counts.lost += m == null && of.accepted && !of.completed && !of.callInterrupted ? 1 : 0;
            counts.duplicated += m != null && of.completed ? 1 : 0;
            counts.wrongState += m != null && of.ended && m.pendingNotification == null ? 1 : 0;
            counts.wrongState += m != null && m.pendingNotification == null && m.attempts < of.attempts ? 1 : 0;
            counts.accepted += of.accepted ? 1 : 0;
            if (!counts.ok() && counts.firstViolation.isEmpty()) {
                counts.firstViolation = when + ": " + id;
            }
        });
        // From now on each message is as it was found.
        told.values().removeIf(of -> of.completed);
        told.entrySet().removeIf(entry -> !live.containsKey(entry.getKey()));
        live.forEach((id, m) -> {
            ReportedMessage of = told.computeIfAbsent(id, i -> new ReportedMessage());
            of.accepted = true;
            of.attempts = m.attempts;
            of.ended = m.pendingNotification != null;
            of.callInterrupted = false;
        });
    }
}
