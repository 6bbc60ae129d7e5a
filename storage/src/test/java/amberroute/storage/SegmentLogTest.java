package amberroute.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the log with process kills, disk faults, full disks and power losses at any operation, and with damaged segments. */
class SegmentLogTest {
    private static final LogLimits LIMITS = new LogLimits(80 * 4_096, 4_096, 0, false);
    private static final LogLimits FORCED_LIMITS = new LogLimits(80 * 4_096, 4_096, 0, true);

    private static TreeMap<Long, byte[]> readContents(Disk disk) throws IOException {
        TreeMap<Long, byte[]> contentByOwnerId = new TreeMap<>();
        SegmentLog.openReadOnly(disk)
                .readLiveContents((ownerId, kind, version, content) ->
                        contentByOwnerId.put(ownerId, StorageScenario.toBytes(content)));
        return contentByOwnerId;
    }

    private static SegmentLog open(Disk disk, long seed) throws IOException {
        return StorageScenario.openLog(disk, LIMITS, seed);
    }

    /** Kills successive processes on one disk at various operations while they write, replace, delete and compact contents. */
    @Test
    void processKilledAtAnyOperationLosesAndRestoresNothing() throws Exception {
        long retired = 0;
        long written = 0;
        for (long run = 1; run <= 1_500; run++) {
            StorageScenario scenario = new StorageScenario(LIMITS, run, StorageScenario::openLog);
            for (int processNumber = 0; processNumber < 4; processNumber++) {
                String context = "run " + run + ", process " + processNumber;
                scenario.disk.restart(run * 7 + processNumber, SimulatedDisk.Fault.KILL, 4 + run % 300);
                scenario.runProcess(120, 8, context);
                scenario.resolvePendingBatch(context + ", after the kill");
            }
            retired += scenario.retiredSegments;
            written += scenario.writtenBatches;
        }
        assertTrue(retired > 1_000 && written > 50_000, retired + " retired, " + written + " written");
    }

    /** A failed write leaves the log unchanged, even if the torn write cannot be truncated. */
    @Test
    void failedWriteLeavesLogUnchangedAndWritable() throws Exception {
        for (SimulatedDisk.Fault fault :
                List.of(SimulatedDisk.Fault.FAIL, SimulatedDisk.Fault.FAIL_AND_TRUNCATE_FAILS)) {
            for (long run = 0; run < 2_500; run++) {
                StorageScenario scenario = new StorageScenario(LIMITS, run, StorageScenario::openLog);
                scenario.disk.restart(run, fault, 3 + run % 160);
                String context = fault + ", run " + run;
                scenario.runProcess(100, 6, context);
                if (scenario.log == null) {
                    continue;
                }
                assertTrue(scenario.failedOperations <= 2, context + " failed " + scenario.failedOperations + " times");
                assertFalse(scenario.log.hasUncertainWrite(), context);
                scenario.resolvePendingBatch(context);
                scenario.runProcess(30, 6, context + ", next process");
                scenario.resolvePendingBatch(context + ", next process");
            }
        }
    }

    /** The disk is full or read-only, remains so across a restart, and then recovers. */
    @Test
    void fullOrReadOnlyDiskRejectsWritesUntilItRecoversAndLosesNothing() throws Exception {
        for (SimulatedDisk.Fault fault : List.of(SimulatedDisk.Fault.FULL, SimulatedDisk.Fault.READ_ONLY)) {
            for (long run = 0; run < 500; run++) {
                StorageScenario scenario = new StorageScenario(LIMITS, run, StorageScenario::openLog);
                String context = fault + ", run " + run;
                scenario.disk.restart(run, fault, 3 + run % 120);
                scenario.runProcess(90, 10, context);
                assertTrue(scenario.failedOperations > 0, "no write failed, " + context);
                scenario.resolvePendingBatch(context);
                scenario.disk.restart(run, fault, 1);
                scenario.runProcess(5, 10, context + ", fault persists");
                long writtenBefore = scenario.writtenBatches;
                scenario.resolvePendingBatch(context + ", fault persists");
                scenario.runProcess(40, 10, context + ", disk recovered");
                assertTrue(scenario.writtenBatches > writtenBefore + 30, context);
                scenario.resolvePendingBatch(context + ", at the end");
            }
        }
    }

