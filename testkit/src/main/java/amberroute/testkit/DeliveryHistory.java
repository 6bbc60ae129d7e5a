package amberroute.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a whole fleet was given and what became of it, seen from outside: every message handed in, each answer to it,
 * each effect at a partner and each notice. Not thread-safe: one thread owns it. Times are microseconds on one
 * monotonic clock. It holds what it saw of all messages, some 200 bytes each, so runs have to be bounded.
 */
public final class DeliveryHistory {
    /** How often an effect may happen. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** What is known of one message's end. */
    public enum End {
        NONE,
        DELIVERED,
        RETURNED,
        FAILED
    }

    /** How a hand-in was answered. */
    public enum Answer {
        NONE,
        TAKEN,
        REFUSED,
        ERROR,
        /** The client gave up waiting. */
        SILENT,
        /** The sender's side ended the connection behind the request and before its answer. */
        CLOSED
    }

    /** A notice may come so much behind the deadline: 300 ms, and 50 as each limit is longer on sockets. */
    public static final long NOTIFICATION_GRACE_MICROS = 350_000;

    private static final int MAX_VIOLATIONS = 50;
    /** A sender that may be stopped for 150 ms reads within this time. */
    private static final long MAX_UNREAD_MICROS = 200_000;
    /** By then all clients have seen the end of a killed process' connections, also on a busy machine. */
    private static final long KILL_SEEN_MICROS = 1_000_000;

    /** One hand-in; a message that is handed in again is another entry with the same origin. */
    public static final class Entry {
        public final String id;
        public final String origin;
        public final String className;
        public final Effect effect;
        public final long key;
        public final boolean ordered;
        public final int destination;
        public final int sender;
        public final long deadlineMicros;
        public final long latencyObjectiveMicros;
        private final long submittedAtMicros = TestEnvironment.micros();
        private long answeredAtMicros;
        Answer answer = Answer.NONE;
        End end = End.NONE;
        long completedAtMicros;
        int executions;

        Entry(
                String id,
                String origin,
                String className,
                Effect effect,
                long key,
                boolean ordered,
                int destination,
                int sender,
                long deadline,
                long aim) {
            this.id = id;
            this.origin = origin;
            this.className = className;
            this.effect = effect;
            this.key = key;
            this.ordered = ordered;
            this.destination = destination;
            this.sender = sender;
            this.deadlineMicros = deadline;
            this.latencyObjectiveMicros = aim;
        }

        public End end() {
            return end;
        }

        public Answer answer() {
            return answer;
        }

        /** When it was handed in. */
        public long submittedAtMicros() {
            return submittedAtMicros;
        }

        /** When it was answered, or its connection ended. */
        public long answeredAtMicros() {
            return answeredAtMicros;
        }

        /** How long it waited for its answer, or for the end of its connection. */
        public long unansweredMicros() {
            return answeredAtMicros - submittedAtMicros;
        }

        /** When its end was told; of a message without one 0. */
        public long completedAtMicros() {
            return completedAtMicros;
        }
    }

