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
 * Explores every reachable state of the replication of one journal at small sizes. A message that was ever sent may
 * arrive at any later time, any number of times or never, which covers loss, delay, duplication, reordering,
 * network partitions, and processes that are paused and resumed. A sender that is lost for good takes no further
 * steps, and one that is restarted stands for election with the state that it has on disk, so neither needs a step
 * of its own.
 *
 * <p>Two simplifications only bring the worst case forward: a leader learns at once what a member has, and carries
 * out each effect as soon as it may. More and earlier effects can only violate more invariants.
 */
class ExplorationTest {
    /** The behavior of the senders. Each mutant has one defect, which the exploration must detect. */
    enum HostVariant {
        RIGHT,
        GRANTS_TWICE,
        ACCEPTS_STALE_RECORDS,
        EFFECT_BEFORE_COMMIT,
        GRANTS_TO_OUTDATED_CANDIDATE,
        LOSES_GRANTS,
        COUNTS_EARLIER_TERMS,
        SWAPS_MEMBERS,
        GRANTS_WITHOUT_STATE,
        COUNTS_REPLICA_WITHOUT_STATE
    }

    private enum Kind {
        VOTE_REQUEST,
        VOTE,
        APPEND
    }

    /**
     * {@code log} has the records up to the position of the message; in a vote request, the position of the
     * candidate.
     */
    private record Message(
            Kind kind, String from, String to, LogPosition position, List<String> log, ReplicaSet replicaSet) {}

    /**
     * The volatile state of a process: a candidacy with the members that granted it, or a leader term with the
     * index that each member has acknowledged. Null for a follower.
     */
    private record Role(long term, boolean isLeader, Set<String> grantedBy, Map<String, Long> acknowledgedIndexes) {}

    private record Daemon(ReplicaState state, List<String> log, ReplicaSet replicaSet, Role role) {
        Daemon with(ReplicaState newState, List<String> newLog, ReplicaSet newReplicaSet) {
            return new Daemon(newState, newLog, newReplicaSet, role);
        }

        Daemon withRole(Role newRole) {
            return new Daemon(state, log, replicaSet, newRole);
        }
    }

    private static final class SystemState {
        private final Map<String, Daemon> daemons;
        private final Set<Message> messages;
        private final Set<String> effects;
        /** Cached, because collections compute their hash code on every call. */
        private final int hash;

        private final boolean stateLost;

        SystemState(Map<String, Daemon> daemons, Set<Message> messages, Set<String> effects, boolean stateLost) {
            this.stateLost = stateLost;
            this.daemons = daemons;
            this.messages = messages;
            this.effects = effects;
            hash = java.util.Objects.hash(daemons, messages, effects, stateLost);
        }

        boolean stateLost() {
            return stateLost;
        }

        Map<String, Daemon> daemons() {
            return daemons;
        }

        Set<Message> messages() {
            return messages;
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
            return o instanceof SystemState other
                    && other.hash == hash
                    && other.stateLost == stateLost
                    && other.daemons.equals(daemons)
                    && other.messages.equals(messages)
                    && other.effects.equals(effects);
        }

        @Override
        public String toString() {
            return daemons + " effects " + effects;
        }

        SystemState with(String name, Daemon daemon, List<Message> newMessages) {
            Map<String, Daemon> changed = new TreeMap<>(daemons);
            changed.put(name, daemon);
            Set<Message> allMessages = messages;
            if (!newMessages.isEmpty()) {
                allMessages = new HashSet<>(messages);
                allMessages.addAll(newMessages);
            }
            return new SystemState(changed, allMessages, effects, stateLost);
        }
    }

    private final class Exploration {
        private final HostVariant host;
        private final long maxTerms;
        private final int maxRecords;
        private final boolean changesReplicaSet;
        private int stateCount;
        private int maxEffectCount;

        Exploration(HostVariant host, long maxTerms, int maxRecords, boolean changesReplicaSet) {
            this.host = host;
            this.maxTerms = maxTerms;
            this.maxRecords = maxRecords;
            this.changesReplicaSet = changesReplicaSet;
        }

