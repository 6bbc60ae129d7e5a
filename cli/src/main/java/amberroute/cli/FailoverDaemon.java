package amberroute.cli;

import amberroute.fleet.FleetClient;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * One daemon of a {@link FailoverExperiment} over all its processes, and what it tells of the journals that it holds. Used by one
 * thread.
 */
final class FailoverDaemon {
    private static final int HEAP_MB = 96;
    /** Exit code of a process whose journal is owned by a successor by now. */
    private static final int EXIT_LEADERSHIP_LOST = 7;

    final int index;
    final String handoffAddress;
    /** Whether the experiment has ended it and will start it again. */
    boolean stopped;
    /** When its state was lost, in Unix milliseconds, 0 where a failover has been seen since. */
    long lostAtMillis;

    private final int port;
    private final Path folder;
    private final Path configuration;
    private String peers = "";
    private ExperimentDaemon running;
    private long endedCpuMillis;
    private int lostLeaderships;

    /** Keeps state and log in {@code folder}; {@code configuration} is the sender file. */
    FailoverDaemon(int index, int port, String handoffAddress, Path folder, Path configuration) {
        this.index = index;
        this.port = port;
        this.handoffAddress = handoffAddress;
        this.folder = folder;
        this.configuration = configuration;
    }

    private Path state() {
        return folder.resolve(name());
    }

    private Path stateCopy() {
        return folder.resolve("old" + index);
    }

    private Path control() {
        return state().resolve("control");
    }

    String name() {
        return "s" + index;
    }

    /** Returns the log of all its processes. */
    Path log() {
        return folder.resolve(name() + ".log");
    }

    /** Sets the peers of processes that start from now on, as the sender file has them. */
    void setPeers(List<String> namedAddresses) {
        peers = String.join(",", namedAddresses);
    }

    void start() throws IOException {
        running = new ExperimentDaemon(
                folder,
                configuration,
                name(),
                port,
                HEAP_MB,
                Map.of("GW_HANDOVER", handoffAddress, "GW_PEERS", peers),
                true);
    }

    /** Kills the process, which the next {@link #poll} starts again unless the daemon is stopped. */
    void kill() throws InterruptedException {
        endedCpuMillis += running.cpuMillis();
        running.process.destroyForcibly().waitFor();
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + running.process.pid())
                .start()
                .waitFor();
    }

    /** Starts a process that ended because a successor owns its journal, as a supervisor does. */
    void poll() throws IOException {
        if (!stopped && !running.process.isAlive()) {
            lostLeaderships += running.process.exitValue() == EXIT_LEADERSHIP_LOST ? 1 : 0;
            start();
        }
    }

    /** Returns how many of its processes ended because a successor owned their journal. */
    int lostLeaderships() {
        return lostLeaderships;
    }

    /** Returns the CPU time of its present process and of those that were killed, in milliseconds. */
    long cpuMillis() {
        return endedCpuMillis + running.cpuMillis();
    }

    /** Deletes the state folder. */
    void deleteState() throws IOException {
        LocalFleet.delete(state());
    }

    /** Copies the state folder aside. */
    void copyState() throws IOException {
        copy(state(), stateCopy());
    }

    /** Puts the copy in place of the state folder. */
    void restoreState() throws IOException {
        deleteState();
        copy(stateCopy(), state());
        LocalFleet.delete(stateCopy());
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path each : files.toList()) {
                Path target = to.resolve(from.relativize(each).toString());
                if (Files.isDirectory(each)) {
                    Files.createDirectories(target);
                } else if (Files.isRegularFile(each)) {
                    Files.write(target, Files.readAllBytes(each));
                }
            }
        }
    }

    boolean isReady() {
        try {
            return ExperimentDaemon.status(state()).get("state").getAsString().equals("ready");
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private List<JsonObject> journals() throws IOException {
        List<JsonObject> journals = new ArrayList<>();
        for (JsonElement each :
                FleetClient.ask(control(), FleetClient.request("estates")).getAsJsonArray("estates")) {
            journals.add(each.getAsJsonObject());
        }
        return journals;
    }

    /** Returns a journal that this daemon goes on with and that has fewer complete replicas, or why that is not known; empty for none. */
    String missingReplicas(int replicas) {
        try {
            return journals().stream()
                    .filter(journal -> isOpen(journal) && completeReplicas(journal) < replicas)
                    .findFirst()
                    .map(journal -> "at " + name() + " " + journal)
                    .orElse("");
        } catch (IOException | RuntimeException e) {
            return e.toString();
        }
    }

    private static boolean isOpen(JsonObject journal) {
        String role = journal.get("here").getAsString();
        return role.equals("own") || role.equals("taken over");
    }

    /** Returns how many replicas there are if all of them are complete, otherwise -1. */
    private static int completeReplicas(JsonObject journal) {
        if (!journal.has("behind")) {
            return -1;
        }
        JsonObject behind = journal.getAsJsonObject("behind");
        boolean complete = behind.asMap().values().stream().allMatch(records -> records.getAsLong() >= 0);
        return complete ? behind.size() : -1;
    }

    /** Asks the daemon to release the journals that it has taken over from another; returns how many it did. */
    int releaseJournalsOf(FailoverDaemon owner) {
        int released = 0;
        try {
            for (JsonObject journal : journals()) {
                String id = journal.get("estate").getAsString();
                if (journal.get("here").getAsString().equals("taken over") && id.startsWith(owner.name() + ".")) {
                    JsonObject request = FleetClient.request("release");
                    request.addProperty("estate", id);
                    JsonObject answer = FleetClient.ask(control(), request);
                    released += answer.get("ok").getAsBoolean() ? 1 : 0;
                    System.out.println("release of " + id + " at " + name() + ": " + answer);
                }
            }
        } catch (IOException | RuntimeException e) {
            // A daemon that is not there has taken nothing over.
        }
        return released;
    }

    /** Returns the milliseconds from the loss of another daemon until this one had resumed its messages, -1 where it has not. */
    long failoverMillis(FailoverDaemon lost) throws IOException {
        boolean takesOver = false;
        for (String line : Files.readAllLines(log())) {
            long atMillis = timestampMillis(line);
            if (atMillis < lost.lostAtMillis) {
                continue;
            }
            takesOver |= line.contains("event=failover_started journal=" + lost.name() + ".");
            if (takesOver && line.contains("event=messages_recovered")) {
                return atMillis - lost.lostAtMillis;
            }
        }
        return -1;
    }

    /** Returns the time at the begin of a line of a log, -1 where there is none. */
    private static long timestampMillis(String line) {
        int space = line.indexOf(' ');
        return space > 0 && line.substring(0, space).matches("[0-9]+") ? Long.parseLong(line.substring(0, space)) : -1;
    }

    /** Ends the process for good. */
    void close() throws InterruptedException {
        running.process.destroyForcibly().waitFor();
    }
}
