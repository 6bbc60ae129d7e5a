package amberroute.handoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.handoff.Ownership.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Explores every reachable state of the handoff protocol at small sizes. A message that was ever sent may arrive at
 * any later time, any number of times or never, which covers loss, delay, duplication and reordering. A process may
 * crash between any two effects: records that were written stay, and later messages are not sent. A sender keeps no
 * state but its records, so a restart needs no step of its own.
 */
class ExplorationTest {
    /** The behavior of the senders. Each mutant has one defect, which the exploration must detect. */
    enum HostVariant {
        CORRECT,
        REPLIES_BEFORE_PERSISTING,
        OFFERS_BEFORE_PERSISTING,
        LOSES_REJECTIONS,
        IGNORES_GENERATIONS,
        RECLAIMS_WITHOUT_REPLY
    }

    private record SentMessage(String from, String to, HandoffMessage message) implements Comparable<SentMessage> {
        @Override
        public int compareTo(SentMessage other) {
            return toString().compareTo(other.toString());
        }
    }

    /** The records by sender and batch, and all messages that were ever sent. */
    private record SystemState(Map<String, Ownership> records, Set<SentMessage> sent) {
        Ownership ownership(String daemon, String batch) {
            return records.getOrDefault(daemon + batch, Ownership.NONE);
        }

        SystemState withEffects(String daemon, List<HandoffEffect> effects, int effectCount) {
            Map<String, Ownership> changed = new TreeMap<>(records);
            Set<SentMessage> messages = new TreeSet<>(sent);
            for (HandoffEffect effect : effects.subList(0, effectCount)) {
                if (effect instanceof HandoffEffect.PersistOwnership persist) {
                    changed.put(daemon + persist.batchId(), persist.ownership());
                } else if (effect instanceof HandoffEffect.SendMessage send) {
                    messages.add(new SentMessage(daemon, send.recipient(), send.message()));
                }
            }
            return new SystemState(changed, messages);
        }
    }

    /** One exploration of all states for a number of senders, batches and generations. */
    private static final class Exploration {
        private final HostVariant host;
        private final List<String> daemons;
        private final List<String> batches;
        private final long maxGenerations;
        private int stateCount;

        Exploration(HostVariant host, int daemonCount, int batchCount, long maxGenerations) {
            this.host = host;
            this.daemons = List.of("A", "B", "C").subList(0, daemonCount);
            this.batches = List.of("1", "2", "3").subList(0, batchCount);
            this.maxGenerations = maxGenerations;
        }

        /** Returns all states that one step leads to: each possible step, interrupted after each of its effects. */
        private List<SystemState> successors(SystemState state) {
            List<SystemState> successors = new ArrayList<>();
            for (String batch : batches) {
                for (String daemon : daemons) {
                    Ownership ownership = state.ownership(daemon, batch);
                    for (String peer : daemons) {
                        if (!peer.equals(daemon) && ownership.generation() < maxGenerations) {
                            addPrefixes(
                                    successors,
                                    state,
                                    daemon,
                                    reorderIfMutant(
                                            ownership.offer(batch, peer), HostVariant.OFFERS_BEFORE_PERSISTING));
                        }
                    }
                    addPrefixes(successors, state, daemon, ownership.requestReply(batch, true));
                    if (host == HostVariant.RECLAIMS_WITHOUT_REPLY && ownership.status() == Status.OFFERED) {
                        addPrefixes(
                                successors,
                                state,
                                daemon,
                                List.of(new HandoffEffect.PersistOwnership(
                                        batch, new Ownership(ownership.generation(), Status.OWNED, ""))));
                    }
                }
            }
            for (SentMessage sentMessage : state.sent()) {
                Ownership ownership =
                        state.ownership(sentMessage.to(), sentMessage.message().batchId());
                HandoffMessage message = sentMessage.message();
                if (message.isForSuccessor()) {
                    for (boolean willing : new boolean[] {true, false}) {
                        List<HandoffEffect> effects =
                                ownership.onOffer(message.batchId(), sentMessage.from(), message, willing);
                        if (host == HostVariant.LOSES_REJECTIONS) {
                            effects = effects.stream()
                                    .filter(effect -> !(effect instanceof HandoffEffect.PersistOwnership persist
                                            && persist.ownership().status() == Status.REFUSED))
                                    .toList();
                        }
                        addPrefixes(
                                successors,
                                state,
                                sentMessage.to(),
                                reorderIfMutant(effects, HostVariant.REPLIES_BEFORE_PERSISTING));
                    }
                } else {
                    HandoffMessage reply = host == HostVariant.IGNORES_GENERATIONS
                            ? new HandoffMessage(message.kind(), message.batchId(), ownership.generation())
                            : message;
                    addPrefixes(
                            successors,
                            state,
                            sentMessage.to(),
                            ownership.onReply(message.batchId(), sentMessage.from(), reply));
                }
            }
            return successors;
        }

        /** Reverses the order of effects for a mutant. */
        private List<HandoffEffect> reorderIfMutant(List<HandoffEffect> effects, HostVariant mutant) {
            if (host != mutant) {
                return effects;
            }
            List<HandoffEffect> reversed = new ArrayList<>(effects);
            java.util.Collections.reverse(reversed);
            return reversed;
        }

        private static void addPrefixes(
                List<SystemState> successors, SystemState state, String daemon, List<HandoffEffect> effects) {
            for (int effectCount = 1; effectCount <= effects.size(); effectCount++) {
                successors.add(state.withEffects(daemon, effects, effectCount));
            }
        }

