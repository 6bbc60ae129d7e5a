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
 * Every reachable state of the protocol at small sizes. A message that was ever sent may arrive at any later moment, any
 * number of times or never, which covers loss, delay, repetition and reordering at once. A process may die between any
 * two effects: the records that were written stay, the messages behind are not sent. Since a daemon keeps nothing but its
 * records, a restart needs no step of its own.
 */
class ExplorationTest {
    /** How the host behaves; the mutants do one thing wrong each and have to be found. */
    enum Host {
        RIGHT,
        ANSWERS_BEFORE_WRITING,
        SENDS_BEFORE_FREEZING,
        FORGETS_REJECTIONS,
        IGNORES_GENERATIONS,
        TAKES_BACK_UNASKED
    }

    private record Sent(String from, String to, HandoffMessage message) implements Comparable<Sent> {
        @Override
        public int compareTo(Sent other) {
            return toString().compareTo(other.toString());
        }
    }

    /** Records by daemon and batch, all messages ever sent, and how often each batch was worked on by whom. */
    private record World(Map<String, Ownership> records, Set<Sent> sent) {
        Ownership of(String daemon, String batch) {
            return records.getOrDefault(daemon + batch, Ownership.NONE);
        }

        World with(String daemon, List<HandoffEffect> effects, int upTo) {
            Map<String, Ownership> changed = new TreeMap<>(records);
            Set<Sent> messages = new TreeSet<>(sent);
            for (HandoffEffect effect : effects.subList(0, upTo)) {
                if (effect instanceof HandoffEffect.PersistOwnership write) {
                    changed.put(daemon + write.batchId(), write.ownership());
                } else if (effect instanceof HandoffEffect.SendMessage send) {
                    messages.add(new Sent(daemon, send.recipient(), send.message()));
                }
            }
            return new World(changed, messages);
        }
    }

    /** One walk through all states of so many daemons, batches and generations. */
    private static final class Exploration {
        private final Host host;
        private final List<String> daemons;
        private final List<String> batches;
        private final long generations;
        private int states;

        Exploration(Host host, int daemons, int batches, long generations) {
            this.host = host;
            this.daemons = List.of("A", "B", "C").subList(0, daemons);
            this.batches = List.of("1", "2", "3").subList(0, batches);
            this.generations = generations;
        }

