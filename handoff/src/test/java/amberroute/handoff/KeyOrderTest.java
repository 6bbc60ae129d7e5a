package amberroute.handoff;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Explores every reachable state of one ordered key during a handoff: an owner with messages 1 and 2, two peers
 * that may accept or refuse them, and a client that submits 3 and 4 to either peer once the owner has redirected
 * it. Messages may arrive at any later time, any number of times or never, and a sender may crash between writing a
 * record and sending a message. Messages must be delivered in order, whichever sender delivers them.
 */
class KeyOrderTest {
    /** The behavior of the senders. Each mutant has one defect, which the exploration must detect. */
    enum HostVariant {
        CORRECT,
        ACKNOWLEDGES_BEFORE_PERSISTING,
        REDIRECTS_BEFORE_ACKNOWLEDGEMENT,
        RELEASES_HOLD_AT_HANDOFF,
        APPENDS_ADOPTED_MESSAGES
    }

    private static final List<String> PEERS = List.of("A", "B");

    /**
     * {@code batch} is the owner of the first two messages: L, an offer to a peer, or a peer. {@code queues} has
     * the messages that each sender has accepted and not delivered, {@code holds} the peers that hold the key, and
     * {@code messages} all messages that were ever sent.
     */
    private record SystemState(
            String batch,
            Map<String, String> queues,
            Set<String> holds,
            Set<String> messages,
            String delivered,
            int acceptedCount,
            int rejectionCount) {

        SystemState withQueue(String daemon, String newQueue) {
            Map<String, String> changed = new TreeMap<>(queues);
            changed.put(daemon, newQueue);
            return new SystemState(batch, changed, holds, messages, delivered, acceptedCount, rejectionCount);
        }

        SystemState withBatch(String newBatch) {
            return new SystemState(newBatch, queues, holds, messages, delivered, acceptedCount, rejectionCount);
        }

        SystemState withHold(String peer, boolean held) {
            Set<String> changed = new TreeSet<>(holds);
            if (held) {
                changed.add(peer);
            } else {
                changed.remove(peer);
            }
            return new SystemState(batch, queues, changed, messages, delivered, acceptedCount, rejectionCount);
        }

        SystemState withMessage(String message) {
            Set<String> all = new TreeSet<>(messages);
            all.add(message);
            return new SystemState(batch, queues, holds, all, delivered, acceptedCount, rejectionCount);
        }
    }

