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
 * For tests and experiments: runs a journal at full load on a simulated disk that kills the process, fails or fills up
 * at a chosen operation, recovers the journal, and compares each message with an in-memory model. Counts messages that
 * are lost, that would be acknowledged or delivered twice, and whose state is wrong. An interrupted change may be found
 * or not, since nothing was reported. The same seed repeats the same run.
 */
public final class JournalTrial {
    private static final long BUDGET_BYTES = 420_000;
    private static final int PROCESSES_PER_ROUND = 3;
    private static final int OPERATIONS_PER_PROCESS = 260;
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    /** The results of a number of rounds. */
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
        /** A message would be acknowledged or delivered a second time. */
        DUPLICATED,
        WRONG_STATE
    }

    /** The expected state of one message. */
    private static final class ModelMessage {
        final String id;
        AcceptedMessage message;
        /** Whether its client was told that it is accepted. */
        boolean accepted;
        /** Rejected while the journal was uncertain, so that it may be found. */
        boolean mayBeFound;

        int attempts;
        boolean inFlight;
        boolean mayHaveRun;
        /** The notice that was requested. */
        String requestedNotice;

        boolean noticeSent;
        boolean completed;
        boolean completedDurably;
        /** Whether the last call for it did not return, so that its change may be found or not. */
        boolean callInterrupted;

        ModelMessage(String id) {
            this.id = id;
        }
    }

    private final SimulatedDisk disk = new SimulatedDisk();
    private final Disk journalDisk;
    private final SplittableRandom random;
    private final Counts counts;
    private final String roundName;
    private Map<String, ModelMessage> modelById = new LinkedHashMap<>();
    private Journal journal;
    private int nextId;

    private JournalTrial(long seed, String roundName, Counts counts, UnaryOperator<Disk> defect) {
        random = new SplittableRandom(seed);
        this.roundName = roundName;
        this.counts = counts;
        journalDisk = defect.apply(disk);
    }

    /**
     * Runs rounds {@code firstRound} (inclusive) to {@code endRound} (exclusive).
     *
     * @param defect wraps the disk with a defect, to test the trial itself
     */
    public static Counts run(long seed, int firstRound, int endRound, UnaryOperator<Disk> defect) {
        Counts counts = new Counts();
        for (int round = firstRound; round < endRound; round++) {
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
                            defect)
                    .runRound(fault, 2 + round / faults.length % 400);
            counts.rounds++;
        }
        return counts;
    }

    private void runRound(SimulatedDisk.Fault fault, int faultOperation) {
        for (int process = 0; process < PROCESSES_PER_ROUND; process++) {
            disk.restart(random.nextLong(), fault, faultOperation + random.nextInt(3));
            if (fault == SimulatedDisk.Fault.FULL && process < PROCESSES_PER_ROUND - 1) {
                disk.endFaultBefore(faultOperation + 40 + random.nextInt(200));
            }
            try {
                open(", process " + process);
                runOperations();
            } catch (SimulatedDisk.ProcessKilledError e) {
                counts.kills++;
            } catch (IOException e) {
                // The next process recovers from what this one has written.
                counts.failedWrites++;
            }
            // Recovery may be interrupted, too.
            if (fault == SimulatedDisk.Fault.KILL && random.nextBoolean()) {
                disk.restart(random.nextLong(), SimulatedDisk.Fault.KILL, 1 + random.nextInt(30));
                try {
                    Journal.open(null, journalDisk, BUDGET_BYTES).retryFailedWrites();
                } catch (SimulatedDisk.ProcessKilledError | IOException e) {
                    counts.kills++;
                }
            }
        }
        disk.restart(1, SimulatedDisk.Fault.NONE, 0);
        try {
            open(", after the round");
        } catch (IOException e) {
            recordViolation(Violation.WRONG_STATE, "the journal cannot be opened: " + e);
        }
    }

    private void recordViolation(Violation kind, String description) {
        switch (kind) {
            case LOST -> counts.lost++;
            case DUPLICATED -> counts.duplicated++;
            case WRONG_STATE -> counts.wrongState++;
            default -> throw new IllegalArgumentException(kind.name());
        }
        if (counts.firstViolation.isEmpty()) {
            counts.firstViolation = roundName + ": " + description;
        }
    }

    /** Opens the journal and compares; from then on the model is what was found, as in the sender. */
    private void open(String context) throws IOException {
        journal = Journal.open(null, journalDisk, BUDGET_BYTES);
        Map<String, ModelMessage> nextModel = new LinkedHashMap<>();
        Set<String> foundIds = new HashSet<>();
        List<String> foundOrder = new ArrayList<>();
        for (AcceptedMessage message : journal.pendingMessages()) {
            foundIds.add(message.id);
            foundOrder.add(message.id);
            ModelMessage expected = modelById.get(message.id);
            if (expected == null) {
                recordViolation(Violation.DUPLICATED, message.id + " is unknown to the model" + context);
            } else {
                compareWithModel(expected, message, context);
                nextModel.put(message.id, modelOf(message));
            }
        }
        for (ModelMessage expected : modelById.values()) {
            if (!foundIds.contains(expected.id) && expected.accepted && !expected.completed) {
                recordViolation(Violation.LOST, expected.id + " is lost" + context);
            }
        }
        if (!foundOrder.equals(
                modelById.keySet().stream().filter(foundIds::contains).toList())) {
            recordViolation(Violation.WRONG_STATE, "the order of messages changed" + context);
        }
        modelById = nextModel;
    }

    private void compareWithModel(ModelMessage expected, AcceptedMessage found, String context) {
        if (!expected.accepted && !expected.mayBeFound && !expected.callInterrupted) {
            recordViolation(Violation.DUPLICATED, found.id + " was rejected and was found" + context);
        }
        if (expected.completedDurably) {
            recordViolation(Violation.DUPLICATED, found.id + " was completed and was found" + context);
        }
        if (expected.noticeSent && !expected.requestedNotice.equals(found.pendingNotification)) {
            recordViolation(
                    Violation.DUPLICATED,
                    found.id + " was reported as ended and has notice " + found.pendingNotification + context);
        }
        if (found.pendingNotification != null && !found.pendingNotification.equals(expected.requestedNotice)) {
            recordViolation(
                    Violation.WRONG_STATE,
                    found.id + " has a notice that was not requested: " + found.pendingNotification + context);
        }
        if (found.pendingNotification == null) {
            boolean attemptsMatch = found.attempts == expected.attempts
                    || expected.callInterrupted && found.attempts == expected.attempts + 1;
            if (!attemptsMatch) {
                recordViolation(
                        Violation.DUPLICATED,
                        found.id + " had " + expected.attempts + " attempts and has " + found.attempts + context);
            }
            if (expected.inFlight && !found.attemptInFlight && found.unknownOutcomeSinceMillis == 0) {
                recordViolation(Violation.DUPLICATED, found.id + " had an attempt in flight and has none" + context);
            }
            if (expected.mayHaveRun && found.unknownOutcomeSinceMillis == 0 && !found.attemptInFlight) {
                recordViolation(Violation.DUPLICATED, found.id + " had an unknown outcome and has none" + context);
            }
            if (found.body.length != 40 + found.id.hashCode() % 40 + 40 || found.key != 7) {
                recordViolation(Violation.WRONG_STATE, found.id + " has another body or key" + context);
            }
        }
    }

    /** Returns the model of a message that was found in the journal. */
    private ModelMessage modelOf(AcceptedMessage message) {
        ModelMessage modelMessage = new ModelMessage(message.id);
        modelMessage.message = message;
        modelMessage.accepted = true;
        modelMessage.attempts = message.attempts;
        modelMessage.inFlight = message.attemptInFlight;
        modelMessage.mayHaveRun = message.unknownOutcomeSinceMillis != 0;
        modelMessage.requestedNotice = message.pendingNotification;
        return modelMessage;
    }

    private void runOperations() {
        for (int i = 0; i < OPERATIONS_PER_PROCESS; i++) {
            runOperation();
            if (random.nextInt(4) == 0) {
                journal.compactStep();
            }
            if (random.nextInt(6) == 0) {
                journal.retryFailedWrites();
                markDurableCompletions();
            }
        }
    }

    /** Without pending writes, all completions are on disk. */
    private void markDurableCompletions() {
        if (journal.pendingWriteCount() == 0) {
            modelById.values().forEach(message -> message.completedDurably |= message.completed);
        }
    }

    private ModelMessage randomMessage() {
        List<ModelMessage> candidates = modelById.values().stream()
                .filter(message -> message.accepted && !message.completed)
                .toList();
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    private void runOperation() {
        ModelMessage target = randomMessage();
        int choice = random.nextInt(10);
        if (target == null || choice < 4) {
            accept();
        } else if (target.requestedNotice != null) {
            if (target.noticeSent) {
                complete(target);
            } else if (target.message.pendingNotification != null && random.nextBoolean()) {
                // A process that finds it ended sends its notice again.
                target.noticeSent |= journal.pendingWriteCount() == 0;
            }
        } else if (target.inFlight) {
            target.callInterrupted = true;
            boolean mayHaveRun = random.nextBoolean();
            if (choice < 6) {
                target.inFlight = false;
                complete(target);
            } else {
                target.inFlight = false;
                target.mayHaveRun |= mayHaveRun;
                journal.recordOutcome(target.message, mayHaveRun);
            }
            target.callInterrupted = false;
        } else if (choice < 8) {
            target.callInterrupted = true;
            boolean recorded = journal.recordAttempt(target.message, "uid-" + choice, NOW_MILLIS, 0);
            target.callInterrupted = false;
            counts.failedWrites += recorded ? 0 : 1;
            // Not made, but possibly recorded.
            target.callInterrupted |= !recorded && journal.lastWriteUncertain();
            if (recorded) {
                target.attempts++;
                target.inFlight = true;
            }
        } else {
            String notice = target.message.failed();
            target.requestedNotice = notice;
            journal.endWithNotice(target.message, notice, () -> target.noticeSent = true);
        }
        markDurableCompletions();
    }

    private void complete(ModelMessage target) {
        target.completed = true;
        journal.complete(target.message);
    }

    private void accept() {
        ModelMessage target = new ModelMessage("m" + nextId++);
        byte[] body = new byte[40 + target.id.hashCode() % 40 + 40];
        target.message = new AcceptedMessage(journal.nextNumber(), target.id, "", "unsafe", 7, 3, NOW_MILLIS, body);
        target.callInterrupted = true;
        modelById.put(target.id, target);
        target.accepted = journal.accept(target.message);
        target.callInterrupted = false;
        target.mayBeFound = !target.accepted && journal.lastWriteUncertain();
        counts.accepted += target.accepted ? 1 : 0;
        counts.rejected += target.accepted ? 0 : 1;
    }

    // ---- Trials with real processes. ----

    /**
     * Fills the folder's journal until the process is killed, and reports on standard output: {@code A} message
     * accepted, {@code T} attempt recorded, {@code E} end recorded, {@code C} message completed. {@code ?} precedes
     * each of them, since the change may be found or not if the process is killed during it.
     */
    public static void main(String[] args) throws IOException {
        SplittableRandom random = new SplittableRandom(Long.parseLong(args[1]));
        Journal journal = Journal.open(Path.of(args[0]), 3 << 20);
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.US_ASCII);
        out.println("R");
        for (int i = 0; ; i++) {
            List<AcceptedMessage> pending = List.copyOf(journal.pendingMessages());
            AcceptedMessage message = pending.isEmpty() ? null : pending.get(random.nextInt(pending.size()));
            if (message == null || pending.size() < 200 && random.nextInt(3) > 0) {
                String id = "m" + args[1] + "-" + i;
                AcceptedMessage newMessage = new AcceptedMessage(
                        journal.nextNumber(), id, "", "unsafe", 7, 3, NOW_MILLIS, new byte[random.nextInt(2_000)]);
                out.println("? " + id);
                if (journal.accept(newMessage)) {
                    out.println("A " + id);
                }
            } else if (message.pendingNotification != null) {
                out.println("? " + message.id);
                journal.complete(message);
                out.println("C " + message.id);
            } else if (message.attemptInFlight) {
                out.println("? " + message.id);
                journal.recordOutcome(message, true);
            } else if (random.nextInt(3) > 0) {
                out.println("? " + message.id);
                if (journal.recordAttempt(message, "uid", NOW_MILLIS, 0)) {
                    out.println("T " + message.id + " " + message.attempts);
                }
            } else {
                out.println("? " + message.id);
                journal.endWithNotice(message, message.failed());
                out.println("E " + message.id);
            }
            journal.compactStep();
        }
    }

    /**
     * Starts processes that run {@link #main}, kills each after a number of its reports, and compares its folder with
     * the reports.
     *
     * @param command the folder and a seed are appended to it
     */
    public static Counts runProcesses(List<String> command, Path folder, long seed, int rounds) throws IOException {
        Counts counts = new Counts();
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, ReportedMessage> reported = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            List<String> commandLine = new ArrayList<>(command);
            commandLine.add(folder.toString());
            commandLine.add(Long.toString(seed * 1_000 + round));
            Process process = new ProcessBuilder(commandLine)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            int linesBeforeKill = 50 + random.nextInt(1_500);
            try (BufferedReader in = process.inputReader(StandardCharsets.US_ASCII)) {
                if (in.readLine() == null) {
                    throw new IOException("the process of round " + round + " did not start");
                }
                // The pipe has everything that the process wrote, even after its end; a truncated line was not
                // reported.
                int lineCount = 0;
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    recordLine(reported, line);
                    if (++lineCount == linesBeforeKill) {
                        // Process.destroyForcibly() would close the pipe with the unread output.
                        process.toHandle().destroyForcibly();
                    }
                }
            }
            counts.kills++;
            counts.rounds++;
            compareWithReports(reported, folder, counts, "round " + round);
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

    private static void recordLine(Map<String, ReportedMessage> reported, String line) {
        String[] words = line.split(" ");
        if (words.length < 2) {
            return;
        }
        ReportedMessage message = reported.computeIfAbsent(words[1], id -> new ReportedMessage());
        switch (words[0]) {
            case "?" -> {
                reported.values().forEach(other -> other.callInterrupted = false);
                message.callInterrupted = true;
            }
            case "A" -> message.accepted = true;
            case "T" -> message.attempts = words.length > 2 ? Integer.parseInt(words[2]) : message.attempts;
            case "E" -> message.ended = true;
            case "C" -> message.completed = true;
            default -> throw new IllegalArgumentException(line);
        }
    }

    private static void compareWithReports(
            Map<String, ReportedMessage> reported, Path folder, Counts counts, String context) throws IOException {
        Map<String, AcceptedMessage> pendingById = new LinkedHashMap<>();
        try (Journal journal = Journal.openReadOnly(folder)) {
            journal.pendingMessages().forEach(message -> pendingById.put(message.id, message));
            counts.wrongState += journal.dataLoss().lines().stream()
                    .filter(line -> line.contains("segment"))
                    .count();
        }
        reported.forEach((id, reportedMessage) -> {
            AcceptedMessage found = pendingById.get(id);
            counts.lost += found == null
                            && reportedMessage.accepted
                            && !reportedMessage.completed
                            && !reportedMessage.callInterrupted
                    ? 1
                    : 0;
            counts.duplicated += found != null && reportedMessage.completed ? 1 : 0;
            counts.wrongState += found != null && reportedMessage.ended && found.pendingNotification == null ? 1 : 0;
            counts.wrongState +=
                    found != null && found.pendingNotification == null && found.attempts < reportedMessage.attempts
                            ? 1
                            : 0;
            counts.accepted += reportedMessage.accepted ? 1 : 0;
            if (!counts.ok() && counts.firstViolation.isEmpty()) {
                counts.firstViolation = context + ": " + id;
            }
        });
        // From now on each message is expected as it was found.
        reported.values().removeIf(reportedMessage -> reportedMessage.completed);
        reported.entrySet().removeIf(entry -> !pendingById.containsKey(entry.getKey()));
        pendingById.forEach((id, found) -> {
            ReportedMessage reportedMessage = reported.computeIfAbsent(id, i -> new ReportedMessage());
            reportedMessage.accepted = true;
            reportedMessage.attempts = found.attempts;
            reportedMessage.ended = found.pendingNotification != null;
            reportedMessage.callInterrupted = false;
        });
    }
}
