package amberroute.sender.peer;

import amberroute.membership.MembershipView;
import amberroute.membership.SwimMembership;
import amberroute.replication.Candidacy;
import amberroute.replication.ElectionSchedule;
import amberroute.replication.LeaderTerm;
import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaSetChange;
import amberroute.replication.ReplicaState;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.journal.Journal;
import amberroute.sender.util.Log;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Keeps this daemon's work in hand alive beyond its machine, and others' on this one (docs/survival.md): its own estate is
 * copied to a group of holders, it holds copies for others, and claims an estate whose owner is lost. What may be granted,
 * counted and had is decided in {@code survival}; here are the words, the order of record and answer, and when to try.
 * Lives on the event loop.
 */
public final class ReplicationCoordinator implements HandoffCoordinator.ReplicationRequests {
    private static final long STEP_MS = 50;
    private static final Set<String> WORDS = Set.of("CLAIM", "COPY", "WHOLE", "DONE", "AWAY", "LEAVE");
    /** A planned restart is waited for no longer than this. */
    private static final long MOST_AWAY_MS = 60_000;
    /** Who has not heard the owner for so long agrees that another tries: three beats that did not come. */
    private static final long SILENT_NANOS = 600_000_000;
    /** An estate of which nothing is heard for so long is tried for, whatever its owner says of itself by datagrams. */
    private static final long LONG_SILENT_NANOS = 1_200_000_000L;

    private static final long ASK_NANOS = 200_000_000;
    /** A claim that has not been won by then is given up; the next one comes after a pause of chance. */
    private static final long CLAIM_NANOS = 1_000_000_000;

    private static final int PAUSE_MS = 300;
    /** Whoever let go of an estate leaves it to the others for so long: they notice, ask and resume in a third of it. */
    private static final long RELEASED_NANOS = 5_000_000_000L;
    /** So long a new estate waits for the word of each of its holders that is there. */
    private static final long WORD_NANOS = 500_000_000;

    private static final int CONNECT_MS = 300;
    private static final int ANSWER_SECONDS = 1;
    private static final long GROUP_MS = 500;
    /** How long a new daemon waits for members of other zones before it takes those that it knows as holders. */
    private static final long CHOOSE_NANOS = 2_000_000_000L;

    /** What the sender does for it. */
    public interface Host {
        /** This daemon's own estate is another's: nothing of it may have an effect from here. */
        void fenced(String why);

        /** Goes on with an estate, whose copy is in this folder, under a term that was won; not on the event loop. */
        Failover startFailover(ReplicaStore.StoredReplica kept, Path folder, long term) throws IOException;

        /** How long a client may ask for a message of a class at most, in milliseconds. */
        long maxMessageLifeMillis();
    }

    /** An estate that goes on here. */
    public interface Failover {
        Journal journal();

        JournalReplicator replicator();

        /** Whether nothing of it is owed any more. */
        boolean isIdle();

        /** Whether a daemon holds back what comes of the keys that are owed here. */
        boolean isHeldBy(String daemon);

        /** Lets go of it; nothing more has an effect when this returns. On the event loop. */
        void stop();
    }

    private final class Attempt {
        final ReplicaStore.StoredReplica kept;
        final long since = System.nanoTime();
        /** First it is only asked whether it could be won, which changes nothing anywhere. */
        boolean trying = true;

        Candidacy claim;
        long askedAt;
        /** An operator wants it. */
        boolean byHand;

        boolean ahead;
        /** Somebody knows of an earlier estate of this daemon whose keys it does not hold back yet. */
        boolean former;

        Attempt(ReplicaStore.StoredReplica kept, Candidacy claim) {
            this.kept = kept;
            this.claim = claim;
        }
    }

    private static final class RunningFailover {
        final ReplicaSetChange regrouping;
        Failover taker;
        long idleSince = -1;
        int taken;
        final long took = System.nanoTime();

        RunningFailover(ReplicaSetChange regrouping) {
            this.regrouping = regrouping;
        }
    }

