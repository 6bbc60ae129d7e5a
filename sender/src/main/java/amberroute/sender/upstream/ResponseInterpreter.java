package amberroute.sender.upstream;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.util.LogEvent;
import amberroute.sender.util.StrictNumbers;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads what a response says of each message of its call, of the endpoint's load and of the wait that it asks for. Maps the platform's
 * status codes and words to {@link AttemptOutcome}. Not safe for use by several threads.
 */
final class ResponseInterpreter {
    private static final String LOAD_REPORT = "X-Server-Load";
    /** A 503 with {@value #NO_SLOT} in this header is no sign of the endpoint's load: the attempt counts as not made. */
    private static final String SLOTS_TAKEN = "Slots-Taken";

    private static final String NO_SLOT = "1";
    private static final double MAX_RETRY_AFTER_SECONDS = 3_600;
    private static final double MICROS_PER_SECOND = 1e6;

    /** What a message's part of a response says; {@code completed} where the message has its end at the destination. */
    record MessageOutcome(AttemptOutcome outcome, boolean completed) {}

    /**
     * What a response says.
     *
     * @param retryAfterMicros the wait that the endpoint asks for, 0 for none
     * @param loadReport the reported values in the order of the settings, empty for none
     * @param messages one outcome for each message of the call, in its order
     */
    record CallOutcome(long retryAfterMicros, List<Double> loadReport, List<MessageOutcome> messages) {
        /** Returns whether the endpoint rejected each message. */
        boolean rejected() {
            return messages.stream().allMatch(message -> message.outcome() == AttemptOutcome.FULL);
        }
    }

    private List<String> reportNames;

    /** Reads load reports with values of these names. */
    ResponseInterpreter(List<String> reportNames) {
        this.reportNames = reportNames;
    }

    /** Sets the names of the values of a load report. */
    void setReportNames(List<String> names) {
        reportNames = names;
    }

    /**
     * Interprets a response. One that is incomplete or malformed says no more than that the call may have run, unless its status line
     * delivers the only message of the call.
     */
    CallOutcome interpret(UpstreamCall call, ResponseReader.Response response) {
        boolean delivered = response.status() == 200;
        if (!response.whole()) {
            boolean deliveredAlone = delivered && !call.isBatch();
            MessageOutcome outcome =
                    new MessageOutcome(deliveredAlone ? AttemptOutcome.OK : AttemptOutcome.RESET, deliveredAlone);
            return new CallOutcome(0, List.of(), Collections.nCopies(call.items.size(), outcome));
        }
        List<MessageOutcome> outcomes = delivered && call.isBatch()
                ? batchOutcomes(call, response.body())
                : Collections.nCopies(call.items.size(), statusOutcome(call, response));
        return new CallOutcome(
                retryAfterMicros(response.headers().get(HttpHeaderNames.RETRY_AFTER)),
                loadReport(response.headers().get(LOAD_REPORT)),
                outcomes);
    }

    private static MessageOutcome statusOutcome(UpstreamCall call, ResponseReader.Response response) {
        int status = response.status();
        AttemptOutcome outcome =
                switch (status) {
                    case 200 -> AttemptOutcome.OK;
                    case 429, 413 -> AttemptOutcome.FULL;
                    case 503 -> NO_SLOT.equals(response.headers().get(SLOTS_TAKEN))
                            ? AttemptOutcome.MOOT
                            : AttemptOutcome.FULL;
                    case 504, 410 -> AttemptOutcome.MOOT;
                    default -> AttemptOutcome.ERROR;
                };
        if (outcome == AttemptOutcome.ERROR && status != 500 || status == 413) {
            LogEvent.of("upstream_status_unexpected")
                    .with("address", call.route.address())
                    .with("status", status)
                    .warn();
        }
        return new MessageOutcome(outcome, status == 200 || status == 410);
    }

    /** All messages may have run where the body does not give a known result for each message exactly once. */
    private static List<MessageOutcome> batchOutcomes(UpstreamCall call, String body) {
        Map<String, String> results = resultsById(body);
        List<MessageOutcome> outcomes = new ArrayList<>();
        for (UpstreamClient.CallMessage item : call.items) {
            MessageOutcome outcome = resultOutcome(results.getOrDefault(item.message().id, ""));
            if (outcome.outcome() == AttemptOutcome.RESET) {
                return Collections.nCopies(call.items.size(), outcome);
            }
            outcomes.add(outcome);
        }
        return outcomes;
    }

    /** The result of each id, empty where an id stands twice: the response is malformed. */
    private static Map<String, String> resultsById(String body) {
        Map<String, String> results = new HashMap<>();
        for (String line : body.split("\r?\n")) {
            int space = line.indexOf(' ');
            if (space > 0) {
                String id = line.substring(0, space);
                String result = line.substring(space + 1).strip();
                if (results.put(id, result) != null) {
                    return Map.of();
                }
            }
        }
        return results;
    }

    private static MessageOutcome resultOutcome(String result) {
        return switch (result) {
            case "delivered" -> new MessageOutcome(AttemptOutcome.OK, true);
            case "failed" -> new MessageOutcome(AttemptOutcome.ERROR, false);
            case "refused" -> new MessageOutcome(AttemptOutcome.FULL, false);
            case "over" -> new MessageOutcome(AttemptOutcome.MOOT, true);
            case "spent" -> new MessageOutcome(AttemptOutcome.MOOT, false);
            default -> new MessageOutcome(AttemptOutcome.RESET, false);
        };
    }

    private static long retryAfterMicros(String seconds) {
        double value = seconds == null ? 0 : StrictNumbers.parse(seconds.strip());
        return value > 0 && value < MAX_RETRY_AFTER_SECONDS ? (long) Math.ceil(value * MICROS_PER_SECOND) : 0;
    }

    /** Empty where the header is absent or malformed. */
    private List<Double> loadReport(String header) {
        if (header == null) {
            return List.of();
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : header.split(",")) {
            int equals = pair.indexOf('=');
            double value = StrictNumbers.parse(pair.substring(equals + 1).strip());
            if (equals < 0 || value < 0) {
                return List.of();
            }
            values.put(pair.substring(0, equals).strip(), value);
        }
        return reportNames.stream().map(name -> values.getOrDefault(name, 0.0)).toList();
    }
}