        /** All worlds that one step leads to: each possible step, cut off after each of its effects. */
        private List<World> next(World world) {
            List<World> out = new ArrayList<>();
            for (String batch : batches) {
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, batch);
                    for (String peer : daemons) {
                        if (!peer.equals(daemon) && own.generation() < generations) {
                            cut(out, world, daemon, wrong(own.offer(batch, peer), Host.SENDS_BEFORE_FREEZING));
                        }
                    }
                    cut(out, world, daemon, own.requestReply(batch, true));
                    if (host == Host.TAKES_BACK_UNASKED && own.status() == Status.OFFERED) {
                        cut(
                                out,
                                world,
                                daemon,
                                List.of(new HandoffEffect.PersistOwnership(
                                        batch, new Ownership(own.generation(), Status.OWNED, ""))));
                    }
                }
            }
            for (Sent s : world.sent()) {
                Ownership own = world.of(s.to(), s.message().batchId());
                HandoffMessage message = s.message();
                if (message.isForSuccessor()) {
                    for (boolean willing : new boolean[] {true, false}) {
                        List<HandoffEffect> effects = own.onOffer(message.batchId(), s.from(), message, willing);
                        if (host == Host.FORGETS_REJECTIONS) {
                            effects = effects.stream()
                                    .filter(e -> !(e instanceof HandoffEffect.PersistOwnership w
                                            && w.ownership().status() == Status.REFUSED))
                                    .toList();
                        }
                        cut(out, world, s.to(), wrong(effects, Host.ANSWERS_BEFORE_WRITING));
                    }
                } else {
                    HandoffMessage heard = host == Host.IGNORES_GENERATIONS
                            ? new HandoffMessage(message.kind(), message.batchId(), own.generation())
                            : message;
                    cut(out, world, s.to(), own.onReply(message.batchId(), s.from(), heard));
                }
            }
            return out;
        }

        /** A mutant does the effects in the wrong order. */
        private List<HandoffEffect> wrong(List<HandoffEffect> effects, Host mutant) {
            if (host != mutant) {
                return effects;
            }
            List<HandoffEffect> turned = new ArrayList<>(effects);
            java.util.Collections.reverse(turned);
            return turned;
        }

        private static void cut(List<World> out, World world, String daemon, List<HandoffEffect> effects) {
            for (int n = 1; n <= effects.size(); n++) {
                out.add(world.with(daemon, effects, n));
            }
        }

        /** What must hold in each state; null where it does. */
        private String broken(World world) {
            for (String batch : batches) {
                List<String> owners = daemons.stream()
                        .filter(d -> world.of(d, batch).isOwned())
                        .toList();
                if (owners.size() > 1) {
                    return "two owners of batch " + batch + ": " + owners;
                }
                if (owners.isEmpty()) {
                    // Somebody has to be able to find out: an offer whose successor has not decided, or has taken it.
                    boolean waits =
                            daemons.stream().anyMatch(d -> world.of(d, batch).status() == Status.OFFERED);
                    if (!waits) {
                        return "nobody owns batch " + batch;
                    }
                }
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, batch);
                    if (own.status() == Status.GIVEN
                            && world.of(own.peer(), batch).generation() < own.generation()) {
                        return daemon + " gave batch " + batch + " to " + own.peer() + ", who never took it";
                    }
                }
            }
            return null;
        }

        /** Where all messages of a frozen batch arrive once more, its owner knows whose it is: no dead end without an exit. */
        private String stuck(World world) {
            for (String batch : batches) {
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, batch);
                    if (own.status() != Status.OFFERED) {
                        continue;
                    }
                    HandoffMessage cancel = new HandoffMessage(HandoffMessage.Kind.CANCEL, batch, own.generation());
                    List<HandoffEffect> successor = world.of(own.peer(), batch).onOffer(batch, daemon, cancel, false);
                    HandoffEffect.SendMessage answer = (HandoffEffect.SendMessage) successor.get(successor.size() - 1);
                    if (own.onReply(batch, own.peer(), answer.message()).isEmpty()) {
                        return daemon + " never learns whose batch " + batch + " is";
                    }
                }
            }
            return null;
        }

        /** Null where every reachable state is good; else what broke first. */
        private String explore() {
            Map<String, Ownership> begin = new TreeMap<>();
            for (int i = 0; i < batches.size(); i++) {
                begin.put(daemons.get(i % daemons.size()) + batches.get(i), Ownership.initial());
            }
            World first = new World(begin, new TreeSet<>());
            Set<World> seen = new HashSet<>(Set.of(first));
            Deque<World> open = new ArrayDeque<>(seen);
            while (!open.isEmpty()) {
                World world = open.removeFirst();
                String wrong = broken(world);
                if (wrong == null && host == Host.RIGHT) {
                    wrong = stuck(world);
                }
                if (wrong != null) {
                    return wrong + " in " + world;
                }
                for (World after : next(world)) {
                    if (seen.add(after)) {
                        open.add(after);
                    }
                }
            }
            states = seen.size();
            return null;
        }
    }

    private static void holds(int daemons, int batches, long generations, int least) {
        Exploration exploration = new Exploration(Host.RIGHT, daemons, batches, generations);
        assertNull(exploration.explore());
        System.out.println(daemons + " daemons, " + batches + " batches, " + generations + " generations: "
                + exploration.states + " states");
        assertTrue(exploration.states >= least, "explored only " + exploration.states);
    }

    /** Chains of handoffs, there and back again, rejections and withdrawals among three daemons. */
    @Test
    void oneBatchAmongThreeDaemonsHasOneOwner() {
        holds(3, 1, 4, 1_000);
    }

    @Test
    void oneBatchBetweenTwoDaemonsHasOneOwnerOverLongChains() {
        holds(2, 1, 5, 500);
    }

    /** Two owners that choose each other, each with a batch of its own, and a third. */
    @Test
    void threeBatchesBetweenTwoDaemonsHaveOneOwnerEach() {
        holds(2, 3, 2, 1_000);
    }

    @Test
    void aMessageFromElsewhereChangesNothing() {
        Ownership offered = new Ownership(2, Status.OFFERED, "B");
        assertEquals(List.of(), offered.onReply("1", "C", new HandoffMessage(HandoffMessage.Kind.YES, "1", 2)));
        assertEquals(List.of(), offered.onReply("1", "B", new HandoffMessage(HandoffMessage.Kind.YES, "1", 1)));
        assertEquals(List.of(), offered.onReply("1", "B", new HandoffMessage(HandoffMessage.Kind.OFFER, "1", 2)));
        assertEquals(List.of(), offered.offer("1", "C"));
        assertEquals(1, offered.expire("1").size());
        assertEquals(List.of(), new Ownership(2, Status.GIVEN, "B").expire("1"));
    }

    @Test
    void eachMutantIsFound() {
        for (Host mutant : Host.values()) {
            if (mutant != Host.RIGHT) {
                String found = new Exploration(mutant, 3, 1, 4).explore();
                assertTrue(found != null, mutant + " was not found");
                System.out.println(mutant + ": " + found.substring(0, Math.min(90, found.length())));
            }
        }
    }
}