    private static List<SystemState> successors(SystemState state, HostVariant host) {
        List<SystemState> successors = new ArrayList<>();
        // The owner announces the key. Each peer holds it and acknowledges, and may crash in between.
        for (String peer : PEERS) {
            successors.add(state.withMessage("HOLD " + peer));
            if (state.messages().contains("HOLD " + peer) && !state.messages().contains("over " + peer)) {
                successors.add(state.withHold(peer, true));
                successors.add(
                        host == HostVariant.ACKNOWLEDGES_BEFORE_PERSISTING
                                ? state.withMessage("HELD " + peer)
                                : state.withHold(peer, true).withMessage("HELD " + peer));
            }
            // After the release, earlier hold requests have no effect, because they arrive in order on one
            // connection.
            if (state.messages().contains("RELEASE")) {
                successors.add(state.withHold(peer, false).withMessage("over " + peer));
            }
        }
        // A client submits its messages as soon as it may.
        boolean mayRedirect = PEERS.stream().allMatch(p -> state.messages().contains("HELD " + p))
                || state.messages().contains("RELEASE")
                || host == HostVariant.REDIRECTS_BEFORE_ACKNOWLEDGEMENT;
        if (mayRedirect && state.acceptedCount() < 4) {
            for (String peer : PEERS) {
                // The client of a key stays with one peer while that peer is up.
                if (state.acceptedCount() == 2 || state.messages().contains("came " + peer)) {
                    SystemState accepted = state.withQueue(peer, state.queues().get(peer) + (state.acceptedCount() + 1))
                            .withMessage("came " + peer);
                    successors.add(new SystemState(
                            accepted.batch(),
                            accepted.queues(),
                            accepted.holds(),
                            accepted.messages(),
                            accepted.delivered(),
                            state.acceptedCount() + 1,
                            accepted.rejectionCount()));
                }
            }
        }
        // The batch is offered with its remaining messages and accepted or refused once; the reply may arrive late.
        for (String peer : PEERS) {
            if (state.batch().equals("L") && !state.queues().get("L").isEmpty() && state.rejectionCount() < 2) {
                successors.add(
                        state.withBatch("offered " + peer).withMessage("OFFER " + peer + state.rejectionCount()));
            }
            String offer = peer + state.rejectionCount();
            if (state.batch().equals("offered " + peer)
                    && state.messages().contains("OFFER " + offer)
                    && !state.messages().contains("YES " + offer)
                    && !state.messages().contains("NO " + offer)) {
                String batch = state.queues().get("L");
                String peerQueue = state.queues().get(peer);
                SystemState adopted = state.withQueue(
                                peer,
                                host == HostVariant.APPENDS_ADOPTED_MESSAGES ? peerQueue + batch : batch + peerQueue)
                        .withHold(peer, false)
                        .withMessage("YES " + offer)
                        .withMessage("over " + peer);
                successors.add(host == HostVariant.RELEASES_HOLD_AT_HANDOFF ? adopted.withMessage("RELEASE") : adopted);
                successors.add(state.withMessage("NO " + offer));
            }
            if (state.batch().equals("offered " + peer) && state.messages().contains("YES " + offer)) {
                successors.add(state.withBatch("given").withQueue("L", ""));
            }
            if (state.batch().equals("offered " + peer) && state.messages().contains("NO " + offer)) {
                successors.add(new SystemState(
                        "L",
                        state.queues(),
                        state.holds(),
                        state.messages(),
                        state.delivered(),
                        state.acceptedCount(),
                        state.rejectionCount() + 1));
            }
        }
        // A sender that may deliver delivers the first message of its queue. After message 2, the key is released
        // at all peers.
        for (String daemon : List.of("L", "A", "B")) {
            String queue = state.queues().get(daemon);
            boolean mayDeliver = daemon.equals("L")
                    ? state.batch().equals("L")
                    : !state.holds().contains(daemon);
            if (mayDeliver && !queue.isEmpty()) {
                SystemState afterDelivery = state.withQueue(daemon, queue.substring(1));
                afterDelivery = new SystemState(
                        afterDelivery.batch(),
                        afterDelivery.queues(),
                        afterDelivery.holds(),
                        afterDelivery.messages(),
                        state.delivered() + queue.charAt(0),
                        afterDelivery.acceptedCount(),
                        afterDelivery.rejectionCount());
                successors.add(queue.charAt(0) == '2' ? afterDelivery.withMessage("RELEASE") : afterDelivery);
            }
        }
        return successors;
    }

    private int stateCount;
    private boolean allDelivered;

    /** Returns the first state with messages delivered out of order, or null if there is none. */
    private String explore(HostVariant host) {
        Map<String, String> queues = new TreeMap<>(Map.of("L", "12", "A", "", "B", ""));
        SystemState initialState = new SystemState("L", queues, new TreeSet<>(), new TreeSet<>(), "", 2, 0);
        Set<SystemState> seen = new HashSet<>(Set.of(initialState));
        Deque<SystemState> unexplored = new ArrayDeque<>(seen);
        while (!unexplored.isEmpty()) {
            SystemState state = unexplored.poll();
            if (!"1234".startsWith(state.delivered())) {
                return state.toString();
            }
            allDelivered |= state.delivered().equals("1234");
            for (SystemState nextState : successors(state, host)) {
                if (seen.add(nextState)) {
                    unexplored.add(nextState);
                }
            }
        }
        stateCount = seen.size();
        return null;
    }

    @Test
    void messagesOfKeyStayInOrderThroughHandoff() {
        assertNull(explore(HostVariant.CORRECT));
        assertTrue(stateCount > 1_000, "explored only " + stateCount + " states");
        assertTrue(allDelivered, "no state with all messages delivered was reached");
    }

    @Test
    void mutantIsDetected() {
        for (HostVariant mutant : HostVariant.values()) {
            if (mutant != HostVariant.CORRECT) {
                assertNotNull(explore(mutant), mutant + " was not detected");
            }
        }
    }
}