    /** The sums; {@code taken = delivered + returned + failed + open} is checked by {@link #totals}. */
    public record Totals(
            long submitted,
            long accepted,
            long rejected,
            long errors,
            long unanswered,
            long delivered,
            long returned,
            long failed,
            long open,
            long lost,
            long duplicateExecutions,
            long outOfOrder,
            long lateNotifications,
            long inTime,
            long unknownMessages,
            long unreportedExecutions) {

        /** Whether no rule was broken and the sums agree. */
        public boolean ok() {
            return lost == 0
                    && duplicateExecutions == 0
                    && outOfOrder == 0
                    && unknownMessages == 0
                    && open == 0
                    && accepted == delivered + returned + failed + open;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Integer> executionsByOrigin = new HashMap<>();
    /** Messages of each ordered key that are not over, in the order in which they were handed in. */
    private final Map<Long, Deque<Entry>> openByKey = new HashMap<>();
    /** Spans in which each sender was down or had just come back: notices are not overdue then. */
    private final Map<Integer, List<long[]>> outages = new HashMap<>();

    private final Map<Integer, List<Long>> kills = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    private long duplicateExecutions;
    private long outOfOrder;
    private long unknownMessages;
    private long unreportedExecutions;

    /** A message leaves for a sender. */
    public Entry submitted(Entry entry) {
        if (entries.put(entry.id, entry) != null) {
            throw new IllegalArgumentException("id handed in twice: " + entry.id);
        }
        if (entry.ordered) {
            openByKey.computeIfAbsent(entry.key, k -> new ArrayDeque<>()).add(entry);
        }
        return entry;
    }

    /** A new entry; {@code aim} and {@code deadline} are moments. */
    public Entry submitted(
            String id,
            String origin,
            String className,
            Effect effect,
            long key,
            boolean ordered,
            int destination,
            int sender,
            long deadline,
            long aim) {
        return submitted(new Entry(id, origin, className, effect, key, ordered, destination, sender, deadline, aim));
    }

    /** Returns the sender that got the message with this id, -1 if there is none. */
    public int senderOf(String id) {
        Entry entry = entries.get(id);
        return entry == null ? -1 : entry.sender;
    }

    /** The sender's answer, or that none came. */
    public void answered(Entry entry, Answer answer) {
        entry.answer = answer;
        entry.answeredAtMicros = TestEnvironment.micros();
        if (answer != Answer.TAKEN) {
            // Nobody vouches for its place in the order any more: it was refused, or its client gave it up.
            completed(entry);
        }
    }

    /** A partner carried a message out; whether it was answered comes with {@link #delivered}. */
    public void executed(long now, String id, int destination) {
        Entry entry = entries.get(id);
        if (entry == null || entry.destination != destination) {
            unknownMessages++;
            recordViolation("effect of unknown message " + id + " at destination " + destination);
            return;
        }
        entry.executions++;
        if (entry.answer == Answer.SILENT || entry.answer == Answer.CLOSED) {
            unreportedExecutions++;
        } else if (entry.answer == Answer.REFUSED || entry.answer == Answer.ERROR) {
            unknownMessages++;
            recordViolation("message " + id + " was turned away and carried out");
        }
        if (entry.end == End.RETURNED && entry.effect == Effect.UNSAFE) {
            unknownMessages++;
            recordViolation("unsafe message " + id + " was returned as never run and took effect");
        }
        int times = executionsByOrigin.merge(entry.origin, 1, Integer::sum);
        if (entry.effect != Effect.SAFE && times > 1) {
            duplicateExecutions++;
            recordViolation(
                    entry.effect + " message " + id + " of " + entry.origin + " took effect " + times + " times");
        }
        Deque<Entry> turn = entry.ordered ? openByKey.get(entry.key) : null;
        if (turn != null && turn.contains(entry) && turn.peekFirst() != entry) {
            outOfOrder++;
            recordViolation("message " + id + " of key " + Long.toHexString(entry.key) + " ran ahead of "
                    + turn.peekFirst().id);
        }
    }

    /** The partner's answer that delivers it was written. */
    public void delivered(long now, String id) {
        Entry entry = entries.get(id);
        if (entry != null && entry.end == End.NONE) {
            complete(now, entry, End.DELIVERED);
        }
    }

    /** A notice came; one for a message that is over does no harm. */
    public void notified(long now, String id, boolean returned) {
        Entry entry = entries.get(id);
        if (entry == null) {
            unknownMessages++;
            recordViolation("notice for unknown message " + id);
        } else if (entry.end == End.NONE) {
            if (returned && entry.effect == Effect.UNSAFE && entry.executions > 0) {
                unknownMessages++;
                recordViolation("unsafe message " + id + " took effect and was returned as never run");
            }
            complete(now, entry, returned ? End.RETURNED : End.FAILED);
        }
    }

    private void complete(long now, Entry entry, End end) {
        entry.end = end;
        entry.completedAtMicros = now;
        completed(entry);
    }

    private void completed(Entry entry) {
        Deque<Entry> turn = entry.ordered ? openByKey.get(entry.key) : null;
        if (turn != null) {
            turn.remove(entry);
            if (turn.isEmpty()) {
                openByKey.remove(entry.key);
            }
        }
    }

    /** A sender was stopped or died at {@code from} and was ready again at {@code to}. */
    public void senderDown(int sender, long from, long to) {
        outages.computeIfAbsent(sender, s -> new ArrayList<>()).add(new long[] {from, to + 1_500_000});
    }

    /** A sender was killed at this moment with nothing before to warn it: connections that end within a second behind it are excused. */
    public void senderKilled(int sender, long at) {
        kills.computeIfAbsent(sender, s -> new ArrayList<>()).add(at);
    }

    /**
     * The requests that a sender read and whose connection ended before their answer without a kill of their sender, at most 50. One that
     * crosses the end of its connection is not read: its client sends it once more.
     */
    public List<String> closedUnanswered() {
        return entries.values().stream()
                .filter(e -> e.answer == Answer.CLOSED && !killed(e) && !crossedClose(e))
                .limit(MAX_VIOLATIONS)
                .map(e -> e.id + " (" + e.className + " at sender " + e.sender + ") was closed on unanswered "
                        + e.unansweredMicros() + " us behind its last byte, at " + e.answeredAtMicros)
                .toList();
    }

    private static boolean crossedClose(Entry entry) {
        return entry.unansweredMicros() < MAX_UNREAD_MICROS && entry.executions == 0 && entry.end == End.NONE;
    }

    private boolean killed(Entry entry) {
        return kills.getOrDefault(entry.sender, List.of()).stream()
                .anyMatch(at -> entry.answeredAtMicros >= at && entry.answeredAtMicros < at + KILL_SEEN_MICROS);
    }

    /** When a message's end is overdue at the latest. */
    private long notificationDueMicros(Entry entry) {
        long due = entry.deadlineMicros + NOTIFICATION_GRACE_MICROS;
        for (long[] span : outages.getOrDefault(entry.sender, List.of())) {
            if (due >= span[0] && due < span[1]) {
                due = span[1];
            }
        }
        return due;
    }

    /** The time to be told that a message is taken on, in microseconds, that this share of them had at most; 0 for none. */
    public long acceptLatencyPercentile(double share) {
        return acceptLatencyPercentile(share, Long.MIN_VALUE);
    }

    /** The same of those that were handed in from a moment on. */
    public long acceptLatencyPercentile(double share, long since) {
        long[] times = entries.values().stream()
                .filter(e -> e.answer == Answer.TAKEN && e.submittedAtMicros >= since)
                .mapToLong(e -> e.answeredAtMicros - e.submittedAtMicros)
                .sorted()
                .toArray();
        return times.length == 0 ? 0 : times[(int) Math.min(times.length - 1, times.length * share)];
    }

    /** All hand-ins, in no order. */
    public List<Entry> all() {
        return List.copyOf(entries.values());
    }

    /** Messages taken on that were handed in from a moment on. */
    public long acceptedSince(long since) {
        return entries.values().stream()
                .filter(e -> e.answer == Answer.TAKEN && e.submittedAtMicros >= since)
                .count();
    }

    /** Messages taken on whose end is still owed. */
    public long open() {
        return entries.values().stream()
                .filter(e -> e.answer == Answer.TAKEN && e.end == End.NONE)
                .count();
    }

    /** All sums at this moment; what is open past its time counts as lost as well. */
    public Totals totals(long now) {
        long[] n = new long[12];
        for (Entry e : entries.values()) {
            switch (e.answer) {
                case TAKEN -> n[0]++;
                case REFUSED -> n[1]++;
                case ERROR -> n[2]++;
                case SILENT, CLOSED -> n[3]++;
                default -> {}
            }
            if (e.answer != Answer.TAKEN) {
                continue;
            }
            switch (e.end) {
                case DELIVERED -> {
                    n[4]++;
                    n[9] += e.completedAtMicros <= e.latencyObjectiveMicros ? 1 : 0;
                }
                case RETURNED -> n[5]++;
                case FAILED -> n[6]++;
                default -> n[7]++;
            }
            if (e.end == End.NONE && now > notificationDueMicros(e)) {
                n[8]++;
            } else if ((e.end == End.RETURNED || e.end == End.FAILED)
                    && e.completedAtMicros > notificationDueMicros(e)) {
                n[10]++;
            }
        }
        return new Totals(
                entries.size(),
                n[0],
                n[1],
                n[2],
                n[3],
                n[4],
                n[5],
                n[6],
                n[7],
                n[8],
                duplicateExecutions,
                outOfOrder,
                n[10],
                n[9],
                unknownMessages,
                unreportedExecutions);
    }

    /** Of the messages with their aim in this span, the share that was delivered within it; 1 where there are none. */
    public double shareInTime(long from, long to) {
        long all = 0;
        long good = 0;
        for (Entry e : entries.values()) {
            if (e.latencyObjectiveMicros >= from && e.latencyObjectiveMicros < to) {
                all++;
                good += e.end == End.DELIVERED && e.completedAtMicros <= e.latencyObjectiveMicros ? 1 : 0;
            }
        }
        return all == 0 ? 1 : (double) good / all;
    }

    /** The ids of messages that were taken on and are open past their time, at most 50. */
    public List<String> lost(long now) {
        return entries.values().stream()
                .filter(e -> e.answer == Answer.TAKEN && e.end == End.NONE && now > notificationDueMicros(e))
                .limit(MAX_VIOLATIONS)
                .map(e -> e.id + " (" + e.className + " at sender " + e.sender + ")")
                .toList();
    }

    /** Messages whose notice came too late, at most 50, and by how many milliseconds. */
    public List<String> late() {
        return entries.values().stream()
                .filter(e -> e.answer == Answer.TAKEN
                        && (e.end == End.RETURNED || e.end == End.FAILED)
                        && e.completedAtMicros > notificationDueMicros(e))
                .limit(MAX_VIOLATIONS)
                .map(e -> e.id + " (" + e.className + " at sender " + e.sender + ", due "
                        + notificationDueMicros(e) / 1_000 + ", "
                        + (e.completedAtMicros - notificationDueMicros(e)) / 1_000 + " ms late)")
                .toList();
    }

    /** What was wrong, the first 50 in words. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    private void recordViolation(String text) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(text);
        }
    }
}
