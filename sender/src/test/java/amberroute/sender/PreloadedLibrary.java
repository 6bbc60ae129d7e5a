package amberroute.sender;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Assumptions;

/** Libraries that stand between a process and the system's calls, built from the tests' resources by the machine's C compiler. */
final class PreloadedLibrary {
    private static final Path COMPILER = Path.of("/usr/bin/cc");

    private PreloadedLibrary() {}

    /** Builds the library of this name into a folder. Skips the test where the machine has no C compiler. */
    static Path build(Path folder, String name) throws IOException, InterruptedException {
        Assumptions.assumeTrue(
                Files.isExecutable(COMPILER), "no C compiler at " + COMPILER + " to build " + name + ".c");
        Path source = folder.resolve(name + ".c");
        try (InputStream text = PreloadedLibrary.class.getResourceAsStream("/" + name + ".c")) {
            Files.copy(text, source);
        }
        Path library = folder.resolve(name + ".so");
        Process compiler = new ProcessBuilder(
                        COMPILER.toString(),
                        "-shared",
                        "-fPIC",
                        "-O1",
                        "-o",
                        library.toString(),
                        source.toString(),
                        "-ldl")
                .inheritIO()
                .start();
        if (compiler.waitFor() != 0) {
            throw new IOException(name + ".c cannot be built");
        }
        return library;
    }
}
