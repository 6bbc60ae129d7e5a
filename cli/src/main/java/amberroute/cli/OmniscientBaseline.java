package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a fleet served of the worth that it was asked for, and what one modelled sender would have that has all messages before it from
 * the moment on which their clients first came, and whose every call is answered at once: at each moment at which a destination can
 * take one it gets the message worth most then. Late messages are worth half, as the stage's classes say. Not a proven bound: it
 * does not look ahead; but no sender knows more than it does.
 */
final class OmniscientBaseline {
    private static final Map<String, Double> WEIGHT_BY_CLASS =
            Map.of("quote-status", 2.0, "policy-order", 1.0, "premium-charge", 4.0);
    private static final double LATE_VALUE_SHARE = 0.5;

    /** One message over all its hand-ins; times in microseconds, {@code doneAt} 0 where it was not delivered. */
    record Message(
            double priorityWeight,
            int destination,
            long from,
            long latencyObjectiveMicros,
            long deadlineMicros,
            long doneAt) {
        double valueAt(long at) {
            return at <= latencyObjectiveMicros
                    ? priorityWeight
                    : at <= deadlineMicros ? LATE_VALUE_SHARE * priorityWeight : 0;
        }
    }

    private OmniscientBaseline() {}

    /** The messages whose clients first came within a span. */
    static List<Message> messages(List<DeliveryHistory.Entry> entries, long from, long to) {
        Map<String, List<DeliveryHistory.Entry>> byOrigin = new HashMap<>();
        entries.forEach(
                e -> byOrigin.computeIfAbsent(e.origin, o -> new ArrayList<>()).add(e));
        List<Message> out = new ArrayList<>();
        for (List<DeliveryHistory.Entry> tries : byOrigin.values()) {
            DeliveryHistory.Entry one = tries.get(0);
            long first = tries.stream()
                    .mapToLong(DeliveryHistory.Entry::submittedAtMicros)
                    .min()
                    .orElse(0);
            long done = tries.stream()
                    .filter(e -> e.end() == DeliveryHistory.End.DELIVERED)
                    .mapToLong(DeliveryHistory.Entry::completedAtMicros)
                    .min()
                    .orElse(0);
            if (first >= from && first < to) {
                out.add(new Message(
                        WEIGHT_BY_CLASS.get(one.className),
                        one.destination,
                        first,
                        one.latencyObjectiveMicros,
                        one.deadlineMicros,
                        done));
            }
        }
        return out;
    }

    static double served(List<Message> messages) {
        return messages.stream()
                .mapToDouble(m -> m.doneAt() == 0 ? 0 : m.valueAt(m.doneAt()))
                .sum();
    }

    /** With so many calls a second at each destination, where every call carries one message. */
    static double best(List<Message> messages, double perSecond) {
        Map<Integer, List<Message>> byDestination = new HashMap<>();
        messages.forEach(m -> byDestination
                .computeIfAbsent(m.destination(), d -> new ArrayList<>())
                .add(m));
        return byDestination.values().stream()
                .mapToDouble(all -> bestAt(all, perSecond))
                .sum();
    }

    private static double bestAt(List<Message> all, double perSecond) {
        all.sort(Comparator.comparingLong(Message::from));
        List<Message> waiting = new ArrayList<>();
        int next = 0;
        double sum = 0;
        long step = (long) (1e6 / perSecond);
        for (long now = all.get(0).from(); next < all.size() || !waiting.isEmpty(); now += step) {
            while (next < all.size() && all.get(next).from() <= now) {
                waiting.add(all.get(next++));
            }
            long at = now;
            waiting.removeIf(m -> m.deadlineMicros() < at);
            Message best = waiting.stream()
                    .max(Comparator.comparingDouble((Message m) -> m.valueAt(at))
                            .thenComparing(m -> -m.latencyObjectiveMicros()))
                    .orElse(null);
            if (best != null) {
                waiting.remove(best);
                sum += best.valueAt(now);
            }
        }
        return sum;
    }
}