    /** The fault ends while the process runs: writes succeed again without a restart, and no content is lost. */
    @Test
    void recoveredDiskIsWrittenWithoutRestart() throws Exception {
        for (long run = 0; run < 500; run++) {
            StorageScenario scenario = new StorageScenario(LIMITS, run, StorageScenario::openLog);
            scenario.disk.restart(
                    run, run % 2 == 0 ? SimulatedDisk.Fault.FULL : SimulatedDisk.Fault.READ_ONLY, 10 + run % 100);
            scenario.disk.endFaultBefore(60 + run % 100);
            scenario.runProcess(200, 10, "run " + run);
            assertTrue(scenario.writeRandomBatch(10), "run " + run);
            assertFalse(scenario.log.hasUncertainWrite(), "run " + run);
            assertTrue(
                    scenario.disk.fileNames().size() < 80,
                    scenario.disk.fileNames().size() + " files, run " + run);
            scenario.resolvePendingBatch("run " + run);
        }
    }

    /** Power is lost at various operations: forced contents are recovered, and no deleted owner is restored. */
    @Test
    void forcedContentsSurvivePowerLoss() throws Exception {
        long retired = 0;
        for (long run = 1; run <= 2_000; run++) {
            StorageScenario scenario = new StorageScenario(FORCED_LIMITS, run, StorageScenario::openLog);
            for (int processNumber = 0; processNumber < 3; processNumber++) {
                String context = "run " + run + ", process " + processNumber;
                scenario.disk.restart(run * 3 + processNumber, SimulatedDisk.Fault.KILL, 10 + run % 400);
                scenario.runProcess(150, 8, context);
                scenario.simulatePowerLoss(run * 5 + processNumber, context);
            }
            retired += scenario.retiredSegments;
        }
        assertTrue(retired > 500, retired + " retired");
    }

    /** After a failed force, the live contents of its segments are copied to other segments and forced there. */
    @Test
    void failedForceIsRepairedByCopyingLiveContents() throws Exception {
        for (long run = 0; run < 600; run++) {
            StorageScenario scenario = new StorageScenario(FORCED_LIMITS, run, StorageScenario::openLog);
            scenario.disk.restart(run, SimulatedDisk.Fault.FAIL_FORCES, 20 + run % 60);
            scenario.disk.endFaultBefore(100 + run % 60);
            scenario.runProcess(40, 12, "run " + run);
            boolean rewriteNeeded = false;
            for (int i = 0; i < 400 && (scenario.log.needsRewrite() || !scenario.force()); i++) {
                rewriteNeeded |= scenario.log.needsRewrite();
                if (!scenario.compact(500)) {
                    scenario.force();
                }
            }
            assertFalse(scenario.log.needsRewrite(), "run " + run);
            assertTrue(scenario.force(), "run " + run);
            scenario.simulatePowerLoss(run, "run " + run);
        }
    }

    /** Writes until the budget is almost full: the log compacts as needed, and never exceeds the budget. */
    @Test
    void budgetIsNotExceededWithEightyPercentLive() throws Exception {
        for (long run = 0; run < 12; run++) {
            SimulatedDisk disk = new SimulatedDisk();
            LogLimits limits = LogLimits.forBudget(3 << 20, false);
            SplittableRandom random = new SplittableRandom(run);
            SegmentLog log = SegmentLog.open(disk, limits, random::nextLong);
            List<Long> liveOwnerIds = new ArrayList<>();
            // Like the journal, accepts contents only as long as the space that compaction needs remains free.
            for (int i = 0; i < 12_000; i++) {
                byte[] content = new byte
                        [run % 3 == 0
                                ? 300
                                : run % 3 == 1 ? random.nextInt(2_000) : random.nextInt(100) == 0 ? 65_536 : 200];
                if (log.liveBytes() + content.length + 60 + 40L * liveOwnerIds.size()
                        <= limits.budgetBytes() - log.reservedBytes()) {
                    long ownerId = log.nextOwnerId();
                    log.write(new Batch().put(ownerId, 1, content));
                    liveOwnerIds.add(ownerId);
                } else {
                    for (int n = 0; n < 3 && !liveOwnerIds.isEmpty(); n++) {
                        log.write(new Batch().delete(liveOwnerIds.remove(random.nextInt(liveOwnerIds.size()))));
                    }
                }
            }
            assertTrue(
                    disk.maxUsedBytes() <= limits.budgetBytes(),
                    "used " + disk.maxUsedBytes() + " of " + limits.budgetBytes() + " bytes");
            assertTrue(
                    log.liveBytes() > 0.8 * limits.budgetBytes(), log.liveBytes() + " live of " + limits.budgetBytes());
            assertEquals(liveOwnerIds.size(), readContents(disk).size());
        }
    }

