package amberroute.testkit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges the calls to destinations that come back from an outage by {@link SlowStartBudget}. A sender has seen an outage if a call of
 * its own came during it; of a destination that takes no connections all senders count as such, as nobody knows whose connections
 * were refused. Owned by the event loop of the stand-ins.
 */
public final class RecoveryJudge implements StubUpstreamServer.CallListener {
    /** What is known of one destination. */
    private static final class Destination {
        final SlowStartBudget budget = new SlowStartBudget();
        final Set<Integer> informedSenders = new HashSet<>();
        boolean everybodyInformed;
        boolean hadOutage;
    }

    /** What became of a destination; shares are in budgets. */
    public record Result(
            int destination, boolean ruleBroken, double peakShare, double peakInformedShare, int informedSenders) {}

    private final DeliveryHistory history;
    private final Map<Integer, Destination> destinations = new HashMap<>();

    /** {@code history} knows which sender has which message. */
    public RecoveryJudge(DeliveryHistory history) {
        this.history = history;
    }

    /** An outage of this kind begins. */
    public void outageBegins(int number, StubUpstream.Mode mode) {
        Destination destination = destination(number);
        destination.hadOutage = true;
        destination.everybodyInformed |= mode == StubUpstream.Mode.DEAD;
    }

    private Destination destination(int number) {
        return destinations.computeIfAbsent(number, any -> new Destination());
    }

    @Override
    public void onCall(StubUpstreamServer server, List<String> ids) {
        Destination destination = destination(server.destination());
        StubUpstream upstream = server.upstream();
        int sender = history.senderOf(ids.get(0));
        if (upstream.mode() != StubUpstream.Mode.UP) {
            destination.informedSenders.add(sender);
            return;
        }
        long now = TestEnvironment.micros();
        double progress = upstream.slowStartProgress(now);
        if (destination.hadOutage && progress < 1) {
            StubUpstream.Parameters parameters = upstream.parameters();
            double permittedCalls = parameters.overloadMultiple()
                    * parameters.capacity()
                    * progress
                    * parameters.overloadWindowMicros()
                    / 1e6;
            boolean informed = destination.everybodyInformed || destination.informedSenders.contains(sender);
            destination.budget.recordCall(now, informed, permittedCalls, parameters.overloadWindowMicros());
        }
    }

    /** Returns what is known of all destinations that had an outage, in the order of their numbers. */
    public List<Result> results() {
        return destinations.entrySet().stream()
                .filter(entry -> entry.getValue().hadOutage)
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> result(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static Result result(int number, Destination destination) {
        return new Result(
                number,
                destination.budget.ruleBroken(),
                destination.budget.peakShare(),
                destination.budget.peakInformedShare(),
                destination.informedSenders.size());
    }
}
