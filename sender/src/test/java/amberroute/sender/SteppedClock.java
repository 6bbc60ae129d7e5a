package amberroute.sender;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;

/** A wall clock that tests step under running processes, by a library that is built here; needs a C compiler. */
final class SteppedClock {
    private final Path library;
    private final Path step;

    /** Skips the test where the machine has no C compiler. */
    SteppedClock(Path folder) throws IOException, InterruptedException {
        library = PreloadedLibrary.build(folder, "step-clock");
        step = folder.resolve("step");
        step(0);
    }

    /** From now on processes with {@link #with} see a wall clock that is off by so many seconds. */
    void step(long seconds) throws IOException {
        ByteBuffer bytes =
                ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder()).putLong(0, seconds);
        Files.write(step, bytes.array(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    Map<String, String> with(Map<String, String> environment) {
        Map<String, String> stepped = new HashMap<>(environment);
        stepped.put("LD_PRELOAD", library.toString());
        stepped.put("CLOCK_STEP_FILE", step.toString());
        return stepped;
    }
}
