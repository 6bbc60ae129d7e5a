package amberroute.sender;

import amberroute.sender.admin.ControlCommands;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** Carries out the commands of the control socket. Event loop only, except where the interface states otherwise. */
final class SenderCommands implements ControlCommands.Host {
    private final SenderConfig config;
    /** The environment from which the configuration is reread, null if it cannot be reread. */
    private final Map<String, String> environment;

    private final LifecycleState lifecycle;
    private final StatusReport status;
    private final SettingsReload settingsReload;
    private final FolderAdoption adoption;
    private final ShutdownCoordinator shutdown;
    private final PeerServices peers;
    private final FleetCoordination fleet;

    SenderCommands(
            SenderConfig config,
            Map<String, String> environment,
            LifecycleState lifecycle,
            StatusReport status,
            SettingsReload settingsReload,
            FolderAdoption adoption,
            ShutdownCoordinator shutdown,
            PeerServices peers,
            FleetCoordination fleet) {
        this.config = config;
        this.environment = environment;
        this.lifecycle = lifecycle;
        this.status = status;
        this.settingsReload = settingsReload;
        this.adoption = adoption;
        this.shutdown = shutdown;
        this.peers = peers;
        this.fleet = fleet;
    }

    @Override
    public JsonObject status() {
        return status.describe();
    }

    @Override
    public boolean canReload() {
        return environment != null && lifecycle.phase() != LifecyclePhase.STARTING;
    }

    @Override
    public String reload() {
        return settingsReload.reload(environment);
    }

    @Override
    public boolean serving() {
        return lifecycle.ready();
    }

    @Override
    public ControlCommands.AdoptedMessages adopt(Path folder, boolean fenced) throws IOException {
        FolderAdoption.Result result = adoption.adopt(folder, fenced);
        return new ControlCommands.AdoptedMessages(result.adopted(), result.adoptedBefore());
    }

    @Override
    public long defaultStopMillis() {
        return config.standalone().stopDeadlineMillis();
    }

    @Override
    public boolean handsOver() {
        return peers.handoff() != null;
    }

    @Override
    public void absentPeers(Set<String> names) {
        peers.handoff().excludeAbsentPeers(names);
    }

    @Override
    public void stop(ShutdownMode mode, long withinMillis) {
        shutdown.begin(mode, withinMillis);
    }

    @Override
    public boolean replicated() {
        return peers.replication() != null;
    }

    @Override
    public JsonArray replicas() {
        return peers.replication().describeReplicas();
    }

    @Override
    public String takeReplica(String origin) {
        return peers.replication().requestFailover(origin);
    }

    @Override
    public String releaseReplica(String origin) {
        return peers.replication().releaseFailover(origin);
    }

    @Override
    public JsonObject load() {
        return fleet.describeLoad();
    }
}
