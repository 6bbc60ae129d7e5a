package sumacferry.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

import sumacferry.Policy;
import sumacferry.net.Hangup;
import sumacferry.net.Sender;

/** Command line: the adapter on the simulator's wire, or the real sender. */
public final class Main {
    private Main() {
    }

    /** {@code wirehost} serves the wire on standard input and output, {@code serve} runs the real sender. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost") && !args[0].equals("serve")) {
            System.err.println("usage: java -jar sumacferry.jar wirehost|serve");
            System.exit(2);
        }
        if (args[0].equals("serve")) {
            serve();
        } else {
            hostWire();
        }
    }

    private static void serve() {
        // First of all: without a handler the signal would end the process.
        Hangup hangup = Hangup.install();
        try {
            Sender.run(System.getenv(), hangup);
        } catch (BadInput | IOException e) {
            System.err.println("sumacferry: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void hostWire() {
        try (BufferedInputStream in =
                        new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
                BufferedOutputStream out =
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new WireHost(Policy::new).serve(in, out);
        } catch (BadInput | IOException e) {
            System.err.println("sumacferry: " + e.getMessage());
            System.exit(1);
        }
    }
}
