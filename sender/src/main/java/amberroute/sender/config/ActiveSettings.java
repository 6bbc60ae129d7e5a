package amberroute.sender.config;

import amberroute.decisions.DeliveryScheduler;

/** The configuration in force and the scheduler's settings made of it. Event loop only. */
public final class ActiveSettings {
    private SenderConfig config;
    private DeliveryScheduler.Settings settings;

    /** Starts with the configuration that the process read first. */
    public ActiveSettings(SenderConfig config) {
        this.config = config;
        settings = config.settings();
    }

    /** The configuration that was read last and accepted. */
    public SenderConfig config() {
        return config;
    }

    /** The settings in force, with the classes as the sender numbers them. */
    public DeliveryScheduler.Settings settings() {
        return settings;
    }

    /** Replaces both. */
    public void replace(SenderConfig newConfig, DeliveryScheduler.Settings newSettings) {
        config = newConfig;
        settings = newSettings;
    }
}
