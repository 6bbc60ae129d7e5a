package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.ServiceManagerNotifier;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each check of {@link SubmissionAdmission}, and which of two that apply decides. */
class SubmissionAdmissionTest {
    private static final int DESTINATION = 7;
    private static final long TIME_LEFT_MS = 10_000;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private SenderFixture world;
    private SenderState state;
    private LifecycleComponents parts;
    private SubmissionAdmission admission;

    @BeforeEach
    void open() throws IOException {
        world = new SenderFixture(folder);
        SenderConfig config = SenderConfig.read(world.environment());
        ActiveSettings settings = new ActiveSettings(config);
        StateFolder stateFolder = new StateFolder(config);
        stateFolder.lock();
        stateFolder.open(loop, () -> {});
        state = new SenderState(
                config,
                loop,
                new LifecycleState(),
                stateFolder,
                new MessageTable(),
                settings,
                new SenderMetrics(),
                new OwnershipTransfers());
        DeliveryComponents delivery = new DeliveryComponents(
                state, new EventLoopStallDetector(), SchedulerDriver.newTracedScheduler(settings), actions -> {});
        parts = new LifecycleComponents(
                state,
                delivery,
                new ServiceManagerNotifier(Map.of()),
                ConfigSource.NOT_RELOADABLE,
                new CompletableFuture<>(),
                () -> null);
        admission = new SubmissionAdmission(
                state, delivery.endpoints, delivery.peers, delivery.fleet, parts.shutdown, () -> 0);
        onLoop(() -> {
            parts.settingsActivation.apply(config);
            state.lifecycle().enter(LifecyclePhase.READY);
        });
    }

    @AfterEach
    void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        state.folder().close();
        world.close();
    }

    private void onLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    private SubmissionVerdict decide(ClientServer.Submission submission) {
        return loop.submit(() -> admission.decide(submission))
                .syncUninterruptibly()
                .getNow();
    }

    private static ClientServer.Submission submission(String id, String className, String body) {
        return new ClientServer.Submission(
                0, id, className, TIME_LEFT_MS, DESTINATION, "", body.getBytes(StandardCharsets.UTF_8));
    }

    private AcceptedMessage message(ClientServer.Submission submission) {
        return new AcceptedMessage(
                state.folder().journal().nextNumber(),
                submission.id(),
                submission.idempotencyKey(),
                submission.className(),
                submission.key(),
                submission.destination(),
                state.folder().steadyMillis() + submission.timeLeftMillis(),
                submission.body());
    }

    private void journal(ClientServer.Submission submission) {
        onLoop(() -> {
            AcceptedMessage message = message(submission);
            message.classNumber = state.messages().classes().number(submission.className());
            state.folder().journal().accept(message);
        });
    }

    private static SubmissionVerdict reject(SubmissionVerdict.RejectionReason reason) {
        return new SubmissionVerdict.Reject(reason, 0);
    }

    @Test
    void acceptsWhatNoCheckAppliesTo() {
        assertEquals(new SubmissionVerdict.Accept(), decide(submission("a", "safe", "one")));
    }

    @Test
    void aKnownIdIsADuplicateOrAReuse() {
        journal(submission("a", "safe", "one"));
        assertEquals(new SubmissionVerdict.Duplicate(state.folder().journal()), decide(submission("a", "safe", "one")));
        assertEquals(reject(SubmissionVerdict.RejectionReason.ID_REUSED), decide(submission("a", "safe", "another")));
        assertEquals(new SubmissionVerdict.Accept(), decide(submission("b", "safe", "one")));
    }

    @Test
    void anUnknownClassIsInvalid() {
        assertEquals(
                new SubmissionVerdict.Invalid(SubmissionVerdict.InvalidReason.UNKNOWN_CLASS),
                decide(submission("a", "none", "one")));
        assertEquals("unknown class", SubmissionVerdict.InvalidReason.UNKNOWN_CLASS.wireText());
        assertEquals("unknown destination", SubmissionVerdict.InvalidReason.UNKNOWN_DESTINATION.wireText());
    }

    @Test
    void anIdThatArrivesTwiceInAnIterationIsDeferredEvenAtCapacity() {
        ClientServer.Submission first = submission("a", "safe", "one");
        onLoop(() -> state.messages().pendingAcceptanceIds().add(first.id()));
        fill();
        assertEquals(new SubmissionVerdict.Defer(SubmissionVerdict.DeferReason.DUPLICATE_ARRIVING), decide(first));
        assertEquals(reject(SubmissionVerdict.RejectionReason.CAPACITY), decide(submission("b", "safe", "one")));
    }

    private void fill() {
        int bound = state.activeSettings().settings().limits().maxPendingMessages();
        onLoop(() -> {
            for (long number = 1; number <= bound; number++) {
                state.messages().accepted().put(-number, message(submission("filler", "safe", "")));
            }
        });
    }

    @Test
    void aStopRejectsBeforeTheClassIsChecked() {
        onLoop(() -> parts.shutdown.begin(ShutdownMode.FINAL, 60_000));
        SubmissionVerdict.Reject verdict = (SubmissionVerdict.Reject) decide(submission("a", "none", "one"));
        assertEquals(SubmissionVerdict.RejectionReason.STOPPING, verdict.reason());
    }

    @Test
    void aDuplicateIsAnsweredDuringAStop() {
        journal(submission("a", "safe", "one"));
        onLoop(() -> parts.shutdown.begin(ShutdownMode.FINAL, 60_000));
        assertEquals(new SubmissionVerdict.Duplicate(state.folder().journal()), decide(submission("a", "safe", "one")));
    }

    @Test
    void whatAnotherProcessOwnsIsForwardedBeforeAnyOtherCheck() {
        journal(submission("a", "safe", "one"));
        fill();
        onLoop(state.lifecycle()::releaseOwnership);
        assertEquals(new SubmissionVerdict.Forward(), decide(submission("a", "none", "another")));
    }
}
