package amberroute.cli;

import amberroute.config.Units;
import amberroute.testkit.RespRequest;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "submit",
        mixinStandardHelpOptions = true,
        description =
                "Hands one message to a sender and shows its answer. Exit code 0 where it was taken on, 3 where not.")
final class SubmitCommand implements Callable<Integer> {
    @Option(names = "--to", required = true, paramLabel = "ADDRESS", description = "the sender, such as 127.0.0.1:6379")
    private String to;

    @Option(names = "--class", required = true, paramLabel = "NAME", description = "the message's class")
    private String className;

    @Option(names = "--dest", required = true, paramLabel = "N", description = "the number of its destination")
    private int destination;

    @Option(
            names = "--within",
            defaultValue = "8s",
            paramLabel = "SPAN",
            description = "its time left (${DEFAULT-VALUE})")
    private String within;

    @Option(
            names = "--key",
            defaultValue = "0",
            paramLabel = "HEX",
            description = "its key, in classes that keep the order")
    private String key;

    @Option(names = "--idempotency-key", paramLabel = "WORD", description = "in keyed classes")
    private String idempotencyKey;

    @Option(names = "--id", paramLabel = "WORD", description = "its id; a new one if not told")
    private String id;

    @Option(names = "--body", defaultValue = "", paramLabel = "TEXT", description = "what it carries")
    private String body;

    @Override
    public Integer call() throws IOException {
        InetSocketAddress address = Units.address(to);
        String name = id != null
                ? id
                : String.format(
                        Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
        String options = "c=" + className + ",d=" + Units.micros(within) / 1_000 + ",dest=" + destination
                + (idempotencyKey == null ? "" : ",k=" + idempotencyKey);
        String orderKey = String.format(Locale.ROOT, "%016x", Long.parseUnsignedLong(key, 16));
        try (Socket socket = new Socket()) {
            socket.connect(address, 2_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(RespRequest.of("SUBMIT", orderKey, name, options, body));
            String answer = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
            System.out.println(name + " " + (answer == null ? "no answer" : answer.replaceAll("\\p{Cntrl}", "?")));
            return answer != null && answer.startsWith("+") ? 0 : Main.BAD;
        }
    }
}
