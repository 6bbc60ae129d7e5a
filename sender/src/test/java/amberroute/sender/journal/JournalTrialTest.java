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

/** The rig journal-crash in its short form, and that it would find a broken engine. */
class JournalTrialTest {
    @Test
    void nothingIsLostDoubledOrWrongWhereverItIsKilledFailsOrFillsUp() {
        JournalTrial.Counts counts = JournalTrial.play(11, 0, 500, UnaryOperator.identity());
        assertTrue(counts.ok(), counts.first);
        assertTrue(
                counts.kills > 300 && counts.accepted > 20_000 && counts.writesFailed > 100 && counts.refused > 100,
                counts.kills + " kills, " + counts.accepted + " accepted, " + counts.writesFailed + " writes failed, "
                        + counts.refused + " refused");
    }

    /** Says that it wrote and did not, once in a while. */
    @Test
    void aSkippedWriteIsFound() {
        found(disk -> new Wrapped(disk) {
            private int writes;

            @Override
            int append(Disk.Handle to, ByteBuffer bytes) throws IOException {
                if (++writes % 97 == 0) {
                    int said = bytes.remaining();
                    bytes.position(bytes.limit());
                    return said;
                }
                return to.append(bytes);
            }
        });
    }

    /** Takes a failed write for a good one. */
    @Test
    void anIgnoredErrorIsFound() {
        found(disk -> new Wrapped(disk) {
            @Override
            int append(Disk.Handle to, ByteBuffer bytes) {
                int said = bytes.remaining();
                try {
                    return to.append(bytes);
                } catch (IOException e) {
                    bytes.position(bytes.limit());
                    return said;
                }
            }
        });
    }

    /** Deletes a segment before the last of what was copied from it, and of what tells so, is written. */
    @Test
    void aSwappedRetiringIsFound() {
        found(disk -> new Wrapped(disk) {
            private final List<Runnable> late = new ArrayList<>();

            @Override
            int append(Disk.Handle to, ByteBuffer bytes) throws IOException {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                if (late.size() == 2) {
                    late.remove(0).run();
                }
                late.add(() -> {
                    ByteBuffer left = ByteBuffer.wrap(copy);
                    try {
                        while (left.hasRemaining()) {
                            to.append(left);
                        }
                    } catch (IOException e) {
                        // As though nobody had looked.
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
                late.forEach(Runnable::run);
                late.clear();
            }
        });
    }

    private static void found(UnaryOperator<Disk> broken) {
        JournalTrial.Counts counts = JournalTrial.play(11, 0, 500, broken);
        assertFalse(counts.ok(), "the broken engine was not found");
    }

    /** Real processes on a real folder, killed at any moment; the rig does more of it. */
    @Test
    void realProcessesThatAreKilledLoseNothing(@TempDir Path folder) throws Exception {
        JournalTrial.Counts counts = JournalTrial.kill(
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
        assertTrue(counts.ok(), counts.first);
        assertEquals(6, counts.kills);
        assertTrue(counts.accepted > 100, counts.accepted + " accepted");
    }

    /** A disk with a defect between it and the engine. */
    private static class Wrapped implements Disk {
        private final Disk inner;

        Wrapped(Disk inner) {
            this.inner = inner;
        }

        int append(Handle to, ByteBuffer bytes) throws IOException {
            return to.append(bytes);
        }

        /** To be done ahead of whatever reads. */
        void flush() {}

        @Override
        public List<String> list() throws IOException {
            return inner.list();
        }

        @Override
        public Handle open(String name) throws IOException {
            return new File(inner.open(name));
        }

        @Override
        public Handle read(String name) throws IOException {
            flush();
            return inner.read(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            inner.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            inner.delete(name);
        }

        @Override
        public void forceFolder() throws IOException {
            inner.forceFolder();
        }

        private final class File implements Handle {
            private final Handle file;

            File(Handle file) {
                this.file = file;
            }

            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public int read(long at, ByteBuffer into) throws IOException {
                return file.read(at, into);
            }

            @Override
            public int append(ByteBuffer from) throws IOException {
                return Wrapped.this.append(file, from);
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
