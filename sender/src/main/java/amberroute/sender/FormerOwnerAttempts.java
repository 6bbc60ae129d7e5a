package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Attempts of a former owner of the messages that cannot be observed here. Its process may live, frozen or cut off from its peers, with the
 * call on an open connection, and a message must not have two attempts in flight. The scheduler takes each for a call in flight until the
 * former owner gives it up, and for a cancelled one then. Event loop only; times are milliseconds of the folder's {@code SteadyClock}.
 */
final class FormerOwnerAttempts {
    /** How long after the give-up time a former owner may take to close the connection. */
    private static final long CLOSE_MARGIN_MILLIS = 250;

    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLoop loop;
    private final StateFolder folder;
    private final LifecycleState lifecycle;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final EndpointWatch endpoints;
    private final OutcomeProcessor outcomes;

    FormerOwnerAttempts(
            SenderState state, SchedulerDriver scheduler, EndpointWatch endpoints, OutcomeProcessor outcomes) {
        loop = state.loop();
        folder = state.folder();
        lifecycle = state.lifecycle();
        messages = state.messages();
        this.scheduler = scheduler;
        this.endpoints = endpoints;
        this.outcomes = outcomes;
    }

    /**
     * Whether something has to wait for the message's last attempt, by a former owner, as it may still be in flight: a further attempt, or the
     * next message of its key.
     */
    boolean mayBeInFlight(AcceptedMessage message) {
        return message.attemptByFormerOwner
                && message.attemptInFlight
                && (messages.isRetrySafe(message) || messages.isOrdered(message))
                && millisLeft(message) > 0;
    }

    private long millisLeft(AcceptedMessage message) {
        return message.attemptEndMillis() + CLOSE_MARGIN_MILLIS - folder.steadyMillis();
    }

    /** Follows the last attempt of a message that the scheduler has just been told of, with the attempts before. */
    void follow(AcceptedMessage message) {
        long endpoint = endpoints.number(message.attemptEndpoint);
        boolean unlisted = endpoints.hasLeft(endpoint);
        if (unlisted) {
            submitUnlisted(message, EndpointState.DRAINING);
        }
        long sentAgoMillis = Math.max(0, folder.steadyMillis() - message.attemptSentAtMillis);
        scheduler.submit(new Event.CallInFlight(List.of(message.number), endpoint, sentAgoMillis * MICROS_PER_MILLI));
        if (unlisted) {
            // Counts until the call has ended.
            submitUnlisted(message, EndpointState.GONE);
        }
        int attempt = message.attempts - 1;
        loop.schedule(() -> giveUp(message, attempt, endpoint), millisLeft(message), TimeUnit.MILLISECONDS);
    }

    private void submitUnlisted(AcceptedMessage message, EndpointState state) {
        scheduler.submit(new Event.EndpointListUpdated(
                EndpointListKind.DELTA,
                List.of(endpoints.unlistedEntry(message.attemptEndpoint, message.destination, state))));
    }

    private void giveUp(AcceptedMessage message, int attempt, long endpoint) {
        AcceptedMessage current = messages.accepted().get(message.number);
        // Read from the journal again, as after a reclaim, it is followed anew.
        boolean readAgain = current != null && current != message;
        if (lifecycle.ownershipReleased() || readAgain || message.attempts - 1 != attempt) {
            return;
        }
        outcomes.process(new UpstreamClient.Result(
                message,
                attempt,
                endpoint,
                AttemptOutcome.CANCELLED,
                Math.max(0, folder.steadyMillis() - message.attemptSentAtMillis) * MICROS_PER_MILLI,
                false,
                0,
                List.of(),
                0));
    }
}
