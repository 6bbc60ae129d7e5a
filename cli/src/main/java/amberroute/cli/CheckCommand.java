package amberroute.cli;

import amberroute.fleet.FleetDefinition;
import amberroute.sender.config.StandaloneConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Reads a sender file or a service definition and says what is wrong with it; starts nothing.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "FILE", description = "a service definition, or a sender file")
    private Path file;

    @Option(
            names = "--keys",
            description = "lists all keys of both files instead, with type, bounds, default and meaning")
    private boolean keys;

    @Override
    public Integer call() throws IOException {
        if (keys || file == null) {
            System.out.println("# sender file");
            StandaloneConfig.SCHEMA.describe().forEach(System.out::println);
            System.out.println("# service definition");
            FleetDefinition.SCHEMA.describe().forEach(System.out::println);
            return 0;
        }
        // Which of the two it is shows in keys that only a definition has.
        boolean fleet = Files.exists(file)
                && Files.readString(file).lines().anyMatch(l -> l.matches("\\s*(count|sender)\\s*=.*"));
        if (fleet) {
            FleetDefinition definition = FleetDefinition.read(file, Path.of("amberroute.jar"));
            for (FleetDefinition.Instance i : definition.instances()) {
                StandaloneConfig.check(
                        i.sender(),
                        Map.of(
                                "GW_NAME",
                                i.name(),
                                "GW_LISTEN",
                                i.listen(),
                                "GW_STATE",
                                i.state().toString()));
            }
            System.out.println(definition.summary());
        } else {
            System.out.println(StandaloneConfig.check(file, System.getenv()));
        }
        return 0;
    }
}
