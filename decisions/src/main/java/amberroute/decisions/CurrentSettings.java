package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Limits;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.DeliveryScheduler.Rules;
import amberroute.decisions.DeliveryScheduler.Settings;

/** The current settings, shared by all rules of one scheduler. */
final class CurrentSettings {
    private Settings settings;
    private long longestDeadlineMicros;
    private double highestPriorityWeight;

    /**
     * Creates an instance with the initial settings.
     *
     * @throws IllegalArgumentException if a setting is out of range
     */
    CurrentSettings(Settings settings) {
        replace(settings);
    }

    /**
     * Replaces the settings; settings that are out of range change nothing.
     *
     * @throws IllegalArgumentException if a setting is out of range
     */
    void replace(Settings replacement) {
        validate(replacement);
        settings = replacement;
        longestDeadlineMicros = 0;
        highestPriorityWeight = 0;
        for (MessageClass messageClass : replacement.classes()) {
            longestDeadlineMicros = Math.max(longestDeadlineMicros, messageClass.deadlineMicros());
            highestPriorityWeight = Math.max(highestPriorityWeight, messageClass.priorityWeight());
        }
    }

    private static void validate(Settings settings) {
        Limits limits = settings.limits();
        Rules rules = settings.rules();
        require(settings.senderCount() > 0 && !settings.classes().isEmpty(), "senders or classes");
        require(
                limits.maxConcurrentCalls() > 0 && limits.maxPendingMessages() > 0 && limits.maxAttempts() > 0,
                "limits");
        require(rules.slowStartCapacity() > 0 && rules.slowStartMicros() >= 0 && rules.overloadMultiple() > 0, "rules");
        for (MessageClass messageClass : settings.classes()) {
            require(messageClass.deadlineMicros() > 0 && messageClass.latencyObjectiveMicros() > 0, "classes");
        }
    }

    private static void require(boolean inRange, String setting) {
        if (!inRange) {
            throw new IllegalArgumentException("setting " + setting + " is out of range");
        }
    }

    Settings get() {
        return settings;
    }

    /** Returns the longest deadline of all message classes. */
    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Returns the highest priority weight of all message classes. */
    double highestPriorityWeight() {
        return highestPriorityWeight;
    }

    Limits limits() {
        return settings.limits();
    }

    Rules rules() {
        return settings.rules();
    }
}