    private final EventLoop loop;
    private final String self;
    private final Map<String, InetSocketAddress> peers;
    private final int copies;
    private final long replaceNanos;
    private final ReplicaSetChange regrouping;
    private final Host host;
    private final ReplicaStore store;
    private final SwimTransport probes;
    private final SplittableRandom random = new SplittableRandom();
    private final ReplicaStore.StoredReplica own;
    private final JournalReplicator copying;
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Map<String, RunningFailover> cares = new LinkedHashMap<>();
    private final long started = System.nanoTime();
    private final boolean newborn;
    private ReplicaSet chosen;
    private boolean over;

    public ReplicationCoordinator(EventLoop loop, SenderConfig config, Journal journal, SwimTransport probes, Host host)
            throws IOException {
        StandaloneConfig.Standalone alone = config.standalone();
        this.loop = loop;
        self = config.name();
        peers = new LinkedHashMap<>(alone.peers());
        peers.remove(self);
        copies = alone.survive().copies();
        replaceNanos = alone.survive().replaceMillis() * 1_000_000;
        regrouping = new ReplicaSetChange(self, copies, replaceNanos);
        this.host = host;
        this.probes = probes;
        store = new ReplicaStore(config.state().resolve("copies"), config.diskBytes());
        String estate = journal.holders() == null
                ? self + "." + Long.toString(System.currentTimeMillis(), 36)
                : ReplicationMessages.estate(journal.holders());
        own = store.findOrCreate(estate);
        if (own == null) {
            throw new IOException(
                    "copies of too many estates in " + config.state().resolve("copies"));
        }
        own.runningHere = true;
        newborn = journal.holders() == null;
        chosen = newborn ? null : ReplicationMessages.group(journal.holders());
        own.state = own.state.withLogPosition(ReplicationMessages.place(journal.place()));
        copying = new JournalReplicator(loop, self, estate, journal, peers, (term, owner) -> lose(own, term, owner));
        journal.copyTo(copying);
    }

    /** Begins to try for what is this daemon's, and to look at others'. */
    public void start() {
        // A step that ends in an exception would be the last one.
        loop.scheduleWithFixedDelay(() -> Log.guarded("survival", this::step), 0, STEP_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> Log.guarded("survival", this::regroup), GROUP_MS, GROUP_MS, TimeUnit.MILLISECONDS);
    }

    /** Whether what is taken on now is copied in time. */
    public boolean isReady() {
        return copying.isReady();
    }

    /** This process ends for a restart, and the next one is back within so long. */
    public void announceRestart(long millis) {
        copying.announceRestart(millis);
    }

    /** The journal of an estate that goes on here and knows this id; null where none does. */
    public Journal failoverJournalKnowing(String id) {
        return cares.values().stream()
                .filter(c -> c.taker != null && c.taker.journal().knows(id))
                .map(c -> c.taker.journal())
                .findFirst()
                .orElse(null);
    }

    private JournalReplicator copying(ReplicaStore.StoredReplica kept) {
        RunningFailover care = cares.get(kept.journalId);
        return kept == own ? copying : care == null || care.taker == null ? null : care.taker.replicator();
    }

    /** With how far the record has come, which a running journal knows better than its file. */
    private ReplicaState now(ReplicaStore.StoredReplica kept) {
        JournalReplicator running = copying(kept);
        LogPosition at = running == null ? null : running.logPosition();
        return at == null || kept.completed ? kept.state : kept.state.withLogPosition(at);
    }

    private boolean hears(ReplicaStore.StoredReplica kept) {
        RunningFailover care = cares.get(kept.journalId);
        if (care != null && System.nanoTime() - care.took < CLAIM_NANOS) {
            // It was won here just now, and its holders are being told.
            return true;
        }
        JournalReplicator running = copying(kept);
        return running != null ? running.isReady() : System.nanoTime() - kept.heardAtNanos < SILENT_NANOS;
    }

    // ---- Words from others. ----

