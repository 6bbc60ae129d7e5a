package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;

/**
 * What the attempts of a message have left behind.
 *
 * @param attempts number of attempts
 * @param unknownSinceMillis time of the steady clock of the first attempt whose outcome is unknown, 0 for none
 * @param unknownAt uid of the endpoint of that attempt
 * @param inFlight whether an attempt was in flight
 * @param sentAtMillis time of the steady clock of the last attempt
 * @param sentTo uid of the endpoint of the last attempt
 */
record AttemptHistory(
        int attempts, long unknownSinceMillis, String unknownAt, boolean inFlight, long sentAtMillis, String sentTo) {

    void applyTo(AcceptedMessage message) {
        message.attempts = attempts;
        message.unknownOutcomeSinceMillis = unknownSinceMillis;
        message.unknownOutcomeEndpoint = unknownAt;
        message.attemptInFlight = inFlight;
        message.attemptSentAtMillis = sentAtMillis;
        message.attemptEndpoint = sentTo;
    }
}
