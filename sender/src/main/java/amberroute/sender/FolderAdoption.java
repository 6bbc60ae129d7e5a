package amberroute.sender;

import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.handoff.Ownership;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.journal.FencingToken;
import amberroute.sender.journal.Journal;
import amberroute.sender.journal.JournalView;
import amberroute.sender.journal.StateLock;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.OrphanedJournalRecovery;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Takes over the messages of an orphaned state folder, whose process has ended or is fenced. Reads that folder on the calling
 * thread, which must not be the event loop, and passes its messages to the event loop in batches.
 */
final class FolderAdoption {
    /** The numbers of messages adopted now, and adopted before by an interrupted adoption. */
    record Result(int adopted, int adoptedBefore) {}

    private final SenderConfig config;
    private final EventLoop loop;
    private final LifecycleState lifecycle;
    private final StateFolder folder;
    private final MessageTable messages;
    private final ActiveSettings activeSettings;
    private final MessageRecovery recovery;

    FolderAdoption(SenderState state, MessageRecovery recovery) {
        config = state.config();
        loop = state.loop();
        lifecycle = state.lifecycle();
        folder = state.folder();
        messages = state.messages();
        activeSettings = state.activeSettings();
        this.recovery = recovery;
    }

    /**
     * Takes over all messages of an orphaned folder.
     *
     * @param fenced whether the process that may still hold the folder's lock is known to be stopped or partitioned, so that a
     *     fencing token may end it
     * @throws InvalidSettingsException if the folder cannot be taken over
     * @throws IOException if a folder cannot be read or written
     */
    Result adopt(Path orphanedFolder, boolean fenced) throws IOException {
        if (!hasJournal(orphanedFolder)) {
            throw new InvalidSettingsException("no journal in " + orphanedFolder);
        }
        if (Files.isSameFile(orphanedFolder, config.state())) {
            throw new InvalidSettingsException(orphanedFolder + " is this process's own");
        }
        StateLock orphanedLock = StateLock.tryAcquire(orphanedFolder, false);
        try {
            if (orphanedLock == null) {
                checkFencingPossible(orphanedFolder, fenced);
            }
            checkCapacity(JournalView.read(orphanedFolder).pendingCount());
            FencingToken token = FencingToken.create(orphanedFolder, config.name(), config.state());
            return adoptFenced(token, orphanedFolder, orphanedLock == null);
        } finally {
            if (orphanedLock != null) {
                orphanedLock.close();
            }
        }
    }

    /**
     * Takes over a folder before this process serves, so that no new message of an ordered key overtakes the adopted ones. Does
     * nothing if the folder has been adopted already.
     */
    void adoptBeforeServing(Path orphanedFolder) throws IOException {
        if (!hasJournal(orphanedFolder)) {
            // The process died before it opened a journal, so it accepted no message.
            LogEvent.of("orphaned_folder_empty").with("folder", orphanedFolder).warn();
            return;
        }
        FencingToken token = FencingToken.read(orphanedFolder);
        if (token == null || !token.completed()) {
            adopt(orphanedFolder, true);
        }
    }

    private static boolean hasJournal(Path orphanedFolder) {
        return Files.isRegularFile(orphanedFolder.resolve("journal"));
    }

    private static void checkFencingPossible(Path orphanedFolder, boolean fenced) throws IOException {
        if (!fenced) {
            throw new InvalidSettingsException("a process holds " + orphanedFolder + "; only a fence could stop it");
        }
        if (!StateLock.isFencingChecked(orphanedFolder)) {
            throw new InvalidSettingsException(
                    "the process that holds " + orphanedFolder + " does not look for a fence");
        }
    }

    private void checkCapacity(int messageCount) {
        int capacity = loop.submit(
                        () -> activeSettings.settings().limits().maxPendingMessages() - messages.pendingCount())
                .syncUninterruptibly()
                .getNow();
        if (messageCount > capacity) {
            throw new InvalidSettingsException(
                    "no room for " + messageCount + " messages, only for " + Math.max(0, capacity));
        }
    }

