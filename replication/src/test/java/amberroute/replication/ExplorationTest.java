package amberroute.replication;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Every reachable state of one estate at small sizes. A word that was ever sent may arrive at any later moment, any number
 * of times or never, which covers loss, delay, repetition, reordering, cuts of any shape and processes that are stopped and
 * go on. A daemon that is lost for good is one of which no more steps follow, and one that is restarted one that claims
 * anew with what it has on disk: neither needs a step of its own.
 *
 * <p>Two choices only make the worst case come sooner: an owner hears at once what a holder has, and has each effect as soon
 * as it may. More effects, earlier, can only break more.
 */
class ExplorationTest {
    /** How the hosts behave; each mutant does one thing wrong and has to be found. */
    enum Host {
        RIGHT,
        GRANTS_TWICE,
        COPIES_AFTER_GRANT,
        EFFECT_BEFORE_COPY,
        GRANTS_TO_SHORTER,
        FORGETS_GRANTS,
        COUNTS_EARLIER_TERMS,
        SWAPS_HOLDERS,
        EMPTY_FOLDER_GRANTS,
        EMPTY_FOLDER_COUNTS
    }

    private enum Kind {
        ASK,
        GRANT,
        COPY
    }

    /** {@code log} are the changes up to the word's position, or what the asker has. */
    private record Word(Kind kind, String from, String to, LogPosition position, List<String> log, ReplicaSet group) {}

    /** What one process has in memory: a claim (granted by these) or a tenure (held by these), or neither. */
    private record Role(long term, boolean owner, Set<String> granted, Map<String, Long> has) {}

    private record Daemon(ReplicaState holding, List<String> log, ReplicaSet group, Role role) {
        Daemon with(ReplicaState next, List<String> changes, ReplicaSet now) {
            return new Daemon(next, changes, now, role);
        }

        Daemon as(Role next) {
            return new Daemon(holding, log, group, next);
        }
    }

    private static final class World {
        private final Map<String, Daemon> daemons;
        private final Set<Word> words;
        private final Set<String> effects;
        /** Sets and maps do not keep theirs. */
        private final int hash;

        private final boolean forgot;

        World(Map<String, Daemon> daemons, Set<Word> words, Set<String> effects, boolean forgot) {
            this.forgot = forgot;
            this.daemons = daemons;
            this.words = words;
            this.effects = effects;
            hash = java.util.Objects.hash(daemons, words, effects, forgot);
        }

        boolean forgot() {
            return forgot;
        }

        Map<String, Daemon> daemons() {
            return daemons;
        }

        Set<Word> words() {
            return words;
        }

        Set<String> effects() {
            return effects;
        }

        @Override
        public int hashCode() {
            return hash;
        }

        @Override
        public boolean equals(Object o) {
            return o instanceof World w
                    && w.hash == hash
                    && w.forgot == forgot
                    && w.daemons.equals(daemons)
                    && w.words.equals(words)
                    && w.effects.equals(effects);
        }

        @Override
        public String toString() {
            return daemons + " effects " + effects;
        }

        World with(String name, Daemon daemon, List<Word> more) {
            Map<String, Daemon> changed = new TreeMap<>(daemons);
            changed.put(name, daemon);
            Set<Word> all = words;
            if (!more.isEmpty()) {
                all = new HashSet<>(words);
                all.addAll(more);
            }
            return new World(changed, all, effects, forgot);
        }
    }

    private final class Exploration {
        private final Host host;
        private final long terms;
        private final int changes;
        private final boolean regroups;
        private int states;
        private int effectsSeen;

        Exploration(Host host, long terms, int changes, boolean regroups) {
            this.host = host;
            this.terms = terms;
            this.changes = changes;
            this.regroups = regroups;
        }

        private List<World> next(World world) {
            List<World> out = new ArrayList<>();
            world.daemons().forEach((name, d) -> {
                claim(out, world, name, d);
                forget(out, world, name, d);
                if (d.role() != null) {
                    own(out, world, name, d);
                }
            });
            for (Word w : world.words()) {
                Daemon d = world.daemons().get(w.to());
                heard(out, world, w, d);
            }
            return out;
        }

        /** A holder's folder is gone, once in a walk: it comes back with nothing. */
        private void forget(List<World> out, World world, String name, Daemon d) {
            // B is as C.
            if (!world.forgot() && d.role() == null && !regroups && name.equals("C")) {
                World after = world.with(name, new Daemon(ReplicaState.NONE, List.of(), d.group(), null), List.of());
                out.add(new World(after.daemons(), after.words(), after.effects(), true));
            }
        }

