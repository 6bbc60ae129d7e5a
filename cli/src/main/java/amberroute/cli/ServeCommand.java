package amberroute.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code bin/amberroute} starts the daemon's own lean jar for this; reached otherwise, it runs it in this process. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one sender in the foreground until SIGTERM. SIGHUP reads its files again.")
final class ServeCommand implements Runnable {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description =
                    "the sender file (TOML); GW_CONFIG if not told. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_STATE hold over it")
    private Path config;

    @Override
    public void run() {
        amberroute.sender.Main.main(
                config == null ? new String[] {"serve"} : new String[] {"serve", "--config", config.toString()});
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