    /** Adopts the messages after the fencing token is raised: from then on nothing is added to the orphaned journal. */
    private Result adoptFenced(FencingToken token, Path orphanedFolder, boolean ownerMayLive) throws IOException {
        int adopted = 0;
        int adoptedBefore = 0;
        try (Journal journal = Journal.openReadOnly(orphanedFolder)) {
            Map<String, List<AcceptedMessage>> batches = OrphanedJournalRecovery.batches(
                    token.handoffId(), journal.pendingMessages(), folder.steadyMillis());
            for (Map.Entry<String, List<AcceptedMessage>> batch : batches.entrySet()) {
                int adoptedFromBatch = adoptOnEventLoop(batch.getKey(), batch.getValue(), orphanedFolder, ownerMayLive);
                adopted += adoptedFromBatch;
                adoptedBefore += adoptedFromBatch == 0 ? batch.getValue().size() : 0;
            }
            copyAdoptionRecords(journal);
        }
        token.markCompleted(orphanedFolder);
        LogEvent.of("orphaned_folder_adopted")
                .with("folder", orphanedFolder)
                .with("messages", adopted)
                .with("messages_adopted_before", adoptedBefore)
                .warn();
        return new Result(adopted, adoptedBefore);
    }

    private int adoptOnEventLoop(
            String batchId, List<AcceptedMessage> orphanedMessages, Path orphanedFolder, boolean ownerMayLive)
            throws IOException {
        int adopted = loop.submit(() -> adoptBatch(batchId, orphanedMessages, ownerMayLive))
                .syncUninterruptibly()
                .getNow();
        if (adopted < 0) {
            throw new IOException(
                    "the journal has no room; what is left in " + orphanedFolder + " can be taken by asking again");
        }
        return adopted;
    }

    /**
     * Copies the records of batches that the orphaned process adopted itself, so that an adoption that it left unfinished can be
     * continued here without adopting a batch twice.
     */
    private void copyAdoptionRecords(Journal orphanedJournal) {
        orphanedJournal.handoffBatches().forEach((batchId, handoffBatch) -> {
            if (batchId.startsWith(OrphanedJournalRecovery.PREFIX)) {
                loop.submit(() -> folder.journal().handoffBatches().containsKey(batchId)
                                || folder.journal()
                                        .writeHandoffBatch(
                                                batchId,
                                                handoffBatch.ownership(),
                                                handoffBatch.retainUntilMillis(),
                                                List.of()))
                        .syncUninterruptibly();
            }
        });
    }

    /**
     * Returns the number of adopted messages, 0 if the batch was adopted before, or -1 if the journal has no capacity for it or
     * this process has released its ownership.
     */
    private int adoptBatch(String batchId, List<AcceptedMessage> orphanedMessages, boolean ownerMayLive) {
        if (folder.journal().handoffBatches().containsKey(batchId)) {
            return 0;
        }
        List<AcceptedMessage> copies = orphanedMessages.stream()
                .map(orphan -> OrphanedJournalRecovery.copy(orphan, folder.journal()::nextNumber, ownerMayLive))
                .toList();
        copies.forEach(copy -> copy.classNumber = messages.classes().number(copy.className));
        // It is unknown whether a message of an unknown class may be retried, so it has failed.
        copies.stream()
                .filter(copy -> copy.classNumber < 0 && copy.pendingNotification == null)
                .forEach(copy -> copy.end(copy.failed()));
        long retainedUntilMillis =
                copies.stream().mapToLong(copy -> copy.deadlineMillis).max().orElse(0)
                        + OrphanedJournalRecovery.EXPIRED_RETENTION_MS;
        Ownership ownership = new Ownership(1, Ownership.Status.OWNED, "");
        if (lifecycle.ownershipReleased()
                || !folder.journal().acceptHandoffBatch(batchId, ownership, retainedUntilMillis, copies)) {
            return -1;
        }
        folder.forceOrHalt();
        copies.forEach(this::resume);
        return copies.size();
    }

    private void resume(AcceptedMessage message) {
        if (message.pendingNotification != null) {
            recovery.resumeNotification(message);
        } else {
            recovery.restorePending(message);
        }
    }
}
