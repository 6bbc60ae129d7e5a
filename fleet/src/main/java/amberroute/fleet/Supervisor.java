package amberroute.fleet;

import amberroute.config.ConfigException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Observes the daemons of a fleet and carries out what {@link SupervisionPolicy} decides, on one thread that polls every
 * {@value #POLL_MILLIS} ms: processes that end, the daemons' own status, the size of their logs, and the fleet's control socket.
 *
 * <p>A daemon is known to live by the lock on its state directory, which the kernel frees with the process. A supervisor that was
 * killed leaves its daemons running; the next one finds the locks held and goes on with them. Only one supervisor can hold a
 * fleet's directory.
 */
public final class Supervisor implements AutoCloseable {
    /** Result of {@link #run} where a final stop could not empty all journals. */
    public static final int EXIT_WORK_LEFT_BEHIND = 3;

    private static final long POLL_MILLIS = 20;
    private static final long STATUS_INTERVAL_MILLIS = 100;
    private static final long LOCK_CHECK_INTERVAL_MILLIS = 100;
    private static final long LOG_CHECK_INTERVAL_MILLIS = 1_000;
    /** Exit codes above this are this plus the number of the signal that ended the process. */
    private static final int SIGNAL_EXIT_CODE_BASE = 128;

    private final FleetDefinition definition;
    private final PrintStream log;
    private final List<ManagedDaemon> daemons = new ArrayList<>();
    private final FileChannel directoryLock;
    private final DaemonProcesses processes;
    private final SupervisionPolicy policy;
    private final FleetControlServer controlServer;
    private final AtomicReference<SupervisionPolicy.Mode> requestedStop = new AtomicReference<>();
    private volatile boolean reloadRequested;
    private Runnable readyListener;
    private long statusPolledMillis;
    private long logsCheckedMillis;

    /**
     * Takes the fleet's directory, and goes on with the daemons that live. Lines for people go to {@code log}.
     *
     * @throws ConfigException if another supervisor holds the directory
     * @throws IOException if the directory or the control socket cannot be used
     */
    public Supervisor(FleetDefinition definition, PrintStream log) throws IOException {
        this.definition = definition;
        this.log = log;
        Path directory = definition.directory();
        createPrivateDirectory(directory);
        directoryLock =
                FileChannel.open(directory.resolve("fleet.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (StateDirectoryLock.tryLock(directoryLock) == null) {
            directoryLock.close();
            throw new ConfigException(directory + " is held by another supervisor");
        }
        definition.instances().forEach(instance -> daemons.add(new ManagedDaemon(instance)));
        FleetStateFiles stateFiles = new FleetStateFiles(directory);
        stateFiles.readPlaces(daemons);
        processes = new DaemonProcesses(definition, daemons, stateFiles, log, Supervisor::nowMillis);
        List<String> names = definition.instances().stream()
                .map(FleetDefinition.Instance::name)
                .toList();
        int wanted = Math.min(stateFiles.readScale(definition.count()), daemons.size());
        policy = new SupervisionPolicy(definition.policy(), names, wanted, processes);
        processes.reportTo(policy);
        FleetRequestHandler handler =
                new FleetRequestHandler(definition, policy, daemons, stateFiles, Supervisor::nowMillis);
        controlServer = new FleetControlServer(definition.control(), handler::handle);
        findRunningDaemons();
    }

    private static void createPrivateDirectory(Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.setPosixFilePermissions(directory, PosixFilePermissions.fromString("rwx------"));
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private void findRunningDaemons() throws IOException {
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < daemons.size(); i++) {
            ManagedDaemon daemon = daemons.get(i);
            createPrivateDirectory(daemon.instance.state());
            if (daemon.checkLockHeld()) {
                daemon.found = true;
                policy.processFound(nowMillis(), i);
                if (daemon.definitionChanged) {
                    changed.add(daemon.instance.name());
                }
            } else if (FleetStateFiles.nothingPending(daemon.instance.state())) {
                policy.nothingPending(i);
            }
        }
        if (!changed.isEmpty()) {
            policy.restart(nowMillis(), changed);
        }
    }

    /** Serves until the fleet has been stopped; 0, or {@link #EXIT_WORK_LEFT_BEHIND}. */
    public int run() throws InterruptedException {
        while (!policy.finished()) {
            poll();
            Thread.sleep(POLL_MILLIS);
        }
        controlServer.poll();
        log.println("the fleet has stopped");
        return policy.workLeftBehind() ? EXIT_WORK_LEFT_BEHIND : 0;
    }

    /** Asks for a stop of the whole fleet, from any thread. */
    public void stop(SupervisionPolicy.Mode mode) {
        requestedStop.set(mode);
    }

    /** Sets a listener that is called once, on the supervisor's thread, when all daemons are ready for the first time. */
    public void whenReady(Runnable listener) {
        readyListener = listener;
    }

    /** Asks all daemons to read their configuration again, from any thread. */
    public void reload() {
        reloadRequested = true;
    }

    private void poll() {
        long now = nowMillis();
        takeRequests(now);
        for (int i = 0; i < daemons.size(); i++) {
            checkProcess(now, i);
        }
        if (now - statusPolledMillis >= STATUS_INTERVAL_MILLIS) {
            statusPolledMillis = now;
            for (int i = 0; i < daemons.size(); i++) {
                pollStatus(now, i);
            }
        }
        if (now - logsCheckedMillis >= LOG_CHECK_INTERVAL_MILLIS) {
            logsCheckedMillis = now;
            daemons.forEach(daemon -> LogFile.bound(processes.logFile(daemon.instance), definition.logBytes()));
        }
        policy.runDueActions(now);
        if (readyListener != null && policy.allReady()) {
            readyListener.run();
            readyListener = null;
        }
        controlServer.poll();
    }

    private void takeRequests(long now) {
        SupervisionPolicy.Mode mode = requestedStop.getAndSet(null);
        if (mode != null) {
            policy.stop(now, mode);
        }
        if (reloadRequested) {
            reloadRequested = false;
            policy.reload(now);
        }
    }

    private void checkProcess(long now, int index) {
        ManagedDaemon daemon = daemons.get(index);
        if (daemon.child != null && !daemon.child.isAlive()) {
            int code = daemon.child.exitValue();
            daemon.child = null;
            daemon.control.reset();
            policy.processEnded(now, index, code == 0, describeExit(code));
        } else if (daemon.found && now - daemon.lockCheckedMillis >= LOCK_CHECK_INTERVAL_MILLIS) {
            daemon.lockCheckedMillis = now;
            if (!daemon.checkLockHeld()) {
                daemon.found = false;
                daemon.control.reset();
                policy.processEnded(now, index, false, "an end that nobody saw");
            }
        }
    }

    private static String describeExit(int code) {
        return code > SIGNAL_EXIT_CODE_BASE ? "signal " + (code - SIGNAL_EXIT_CODE_BASE) : "exit code " + code;
    }

    private void pollStatus(long now, int index) {
        ManagedDaemon daemon = daemons.get(index);
        if (!daemon.running() || !daemon.control.poll()) {
            return;
        }
        switch (daemon.control.lastStatus().get("state").getAsString()) {
            case "ready" -> policy.readyObserved(now, index);
            case "draining" -> policy.drainingObserved(now, index);
            default -> {}
        }
    }

    /** Frees the directory and the control socket; daemons that still run go on. */
    @Override
    public void close() throws IOException {
        controlServer.close();
        directoryLock.close();
    }
}