    @Override
    public boolean hasStarted() {
        // An earlier process may have begun it, and then it may be another's by now, with all that is said here.
        return !newborn || copying.leaderTerm() != null;
    }

    /** A line that came on the peers' listener; false where it is none of these. */
    @Override
    public boolean handle(ChannelHandlerContext context, JsonObject line, String from) {
        String word = line.get("word").getAsString();
        if (!WORDS.contains(word)) {
            return false;
        }
        String estate = PeerMessageCodec.plain(line.get("estate").getAsString());
        ReplicaStore.StoredReplica kept =
                peers.containsKey(from) && estate.lastIndexOf('.') > 0 ? store.findOrCreate(estate) : null;
        if (kept == null) {
            return true;
        }
        long term = line.get("term").getAsLong();
        if (word.equals("CLAIM")) {
            claimed(context, line, from, kept, term);
        } else if (kept.completed || now(kept).isStale(term, from)) {
            JsonObject answer = ReplicationMessages.of("OVER", self, estate, Math.max(term, kept.state.term()));
            answer.addProperty("owner", kept.state.owner());
            context.writeAndFlush(PeerMessageCodec.bytes(answer));
        } else {
            kept.heardAtNanos = System.nanoTime();
            attempts.remove(kept.journalId);
            if (!store.persistState(kept, now(kept).onLeader(term, from))) {
                return true;
            }
            if (kept.runningHere) {
                lose(kept, term, from);
                return true;
            }
            switch (word) {
                case "DONE" -> {
                    store.markCompleted(kept);
                    return true;
                }
                case "LEAVE" -> {
                    store.dropReplica(kept);
                    return true;
                }
                case "AWAY" -> {
                    // As though it were heard of until then; only whether to try depends on it.
                    kept.heardAtNanos +=
                            Math.max(0, Math.min(line.get("back_ms").getAsLong(), MOST_AWAY_MS)) * 1_000_000;
                    return true;
                }
                default -> {}
            }
            JsonObject answer = ReplicationMessages.of(
                    copied(line, from, kept, term, context.channel()) ? "HAVE" : "LACKS", self, estate, term);
            answer.addProperty("number", kept.state.logPosition().index());
            answer.addProperty("counts", kept.state.isVoter());
            if (!word.equals("WHOLE")
                    || line.get("last").getAsBoolean()
                    || answer.get("word").getAsString().equals("LACKS")) {
                context.writeAndFlush(PeerMessageCodec.bytes(answer));
            }
        }
        return true;
    }

    private boolean copied(JsonObject line, String from, ReplicaStore.StoredReplica kept, long term, Channel on) {
        if (line.has("had")) {
            ReplicaState reminded =
                    kept.state.withAcknowledged(term, from, line.get("had").getAsLong());
            if (reminded != kept.state) {
                Log.warn("survival: this folder is older than what it promised of " + kept.journalId
                        + ": no holder until it has a copy");
                if (!store.persistState(kept, reminded)) {
                    return false;
                }
            }
        }
        if (line.get("word").getAsString().equals("WHOLE")) {
            if (!store.stageSnapshot(
                    kept, line.get("first").getAsBoolean(), term, ReplicationMessages.batches(line), on)) {
                return false;
            }
            if (line.get("last").getAsBoolean()) {
                kept.replicaSet = ReplicationMessages.group(line);
                boolean named = kept.replicaSet.members().contains(self);
                return store.installSnapshot(
                        kept,
                        kept.state
                                .onSnapshot(term, from, line.get("upto").getAsLong(), named)
                                .onReplicaSet(named));
            }
            return true;
        }
        long behind = line.get("behind").getAsLong();
        long upTo = line.get("upto").getAsLong();
        if (kept.appendSource != on || !kept.state.logPosition().equals(new LogPosition(term, behind))) {
            return false;
        }
        if (line.has("holders")) {
            kept.replicaSet = ReplicationMessages.group(line);
        }
        ReplicaState next = kept.state
                .onAppend(term, from, behind, upTo)
                .onReplicaSet(kept.replicaSet.members().contains(self));
        return upTo == behind
                ? store.persistState(kept, next)
                : store.append(kept, next, ReplicationMessages.batches(line));
    }

