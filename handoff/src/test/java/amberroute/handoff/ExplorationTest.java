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
 * Every reachable state of the protocol at small sizes. A word that was ever sent may arrive at any later moment, any
 * number of times or never, which covers loss, delay, repetition and reordering at once. A process may die between any
 * two effects: the records that were written stay, the words behind are not sent. Since a daemon keeps nothing but its
 * records, a restart needs no step of its own.
 */
class ExplorationTest {
    /** How the host behaves; the mutants do one thing wrong each and have to be found. */
    enum Host {
        RIGHT,
        ANSWERS_BEFORE_WRITING,
        SENDS_BEFORE_FREEZING,
        FORGETS_REFUSALS,
        IGNORES_GENERATIONS,
        TAKES_BACK_UNASKED
    }

    private record Sent(String from, String to, HandoffMessage word) implements Comparable<Sent> {
        @Override
        public int compareTo(Sent other) {
            return toString().compareTo(other.toString());
        }
    }

    /** Records by daemon and lot, all words ever sent, and how often each lot was worked on by whom. */
    private record World(Map<String, Ownership> records, Set<Sent> sent) {
        Ownership of(String daemon, String lot) {
            return records.getOrDefault(daemon + lot, Ownership.NONE);
        }

        World with(String daemon, List<HandoffEffect> effects, int upTo) {
            Map<String, Ownership> changed = new TreeMap<>(records);
            Set<Sent> words = new TreeSet<>(sent);
            for (HandoffEffect effect : effects.subList(0, upTo)) {
                if (effect instanceof HandoffEffect.PersistOwnership write) {
                    changed.put(daemon + write.batchId(), write.ownership());
                } else if (effect instanceof HandoffEffect.SendMessage send) {
                    words.add(new Sent(daemon, send.recipient(), send.message()));
                }
            }
            return new World(changed, words);
        }
    }

    /** One walk through all states of so many daemons, lots and generations. */
    private static final class Exploration {
        private final Host host;
        private final List<String> daemons;
        private final List<String> lots;
        private final long generations;
        private int states;

        Exploration(Host host, int daemons, int lots, long generations) {
            this.host = host;
            this.daemons = List.of("A", "B", "C").subList(0, daemons);
            this.lots = List.of("1", "2", "3").subList(0, lots);
            this.generations = generations;
        }

        /** All worlds that one step leads to: each possible step, cut off after each of its effects. */
        private List<World> next(World world) {
            List<World> out = new ArrayList<>();
            for (String lot : lots) {
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, lot);
                    for (String peer : daemons) {
                        if (!peer.equals(daemon) && own.generation() < generations) {
                            cut(out, world, daemon, wrong(own.offer(lot, peer), Host.SENDS_BEFORE_FREEZING));
                        }
                    }
                    cut(out, world, daemon, own.requestReply(lot, true));
                    if (host == Host.TAKES_BACK_UNASKED && own.status() == Status.OFFERED) {
                        cut(
                                out,
                                world,
                                daemon,
                                List.of(new HandoffEffect.PersistOwnership(
                                        lot, new Ownership(own.generation(), Status.OWNED, ""))));
                    }
                }
            }
            for (Sent s : world.sent()) {
                Ownership own = world.of(s.to(), s.word().batchId());
                HandoffMessage word = s.word();
                if (word.isForSuccessor()) {
                    for (boolean room : new boolean[] {true, false}) {
                        List<HandoffEffect> effects = own.onOffer(word.batchId(), s.from(), word, room);
                        if (host == Host.FORGETS_REFUSALS) {
                            effects = effects.stream()
                                    .filter(e -> !(e instanceof HandoffEffect.PersistOwnership w
                                            && w.ownership().status() == Status.REFUSED))
                                    .toList();
                        }
                        cut(out, world, s.to(), wrong(effects, Host.ANSWERS_BEFORE_WRITING));
                    }
                } else {
                    HandoffMessage heard = host == Host.IGNORES_GENERATIONS
                            ? new HandoffMessage(word.kind(), word.batchId(), own.generation())
                            : word;
                    cut(out, world, s.to(), own.onReply(word.batchId(), s.from(), heard));
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
            for (String lot : lots) {
                List<String> owners =
                        daemons.stream().filter(d -> world.of(d, lot).isOwned()).toList();
                if (owners.size() > 1) {
                    return "two owners of lot " + lot + ": " + owners;
                }
                if (owners.isEmpty()) {
                    // Somebody has to be able to find out: an offer whose heir has not decided, or has taken it.
                    boolean waits =
                            daemons.stream().anyMatch(d -> world.of(d, lot).status() == Status.OFFERED);
                    if (!waits) {
                        return "nobody owns lot " + lot;
                    }
                }
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, lot);
                    if (own.status() == Status.GIVEN
                            && world.of(own.peer(), lot).generation() < own.generation()) {
                        return daemon + " gave lot " + lot + " to " + own.peer() + ", who never took it";
                    }
                }
            }
            return null;
        }

        /** Where all words of a frozen lot arrive once more, its leaver knows whose it is: no limbo without an exit. */
        private String stuck(World world) {
            for (String lot : lots) {
                for (String daemon : daemons) {
                    Ownership own = world.of(daemon, lot);
                    if (own.status() != Status.OFFERED) {
                        continue;
                    }
                    HandoffMessage cancel = new HandoffMessage(HandoffMessage.Kind.CANCEL, lot, own.generation());
                    List<HandoffEffect> heir = world.of(own.peer(), lot).onOffer(lot, daemon, cancel, false);
                    HandoffEffect.SendMessage answer = (HandoffEffect.SendMessage) heir.get(heir.size() - 1);
                    if (own.onReply(lot, own.peer(), answer.message()).isEmpty()) {
                        return daemon + " never learns whose lot " + lot + " is";
                    }
                }
            }
            return null;
        }

        /** Null where every reachable state is good; else what broke first. */
        private String explore() {
            Map<String, Ownership> begin = new TreeMap<>();
            for (int i = 0; i < lots.size(); i++) {
                begin.put(daemons.get(i % daemons.size()) + lots.get(i), Ownership.initial());
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

    private static void holds(int daemons, int lots, long generations, int least) {
        Exploration exploration = new Exploration(Host.RIGHT, daemons, lots, generations);
        assertNull(exploration.explore());
        System.out.println(daemons + " daemons, " + lots + " lots, " + generations + " generations: "
                + exploration.states + " states");
        assertTrue(exploration.states >= least, "explored only " + exploration.states);
    }

    /** Chains of hand-overs, there and back again, refusals and withdrawals among three daemons. */
    @Test
    void oneLotAmongThreeDaemonsHasOneOwner() {
        holds(3, 1, 4, 1_000);
    }

    @Test
    void oneLotBetweenTwoDaemonsHasOneOwnerOverLongChains() {
        holds(2, 1, 5, 500);
    }

    /** Two leavers that choose each other, each with a lot of its own, and a third. */
    @Test
    void threeLotsBetweenTwoDaemonsHaveOneOwnerEach() {
        holds(2, 3, 2, 1_000);
    }

    @Test
    void aWordFromElsewhereChangesNothing() {
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
