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

/** The log on disks that kill the process, fail, fill up or lose power at any operation, and on damaged segments. */
class SegmentLogTest {
    private static final LogLimits SMALL = new LogLimits(80 * 4_096, 4_096, 0, false);
    private static final LogLimits SYNCED = new LogLimits(80 * 4_096, 4_096, 0, true);

    private static TreeMap<Long, byte[]> read(Disk disk) throws IOException {
        TreeMap<Long, byte[]> all = new TreeMap<>();
        SegmentLog.openReadOnly(disk)
                .read((owner, kind, version, content) -> all.put(owner, StorageScenario.bytes(content)));
        return all;
    }

    private static SegmentLog open(Disk disk, long seed) throws IOException {
        return StorageScenario.openLog(disk, SMALL, seed);
    }

    /** Processes on one disk, each killed at another operation, while contents are put, replaced, deleted and compacted. */
    @Test
    void nothingIsLostOrComesBackWhereverTheProcessIsKilled() throws Exception {
        long retired = 0;
        long written = 0;
        for (long run = 1; run <= 1_500; run++) {
            StorageScenario scenario = new StorageScenario(SMALL, run, StorageScenario::openLog);
            for (int life = 0; life < 4; life++) {
                String at = "run " + run + ", life " + life;
                scenario.disk.restart(run * 7 + life, SimulatedDisk.Fault.KILL, 4 + run % 300);
                scenario.runProcess(120, 8, at);
                scenario.resolvePending(at + ", behind it");
            }
            retired += scenario.retiredSegments;
            written += scenario.writtenBatches;
        }
        assertTrue(retired > 1_000 && written > 50_000, retired + " retired, " + written + " written");
    }

    /** A failed write leaves the log as it was, also where its torn part cannot be truncated. */
    @Test
    void afterAFailedWriteTheLogGoesOn() throws Exception {
        for (SimulatedDisk.Fault fault :
                List.of(SimulatedDisk.Fault.FAIL, SimulatedDisk.Fault.FAIL_AND_TRUNCATE_FAILS)) {
            for (long run = 0; run < 2_500; run++) {
                StorageScenario scenario = new StorageScenario(SMALL, run, StorageScenario::openLog);
                scenario.disk.restart(run, fault, 3 + run % 160);
                String at = fault + ", run " + run;
                scenario.runProcess(100, 6, at);
                if (scenario.log == null) {
                    continue;
                }
                assertTrue(scenario.failedOperations <= 2, at + " failed " + scenario.failedOperations + " times");
                assertFalse(scenario.log.uncertain(), at);
                scenario.resolvePending(at);
                scenario.runProcess(30, 6, at + ", next life");
                scenario.resolvePending(at + ", next life");
            }
        }
    }

    /** A disk fills up and stays full over a restart, then has room again. */
    @Test
    void aFullOrReadOnlyDiskRefusesLosesNothingAndGoesOnWhenItHasRoom() throws Exception {
        for (SimulatedDisk.Fault fault : List.of(SimulatedDisk.Fault.FULL, SimulatedDisk.Fault.READ_ONLY)) {
            for (long run = 0; run < 500; run++) {
                StorageScenario scenario = new StorageScenario(SMALL, run, StorageScenario::openLog);
                String at = fault + ", run " + run;
                scenario.disk.restart(run, fault, 3 + run % 120);
                scenario.runProcess(90, 10, at);
                assertTrue(scenario.failedOperations > 0, "never refused, " + at);
                scenario.resolvePending(at);
                scenario.disk.restart(run, fault, 1);
                scenario.runProcess(5, 10, at + ", still");
                long before = scenario.writtenBatches;
                scenario.resolvePending(at + ", still");
                scenario.runProcess(40, 10, at + ", room again");
                assertTrue(scenario.writtenBatches > before + 30, at);
                scenario.resolvePending(at + ", at the end");
            }
        }
    }

    /** The fault ends while the process runs: writes succeed again without a restart, and nothing was lost. */
    @Test
    void roomThatReturnsIsUsedByTheSameProcess() throws Exception {
        for (long run = 0; run < 500; run++) {
            StorageScenario scenario = new StorageScenario(SMALL, run, StorageScenario::openLog);
            scenario.disk.restart(
                    run, run % 2 == 0 ? SimulatedDisk.Fault.FULL : SimulatedDisk.Fault.READ_ONLY, 10 + run % 100);
            scenario.disk.endFaultBefore(60 + run % 100);
            scenario.runProcess(200, 10, "run " + run);
            assertTrue(scenario.writeRandomBatch(10), "run " + run);
            assertFalse(scenario.log.uncertain(), "run " + run);
            assertTrue(scenario.disk.names().size() < 80, scenario.disk.names().size() + " files, run " + run);
            scenario.resolvePending("run " + run);
        }
    }

