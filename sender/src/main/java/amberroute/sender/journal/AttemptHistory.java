package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;

/**
 * What the attempts of a message have left behind.
 *
 * @param attempts number of attempts
 * @param unknownSinceMillis wall time of the first attempt whose outcome is unknown, 0 for none
 * @param unknownAt uid of the endpoint of that attempt
 * @param inFlight whether an attempt was in flight
 * @param sentAtMillis wall time of the last attempt
 * @param sentTo uid of the endpoint of the last attempt
 */
record AttemptHistory(
        int attempts, long unknownSinceMillis, String unknownAt, boolean inFlight, long sentAtMillis, String sentTo) {

    void applyTo(AcceptedMessage message) {
        message.attempts = attempts;
        message.doubtSince = unknownSinceMillis;
        message.doubtAt = unknownAt;
        message.out = inFlight;
        message.sentAt = sentAtMillis;
        message.sentTo = sentTo;
    }
}
