package amberroute.sender;

import amberroute.config.ConfigException;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Map;

/**
 * Rereads the configuration while the sender serves. A reload applies the settings of the file (classes, attempts and the
 * scheduler's other parameters), its discovery address, even if the environment has another one, and its endpoint list. Listen
 * addresses and table sizes change at the next start. A configuration is applied as a whole or not at all. Not on the event loop,
 * as it reads files.
 */
final class SettingsReload {
    private final SenderConfig startConfig;
    private final ConfigSource source;
    private final OwnershipTransfers transfers;
    private final EventLoop loop;
    private final LifecycleState lifecycle;
    private final SettingsActivation activation;
    private final SenderMetrics metrics;
    private final EndpointWatch endpoints;
    private final EndpointFileFollower endpointFile;
    private final FailureNotifier notifier;
    private final FailoverSenders failovers;
    /** Fingerprint of the configuration that was read last. */
    private volatile long fingerprint;

    SettingsReload(
            SenderState state,
            ConfigSource source,
            SettingsActivation activation,
            EndpointWatch endpoints,
            EndpointFileFollower endpointFile,
            FailureNotifier notifier,
            FailoverSenders failovers) {
        loop = state.loop();
        lifecycle = state.lifecycle();
        metrics = state.metrics();
        this.source = source;
        fingerprint = source.fingerprint();
        transfers = state.transfers();
        this.activation = activation;
        this.endpoints = endpoints;
        this.endpointFile = endpointFile;
        this.notifier = notifier;
        this.failovers = failovers;
        startConfig = state.config();
    }

    /** Where this process took over from another one: that one may have been told of a configuration that this one has not read. */
    void reloadAfterTransfer() {
        if (transfers.incoming() != null) {
            reloadIfChanged();
        }
    }

    /** Rereads the configuration on a thread of its own if the sender serves and it differs from the one that was read last. */
    void reloadIfChanged() {
        Map<String, String> environment = source.environment();
        if (environment != null && lifecycle.ready()) {
            new Thread(() -> rereadIfChanged(environment), "reload").start();
        }
    }

    private void rereadIfChanged(Map<String, String> environment) {
        if (SenderConfig.fingerprint(environment) != fingerprint) {
            reload(environment);
        }
    }

    /**
     * Rereads the configuration. Returns null, or the reason why it is rejected, in which case the active one stays. One reload follows
     * another, as each must read the file behind what it replaces: a signal may come beside a look for a changed file.
     */
    synchronized String reload(Map<String, String> environment) {
        try {
            long newFingerprint = SenderConfig.fingerprint(environment);
            SenderConfig reread = SenderConfig.reread(environment);
            check(reread);
            SenderConfig config = startConfig.reloadedWith(reread);
            fingerprint = newFingerprint;
            String rejection = loop.submit(() -> activation.apply(config))
                    .syncUninterruptibly()
                    .getNow();
            if (rejection != null) {
                throw new InvalidSettingsException(rejection);
            }
            loop.execute(() -> onApplied(config));
            return null;
        } catch (InvalidSettingsException | ConfigException | IOException e) {
            loop.execute(metrics::rejected);
            LogEvent.of("configuration_rejected").with("reason", e.getMessage()).warn();
            return e.getMessage();
        }
    }

    private void check(SenderConfig config) {
        if ((config.discovery() == null) != (startConfig.discovery() == null)) {
            throw new InvalidSettingsException("changing between discovery and a file of endpoints takes a restart");
        }
        if (lifecycle.phase() == LifecyclePhase.TRANSFERRED) {
            throw new InvalidSettingsException("another process has taken this one's place");
        }
        config.checkAgainst(startConfig);
        SchedulerDriver.newCheckedScheduler(config.settings());
    }

    private void onApplied(SenderConfig config) {
        metrics.applied();
        LogEvent.of("configuration_applied")
                .with("classes", config.classes().size())
                .with("max_attempts", config.settings().limits().maxAttempts())
                .warn();
        useAddresses(config);
        failovers.configurationApplied();
    }

    /**
     * Applies a configuration that the parent of this failover sender has in force. Its addresses count even if pending messages leave no
     * room for its classes, as every end of a message depends on them. Event loop only.
     */
    void follow(SenderConfig config) {
        String rejection = activation.apply(config);
        if (rejection != null) {
            LogEvent.of("configuration_rejected")
                    .with("journal", config.name())
                    .with("reason", rejection)
                    .warn();
        }
        useAddresses(config);
    }

    private void useAddresses(SenderConfig config) {
        if (config.discovery() == null) {
            endpointFile.reload();
        } else {
            LogEvent.of("discovery_address_set")
                    .with("address", config.discovery())
                    .warn();
            endpoints.move(config.discovery());
        }
        notifier.move(config.notificationAddress());
    }
}
