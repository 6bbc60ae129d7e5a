package amberroute.sender;

import amberroute.config.ConfigException;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.lifecycle.SignalHandlers;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Entry point of the sender process, with a minimal command line. The operators' command line is in the module {@code cli}. */
public final class Main {
    private Main() {}

    /**
     * Runs the sender for {@code serve} until it is told to stop; {@code --config FILE} takes the place of {@code GW_CONFIG}.
     * Exit codes: 0 after a requested stop; 1 if the sender cannot start; 2 for wrong usage; 3 after a final stop that left
     * something in the journal.
     */
    public static void main(String[] args) {
        boolean hasConfigOption = args.length == 3 && args[1].equals("--config");
        if (args.length < 1 || !args[0].equals("serve") || args.length > 1 && !hasConfigOption) {
            System.err.println("usage: java -jar amberroute.jar serve [--config FILE]");
            System.exit(2);
        }
        // Installed first: without a handler, SIGHUP would end the process.
        SignalHandlers hangupSignal = SignalHandlers.install();
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (hasConfigOption) {
            environment.put("GW_CONFIG", Path.of(args[2]).toAbsolutePath().toString());
        }
        try {
            Sender.run(environment, hangupSignal);
        } catch (InvalidSettingsException | ConfigException | IOException e) {
            System.err.println("amberroute: " + String.valueOf(e.getMessage()).replaceAll("\\p{Cntrl}", " "));
            // The event loop may already run, on a thread that would keep the process alive.
            System.exit(1);
        }
    }
}
