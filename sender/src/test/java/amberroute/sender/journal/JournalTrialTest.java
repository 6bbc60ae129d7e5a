package amberroute.sender.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.storage.Disk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The experiment journal-crash in its short form, and that it detects a defective journal. */
class JournalTrialTest {
    @Test
    void faultsAtAnyOperationNeitherLoseNorDuplicateMessages() {
        JournalTrial.Counts counts = JournalTrial.run(11, 0, 500, UnaryOperator.identity());
        assertTrue(counts.ok(), counts.firstViolation);
        assertTrue(
                counts.kills > 300 && counts.accepted > 20_000 && counts.failedWrites > 100 && counts.rejected > 100,
                counts.kills + " kills, " + counts.accepted + " accepted, " + counts.failedWrites + " failed writes, "
                        + counts.rejected + " rejected");
    }

    /** The disk skips one write in 97 and reports success. */
    @Test
    void skippedWriteIsDetected() {
        assertDefectFound(disk -> new DefectiveDisk(disk) {
            private int writes;

            @Override
            int append(Disk.Handle file, ByteBuffer bytes) throws IOException {
                if (++writes % 97 == 0) {
                    int reportedBytes = bytes.remaining();
                    bytes.position(bytes.limit());
                    return reportedBytes;
                }
                return file.append(bytes);
            }
        });
    }

    /** The disk reports a failed write as successful. */
    @Test
    void ignoredWriteErrorIsDetected() {
        assertDefectFound(disk -> new DefectiveDisk(disk) {
            @Override
            int append(Disk.Handle file, ByteBuffer bytes) {
                int reportedBytes = bytes.remaining();
                try {
                    return file.append(bytes);
                } catch (IOException e) {
                    bytes.position(bytes.limit());
                    return reportedBytes;
                }
            }
        });
    }

    /** A segment is deleted before the last copies from it and the record of its deletion are written. */
    @Test
    void segmentDeletedBeforeItsCopiesAreWrittenIsDetected() {
        assertDefectFound(disk -> new DefectiveDisk(disk) {
            private final List<Runnable> delayedWrites = new ArrayList<>();

            @Override
            int append(Disk.Handle file, ByteBuffer bytes) throws IOException {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                if (delayedWrites.size() == 2) {
                    delayedWrites.remove(0).run();
                }
                delayedWrites.add(() -> {
                    ByteBuffer remaining = ByteBuffer.wrap(copy);
                    try {
                        while (remaining.hasRemaining()) {
                            file.append(remaining);
                        }
                    } catch (IOException e) {
                        // Ignored: part of the defect.
                    }
                });
                return copy.length;
            }

            @Override
            public void delete(String name) throws IOException {
                super.delete(name);
                flush();
            }

            @Override
            void flush() {
                delayedWrites.forEach(Runnable::run);
                delayedWrites.clear();
            }
        });
    }

    private static void assertDefectFound(UnaryOperator<Disk> defect) {
        JournalTrial.Counts counts = JournalTrial.run(11, 0, 500, defect);
        assertFalse(counts.ok(), "the defect was not detected");
    }

    /** Real processes with a real folder, killed at random times; the experiment runs more of them. */
    @Test
    void killedProcessesLoseNoMessage(@TempDir Path folder) throws Exception {
        JournalTrial.Counts counts = JournalTrial.runProcesses(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xshare:auto",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "amberroute.sender.journal.JournalTrial"),
                folder,
                5,
                6);
        assertTrue(counts.ok(), counts.firstViolation);
        assertEquals(6, counts.kills);
        assertTrue(counts.accepted > 100, counts.accepted + " accepted");
    }

    /** A disk with a defect, between the journal and the simulated disk. */
    private static class DefectiveDisk implements Disk {
        private final Disk delegate;

        DefectiveDisk(Disk delegate) {
            this.delegate = delegate;
        }

        int append(Handle file, ByteBuffer bytes) throws IOException {
            return file.append(bytes);
        }

        /** Called before each read. */
        void flush() {}

        @Override
        public List<String> list() throws IOException {
            return delegate.list();
        }

        @Override
        public Handle openForWriting(String name) throws IOException {
            return new DefectiveFile(delegate.openForWriting(name));
        }

        @Override
        public Handle openForReading(String name) throws IOException {
            flush();
            return delegate.openForReading(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            delegate.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            delegate.delete(name);
        }

        @Override
        public void forceFolder() throws IOException {
            delegate.forceFolder();
        }

        private final class DefectiveFile implements Handle {
            private final Handle file;

            DefectiveFile(Handle file) {
                this.file = file;
            }

            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public int read(long position, ByteBuffer target) throws IOException {
                return file.read(position, target);
            }

            @Override
            public int append(ByteBuffer source) throws IOException {
                return DefectiveDisk.this.append(file, source);
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
            }

            @Override
            public void force() throws IOException {
                file.force();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        }
    }
}
