package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Limits;
import amberroute.decisions.DeliveryScheduler.Rules;
import amberroute.decisions.DeliveryScheduler.Settings;

/** The settings that count now, shared by all rules of one scheduler. */
final class CurrentSettings {
    private Settings settings;
    private long longestDeadlineMicros;

    /**
     * Settings to begin with.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    CurrentSettings(Settings settings) {
        replace(settings);
    }

    /**
     * Replaces them; settings that are out of range change nothing.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    void replace(Settings replacement) {
        replacement.check();
        settings = replacement;
        longestDeadlineMicros = replacement.longestDeadlineMicros();
    }

    Settings get() {
        return settings;
    }

    /** The deadline of the class that has the longest. */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    Limits limits() {
        return settings.limits();
    }

    Rules rules() {
        return settings.rules();
    }
}