        private List<SystemState> successors(SystemState state) {
            List<SystemState> successors = new ArrayList<>();
            state.daemons().forEach((name, daemon) -> {
                standForElection(successors, state, name, daemon);
                loseState(successors, state, name, daemon);
                if (daemon.role() != null) {
                    actAsLeader(successors, state, name, daemon);
                }
            });
            for (Message message : state.messages()) {
                Daemon daemon = state.daemons().get(message.to());
                onMessage(successors, state, message, daemon);
            }
            return successors;
        }

        /** A member loses its state folder, once per exploration, and restarts without any state. */
        private void loseState(List<SystemState> successors, SystemState state, String name, Daemon daemon) {
            // B and C are symmetric.
            if (!state.stateLost() && daemon.role() == null && !changesReplicaSet && name.equals("C")) {
                SystemState nextState = state.with(
                        name, new Daemon(ReplicaState.NONE, List.of(), daemon.replicaSet(), null), List.of());
                successors.add(new SystemState(nextState.daemons(), nextState.messages(), nextState.effects(), true));
            }
        }

        private void standForElection(List<SystemState> successors, SystemState state, String name, Daemon daemon) {
            long term = daemon.state().term() + 1;
            ReplicaState ownState =
                    daemon.state().onVoteRequest(term, name, daemon.state().logPosition());
            // With changes of the replica set, only C and D stand for election, which keeps the exploration within
            // its bound: B and C are symmetric, and A would stand with the records that it has.
            if (!ownState.hasGranted(term, name)) {
                return;
            }
            if (term > maxTerms
                    || changesReplicaSet && (name.equals("A") || name.equals("B"))
                    || !daemon.replicaSet().members().contains(name)
                    || daemon.state().logPosition().index() == 0) {
                return;
            }
            List<Message> voteRequests = new ArrayList<>();
            for (String member : daemon.replicaSet().members()) {
                if (!member.equals(name)) {
                    voteRequests.add(new Message(
                            Kind.VOTE_REQUEST,
                            name,
                            member,
                            new LogPosition(term, 0),
                            List.of(daemon.state().logPosition().toString()),
                            null));
                }
            }
            Daemon candidate = daemon.with(ownState, daemon.log(), daemon.replicaSet())
                    .withRole(new Role(term, false, Set.of(name), Map.of()));
            // Later states include those in which none of the requests arrives.
            successors.add(state.with(name, candidate, voteRequests));
        }

        /** Adds the steps of a leader: append a record, or change the replica set. */
        private void actAsLeader(List<SystemState> successors, SystemState state, String name, Daemon daemon) {
            Role role = daemon.role();
            if (!role.isLeader() || daemon.state().isStale(role.term(), name)) {
                return;
            }
            if (daemon.log().size() < maxRecords) {
                successors.add(append(
                        state, name, daemon, role.term() + "." + (daemon.log().size() + 1), daemon.replicaSet()));
            }
            LeaderTerm leaderTerm = leaderTerm(name, daemon);
            if (changesReplicaSet && leaderTerm.isReplicaSetCommitted()) {
                Set<String> others = new TreeSet<>(state.daemons().keySet());
                others.removeAll(daemon.replicaSet().members());
                for (String other : others) {
                    if (daemon.replicaSet().members().size() == 3
                            && daemon.replicaSet().version() < 2) {
                        ReplicaSet next = daemon.replicaSet().withMember(other);
                        if (host == HostVariant.SWAPS_MEMBERS) {
                            String removedMember = daemon.replicaSet().members().stream()
                                    .filter(member -> !member.equals(name))
                                    .findFirst()
                                    .orElseThrow();
                            next = new ReplicaSet(
                                    next.version(),
                                    next.withoutMember(removedMember).members());
                        }
                        successors.add(append(
                                state,
                                name,
                                daemon,
                                role.term() + ".g" + (daemon.log().size() + 1),
                                next));
                    }
                }
                if (daemon.replicaSet().members().size() == 4) {
                    for (String member : daemon.replicaSet().members()) {
                        if (!member.equals(name)) {
                            successors.add(append(
                                    state,
                                    name,
                                    daemon,
                                    role.term() + ".g" + (daemon.log().size() + 1),
                                    daemon.replicaSet().withoutMember(member)));
                        }
                    }
                }
            }
        }

