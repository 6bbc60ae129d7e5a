package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.client.ClientServer;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.HeapReserve;
import amberroute.sender.lifecycle.IncomingTransfer;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes what the predecessor process reports after it transferred the ownership to this one: outcomes of its calls, and
 * submissions of its clients. Event loop only.
 */
final class PredecessorEvents implements IncomingTransfer.Host {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long IDLE_TIME_UNKNOWN = -1;

    private final StateFolder folder;
    private final MessageTable messages;
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final OutcomeProcessor outcomes;
    private final ClientServer.Acceptor submissions;
    private final Runnable onPredecessorGone;

    /** {@code onPredecessorGone} is run on the event loop when the predecessor has ended. */
    PredecessorEvents(SenderState state, DeliveryComponents delivery, Runnable onPredecessorGone) {
        this.onPredecessorGone = onPredecessorGone;
        folder = state.folder();
        messages = state.messages();
        endpoints = delivery.endpoints;
        upstream = delivery.upstream;
        outcomes = delivery.outcomes;
        submissions = delivery.submissions;
    }

    @Override
    public void outcome(long number, String endpointUid, AttemptOutcome attemptOutcome, JsonObject report) {
        AcceptedMessage message = messages.accepted().get(number);
        if (message != null) {
            outcomes.process(
                    report == null
                            ? lostResult(message, attemptOutcome)
                            : reportedResult(message, endpointUid, attemptOutcome, report));
        }
    }

    /** The result of a call whose outcome was lost with the predecessor process. */
    private UpstreamClient.Result lostResult(AcceptedMessage message, AttemptOutcome attemptOutcome) {
        return new UpstreamClient.Result(
                message,
                message.attempts - 1,
                endpoints.number(message.attemptEndpoint),
                attemptOutcome,
                Math.max(0, folder.steadyMillis() - message.attemptSentAtMillis) * MICROS_PER_MILLI,
                false,
                0,
                List.of(),
                IDLE_TIME_UNKNOWN);
    }

    private UpstreamClient.Result reportedResult(
            AcceptedMessage message, String endpointUid, AttemptOutcome attemptOutcome, JsonObject report) {
        long endpoint = endpoints.number(endpointUid);
        long retryAfterMicros = report.get("wait").getAsLong();
        UpstreamClient.Route route = endpoints.route(endpoint);
        if (retryAfterMicros > 0 && route != null) {
            upstream.preventWrites(otherRoute -> otherRoute.waitGroup().equals(route.waitGroup()));
        }
        List<Double> loadReport = new ArrayList<>();
        report.getAsJsonArray("report").forEach(value -> loadReport.add(value.getAsDouble()));
        return new UpstreamClient.Result(
                message,
                message.attempts - 1,
                endpoint,
                attemptOutcome,
                report.get("took").getAsLong(),
                report.get("closed").getAsBoolean(),
                retryAfterMicros,
                loadReport,
                report.get("idle").getAsLong());
    }

    @Override
    public void submitted(ClientServer.Submission submission, ClientServer.Answer answer) {
        submissions.submitted(submission, answer);
    }

    @Override
    public void predecessorGone() {
        // Both processes share one memory limit, so only now is there room for the whole heap.
        new Thread(HeapReserve::commit, "heap").start();
        onPredecessorGone.run();
    }
}
