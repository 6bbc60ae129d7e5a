package amberroute.sender.util;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import amberroute.sender.journal.RecordBytes;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

class ModifiedUtf8Test {
    private static ByteBuffer written(String... texts) {
        // Behind other bytes, as contents stand in a segment.
        byte[] content = RecordBytes.encode(out -> {
            out.writeLong(77);
            for (String text : texts) {
                out.writeUTF(text);
            }
        });
        return ByteBuffer.wrap(content, Long.BYTES, content.length - Long.BYTES).slice();
    }

    @Test
    void readsWhatWriteUtfWrites() throws IOException {
        List<String> all = List.of("", "plain", "señor \u20ac \ud83d\ude00", "nul \0 inside", "x".repeat(65_535));
        ByteBuffer in = written(all.toArray(new String[0]));
        for (String text : all) {
            assertEquals(text, ModifiedUtf8.read(in));
        }
        assertEquals(0, in.remaining());
    }

    @Test
    void aTextThatEndsEarlyIsAnUnderflow() {
        ByteBuffer in = written("plain");
        in.limit(in.limit() - 1);
        assertThrows(BufferUnderflowException.class, () -> ModifiedUtf8.read(in));
    }

    @Test
    void keepsOnceWhatComesOften() throws IOException {
        ModifiedUtf8 texts = new ModifiedUtf8();
        ByteBuffer in = written("quote-status", "other", "quote-status");
        String first = texts.shared(in);
        texts.shared(in);
        assertSame(first, texts.shared(in));
    }
}