    /** Power fails at any operation: forced contents are there, a batch is whole or absent, no deleted owner is back. */
    @Test
    void whatWasForcedOutlastsALossOfPower() throws Exception {
        long retired = 0;
        for (long run = 1; run <= 2_000; run++) {
            StorageScenario scenario = new StorageScenario(SYNCED, run, StorageScenario::openLog);
            for (int life = 0; life < 3; life++) {
                String at = "run " + run + ", life " + life;
                scenario.disk.restart(run * 3 + life, SimulatedDisk.Fault.KILL, 10 + run % 400);
                scenario.runProcess(150, 8, at);
                scenario.failPower(run * 5 + life, at);
            }
            retired += scenario.retiredSegments;
        }
        assertTrue(retired > 500, retired + " retired");
    }

    /** After a failed force nothing more is appended to those segments, and their live contents are copied and forced anew. */
    @Test
    void aFailedForceIsMadeGoodFromCopies() throws Exception {
        for (long run = 0; run < 600; run++) {
            StorageScenario scenario = new StorageScenario(SYNCED, run, StorageScenario::openLog);
            scenario.disk.restart(run, SimulatedDisk.Fault.FAIL_FORCES, 20 + run % 60);
            scenario.disk.endFaultBefore(100 + run % 60);
            scenario.runProcess(40, 12, "run " + run);
            boolean unsafe = false;
            for (int i = 0; i < 400 && (scenario.log.needsRewrite() || !scenario.force()); i++) {
                unsafe |= scenario.log.needsRewrite();
                if (!scenario.compact(500)) {
                    scenario.force();
                }
            }
            assertFalse(scenario.log.needsRewrite(), "run " + run);
            assertTrue(scenario.force(), "run " + run);
            scenario.failPower(run, "run " + run);
        }
    }

    /** Batches at the last free bytes: the log compacts what it has to, and the budget holds at every operation. */
    @Test
    void theBudgetHoldsWithFourFifthsOfItLive() throws Exception {
        for (long run = 0; run < 12; run++) {
            SimulatedDisk disk = new SimulatedDisk();
            LogLimits limits = LogLimits.of(3 << 20, false);
            SplittableRandom random = new SplittableRandom(run);
            SegmentLog log = SegmentLog.open(disk, limits, random::nextLong);
            List<Long> live = new ArrayList<>();
            // As the journal does: contents are accepted as long as they leave what compaction needs.
            for (int i = 0; i < 12_000; i++) {
                byte[] body = new byte
                        [run % 3 == 0
                                ? 300
                                : run % 3 == 1 ? random.nextInt(2_000) : random.nextInt(100) == 0 ? 65_536 : 200];
                if (log.liveBytes() + body.length + 60 + 40L * live.size()
                        <= limits.budgetBytes() - log.reservedBytes()) {
                    long owner = log.nextOwner();
                    log.write(new Batch().put(owner, 1, body));
                    live.add(owner);
                } else {
                    for (int n = 0; n < 3 && !live.isEmpty(); n++) {
                        log.write(new Batch().delete(live.remove(random.nextInt(live.size()))));
                    }
                }
            }
            assertTrue(
                    disk.maxUsedBytes() <= limits.budgetBytes(),
                    "used " + disk.maxUsedBytes() + " of " + limits.budgetBytes());
            assertTrue(
                    log.liveBytes() > 0.8 * limits.budgetBytes(), log.liveBytes() + " live of " + limits.budgetBytes());
            assertEquals(live.size(), read(disk).size());
        }
    }

