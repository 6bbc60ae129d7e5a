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
 * @param lastGiveUpMillis steady-clock time at which the last attempt is given up, 0 in records of earlier versions
 * @param lastEndpoint uid of the endpoint of the last attempt
 * @param lastByFormerOwner whether the last attempt is that of a former owner, whose process may live
 */
record AttemptHistory(
        int attempts,
        long unknownOutcomeSinceMillis,
        String unknownOutcomeEndpoint,
        boolean attemptInFlight,
        long lastSentAtMillis,
        long lastGiveUpMillis,
        String lastEndpoint,
        boolean lastByFormerOwner) {

    void applyTo(AcceptedMessage message) {
        message.attempts = attempts;
        message.unknownOutcomeSinceMillis = unknownOutcomeSinceMillis;
        message.unknownOutcomeEndpoint = unknownOutcomeEndpoint;
        message.attemptInFlight = attemptInFlight;
        message.attemptSentAtMillis = lastSentAtMillis;
        message.attemptGiveUpMillis = lastGiveUpMillis;
        message.attemptEndpoint = lastEndpoint;
        message.attemptByFormerOwner = lastByFormerOwner;
    }
}
