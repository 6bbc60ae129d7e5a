package amberroute.simulator;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.settings.InvalidSettingsException;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Serves the simulator's wire on standard input and output. */
public final class Main {
    private Main() {}

    /** Takes no arguments. Exit code 1: what came in cannot be read. */
    public static void main(String[] args) {
        try (BufferedInputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
                BufferedOutputStream out =
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new WireHost(AtcDeliveryScheduler::new).serve(in, out);
        } catch (InvalidSettingsException | IOException e) {
            System.err.println("amberroute: " + e.getMessage());
            System.exit(1);
        }
    }
}