        /** Returns the violated invariant, or null if all hold. */
        private String findInvariantViolation(SystemState state) {
            for (String batch : batches) {
                List<String> owners = daemons.stream()
                        .filter(d -> state.ownership(d, batch).isOwned())
                        .toList();
                if (owners.size() > 1) {
                    return "two owners of batch " + batch + ": " + owners;
                }
                if (owners.isEmpty()) {
                    // An offer must be open: its successor has not decided yet, or has accepted it.
                    boolean offerIsPending = daemons.stream()
                            .anyMatch(d -> state.ownership(d, batch).status() == Status.OFFERED);
                    if (!offerIsPending) {
                        return "no sender owns batch " + batch;
                    }
                }
                for (String daemon : daemons) {
                    Ownership ownership = state.ownership(daemon, batch);
                    if (ownership.status() == Status.GIVEN
                            && state.ownership(ownership.peer(), batch).generation() < ownership.generation()) {
                        return daemon + " gave batch " + batch + " to " + ownership.peer()
                                + ", which never accepted it";
                    }
                }
            }
            return null;
        }

        /** Checks that a sender with an offered batch learns who owns it once its withdrawal and the reply arrive. */
        private String findDeadlock(SystemState state) {
            for (String batch : batches) {
                for (String daemon : daemons) {
                    Ownership ownership = state.ownership(daemon, batch);
                    if (ownership.status() != Status.OFFERED) {
                        continue;
                    }
                    HandoffMessage cancel =
                            new HandoffMessage(HandoffMessage.Kind.CANCEL, batch, ownership.generation());
                    List<HandoffEffect> successor =
                            state.ownership(ownership.peer(), batch).onOffer(batch, daemon, cancel, false);
                    HandoffEffect.SendMessage answer = (HandoffEffect.SendMessage) successor.get(successor.size() - 1);
                    if (ownership
                            .onReply(batch, ownership.peer(), answer.message())
                            .isEmpty()) {
                        return daemon + " never learns whose batch " + batch + " is";
                    }
                }
            }
            return null;
        }

        /** Returns null if the invariants hold in every reachable state, otherwise the first violation. */
        private String explore() {
            Map<String, Ownership> initialRecords = new TreeMap<>();
            for (int i = 0; i < batches.size(); i++) {
                initialRecords.put(daemons.get(i % daemons.size()) + batches.get(i), Ownership.initial());
            }
            SystemState initialState = new SystemState(initialRecords, new TreeSet<>());
            Set<SystemState> seen = new HashSet<>(Set.of(initialState));
            Deque<SystemState> unexplored = new ArrayDeque<>(seen);
            while (!unexplored.isEmpty()) {
                SystemState state = unexplored.removeFirst();
                String violation = findInvariantViolation(state);
                if (violation == null && host == HostVariant.CORRECT) {
                    violation = findDeadlock(state);
                }
                if (violation != null) {
                    return violation + " in " + state;
                }
                for (SystemState nextState : successors(state)) {
                    if (seen.add(nextState)) {
                        unexplored.add(nextState);
                    }
                }
            }
            stateCount = seen.size();
            return null;
        }
    }

    private static void assertInvariantsHold(int daemons, int batches, long generations, int minimumStates) {
        Exploration exploration = new Exploration(HostVariant.CORRECT, daemons, batches, generations);
        assertNull(exploration.explore());
        System.out.println(daemons + " daemons, " + batches + " batches, " + generations + " generations: "
                + exploration.stateCount + " states");
        assertTrue(exploration.stateCount >= minimumStates, "explored only " + exploration.stateCount);
    }

    /** Covers chains of handoffs, there and back again, rejections and withdrawals among three senders. */
    @Test
    void oneBatchAmongThreeDaemonsHasOneOwner() {
        assertInvariantsHold(3, 1, 4, 1_000);
    }

    @Test
    void oneBatchBetweenTwoDaemonsHasOneOwnerOverLongChains() {
        assertInvariantsHold(2, 1, 5, 500);
    }

    /** Covers two senders that offer their batches to each other, with a third batch in addition. */
    @Test
    void threeBatchesBetweenTwoDaemonsHaveOneOwnerEach() {
        assertInvariantsHold(2, 3, 2, 1_000);
    }

    @Test
    void replyToAnotherOfferIsIgnored() {
        Ownership offered = new Ownership(2, Status.OFFERED, "B");
        assertEquals(List.of(), offered.onReply("1", "C", new HandoffMessage(HandoffMessage.Kind.YES, "1", 2)));
        assertEquals(List.of(), offered.onReply("1", "B", new HandoffMessage(HandoffMessage.Kind.YES, "1", 1)));
        assertEquals(List.of(), offered.onReply("1", "B", new HandoffMessage(HandoffMessage.Kind.OFFER, "1", 2)));
        assertEquals(List.of(), offered.offer("1", "C"));
        assertEquals(1, offered.expire("1").size());
        assertEquals(List.of(), new Ownership(2, Status.GIVEN, "B").expire("1"));
    }

    @Test
    void mutantIsDetected() {
        for (HostVariant mutant : HostVariant.values()) {
            if (mutant != HostVariant.CORRECT) {
                String violation = new Exploration(mutant, 3, 1, 4).explore();
                assertTrue(violation != null, mutant + " was not detected");
                System.out.println(mutant + ": " + violation.substring(0, Math.min(90, violation.length())));
            }
        }
    }
}