    private void claimed(
            ChannelHandlerContext context, JsonObject line, String from, ReplicaStore.StoredReplica kept, long term) {
        LogPosition theirs = new LogPosition(
                line.get("copy_term").getAsLong(), line.get("copy_number").getAsLong());
        ReplicaState now = now(kept);
        ReplicaState next = now.onVoteRequest(term, from, theirs);
        boolean yes = next.hasGranted(term, from);
        boolean former = false;
        if (line.get("try").getAsBoolean()) {
            former = from.equals(kept.originalOwner()) && theirs.equals(LogPosition.NONE) && formerOpen(kept, from);
            yes &= !former && (from.equals(now.owner()) || !hears(kept));
        } else if (yes) {
            yes = store.persistState(kept, next);
            if (yes) {
                attempts.remove(kept.journalId);
            }
            // Whoever was granted it has time to begin.
            kept.heardAtNanos = yes ? System.nanoTime() : kept.heardAtNanos;
        }
        JsonObject answer = ReplicationMessages.of(
                yes ? "GRANT" : "DENY", self, kept.journalId, Math.max(now.term(), kept.state.term()));
        answer.addProperty("asked", term);
        answer.addProperty("former", former);
        answer.addProperty("ahead", now.isVoter() && now.logPosition().compareTo(theirs) > 0);
        JournalReplicator running = copying(kept);
        boolean lost = yes && !line.get("try").getAsBoolean() && kept.runningHere;
        if (lost && running != null) {
            // Before it is said: from here on nothing more of it is agreed on here.
            running.endTerm();
        }
        context.writeAndFlush(PeerMessageCodec.bytes(answer)).addListener(sent -> {
            if (lost) {
                lose(kept, term, from);
            }
        });
    }

    /**
     * Whether what a daemon had before it lost its folder, or its estate, has no new owner yet, or one here whose keys that
     * daemon does not hold back: until it does, nothing new of them may be taken on where clients know them to be. What
     * nobody has spoken of for longer than a message lives has no key that matters.
     */
    private boolean formerOpen(ReplicaStore.StoredReplica fresh, String origin) {
        long now = System.nanoTime();
        boolean open = false;
        for (ReplicaStore.StoredReplica kept : store.all().values()) {
            if (kept == fresh
                    || kept.completed
                    || !kept.originalOwner().equals(origin)
                    || kept.copyFolderName.isEmpty() && !kept.runningHere
                    || !kept.runningHere
                            && now - kept.heardAtNanos > host.maxMessageLifeMillis() * 1_000_000 + LONG_SILENT_NANOS) {
                continue;
            }
            if (kept.runningHere) {
                RunningFailover care = cares.get(kept.journalId);
                open |= care == null || care.taker == null || !care.taker.isHeldBy(origin);
            } else if (kept.state.owner().equals(origin)) {
                // It says itself that it has it no more: nobody need wait until that is noticed.
                kept.heardAtNanos = Math.min(kept.heardAtNanos, now - LONG_SILENT_NANOS);
                open = true;
            } else {
                // Its new owner tells by itself, as long as it is there.
                open |= probes.view().hasFailed(kept.state.owner());
            }
        }
        return open;
    }

    /** Somebody else has a later term, which is kept: what was owned here is not begun again by itself. */
    private void lose(ReplicaStore.StoredReplica kept, long term, String owner) {
        store.persistState(kept, now(kept).onLeader(term, owner));
        lose(kept, "owned by " + owner + " in term " + term);
    }

