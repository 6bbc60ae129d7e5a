package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;

/**
 * The outcome of a message's attempts so far, as it is restored after a restart.
 *
 * @param attempts number of attempts
 * @param unknownOutcomeSinceMillis steady-clock time of the first attempt whose outcome is unknown, 0 if there is none
 * @param unknownOutcomeEndpoint uid of the endpoint of that attempt
 * @param attemptInFlight whether an attempt was in flight
 * @param lastSentAtMillis steady-clock time of the last attempt
 * @param lastEndpoint uid of the endpoint of the last attempt
 */
record AttemptHistory(
        int attempts,
        long unknownOutcomeSinceMillis,
        String unknownOutcomeEndpoint,
        boolean attemptInFlight,
        long lastSentAtMillis,
        String lastEndpoint) {

    void applyTo(AcceptedMessage message) {
        message.attempts = attempts;
        message.unknownOutcomeSinceMillis = unknownOutcomeSinceMillis;
        message.unknownOutcomeEndpoint = unknownOutcomeEndpoint;
        message.attemptInFlight = attemptInFlight;
        message.attemptSentAtMillis = lastSentAtMillis;
        message.attemptEndpoint = lastEndpoint;
    }
}