        private void claim(List<World> out, World world, String name, Daemon d) {
            long term = d.holding().term() + 1;
            ReplicaState own = d.holding().onVoteRequest(term, name, d.holding().logPosition());
            // With changes of the group B is as C, and A would claim what it has: that keeps their walk within its
            // bound.
            if (!own.hasGranted(term, name)) {
                return;
            }
            if (term > terms
                    || regroups && (name.equals("A") || name.equals("B"))
                    || !d.group().members().contains(name)
                    || d.holding().logPosition().index() == 0) {
                return;
            }
            List<Word> asks = new ArrayList<>();
            for (String holder : d.group().members()) {
                if (!holder.equals(name)) {
                    asks.add(new Word(
                            Kind.ASK,
                            name,
                            holder,
                            new LogPosition(term, 0),
                            List.of(d.holding().logPosition().toString()),
                            null));
                }
            }
            Daemon claims = d.with(own, d.log(), d.group()).as(new Role(term, false, Set.of(name), Map.of()));
            // That none of them arrives is among what follows.
            out.add(world.with(name, claims, asks));
        }

        /** What an owner may do: write a change, change the group. */
        private void own(List<World> out, World world, String name, Daemon d) {
            Role role = d.role();
            if (!role.owner() || d.holding().isStale(role.term(), name)) {
                return;
            }
            if (d.log().size() < changes) {
                out.add(write(world, name, d, role.term() + "." + (d.log().size() + 1), d.group()));
            }
            LeaderTerm tenure = tenure(name, d);
            if (regroups && tenure.isReplicaSetCommitted()) {
                Set<String> others = new TreeSet<>(world.daemons().keySet());
                others.removeAll(d.group().members());
                for (String other : others) {
                    if (d.group().members().size() == 3 && d.group().version() < 2) {
                        ReplicaSet next = d.group().withMember(other);
                        if (host == Host.SWAPS_HOLDERS) {
                            String out1 = d.group().members().stream()
                                    .filter(h -> !h.equals(name))
                                    .findFirst()
                                    .orElseThrow();
                            next = new ReplicaSet(
                                    next.version(), next.withoutMember(out1).members());
                        }
                        out.add(write(
                                world, name, d, role.term() + ".g" + (d.log().size() + 1), next));
                    }
                }
                if (d.group().members().size() == 4) {
                    for (String holder : d.group().members()) {
                        if (!holder.equals(name)) {
                            out.add(write(
                                    world,
                                    name,
                                    d,
                                    role.term() + ".g" + (d.log().size() + 1),
                                    d.group().withoutMember(holder)));
                        }
                    }
                }
            }
        }

        private World write(World world, String name, Daemon d, String change, ReplicaSet group) {
            Role role = d.role();
            List<String> log = new ArrayList<>(d.log());
            log.add(change);
            long number = log.size();
            ReplicaState next = d.holding().onAppend(role.term(), name, number - 1, number);
            List<Word> words = new ArrayList<>();
            for (String holder : world.daemons().keySet()) {
                if (!holder.equals(name)) {
                    words.add(new Word(Kind.COPY, name, holder, next.logPosition(), List.copyOf(log), group));
                }
            }
            return world.with(name, d.with(next, List.copyOf(log), group), words);
        }

