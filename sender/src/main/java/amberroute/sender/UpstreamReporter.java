package amberroute.sender;

import amberroute.decisions.UpstreamObservation;
import amberroute.decisions.UpstreamStateChange;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import java.util.Locale;
import java.util.function.LongFunction;

/** Tells operators in the log and in the metrics how the state of an upstream has changed and why. Event loop only. */
final class UpstreamReporter {
    private static final long MICROS_PER_MILLI = 1_000;

    private final SenderMetrics metrics;
    private final LongFunction<String> endpointUids;

    /** {@code endpointUids} returns the uid of a listed endpoint. */
    UpstreamReporter(SenderMetrics metrics, LongFunction<String> endpointUids) {
        this.metrics = metrics;
        this.endpointUids = endpointUids;
    }

    void onStateChanged(UpstreamStateChange change) {
        metrics.upstreamStateChanged(change.destination(), change.endpoint(), change.to());
        LogEvent event = LogEvent.of("upstream_state_changed").with("destination", change.destination());
        if (change.endpoint() != 0) {
            event.with("endpoint", endpointUids.apply(change.endpoint()));
        }
        event.with("from", name(change.from()))
                .with("to", name(change.to()))
                .with("reason", name(change.reason()))
                .with("after_ms", change.previousMicros() / MICROS_PER_MILLI)
                .with("sent", change.previousCalls().sent())
                .with("answered", change.previousCalls().answered())
                .with("rejected", change.previousCalls().rejected())
                .with("failed", change.previousCalls().failed());
        if (change.sinceSuccessMicros() >= 0) {
            event.with("answered_ms_ago", change.sinceSuccessMicros() / MICROS_PER_MILLI);
        }
        event.with("served_per_second", decimals(change.servedPerSecond()))
                .with("start_per_second", decimals(change.callsPerSecond()))
                .warn();
    }

    /** {@code message} is the one of the call, null if it has its end by now. */
    void onObserved(UpstreamObservation observation, AcceptedMessage message) {
        LogEvent event = LogEvent.of("upstream_observed").with("destination", observation.destination());
        if (observation.endpoint() != 0) {
            event.with("endpoint", endpointUids.apply(observation.endpoint()));
        }
        event.with("kind", name(observation.kind()));
        if (message != null) {
            event.with("id", message.id).with("attempts", message.attempts);
        }
        if (observation.sinceSuccessMicros() >= 0) {
            event.with("answered_ms_ago", observation.sinceSuccessMicros() / MICROS_PER_MILLI);
        }
        event.warn();
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static String decimals(double rate) {
        return String.format(Locale.ROOT, "%.3f", rate);
    }
}
