package amberroute.cli;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Where the daemon's jar lies: beside the command line's own, or under the root in a run from classes. */
final class InstallationDirectory {
    private InstallationDirectory() {}

    static Path daemonJar() throws IOException {
        try {
            Path own = Path.of(InstallationDirectory.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            for (Path folder = own.getParent(); folder != null; folder = folder.getParent()) {
                for (Path jar :
                        new Path[] {folder.resolve("amberroute.jar"), folder.resolve("target/amberroute.jar")}) {
                    if (Files.isRegularFile(jar)) {
                        return jar;
                    }
                }
            }
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
        throw new IOException("amberroute.jar is not built: mvn -q -DskipTests package builds it");
    }
}