        private void heard(List<World> out, World world, Word w, Daemon d) {
            long term = w.position().term();
            switch (w.kind()) {
                case ASK -> {
                    LogPosition theirs = host == Host.GRANTS_TO_SHORTER
                            ? new LogPosition(Long.MAX_VALUE, 0)
                            : position(w.log().get(0));
                    ReplicaState next = d.holding().onVoteRequest(term, w.from(), theirs);
                    if (host == Host.EMPTY_FOLDER_GRANTS && d.holding().term() == 0) {
                        next = new ReplicaState(term, w.from(), LogPosition.NONE);
                    }
                    boolean yes = next.hasGranted(term, w.from())
                            || host == Host.GRANTS_TWICE
                                    && next.term() == term
                                    && theirs.compareTo(next.logPosition()) >= 0;
                    if (yes) {
                        Daemon written = host == Host.FORGETS_GRANTS ? d : d.with(next, d.log(), d.group());
                        out.add(world.with(
                                w.to(),
                                written,
                                List.of(new Word(
                                        Kind.GRANT, w.to(), w.from(), new LogPosition(term, 0), List.of(), null))));
                    }
                }
                case GRANT -> {
                    Role role = d.role();
                    if (role == null
                            || role.owner()
                            || role.term() != term
                            || d.holding().isStale(term, w.to())) {
                        return;
                    }
                    Candidacy claim = new Candidacy(w.to(), d.group(), d.holding());
                    role.granted().forEach(from -> claim.onVote(from, term, true, term));
                    claim.onVote(w.from(), term, true, term);
                    if (claim.hasWon()) {
                        ReplicaState begun =
                                d.holding().onSnapshot(term, w.to(), d.log().size(), true);
                        List<Word> words = new ArrayList<>();
                        for (String holder : world.daemons().keySet()) {
                            if (!holder.equals(w.to())) {
                                words.add(new Word(Kind.COPY, w.to(), holder, begun.logPosition(), d.log(), d.group()));
                            }
                        }
                        out.add(world.with(
                                w.to(),
                                d.with(begun, d.log(), d.group()).as(new Role(term, true, Set.of(), Map.of())),
                                words));
                    } else {
                        Set<String> granted = new TreeSet<>(role.granted());
                        granted.add(w.from());
                        out.add(world.with(w.to(), d.as(new Role(term, false, granted, Map.of())), List.of()));
                    }
                }
                    // The whole does all that the last change alone does, and more: that is looked at here as well.
                case COPY -> {
                    boolean late = host == Host.COPIES_AFTER_GRANT
                            && term < d.holding().term();
                    ReplicaState at = late
                            ? new ReplicaState(
                                    term,
                                    w.from(),
                                    d.holding().logPosition(),
                                    d.holding().nonVotingStage())
                            : d.holding();
                    long number = w.position().index();
                    boolean in = w.group().members().contains(w.to());
                    ReplicaState next =
                            at.onSnapshot(term, w.from(), number, in).onReplicaSet(in);
                    ReplicaState alone = at.onAppend(term, w.from(), number - 1, number);
                    assertTrue(alone == at || alone.logPosition().equals(next.logPosition()), () -> at + " takes " + w);
                    if (next.equals(at)) {
                        return;
                    }
                    if (late) {
                        next = new ReplicaState(
                                d.holding().term(), d.holding().owner(), next.logPosition(), next.nonVotingStage());
                    }
                    World after = world.with(w.to(), d.with(next, w.log(), w.group()), List.of());
                    out.add(after);
                    Daemon owner = after.daemons().get(w.from());
                    if ((next.isVoter() || host == Host.EMPTY_FOLDER_COUNTS)
                            && owner.role() != null
                            && owner.role().owner()
                            && owner.role().term() == term) {
                        Map<String, Long> has = new TreeMap<>(owner.role().has());
                        has.merge(w.to(), number, Math::max);
                        out.add(after.with(w.from(), owner.as(new Role(term, true, Set.of(), has)), List.of()));
                    }
                }
                default -> throw new IllegalStateException();
            }
        }