        private SystemState append(
                SystemState state, String name, Daemon daemon, String record, ReplicaSet replicaSet) {
            Role role = daemon.role();
            List<String> log = new ArrayList<>(daemon.log());
            log.add(record);
            long index = log.size();
            ReplicaState next = daemon.state().onAppend(role.term(), name, index - 1, index);
            List<Message> messages = new ArrayList<>();
            for (String member : state.daemons().keySet()) {
                if (!member.equals(name)) {
                    messages.add(
                            new Message(Kind.APPEND, name, member, next.logPosition(), List.copyOf(log), replicaSet));
                }
            }
            return state.with(name, daemon.with(next, List.copyOf(log), replicaSet), messages);
        }

        private void onMessage(List<SystemState> successors, SystemState state, Message message, Daemon daemon) {
            long term = message.position().term();
            switch (message.kind()) {
                case VOTE_REQUEST -> {
                    LogPosition candidatePosition = host == HostVariant.GRANTS_TO_OUTDATED_CANDIDATE
                            ? new LogPosition(Long.MAX_VALUE, 0)
                            : position(message.log().get(0));
                    ReplicaState next = daemon.state().onVoteRequest(term, message.from(), candidatePosition);
                    if (host == HostVariant.GRANTS_WITHOUT_STATE
                            && daemon.state().term() == 0) {
                        next = new ReplicaState(term, message.from(), LogPosition.NONE);
                    }
                    boolean granted = next.hasGranted(term, message.from())
                            || host == HostVariant.GRANTS_TWICE
                                    && next.term() == term
                                    && candidatePosition.compareTo(next.logPosition()) >= 0;
                    if (granted) {
                        Daemon newDaemon = host == HostVariant.LOSES_GRANTS
                                ? daemon
                                : daemon.with(next, daemon.log(), daemon.replicaSet());
                        successors.add(state.with(
                                message.to(),
                                newDaemon,
                                List.of(new Message(
                                        Kind.VOTE,
                                        message.to(),
                                        message.from(),
                                        new LogPosition(term, 0),
                                        List.of(),
                                        null))));
                    }
                }
                case VOTE -> {
                    Role role = daemon.role();
                    if (role == null
                            || role.isLeader()
                            || role.term() != term
                            || daemon.state().isStale(term, message.to())) {
                        return;
                    }
                    Candidacy candidacy = new Candidacy(message.to(), daemon.replicaSet(), daemon.state());
                    role.grantedBy().forEach(from -> candidacy.onVote(from, term, true, term));
                    candidacy.onVote(message.from(), term, true, term);
                    if (candidacy.hasWon()) {
                        ReplicaState stateWithSnapshot = daemon.state()
                                .onSnapshot(term, message.to(), daemon.log().size(), true);
                        List<Message> messages = new ArrayList<>();
                        for (String member : state.daemons().keySet()) {
                            if (!member.equals(message.to())) {
                                messages.add(new Message(
                                        Kind.APPEND,
                                        message.to(),
                                        member,
                                        stateWithSnapshot.logPosition(),
                                        daemon.log(),
                                        daemon.replicaSet()));
                            }
                        }
                        successors.add(state.with(
                                message.to(),
                                daemon.with(stateWithSnapshot, daemon.log(), daemon.replicaSet())
                                        .withRole(new Role(term, true, Set.of(), Map.of())),
                                messages));
                    } else {
                        Set<String> grantedBy = new TreeSet<>(role.grantedBy());
                        grantedBy.add(message.from());
                        successors.add(state.with(
                                message.to(), daemon.withRole(new Role(term, false, grantedBy, Map.of())), List.of()));
                    }
                }
                    // A snapshot has at least the effect of appending its last record alone, which is checked here
                    // as well.
                case APPEND -> {
                    boolean acceptsStale = host == HostVariant.ACCEPTS_STALE_RECORDS
                            && term < daemon.state().term();
                    ReplicaState replica = acceptsStale
                            ? new ReplicaState(
                                    term,
                                    message.from(),
                                    daemon.state().logPosition(),
                                    daemon.state().nonVotingStage())
                            : daemon.state();
                    long index = message.position().index();
                    boolean isMember = message.replicaSet().members().contains(message.to());
                    ReplicaState next = replica.onSnapshot(term, message.from(), index, isMember)
                            .onReplicaSet(isMember);
                    ReplicaState afterAppend = replica.onAppend(term, message.from(), index - 1, index);
                    assertTrue(
                            afterAppend == replica || afterAppend.logPosition().equals(next.logPosition()),
                            () -> replica + " accepts " + message);
                    if (next.equals(replica)) {
                        return;
                    }
                    if (acceptsStale) {
                        next = new ReplicaState(
                                daemon.state().term(),
                                daemon.state().owner(),
                                next.logPosition(),
                                next.nonVotingStage());
                    }
                    SystemState nextState =
                            state.with(message.to(), daemon.with(next, message.log(), message.replicaSet()), List.of());
                    successors.add(nextState);
                    Daemon leader = nextState.daemons().get(message.from());
                    if ((next.isVoter() || host == HostVariant.COUNTS_REPLICA_WITHOUT_STATE)
                            && leader.role() != null
                            && leader.role().isLeader()
                            && leader.role().term() == term) {
                        Map<String, Long> acknowledgedIndexes =
                                new TreeMap<>(leader.role().acknowledgedIndexes());
                        acknowledgedIndexes.merge(message.to(), index, Math::max);
                        successors.add(nextState.with(
                                message.from(),
                                leader.withRole(new Role(term, true, Set.of(), acknowledgedIndexes)),
                                List.of()));
                    }
                }
                default -> throw new IllegalStateException();
            }
        }

