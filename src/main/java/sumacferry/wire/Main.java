package sumacferry.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

import sumacferry.Policy;

/** Command line of the adapter. */
public final class Main {
    private Main() {
    }

    /** Serves the wire on standard input and output until the input ends. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar sumacferry.jar wirehost");
            System.exit(2);
        }
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