        private LogPosition position(String text) {
            String[] parts = text.replaceAll("[^0-9,]", "").split(",");
            return new LogPosition(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        }

        private LeaderTerm tenure(String name, Daemon d) {
            // The last change of the group may be its last change at all: a tenure takes it for that, which is
            // stricter.
            int groupAt = 0;
            for (int i = 0; i < d.log().size(); i++) {
                groupAt = d.log().get(i).contains("g") ? i + 1 : groupAt;
            }
            LeaderTerm tenure = new LeaderTerm(name, d.role().term(), groupAt, d.group());
            for (int i = groupAt; i < d.log().size(); i++) {
                tenure.appended();
            }
            d.role().has().forEach(tenure::acknowledged);
            return tenure;
        }

        /** Every effect that may be had is had. */
        private World effects(World world) {
            Set<String> had = new TreeSet<>(world.effects());
            world.daemons().forEach((name, d) -> {
                if (d.role() == null
                        || !d.role().owner()
                        || d.holding().isStale(d.role().term(), name)) {
                    return;
                }
                long agreed = host == Host.EFFECT_BEFORE_COPY
                        ? d.log().size()
                        : tenure(name, d).commitIndex();
                if (host == Host.COUNTS_EARLIER_TERMS) {
                    // Whoever holds a copy of any term that is as long counts.
                    agreed = Math.max(
                            agreed,
                            world.daemons().values().stream()
                                                    .filter(o -> d.log().size()
                                                            <= o.log().size())
                                                    .count()
                                            > 1
                                    ? d.log().size()
                                    : -1);
                }
                for (int i = 0; i < agreed; i++) {
                    had.add(d.role().term() + "@" + d.log().get(i));
                }
            });
            return had.equals(world.effects()) ? world : new World(world.daemons(), world.words(), had, world.forgot());
        }

        private String broken(World world) {
            Set<Long> owned = new HashSet<>();
            for (Map.Entry<String, Daemon> e : world.daemons().entrySet()) {
                Daemon d = e.getValue();
                if (d.role() == null || !d.role().owner()) {
                    continue;
                }
                if (!owned.add(d.role().term())) {
                    return "two owners of term " + d.role().term();
                }
                for (String effect : world.effects()) {
                    if (Long.parseLong(effect.substring(0, effect.indexOf('@')))
                                    < d.role().term()
                            && !d.log().contains(effect.substring(effect.indexOf('@') + 1))) {
                        return e.getKey() + " owns term " + d.role().term() + " and does not know of the effect of "
                                + effect;
                    }
                }
            }
            return null;
        }

        /** Null where every reachable state is good; else what broke first. */
        String explore() {
            Map<String, Daemon> begin = new TreeMap<>();
            ReplicaSet group = new ReplicaSet(0, List.of("A", "B", "C"));
            List<String> base = List.of("1.1");
            for (String name : regroups ? List.of("A", "B", "C", "D") : group.members()) {
                boolean holds = group.members().contains(name);
                ReplicaState holding = holds ? new ReplicaState(1, "A", new LogPosition(1, 1)) : ReplicaState.NONE;
                begin.put(
                        name,
                        new Daemon(
                                holding,
                                holds ? base : List.of(),
                                group,
                                name.equals("A")
                                        ? new Role(1, true, Set.of(), new TreeMap<>(Map.of("B", 1L, "C", 1L)))
                                        : null));
            }
            World first = effects(new World(begin, Set.of(), Set.of(), false));
            Set<World> seen = new HashSet<>(Set.of(first));
            Deque<World> open = new ArrayDeque<>(seen);
            while (!open.isEmpty()) {
                World world = open.removeFirst();
                String wrong = broken(world);
                if (wrong != null) {
                    return wrong + " in " + world;
                }
                effectsSeen = Math.max(effectsSeen, world.effects().size());
                for (World after : next(world)) {
                    World settled = effects(after);
                    if (seen.add(settled)) {
                        open.add(settled);
                    }
                }
                if (seen.size() > (regroups ? MOST_STATES : 4 * MOST_STATES)) {
                    if (!regroups) {
                        throw new IllegalStateException("more states than this test is for, " + open.size() + " open");
                    }
                    // Told in docs/survival.md: with a fourth holder the walk is broad, not whole.
                    break;
                }
            }
            states = seen.size();
            return null;
        }
    }

    private static final int MOST_STATES = 150_000;

    private void holds(long terms, int changes, boolean regroups, int least, int effects) {
        Exploration exploration = new Exploration(Host.RIGHT, terms, changes, regroups);
        assertNull(exploration.explore());
        System.out.println("states " + exploration.states);
        assertTrue(exploration.states > least && exploration.effectsSeen > effects, exploration.states + " states");
    }

    @Test
    void oneOwnerKnowsAllThatWasHad() {
        holds(3, 2, false, 10_000, 1);
    }

    @Test
    void changesOfTheGroupNeverDecideApart() {
        holds(2, 3, true, 1_000, 2);
    }

    @ParameterizedTest
    @EnumSource(
            value = Host.class,
            names = {"RIGHT", "SWAPS_HOLDERS", "COUNTS_EARLIER_TERMS"},
            mode = EnumSource.Mode.EXCLUDE)
    void mutantsAreFound(Host mutant) {
        assertNotNull(new Exploration(mutant, 3, 2, false).explore(), mutant + " was not found");
    }

    @Test
    void swappingAHolderInOneStepIsFound() {
        assertNotNull(new Exploration(Host.SWAPS_HOLDERS, 2, 4, true).explore());
    }
}
