package amberroute.sender;

import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import java.util.ArrayList;
import java.util.List;

/** The failover senders that run in this process: each follows the reloads of the process. Event loop only. */
final class FailoverSenders {
    private final ActiveSettings activeSettings;
    private final List<FailoverSender> running = new ArrayList<>();

    FailoverSenders(ActiveSettings activeSettings) {
        this.activeSettings = activeSettings;
    }

    /** Adds one that was made from {@code madeFrom}; what a reload has changed while it started is applied at once. */
    void add(FailoverSender failover, SenderConfig madeFrom) {
        running.removeIf(FailoverSender::stopped);
        running.add(failover);
        if (activeSettings.config() != madeFrom) {
            failover.reconfigure(activeSettings.config());
        }
    }

    /** Applies the configuration in force to those that have not stopped. */
    void configurationApplied() {
        running.removeIf(FailoverSender::stopped);
        running.forEach(failover -> failover.reconfigure(activeSettings.config()));
    }
}