    private void lose(ReplicaStore.StoredReplica kept, String why) {
        JournalReplicator running = copying(kept);
        if (running != null) {
            running.endTerm();
        }
        if (kept == own) {
            if (!over) {
                over = true;
                host.fenced(why);
            }
            return;
        }
        RunningFailover care = cares.remove(kept.journalId);
        if (care != null && care.taker != null) {
            Log.warn("survival: " + kept.journalId + " goes on elsewhere: " + why);
            care.taker.stop();
            store.reclaimLog(kept);
        }
    }

    // ---- Claims. ----

    private void step() {
        if (over) {
            return;
        }
        if (chosen == null) {
            choose();
        }
        long now = System.nanoTime();
        for (ReplicaStore.StoredReplica kept : List.copyOf(store.all().values())) {
            if (!attempts.containsKey(kept.journalId) && wanted(kept, now)) {
                claim(kept, true, 0);
            }
        }
        List.copyOf(attempts.values()).forEach(a -> attempt(a, now));
        List.copyOf(cares.entrySet()).forEach(e -> look(e.getKey(), e.getValue(), now));
    }

    private boolean wanted(ReplicaStore.StoredReplica kept, long now) {
        if (kept.completed || now - kept.electionPausedUntilNanos < 0) {
            return false;
        }
        if (kept == own) {
            return copying.leaderTerm() == null && chosen != null;
        }
        if (kept.runningHere
                || kept.copyFolderName.isEmpty()
                || !kept.state.isVoter()
                || kept.replicaSet == null
                || !kept.replicaSet.members().contains(self)) {
            return false;
        }
        String owner = kept.state.owner();
        long silent = now - kept.heardAtNanos;
        ElectionSchedule.OwnerObservation seen = new ElectionSchedule.OwnerObservation(
                owner.equals(self), probes.view().hasFailed(owner), silent);
        return ElectionSchedule.shouldStartElection(seen, SILENT_NANOS, LONG_SILENT_NANOS);
    }

    /** A first question to the group, or, where that was answered by a majority, the claim itself, on disk before it is said. */
    private void claim(ReplicaStore.StoredReplica kept, boolean trying, long least) {
        ReplicaState now = now(kept);
        ReplicaState next = now.onVoteRequest(Math.max(least, now.term() + 1), self, now.logPosition());
        ReplicaSet group = kept == own ? chosen : kept.replicaSet;
        if (!next.hasGranted(next.term(), self)) {
            // Its own promises are not here any more: the others have what was agreed on, and one of them goes on with
            // it.
            kept.electionPausedUntilNanos = System.nanoTime() + LONG_SILENT_NANOS;
            if (kept == own) {
                lose(own, "this folder has lost what it promised");
            }
            return;
        }
        if (!trying && !store.persistState(kept, next)) {
            attempts.remove(kept.journalId);
            return;
        }
        Attempt attempt = new Attempt(kept, new Candidacy(self, group, next));
        attempt.trying = trying;
        attempts.put(kept.journalId, attempt);
        ask(attempt);
    }

    private void attempt(Attempt a, long now) {
        boolean birth = a.trying && a.claim.logPosition().equals(LogPosition.NONE);
        String owner = a.kept.state.owner();
        // An owner that is there is waited for as well: it may have more than all who have answered, should a folder be
        // an old one.
        boolean waits = a.claim.pendingVoters().stream()
                .anyMatch(h -> (birth || h.equals(owner)) && !probes.view().hasFailed(h));
        if (a.trying && (birth || a.kept != own) && waits && !a.former && now - a.since < WORD_NANOS) {
            if (now - a.askedAt > ASK_NANOS) {
                ask(a);
            }
        } else if (a.kept != own && a.trying && a.ahead) {
            // Whoever has more, and counts, is the one to go on with it: this copy is behind, or its folder an old one
            // put back.
            attempts.remove(a.kept.journalId);
            a.kept.electionPausedUntilNanos = now + (long) (ASK_NANOS * (1 + random.nextDouble()));
        } else if (a.claim.hasWon() && !a.former) {
            attempts.remove(a.kept.journalId);
            if (a.trying && !a.byHand && !wanted(a.kept, now)) {
                // Its owner was heard of meanwhile.
                return;
            }
            if (a.trying) {
                claim(a.kept, false, a.claim.term());
            } else {
                won(a);
            }
        } else if (a.former || a.claim.hasLost() || now - a.since > CLAIM_NANOS) {
            attempts.remove(a.kept.journalId);
            a.kept.electionPausedUntilNanos = now + random.nextInt(PAUSE_MS) * 1_000_000L;
            if (a.kept == own && a.ahead) {
                // Somebody has more of it than this folder: an old folder was put back, or another owned it meanwhile.
                lose(own, "others have more of it than this folder, which is older or was taken over");
            }
        } else if (now - a.askedAt > ASK_NANOS) {
            ask(a);
        }
    }

