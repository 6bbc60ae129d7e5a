package amberroute.cli;

import amberroute.fleet.FleetClient;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "adopt",
        mixinStandardHelpOptions = true,
        description = {
            "A running daemon takes over what the state folder of another one owes that does not come back.",
            "Exit code 0 where all is taken, 3 where it was refused; asking again goes on where it stood."
        })
final class RecoverCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", description = "the state folder to take over")
    private Path folder;

    @Option(
            names = "--by",
            required = true,
            paramLabel = "SOCKET",
            description = "control socket of the daemon that takes it")
    private Path control;

    @Option(
            names = "--fence",
            description = {
                "also where a process still holds the folder that is stopped or cut off:",
                "it ends itself when it wakes up. Only where it runs with adoption = true"
            })
    private boolean fence;

    @Override
    public Integer call() throws IOException {
        JsonObject request = FleetClient.request("adopt");
        request.addProperty("folder", folder.toAbsolutePath().normalize().toString());
        request.addProperty("fence", fence);
        JsonObject answer = FleetClient.ask(control, request);
        if (!answer.get("ok").getAsBoolean()) {
            System.err.println("amberroute: " + answer.get("error").getAsString());
            return Main.BAD;
        }
        System.out.println("adopted " + answer.get("adopted").getAsInt() + " messages, "
                + answer.get("adopted_before").getAsInt() + " before");
        return 0;
    }
}