    /** One long-lived owner among many short-lived ones is copied repeatedly, and disk use remains bounded. */
    @Test
    void compactionBoundsDiskUseWithOneLongLivedOwner() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 2);
        long longLivedOwnerId = log.nextOwnerId();
        log.write(new Batch().put(longLivedOwnerId, 1, new byte[300]));
        for (int i = 0; i < 100_000; i++) {
            long ownerId = log.nextOwnerId();
            log.write(new Batch().put(ownerId, 1, new byte[100]));
            log.write(new Batch().delete(ownerId));
            while (log.shouldCompact() && log.compact(1_000)) {
                // Compacts one slice at a time between writes.
            }
        }
        assertTrue(disk.maxUsedBytes() < 16 * 4_096, "used up to " + disk.maxUsedBytes() + " bytes");
        assertEquals(List.of(longLivedOwnerId), List.copyOf(readContents(disk).keySet()));
    }

    @Test
    void compactionStepCopiesAtMostTheRequestedBytes() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = StorageScenario.openLog(disk, new LogLimits(64 << 20, 128 << 10, 0, false), 1);
        for (int i = 0; i < 4_000; i++) {
            log.write(new Batch().put(log.nextOwnerId(), 1, new byte[200]));
        }
        for (long ownerId = 1; ownerId < 4_000; ownerId += 2) {
            log.write(new Batch().delete(ownerId));
        }
        while (log.retiredSegments() < 3) {
            long copiedBefore = log.copiedBytes();
            assertTrue(log.compact(8_192), "no segment to retire");
            assertTrue(
                    log.copiedBytes() - copiedBefore <= 8_192,
                    (log.copiedBytes() - copiedBefore) + " bytes copied in one step");
        }
        assertTrue(log.copiedBytes() > 3 * 40_000, "too few live bytes copied from the retired segments");
    }

    /** Guards against records over their size limit where room is made by whole segments, which may be larger than a record. */
    @Test
    void compactionForRoomKeepsRecordsWithinTheirLimit() throws Exception {
        LogLimits limits = LogLimits.forBudget(16 << 20, false);
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = StorageScenario.openLog(disk, limits, 1);
        SplittableRandom random = new SplittableRandom(1);
        List<Long> liveOwnerIds = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            long ownerId = log.nextOwnerId();
            log.write(new Batch().put(ownerId, 1, new byte[40_000]));
            liveOwnerIds.add(ownerId);
            // Like the journal, keeps the space free that compaction needs.
            while (log.liveBytes() + 40_100 > limits.budgetBytes() - log.reservedBytes()) {
                log.write(new Batch().delete(liveOwnerIds.remove(random.nextInt(liveOwnerIds.size()))));
            }
        }
        assertTrue(log.retiredSegments() > 50, log.retiredSegments() + " segments retired");
        assertEquals(
                liveOwnerIds, List.copyOf(readContents(disk).keySet()).stream().toList());
    }

    /** Guards against an unchecked error for a batch that fits a segment but not a record. */
    @Test
    void batchLargerThanARecordIsRejectedAndChangesNothing() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = StorageScenario.openLog(disk, new LogLimits(16 << 20, 1 << 20, 0, false), 1);
        Batch batch = new Batch();
        for (int i = 0; i < 7; i++) {
            batch.put(log.nextOwnerId(), 1, new byte[40_000]);
        }
        assertThrows(LogFullException.class, () -> log.write(batch));
        long ownerId = log.nextOwnerId();
        log.write(new Batch().put(ownerId, 1, new byte[40_000]));
        assertEquals(List.of(ownerId), List.copyOf(readContents(disk).keySet()));
    }

    /** A damaged byte loses only the record that contains it and is reported; the damaged file is kept unchanged. */
    @Test
    void damagedByteLosesOnlyItsRecordAndIsReported() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        SimulatedDisk disk = new SimulatedDisk();
        LogLimits singleSegmentLimits = new LogLimits(4 << 20, 1 << 20, 0, false);
        SegmentLog log = StorageScenario.openLog(disk, singleSegmentLimits, 1);
        for (int i = 0; i < 200; i++) {
            byte[] content = new byte[random.nextInt(60)];
            random.nextBytes(content);
            log.write(new Batch().put(log.nextOwnerId(), 1, content));
        }
        String name = disk.fileNames().get(0);
        byte[] intactBytes = disk.fileBytes(name);
        int reportedLosses = 0;
        for (int i = 0; i < 400; i++) {
            byte[] damagedBytes = intactBytes.clone();
            int damagedOffset = random.nextInt(damagedBytes.length);
            damagedBytes[damagedOffset] ^= (byte) (1 << random.nextInt(8));
            disk.putFile(name, damagedBytes);
            SegmentLog reopened = SegmentLog.openReadOnly(disk);
            TreeMap<Long, byte[]> contentByOwnerId = readContents(disk);
            assertTrue(
                    contentByOwnerId.size() >= 199,
                    "byte " + damagedOffset + ": only " + contentByOwnerId.size() + " contents");
            boolean lastRecordLost = contentByOwnerId.size() == 199 && !contentByOwnerId.containsKey(200L);
            assertEquals(
                    !lastRecordLost, !reopened.losses().isEmpty(), "byte " + damagedOffset + " " + reopened.losses());
            reportedLosses += reopened.losses().size();
        }
        assertTrue(reportedLosses > 300, "only " + reportedLosses + " losses were reported");
        disk.putFile(name, intactBytes);
        byte[] damagedBytes = intactBytes.clone();
        damagedBytes[intactBytes.length / 2] ^= 1;
        disk.putFile(name, damagedBytes);
        SegmentLog reopened = StorageScenario.openLog(disk, singleSegmentLimits, 2);
        reopened.write(new Batch().delete(1));
        while (reopened.segmentCount() > 1 && reopened.compact(1 << 20)) {
            // Compacts until the damaged segment is retired.
        }
        assertArrayEquals(damagedBytes, disk.fileBytes(name + ".damaged"));
        assertEquals(198, readContents(disk).size());
    }

    /** A content that is itself a valid record with another salt is not read as a record after damaged bytes. */
    @Test
    void contentThatImitatesRecordIsNotReadAsRecord() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        RecordBuilder items = new RecordBuilder();
        items.addContent(77, 1, false, 5, new byte[5]);
        ByteBuffer record = items.encodeRecord(9, 77);
        byte[] recordBytes = new byte[record.remaining()];
        record.get(recordBytes);
        log.write(new Batch().put(log.nextOwnerId(), 1, recordBytes));
        log.write(new Batch().put(log.nextOwnerId(), 1, new byte[] {4}));
        String name = disk.fileNames().get(0);
        byte[] damagedBytes = disk.fileBytes(name).clone();
        int contentOffset = SegmentFormat.SEGMENT_HEADER_BYTES + SegmentFormat.RECORD_HEADER_BYTES + 3;
        damagedBytes[contentOffset + 5] ^= 1;
        disk.putFile(name, damagedBytes);
        assertEquals(List.of(2L), List.copyOf(readContents(disk).keySet()));
        assertEquals(1, SegmentLog.openReadOnly(disk).losses().size());
    }

    @Test
    void newerFormatIsRejectedAndLeftUnchanged() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        log.write(new Batch().put(1, 1, new byte[3]));
        String name = disk.fileNames().get(0);
        byte[] bytes = disk.fileBytes(name).clone();
        ByteBuffer newer = ByteBuffer.wrap(bytes);
        newer.putShort(8, (short) (SegmentFormat.FORMAT_VERSION + 1));
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, SegmentFormat.SEGMENT_HEADER_BYTES - 4);
        newer.putInt(SegmentFormat.SEGMENT_HEADER_BYTES - 4, (int) crc.getValue());
        disk.putFile(name, bytes);
        assertThrows(UnsupportedFormatException.class, () -> open(disk, 2));
        assertArrayEquals(bytes, disk.fileBytes(name));
        assertEquals(List.of(name), disk.fileNames());
    }

    /** Other files are ignored and left unchanged; a missing segment is reported, and only its own contents are lost. */
    @Test
    void folderWithForeignFilesAndMissingSegmentIsRead(@TempDir Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        try (SegmentLog log = SegmentLog.open(new FolderDisk(folder), FORCED_LIMITS, random::nextLong)) {
            for (int i = 0; i < 400; i++) {
                log.write(new Batch().put(log.nextOwnerId(), 1, new byte[50]));
            }
            PendingForce force = log.prepareForce();
            force.run();
            log.forceCompleted(force, true);
            assertEquals(null, log.prepareForce());
        }
        Files.writeString(folder.resolve("stray.seg"), "nothing");
        Files.writeString(folder.resolve("README"), "nothing");
        Files.createDirectory(folder.resolve("0000000000000001-0000000000000001.seg"));
        List<String> names = new FolderDisk(folder)
                .list().stream().filter(SegmentLog::isSegmentFileName).sorted().toList();
        assertTrue(names.size() > 5, names.toString());
        assertEquals(400, readContents(new FolderDisk(folder)).size());
        Files.delete(folder.resolve(names.get(2)));
        int readableContents = readContents(new FolderDisk(folder)).size();
        assertTrue(readableContents > 250 && readableContents < 400, readableContents + " contents are readable");
        try (SegmentLog reopened = SegmentLog.open(new FolderDisk(folder), FORCED_LIMITS, random::nextLong)) {
            assertEquals(1, reopened.losses().size());
            assertEquals(names.get(2).substring(0, 16), reopened.losses().get(0).segment());
            assertEquals(401, reopened.nextOwnerId());
            reopened.write(new Batch().put(401, 1, new byte[1]));
        }
        assertTrue(Files.exists(folder.resolve("stray.seg")) && Files.exists(folder.resolve("README")));
        assertEquals(readableContents + 1, readContents(new FolderDisk(folder)).size());
    }

    /** A retired segment is not reported as missing, and the IDs of deleted owners are not reused after a restart. */
    @Test
    void retiredSegmentsAreNotReportedMissingAndOwnerIdsIncreaseAcrossRestarts() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        long lastOwnerId = 0;
        for (int i = 0; i < 500; i++) {
            lastOwnerId = log.nextOwnerId();
            log.write(new Batch().put(lastOwnerId, 1, new byte[100]));
            log.write(new Batch().delete(lastOwnerId));
        }
        for (int i = 0; i < 1_000 && log.compact(1_000); i++) {
            // Compacts until nothing is left to do.
        }
        assertTrue(log.retiredSegments() > 5);
        assertEquals(List.of(), SegmentLog.openReadOnly(disk).losses());
        SegmentLog reopened = open(disk, 2);
        assertTrue(reopened.nextOwnerId() > lastOwnerId);
    }

    /** The folder is deleted while the log is open: writes throw an IOException, and nothing else fails. */
    @Test
    void deletedFolderFailsWritesWithoutEndingTheProcess(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("state");
        SegmentLog log = SegmentLog.open(new FolderDisk(folder), LIMITS, new SplittableRandom(4)::nextLong);
        log.write(new Batch().put(1, 1, new byte[10]));
        for (String name : new FolderDisk(folder).list()) {
            Files.delete(folder.resolve(name));
        }
        Files.delete(folder);
        int failedWrites = 0;
        for (int i = 2; i < 200; i++) {
            try {
                log.write(new Batch().put(i, 1, new byte[100]));
            } catch (IOException e) {
                failedWrites++;
            }
        }
        assertTrue(failedWrites > 100, failedWrites + " writes failed");
        log.close();
    }

    /** The first write after recovery frees the cached segments; later scans read and verify the files and find the same. */
    @Test
    void cachedAndUncachedSegmentsReadTheSame() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        try (SegmentLog log = open(disk, 1)) {
            for (int i = 1; i <= 200; i++) {
                log.write(new Batch().put(i, 1, new byte[] {1, (byte) i}).put(i, 2, new byte[] {2, (byte) i}));
                log.write(i % 3 == 0 ? new Batch().delete(i) : new Batch().put(i, 1, new byte[] {3, (byte) i}));
            }
        }
        try (SegmentLog log = open(disk, 2)) {
            assertTrue(log.segmentCount() > 1);
            Map<String, String> cachedContents = contentsByOwnerAndKind(log);
            log.write(new Batch().put(1_000, 1, new byte[] {9}));
            Map<String, String> uncachedContents = contentsByOwnerAndKind(log);
            assertEquals("[9]", uncachedContents.remove("1000/1"));
            assertEquals(cachedContents, uncachedContents);
            assertEquals(2 * (200 - 66), cachedContents.size());
            assertEquals("[3, 7]", cachedContents.get("7/1"));
        }
    }

    private static Map<String, String> contentsByOwnerAndKind(SegmentLog log) throws IOException {
        Map<String, String> contentsByOwnerAndKind = new TreeMap<>();
        log.readLiveContents((ownerId, kind, version, content) -> assertEquals(
                null,
                contentsByOwnerAndKind.put(ownerId + "/" + kind, Arrays.toString(StorageScenario.toBytes(content))),
                "two contents of " + ownerId + "/" + kind));
        return contentsByOwnerAndKind;
    }
}
