package amberroute.sender;

import amberroute.config.ConfigException;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.lifecycle.SignalHandlers;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** The daemon's own command line, kept lean: the one that people use is in the module {@code cli}. */
public final class Main {
    private Main() {}

    /**
     * {@code serve} runs the sender until it is told to end; {@code --config FILE} stands for {@code GW_CONFIG}. Exit
     * code 0: stopped as asked; 1: cannot start; 2: wrong usage; 3: stopped for good with something left in the journal.
     */
    public static void main(String[] args) {
        boolean hasConfigOption = args.length == 3 && args[1].equals("--config");
        if (args.length < 1 || !args[0].equals("serve") || args.length > 1 && !hasConfigOption) {
            System.err.println("usage: java -jar amberroute.jar serve [--config FILE]");
            System.exit(2);
        }
        // First of all: without a handler the signal would end the process.
        SignalHandlers hangupSignal = SignalHandlers.install();
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (hasConfigOption) {
            environment.put("GW_CONFIG", Path.of(args[2]).toAbsolutePath().toString());
        }
        try {
            Sender.run(environment, hangupSignal);
        } catch (InvalidSettingsException | ConfigException | IOException e) {
            System.err.println("amberroute: " + String.valueOf(e.getMessage()).replaceAll("\\p{Cntrl}", " "));
            // The event loop may run already, on a thread that keeps the process.
            System.exit(1);
        }
    }
}
