package amberroute.sender;

import java.io.IOException;

import amberroute.settings.BadInput;

/** The daemon's own command line, kept lean: the one that people use is in the module {@code cli}. */
public final class Main {
    private Main() {
    }

    /** {@code serve} runs the sender until it is told to end. Exit code 1: cannot start; 2: wrong usage. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("serve")) {
            System.err.println("usage: java -jar amberroute.jar serve");
            System.exit(2);
        }
        // First of all: without a handler the signal would end the process.
        Hangup hangup = Hangup.install();
        try {
            Sender.run(System.getenv(), hangup);
        } catch (BadInput | IOException e) {
            System.err.println("amberroute: " + e.getMessage());
            System.exit(1);
        }
    }
}