        private LogPosition position(String text) {
            String[] parts = text.replaceAll("[^0-9,]", "").split(",");
            return new LogPosition(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        }

        private LeaderTerm leaderTerm(String name, Daemon daemon) {
            // The last record that changes the replica set may be its last change at all. A leader term assumes
            // that it is, which is stricter.
            int replicaSetIndex = 0;
            for (int i = 0; i < daemon.log().size(); i++) {
                replicaSetIndex = daemon.log().get(i).contains("g") ? i + 1 : replicaSetIndex;
            }
            LeaderTerm leaderTerm = new LeaderTerm(name, daemon.role().term(), replicaSetIndex, daemon.replicaSet());
            for (int i = replicaSetIndex; i < daemon.log().size(); i++) {
                leaderTerm.appended();
            }
            daemon.role().acknowledgedIndexes().forEach(leaderTerm::acknowledged);
            return leaderTerm;
        }

        /** Carries out every effect that is allowed. */
        private SystemState withAllowedEffects(SystemState state) {
            Set<String> allowedEffects = new TreeSet<>(state.effects());
            state.daemons().forEach((name, daemon) -> {
                if (daemon.role() == null
                        || !daemon.role().isLeader()
                        || daemon.state().isStale(daemon.role().term(), name)) {
                    return;
                }
                long committedIndex = host == HostVariant.EFFECT_BEFORE_COMMIT
                        ? daemon.log().size()
                        : leaderTerm(name, daemon).commitIndex();
                if (host == HostVariant.COUNTS_EARLIER_TERMS) {
                    // Counts every copy of at least this length, of whatever term.
                    committedIndex = Math.max(
                            committedIndex,
                            state.daemons().values().stream()
                                                    .filter(other -> daemon.log()
                                                                    .size()
                                                            <= other.log().size())
                                                    .count()
                                            > 1
                                    ? daemon.log().size()
                                    : -1);
                }
                for (int i = 0; i < committedIndex; i++) {
                    allowedEffects.add(daemon.role().term() + "@" + daemon.log().get(i));
                }
            });
            return allowedEffects.equals(state.effects())
                    ? state
                    : new SystemState(state.daemons(), state.messages(), allowedEffects, state.stateLost());
        }

        private String findInvariantViolation(SystemState state) {
            Set<Long> ledTerms = new HashSet<>();
            for (Map.Entry<String, Daemon> entry : state.daemons().entrySet()) {
                Daemon daemon = entry.getValue();
                if (daemon.role() == null || !daemon.role().isLeader()) {
                    continue;
                }
                if (!ledTerms.add(daemon.role().term())) {
                    return "two leaders of term " + daemon.role().term();
                }
                for (String effect : state.effects()) {
                    if (Long.parseLong(effect.substring(0, effect.indexOf('@')))
                                    < daemon.role().term()
                            && !daemon.log().contains(effect.substring(effect.indexOf('@') + 1))) {
                        return entry.getKey() + " leads term " + daemon.role().term() + " without the record of effect "
                                + effect;
                    }
                }
            }
            return null;
        }

        /** Returns null if the invariants hold in every reachable state, otherwise the first violation. */
        String explore() {
            Map<String, Daemon> initialDaemons = new TreeMap<>();
            ReplicaSet replicaSet = new ReplicaSet(0, List.of("A", "B", "C"));
            List<String> initialLog = List.of("1.1");
            for (String name : changesReplicaSet ? List.of("A", "B", "C", "D") : replicaSet.members()) {
                boolean isMember = replicaSet.members().contains(name);
                ReplicaState state = isMember ? new ReplicaState(1, "A", new LogPosition(1, 1)) : ReplicaState.NONE;
                initialDaemons.put(
                        name,
                        new Daemon(
                                state,
                                isMember ? initialLog : List.of(),
                                replicaSet,
                                name.equals("A")
                                        ? new Role(1, true, Set.of(), new TreeMap<>(Map.of("B", 1L, "C", 1L)))
                                        : null));
            }
            SystemState initialState = withAllowedEffects(new SystemState(initialDaemons, Set.of(), Set.of(), false));
            Set<SystemState> seen = new HashSet<>(Set.of(initialState));
            Deque<SystemState> unexplored = new ArrayDeque<>(seen);
            while (!unexplored.isEmpty()) {
                SystemState state = unexplored.removeFirst();
                String violation = findInvariantViolation(state);
                if (violation != null) {
                    return violation + " in " + state;
                }
                maxEffectCount = Math.max(maxEffectCount, state.effects().size());
                for (SystemState nextState : successors(state)) {
                    SystemState nextWithEffects = withAllowedEffects(nextState);
                    if (seen.add(nextWithEffects)) {
                        unexplored.add(nextWithEffects);
                    }
                }
                if (seen.size() > (changesReplicaSet ? MAX_STATES : 4 * MAX_STATES)) {
                    if (!changesReplicaSet) {
                        throw new IllegalStateException(
                                "exploration exceeds its bound of states, " + unexplored.size() + " unexplored");
                    }
                    // With a fourth member the exploration is bounded by the number of states and not exhaustive;
                    // see docs/survival.md.
                    break;
                }
            }
            stateCount = seen.size();
            return null;
        }
    }

