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
 * Every reachable state of one ordered key through a move: an owner with messages 1 and 2, two peers that may take them or
 * refuse, and a client that comes with 3 and 4 when the owner has sent it away, to whichever peer it likes. Messages may
 * arrive at any later moment, any number of times or never; a daemon may die between writing and saying. What is carried
 * out has to be in order, by whomever.
 */
class KeyOrderTest {
    /** A host as it should be, and hosts with one defect each, which the exploration has to find. */
    enum Host {
        RIGHT,
        ACKNOWLEDGES_BEFORE_WRITING,
        REDIRECTS_AT_ONCE,
        RELEASES_WHAT_IS_HANDED_OFF,
        QUEUES_BEHIND_NEW_MESSAGES
    }

    private static final List<String> PEERS = List.of("A", "B");

    /**
     * {@code batch} is whose the first two messages are: L, an offer to a peer, or a peer's; {@code queues} has what each
     * daemon has accepted and not carried out, {@code holds} who holds the key, {@code messages} all that was ever sent.
     */
    private record World(
            String batch,
            Map<String, String> queues,
            Set<String> holds,
            Set<String> messages,
            String done,
            int come,
            int rejections) {

        World queue(String daemon, String queue) {
            Map<String, String> changed = new TreeMap<>(queues);
            changed.put(daemon, queue);
            return new World(batch, changed, holds, messages, done, come, rejections);
        }

        World batch(String now) {
            return new World(now, queues, holds, messages, done, come, rejections);
        }

        World hold(String peer, boolean held) {
            Set<String> changed = new TreeSet<>(holds);
            if (held) {
                changed.add(peer);
            } else {
                changed.remove(peer);
            }
            return new World(batch, queues, changed, messages, done, come, rejections);
        }

        World say(String message) {
            Set<String> all = new TreeSet<>(messages);
            all.add(message);
            return new World(batch, queues, holds, all, done, come, rejections);
        }
    }

    private static List<World> next(World w, Host host) {
        List<World> out = new ArrayList<>();
        // The owner names the key, and each peer holds it and says so; it may die in between.
        for (String peer : PEERS) {
            out.add(w.say("HOLD " + peer));
            if (w.messages().contains("HOLD " + peer) && !w.messages().contains("over " + peer)) {
                out.add(w.hold(peer, true));
                out.add(
                        host == Host.ACKNOWLEDGES_BEFORE_WRITING
                                ? w.say("HELD " + peer)
                                : w.hold(peer, true).say("HELD " + peer));
            }
            // Released: what was asked for before does not hold any more, as it comes on one connection in order.
            if (w.messages().contains("RELEASE")) {
                out.add(w.hold(peer, false).say("over " + peer));
            }
        }
        // A client comes, as soon as it may.
        boolean away = PEERS.stream().allMatch(p -> w.messages().contains("HELD " + p))
                || w.messages().contains("RELEASE")
                || host == Host.REDIRECTS_AT_ONCE;
        if (away && w.come() < 4) {
            for (String peer : PEERS) {
                // One key's client keeps to one peer while that is there.
                if (w.come() == 2 || w.messages().contains("came " + peer)) {
                    World came =
                            w.queue(peer, w.queues().get(peer) + (w.come() + 1)).say("came " + peer);
                    out.add(new World(
                            came.batch(),
                            came.queues(),
                            came.holds(),
                            came.messages(),
                            came.done(),
                            w.come() + 1,
                            came.rejections()));
                }
            }
        }
        // The batch moves: offered with what is left of it, taken or refused once, the answer may come late.
        for (String peer : PEERS) {
            if (w.batch().equals("L") && !w.queues().get("L").isEmpty() && w.rejections() < 2) {
                out.add(w.batch("offered " + peer).say("OFFER " + peer + w.rejections()));
            }
            String offer = peer + w.rejections();
            if (w.batch().equals("offered " + peer)
                    && w.messages().contains("OFFER " + offer)
                    && !w.messages().contains("YES " + offer)
                    && !w.messages().contains("NO " + offer)) {
                String batch = w.queues().get("L");
                String came = w.queues().get(peer);
                World taken = w.queue(peer, host == Host.QUEUES_BEHIND_NEW_MESSAGES ? came + batch : batch + came)
                        .hold(peer, false)
                        .say("YES " + offer)
                        .say("over " + peer);
                out.add(host == Host.RELEASES_WHAT_IS_HANDED_OFF ? taken.say("RELEASE") : taken);
                out.add(w.say("NO " + offer));
            }
            if (w.batch().equals("offered " + peer) && w.messages().contains("YES " + offer)) {
                out.add(w.batch("given").queue("L", ""));
            }
            if (w.batch().equals("offered " + peer) && w.messages().contains("NO " + offer)) {
                out.add(new World("L", w.queues(), w.holds(), w.messages(), w.done(), w.come(), w.rejections() + 1));
            }
        }
        // Whoever has the turn carries out what is first; with the last of the two all are told that the key is free.
        for (String daemon : List.of("L", "A", "B")) {
            String queue = w.queues().get(daemon);
            boolean may =
                    daemon.equals("L") ? w.batch().equals("L") : !w.holds().contains(daemon);
            if (may && !queue.isEmpty()) {
                World carried = w.queue(daemon, queue.substring(1));
                carried = new World(
                        carried.batch(),
                        carried.queues(),
                        carried.holds(),
                        carried.messages(),
                        w.done() + queue.charAt(0),
                        carried.come(),
                        carried.rejections());
                out.add(queue.charAt(0) == '2' ? carried.say("RELEASE") : carried);
            }
        }
        return out;
    }

    private int states;
    private boolean finished;

    /** What was carried out of order, null where nothing ever is. */
    private String explore(Host host) {
        Map<String, String> queues = new TreeMap<>(Map.of("L", "12", "A", "", "B", ""));
        World first = new World("L", queues, new TreeSet<>(), new TreeSet<>(), "", 2, 0);
        Set<World> seen = new HashSet<>(Set.of(first));
        Deque<World> todo = new ArrayDeque<>(seen);
        while (!todo.isEmpty()) {
            World world = todo.poll();
            if (!"1234".startsWith(world.done())) {
                return world.toString();
            }
            finished |= world.done().equals("1234");
            for (World next : next(world, host)) {
                if (seen.add(next)) {
                    todo.add(next);
                }
            }
        }
        states = seen.size();
        return null;
    }

    @Test
    void nothingOvertakesThroughAMove() {
        assertNull(explore(Host.RIGHT));
        assertTrue(states > 1_000, "only " + states + " states were met");
        assertTrue(finished, "nothing ever came to its end");
    }

    @Test
    void eachMutantIsFound() {
        for (Host mutant : Host.values()) {
            if (mutant != Host.RIGHT) {
                assertNotNull(explore(mutant), mutant + " was not found");
            }
        }
    }
}
