package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;

/**
 * What the attempts of a message have left behind.
 *
 * @param attempts number of attempts
 * @param unknownOutcomeSinceMillis time of the steady clock of the first attempt whose outcome is unknown, 0 for none
 * @param unknownOutcomeEndpoint uid of the endpoint of that attempt
 * @param attemptInFlight whether an attempt was in flight
 * @param lastSentAtMillis time of the steady clock of the last attempt
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