    private static final int MAX_STATES = 150_000;

    private void assertInvariantsHold(
            long maxTerms, int maxRecords, boolean changesReplicaSet, int minimumStates, int minimumEffects) {
        Exploration exploration = new Exploration(HostVariant.RIGHT, maxTerms, maxRecords, changesReplicaSet);
        assertNull(exploration.explore());
        System.out.println("states " + exploration.stateCount);
        assertTrue(
                exploration.stateCount > minimumStates && exploration.maxEffectCount > minimumEffects,
                exploration.stateCount + " states");
    }

    @Test
    void newLeaderHasRecordsOfAllEffects() {
        assertInvariantsHold(3, 2, false, 10_000, 1);
    }

    @Test
    void replicaSetChangesKeepInvariants() {
        assertInvariantsHold(2, 3, true, 1_000, 2);
    }

    @ParameterizedTest
    @EnumSource(
            value = HostVariant.class,
            names = {"RIGHT", "SWAPS_MEMBERS", "COUNTS_EARLIER_TERMS"},
            mode = EnumSource.Mode.EXCLUDE)
    void mutantIsDetected(HostVariant mutant) {
        assertNotNull(new Exploration(mutant, 3, 2, false).explore(), mutant + " was not detected");
    }

    @Test
    void swappingMembersInOneChangeIsDetected() {
        assertNotNull(new Exploration(HostVariant.SWAPS_MEMBERS, 2, 4, true).explore());
    }
}