    /** A long-lived owner among many short-lived ones is copied again and again, and the folder stays small. */
    @Test
    void roomComesBack() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 2);
        long old = log.nextOwner();
        log.write(new Batch().put(old, 1, new byte[300]));
        for (int i = 0; i < 100_000; i++) {
            long owner = log.nextOwner();
            log.write(new Batch().put(owner, 1, new byte[100]));
            log.write(new Batch().delete(owner));
            while (log.shouldCompact() && log.compact(1_000)) {
                // A slice between writes.
            }
        }
        assertTrue(disk.maxUsedBytes() < 16 * 4_096, "it grew to " + disk.maxUsedBytes());
        assertEquals(List.of(old), List.copyOf(read(disk).keySet()));
    }

    @Test
    void slicesAreSmall() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = StorageScenario.openLog(disk, new LogLimits(64 << 20, 128 << 10, 0, false), 1);
        for (int i = 0; i < 4_000; i++) {
            log.write(new Batch().put(log.nextOwner(), 1, new byte[200]));
        }
        for (long owner = 1; owner < 4_000; owner += 2) {
            log.write(new Batch().delete(owner));
        }
        while (log.retired() < 3) {
            long before = log.copiedBytes();
            assertTrue(log.compact(8_192), "nothing to retire");
            assertTrue(log.copiedBytes() - before <= 8_192, (log.copiedBytes() - before) + " in a slice");
        }
        assertTrue(log.copiedBytes() > 3 * 40_000, "nothing was live in what was retired");
    }

    /** One damaged byte costs the record that it is in and no other, and is reported; the file is retained as it was. */
    @Test
    void aSpoiltByteCostsOneRecordOnly() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        SimulatedDisk disk = new SimulatedDisk();
        LogLimits one = new LogLimits(4 << 20, 1 << 20, 0, false);
        SegmentLog log = StorageScenario.openLog(disk, one, 1);
        for (int i = 0; i < 200; i++) {
            byte[] content = new byte[random.nextInt(60)];
            random.nextBytes(content);
            log.write(new Batch().put(log.nextOwner(), 1, content));
        }
        String name = disk.names().get(0);
        byte[] good = disk.bytes(name);
        int told = 0;
        for (int i = 0; i < 400; i++) {
            byte[] bad = good.clone();
            int place = random.nextInt(bad.length);
            bad[place] ^= (byte) (1 << random.nextInt(8));
            disk.put(name, bad);
            SegmentLog after = SegmentLog.openReadOnly(disk);
            TreeMap<Long, byte[]> found = read(disk);
            assertTrue(found.size() >= 199, "byte " + place + ": only " + found.size());
            boolean atTheEnd = found.size() == 199 && !found.containsKey(200L);
            assertEquals(!atTheEnd, !after.losses().isEmpty(), "byte " + place + " " + after.losses());
            told += after.losses().size();
        }
        assertTrue(told > 300, "only " + told + " were told");
        disk.put(name, good);
        byte[] bad = good.clone();
        bad[good.length / 2] ^= 1;
        disk.put(name, bad);
        SegmentLog again = StorageScenario.openLog(disk, one, 2);
        again.write(new Batch().delete(1));
        while (again.segments() > 1 && again.compact(1 << 20)) {
            // Until the damaged segment has been retired.
        }
        assertArrayEquals(bad, disk.bytes(name + ".damaged"));
        assertEquals(198, read(disk).size());
    }

    /** Content that is itself a whole record, of another salt, is not taken for a record behind damage. */
    @Test
    void contentThatLooksLikeARecordIsNone() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        RecordBuilder items = new RecordBuilder();
        items.addContent(77, 1, false, 5, new byte[5]);
        ByteBuffer frame = items.frame(9, 77);
        byte[] forged = new byte[frame.remaining()];
        frame.get(forged);
        log.write(new Batch().put(log.nextOwner(), 1, forged));
        log.write(new Batch().put(log.nextOwner(), 1, new byte[] {4}));
        String name = disk.names().get(0);
        byte[] bad = disk.bytes(name).clone();
        int first = SegmentFormat.HEADER_BYTES + SegmentFormat.FRAME_BYTES + 3;
        bad[first + 5] ^= 1;
        disk.put(name, bad);
        assertEquals(List.of(2L), List.copyOf(read(disk).keySet()));
        assertEquals(1, SegmentLog.openReadOnly(disk).losses().size());
    }

    @Test
    void aNewerFormatIsRefusedAndLeftAlone() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        log.write(new Batch().put(1, 1, new byte[3]));
        String name = disk.names().get(0);
        byte[] bytes = disk.bytes(name).clone();
        ByteBuffer newer = ByteBuffer.wrap(bytes);
        newer.putShort(8, (short) (SegmentFormat.FORMAT_VERSION + 1));
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, SegmentFormat.HEADER_BYTES - 4);
        newer.putInt(SegmentFormat.HEADER_BYTES - 4, (int) crc.getValue());
        disk.put(name, bytes);
        assertThrows(UnsupportedFormatException.class, () -> open(disk, 2));
        assertArrayEquals(bytes, disk.bytes(name));
        assertEquals(List.of(name), disk.names());
    }

    /** Other files are left alone; a segment missing in the middle is reported, and costs only its own contents. */
    @Test
    void aRealFolderIsReadPastStraysAndGaps(@TempDir Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        try (SegmentLog log = SegmentLog.open(new FolderDisk(folder), SYNCED, random::nextLong)) {
            for (int i = 0; i < 400; i++) {
                log.write(new Batch().put(log.nextOwner(), 1, new byte[50]));
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
                .list().stream().filter(SegmentLog::isSegment).sorted().toList();
        assertTrue(names.size() > 5, names.toString());
        assertEquals(400, read(new FolderDisk(folder)).size());
        Files.delete(folder.resolve(names.get(2)));
        int left = read(new FolderDisk(folder)).size();
        assertTrue(left > 250 && left < 400, left + " left");
        try (SegmentLog after = SegmentLog.open(new FolderDisk(folder), SYNCED, random::nextLong)) {
            assertEquals(1, after.losses().size());
            assertEquals(names.get(2).substring(0, 16), after.losses().get(0).segment());
            assertEquals(401, after.nextOwner());
            after.write(new Batch().put(401, 1, new byte[1]));
        }
        assertTrue(Files.exists(folder.resolve("stray.seg")) && Files.exists(folder.resolve("README")));
        assertEquals(left + 1, read(new FolderDisk(folder)).size());
    }

    /** A retired segment is not reported as missing; numbers of owners that were deleted are not given again. */
    @Test
    void whatWasRetiredIsNotMissedAndNumbersGrowOverRestarts() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        SegmentLog log = open(disk, 1);
        long last = 0;
        for (int i = 0; i < 500; i++) {
            last = log.nextOwner();
            log.write(new Batch().put(last, 1, new byte[100]));
            log.write(new Batch().delete(last));
        }
        for (int i = 0; i < 1_000 && log.compact(1_000); i++) {
            // Until nothing is left to compact.
        }
        assertTrue(log.retired() > 5);
        assertEquals(List.of(), SegmentLog.openReadOnly(disk).losses());
        SegmentLog next = open(disk, 2);
        assertTrue(next.nextOwner() > last);
    }

    /** The folder is deleted while the process runs: writes fail, the process does not. */
    @Test
    void aFolderThatVanishesOnlyFailsWrites(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("state");
        SegmentLog log = SegmentLog.open(new FolderDisk(folder), SMALL, new SplittableRandom(4)::nextLong);
        log.write(new Batch().put(1, 1, new byte[10]));
        for (String name : new FolderDisk(folder).list()) {
            Files.delete(folder.resolve(name));
        }
        Files.delete(folder);
        int failed = 0;
        for (int i = 2; i < 200; i++) {
            try {
                log.write(new Batch().put(i, 1, new byte[100]));
            } catch (IOException e) {
                failed++;
            }
        }
        assertTrue(failed > 100, failed + " failed");
        log.close();
    }

    /** Bytes retained by recovery are freed with the first write: from then on segments are read and checked again. */
    @Test
    void readsTheSameFromMemoryAndFromTheDisk() throws IOException {
        SimulatedDisk disk = new SimulatedDisk();
        try (SegmentLog log = open(disk, 1)) {
            for (int i = 1; i <= 200; i++) {
                log.write(new Batch().put(i, 1, new byte[] {1, (byte) i}).put(i, 2, new byte[] {2, (byte) i}));
                log.write(i % 3 == 0 ? new Batch().delete(i) : new Batch().put(i, 1, new byte[] {3, (byte) i}));
            }
        }
        try (SegmentLog log = open(disk, 2)) {
            assertTrue(log.segments() > 1);
            Map<String, String> fromMemory = contents(log);
            log.write(new Batch().put(1_000, 1, new byte[] {9}));
            Map<String, String> fromDisk = contents(log);
            assertEquals("[9]", fromDisk.remove("1000/1"));
            assertEquals(fromMemory, fromDisk);
            assertEquals(2 * (200 - 66), fromMemory.size());
            assertEquals("[3, 7]", fromMemory.get("7/1"));
        }
    }

    private static Map<String, String> contents(SegmentLog log) throws IOException {
        Map<String, String> all = new TreeMap<>();
        log.read((owner, kind, version, content) -> assertEquals(
                null,
                all.put(owner + "/" + kind, Arrays.toString(StorageScenario.bytes(content))),
                "two of " + owner + "/" + kind));
        return all;
    }
}
