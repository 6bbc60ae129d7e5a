package amberroute.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/** Carries out the decisions of {@link SupervisionPolicy}: starts, stops and kills processes. Used by the supervisor's thread only. */
final class DaemonProcesses implements SupervisionPolicy.DaemonController {
    private final FleetDefinition definition;
    private final List<ManagedDaemon> daemons;
    private final FleetStateFiles stateFiles;
    private final PrintStream log;
    private final LongSupplier clockMillis;
    private SupervisionPolicy policy;

    DaemonProcesses(
            FleetDefinition definition,
            List<ManagedDaemon> daemons,
            FleetStateFiles stateFiles,
            PrintStream log,
            LongSupplier clockMillis) {
        this.definition = definition;
        this.daemons = daemons;
        this.stateFiles = stateFiles;
        this.log = log;
        this.clockMillis = clockMillis;
    }

    /** Sets whom to tell of processes that cannot be started; called once, before the first start. */
    void reportTo(SupervisionPolicy supervisionPolicy) {
        policy = supervisionPolicy;
    }

    /** The file to which a daemon's output is appended. */
    Path logFile(FleetDefinition.Instance instance) {
        return definition.directory().resolve(instance.name() + ".log");
    }

    @Override
    public void start(int index) {
        ManagedDaemon daemon = daemons.get(index);
        daemon.control.reset();
        try {
            prepareStateDirectory(daemon);
            if (daemon.checkLockHeld()) {
                // Started by hand, or by a supervisor that was killed before the daemon had its lock.
                daemon.found = true;
                log(daemon.instance.name() + " is alive already and taken over");
                return;
            }
            daemon.child = processBuilder(daemon).start();
        } catch (IOException e) {
            log(daemon.instance.name() + " cannot be started: " + e.getMessage());
            policy.processEnded(clockMillis.getAsLong(), index, false, "no process");
        }
    }

    private void prepareStateDirectory(ManagedDaemon daemon) throws IOException {
        Path configured = daemon.instance.state();
        if (!daemon.stateDirectory.equals(configured)) {
            daemon.recoverFirst(daemon.stateDirectory);
            daemon.useStateDirectory(configured);
        }
        daemon.definitionChanged = false;
        stateFiles.writePlaces(daemons);
        FleetStateFiles.clearRetired(configured);
    }

    private ProcessBuilder processBuilder(ManagedDaemon daemon) {
        FleetDefinition.Instance instance = daemon.instance;
        ProcessBuilder builder = new ProcessBuilder(instance.command());
        Map<String, String> environment = builder.environment();
        environment.put("GW_NAME", instance.name());
        environment.put("GW_LISTEN", instance.listen());
        environment.put("GW_STATE", instance.state().toString());
        daemon.orphanedDirectories.remove(daemon.stateDirectory);
        if (!daemon.orphanedDirectories.isEmpty()) {
            environment.put(
                    "GW_ADOPT",
                    daemon.orphanedDirectories.stream()
                            .filter(Files::isDirectory)
                            .map(Path::toString)
                            .collect(Collectors.joining(":")));
        }
        if (instance.handoffAddress() != null) {
            environment.put("GW_HANDOVER", instance.handoffAddress());
            environment.put("GW_PEERS", definition.peers());
            if (definition.slowStartShared()) {
                environment.put("GW_GENTLE", "true");
            }
        }
        environment.remove("GW_CONFIG");
        environment.remove("NOTIFY_SOCKET");
        builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(logFile(instance).toFile()));
        return builder;
    }

    @Override
    public void stop(int index, SupervisionPolicy.Mode mode, long timeoutMillis) {
        ManagedDaemon daemon = daemons.get(index);
        JsonObject command = new JsonObject();
        command.addProperty("do", "stop");
        command.addProperty("mode", mode.name().toLowerCase(Locale.ROOT));
        command.addProperty("within_ms", timeoutMillis);
        // The retired daemons of this moment: a list that the daemon got earlier might name one that has returned.
        command.add("absent", names(i -> policy.state(i) == SupervisionPolicy.State.OUT));
        if (!daemon.control.send(command) && daemon.child != null) {
            // Its control socket is not open yet or no longer; the signal asks for the same, without the mode.
            daemon.child.destroy();
        }
    }

    private JsonArray names(IntPredicate chosen) {
        JsonArray names = new JsonArray();
        for (int i = 0; i < daemons.size(); i++) {
            if (chosen.test(i)) {
                names.add(daemons.get(i).instance.name());
            }
        }
        return names;
    }

    @Override
    public void markRetired(int index) {
        FleetDefinition.Instance instance = daemons.get(index).instance;
        try {
            FleetStateFiles.markRetired(instance.state());
        } catch (IOException e) {
            // Without the mark the next supervisor starts and stops the daemon once more.
            log(instance.name() + ": " + e.getMessage());
        }
    }

    @Override
    public void kill(int index) {
        ManagedDaemon daemon = daemons.get(index);
        if (daemon.child != null) {
            daemon.child.destroyForcibly();
        } else if (daemon.found && daemon.foundPid > 0 && daemon.checkLockHeld()) {
            ProcessHandle.of(daemon.foundPid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    @Override
    public void reload(int index) {
        JsonObject command = new JsonObject();
        command.addProperty("do", "reload");
        daemons.get(index).control.send(command);
    }

    @Override
    public void log(String text) {
        log.println(text.replaceAll("\\p{Cntrl}", "?"));
    }
}