    private void ask(Attempt a) {
        a.askedAt = System.nanoTime();
        JsonObject line = ReplicationMessages.of("CLAIM", self, a.kept.journalId, a.claim.term());
        line.addProperty("try", a.trying);
        line.addProperty("copy_term", a.claim.logPosition().term());
        line.addProperty("copy_number", a.claim.logPosition().index());
        for (String holder : a.claim.pendingVoters()) {
            if (peers.containsKey(holder)) {
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ReadTimeoutHandler(ANSWER_SECONDS, TimeUnit.SECONDS),
                                                new LineBasedFrameDecoder(1 << 12, true, true),
                                                new Answer(a, holder));
                            }
                        })
                        .connect(peers.get(holder))
                        .addListener((io.netty.channel.ChannelFuture done) -> {
                            if (done.isSuccess()) {
                                done.channel().writeAndFlush(PeerMessageCodec.bytes(line));
                            }
                        });
            }
        }
    }

    private final class Answer extends SimpleChannelInboundHandler<ByteBuf> {
        private final Attempt attempt;
        private final String holder;

        Answer(Attempt attempt, String holder) {
            this.attempt = attempt;
            this.holder = holder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            JsonObject line = JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8))
                    .getAsJsonObject();
            attempt.ahead |= line.get("ahead").getAsBoolean();
            attempt.former |= line.get("former").getAsBoolean();
            attempt.claim.onVote(
                    holder,
                    line.get("asked").getAsLong(),
                    line.get("word").getAsString().equals("GRANT"),
                    line.get("term").getAsLong());
            context.close();
            if (attempts.get(attempt.kept.journalId) == attempt) {
                attempt(attempt, System.nanoTime());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void won(Attempt a) {
        ReplicaStore.StoredReplica kept = a.kept;
        if (!kept.state.hasGranted(a.claim.term(), self)) {
            return;
        }
        if (kept == own) {
            if (copying.startTerm(a.claim.term(), a.claim.logPosition(), a.claim.replicaSet())) {
                Log.warn("survival: owns " + kept.journalId + " in term " + a.claim.term() + ", held by "
                        + a.claim.replicaSet().members());
            }
            return;
        }
        RunningFailover care = new RunningFailover(new ReplicaSetChange(self, copies, replaceNanos));
        cares.put(kept.journalId, care);
        String before = kept.state.owner();
        Path folder = store.lendLog(kept);
        Log.warn("survival: takes over " + kept.journalId + " in term " + a.claim.term());
        new Thread(
                        () -> {
                            Failover taker = null;
                            try {
                                taker = host.startFailover(kept, folder, a.claim.term());
                            } catch (IOException | RuntimeException e) {
                                Log.warn("survival: cannot go on with " + kept.journalId + " of " + before + ": " + e);
                            }
                            Failover there = taker;
                            loop.execute(() -> {
                                if (there == null) {
                                    cares.remove(kept.journalId, care);
                                    kept.electionPausedUntilNanos = System.nanoTime() + LONG_SILENT_NANOS;
                                    if (kept.runningHere) {
                                        // Unless it was lost meanwhile, which has closed its journal already.
                                        store.reclaimLog(kept);
                                    }
                                } else {
                                    care.taken = there.journal().live().size();
                                }
                            });
                        },
                        "takeover")
                .start();
    }

    /** To be called on the event loop as soon as the journal of an estate is open, before anything of it is resumed. */
    public JournalReplicator startReplication(ReplicaStore.StoredReplica kept, Failover taker, long term)
            throws IOException {
        if (!cares.containsKey(kept.journalId)) {
            throw new IOException("the term is over");
        }
        LogPosition at = ReplicationMessages.place(taker.journal().place());
        JournalReplicator running = new JournalReplicator(
                loop, self, kept.journalId, taker.journal(), peers, (t, owner) -> lose(kept, t, owner));
        taker.journal().copyTo(running);
        cares.get(kept.journalId).taker = taker;
        if (!kept.state.hasGranted(term, self)
                || !running.startTerm(
                        term, at, ReplicationMessages.group(taker.journal().holders()))) {
            running.close();
            throw new IOException("the term is over");
        }
        return running;
    }

    private void look(String estate, RunningFailover care, long now) {
        if (care.taker == null || care.taker.replicator() == null) {
            return;
        }
        if (!care.taker.isIdle()) {
            care.idleSince = -1;
        } else if (care.idleSince < 0) {
            care.idleSince = now;
            Log.warn("survival: nothing is owed of " + estate + " any more");
        } else if (now - care.idleSince > host.maxMessageLifeMillis() * 1_000_000) {
            // Nobody may come again with one of its ids from here on.
            care.taker.replicator().announceCompletion();
            cares.remove(estate);
            care.taker.stop();
            store.markCompleted(store.findOrCreate(estate));
            store.findOrCreate(estate).runningHere = false;
        }
    }

    // ---- The group. ----

    private void choose() {
        List<MembershipView.Member> alive = probes.view().members(System.nanoTime() / 1_000).stream()
                .filter(MembershipView.Member::alive)
                .toList();
        boolean waited = System.nanoTime() - started > CHOOSE_NANOS;
        if (alive.size() >= (waited ? copies - 1 : peers.size())) {
            SwimMembership view = probes.view();
            chosen = new ReplicaSet(
                    0,
                    ElectionSchedule.chooseReplicas(
                            self,
                            view.zoneOf(self),
                            copies,
                            alive.stream().map(MembershipView.Member::name).toList(),
                            view::zoneOf));
        }
    }

    private void regroup() {
        if (over) {
            return;
        }
        regroup(copying, regrouping);
        cares.values().forEach(care -> {
            if (care.taker != null && care.taker.replicator() != null) {
                regroup(care.taker.replicator(), care.regrouping);
            }
        });
    }

    private void regroup(JournalReplicator running, ReplicaSetChange decides) {
        LeaderTerm tenure = running.leaderTerm();
        if (tenure == null || !running.isReady() || !tenure.isReplicaSetCommitted()) {
            return;
        }
        long now = System.nanoTime();
        SwimMembership swim = probes.view();
        List<String> alive = swim.members(now / 1_000).stream()
                .filter(MembershipView.Member::alive)
                .map(MembershipView.Member::name)
                .toList();
        ReplicaSetChange.Step step = decides.nextStep(
                now,
                tenure.replicaSet(),
                new ReplicaSetChange.View(
                        swim::hasFailed, running::hasLostState, running::isCaughtUp, alive, swim::zoneOf));
        switch (step.kind()) {
            case REMOVE -> {
                Log.warn("survival: " + step.member()
                        + (running.hasLostState(step.member())
                                ? " has lost its folder and is no holder until it" + " has a copy again"
                                : " is away and holds no copy any more"));
                running.changeReplicaSet(tenure.replicaSet().withoutMember(step.member()));
            }
            case CATCH_UP -> running.startCatchUp(step.member());
            case ADD -> {
                if (running.changeReplicaSet(tenure.replicaSet().withMember(step.member()))) {
                    Log.warn("survival: " + step.member() + " holds copies from now on");
                }
            }
            default -> {}
        }
    }

    // ---- For operators. ----

    /** All estates that are known here, as the control socket tells them. */
    public JsonArray describeReplicas() {
        JsonArray out = new JsonArray();
        for (ReplicaStore.StoredReplica kept : store.all().values()) {
            JsonObject one = new JsonObject();
            ReplicaState now = now(kept);
            one.addProperty("estate", kept.journalId);
            one.addProperty("owner", now.owner());
            one.addProperty("term", now.term());
            one.addProperty(
                    "here",
                    kept.completed
                            ? "done"
                            : kept == own
                                    ? "own"
                                    : kept.runningHere
                                            ? "taken over"
                                            : kept.copyFolderName.isEmpty() ? "promised" : "copy");
            one.addProperty("number", kept.completed ? 0 : now.logPosition().index());
            JournalReplicator running = copying(kept);
            ReplicaSet group = running != null && running.leaderTerm() != null
                    ? running.leaderTerm().replicaSet()
                    : kept.replicaSet;
            one.add("holders", PeerMessageCodec.names(group == null ? List.of() : group.members()));
            if (running != null && running.leaderTerm() != null) {
                JsonObject behind = new JsonObject();
                running.leaderTerm()
                        .replicaSet()
                        .members()
                        .forEach(h -> behind.addProperty(h, running.leaderTerm().replicationLag(h)));
                one.add("behind", behind);
                one.addProperty("ready", running.isReady());
                one.addProperty("not_in_time", running.lateEffects());
            }
            RunningFailover care = cares.get(kept.journalId);
            if (care != null) {
                one.addProperty("taken", care.taken);
                one.addProperty("for_ms", (System.nanoTime() - care.took) / 1_000_000);
            }
            out.add(one);
        }
        return out;
    }

    /**
     * An operator wants this daemon to let go of an estate that it has taken over: another holder tries for it, and this one only
     * where nobody has after a while. Null, or why it cannot.
     */
    public String releaseFailover(String estate) {
        RunningFailover care = cares.get(estate);
        if (care == null || care.taker == null || care.taker.replicator() == null) {
            return estate.equals(own.journalId)
                    ? "it is this daemon's own: stop it for good instead"
                    : "it does not go on here";
        }
        ReplicaStore.StoredReplica kept = store.findOrCreate(estate);
        List<String> others = care.taker.replicator().leaderTerm().replicaSet().members().stream()
                .filter(h ->
                        !h.equals(self) && care.taker.replicator().leaderTerm().replicationLag(h) == 0)
                .toList();
        if (others.isEmpty()) {
            return "no other holder has all of it just now";
        }
        Log.warn("survival: lets go of " + estate + " as asked; " + others + " have all of it");
        // What is not agreed on has no effect from here on, and its holders hear of it no more.
        care.taker.replicator().endTerm();
        cares.remove(estate);
        care.taker.stop();
        store.reclaimLog(kept);
        kept.electionPausedUntilNanos = System.nanoTime() + RELEASED_NANOS;
        return null;
    }

    /** An operator wants this daemon to try for an estate now; null, or why it cannot. */
    public String requestFailover(String estate) {
        ReplicaStore.StoredReplica kept = store.all().get(estate);
        if (kept == null
                || kept.completed
                || kept.copyFolderName.isEmpty()
                || kept.runningHere
                || !kept.state.isVoter()) {
            return kept == null
                    ? "no such estate here"
                    : kept.runningHere ? "it goes on here" : "there is no copy of it here";
        }
        if (hears(kept)) {
            return "its owner " + kept.state.owner() + " was heard of just now";
        }
        if (!attempts.containsKey(estate)) {
            claim(kept, true, 0);
            attempts.get(estate).byHand = true;
        }
        return null;
    }

    public void close() {
        copying.close();
        List.copyOf(cares.values()).forEach(care -> {
            if (care.taker != null) {
                care.taker.stop();
            }
        });
        store.close();
        probes.close();
    }
}
