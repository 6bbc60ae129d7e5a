package amberroute.cli;

import amberroute.sender.journal.JournalTrial;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "journal-crash",
        mixinStandardHelpOptions = true,
        description = {
            "The journal at full load on a simulated disk that kills the process, fails or fills up at each operation in turn, then "
                    + "real processes that are killed; each recovered and compared with a model that never saw the disk.",
            "Exit code 0 where nothing was lost, doubled or wrong, 3 where not."
        })
final class JournalCrashExperiment implements Callable<Integer> {
    @Option(names = "--rounds", defaultValue = "1000", description = "on the simulated disk (${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--processes", defaultValue = "50", description = "real ones that are killed (${DEFAULT-VALUE})")
    private int processes;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws Exception {
        JournalTrial.Counts simulated = JournalTrial.run(seed, 0, rounds, UnaryOperator.identity());
        Path folder = Files.createTempDirectory("amberroute-journal-");
        JournalTrial.Counts killed = processes == 0
                ? new JournalTrial.Counts()
                : JournalTrial.runProcesses(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                JournalTrial.class.getName()),
                        folder,
                        seed,
                        processes);
        for (JournalTrial.Counts counts : List.of(simulated, killed)) {
            if (!counts.firstViolation.isEmpty()) {
                System.out.println("first harm: " + counts.firstViolation);
            }
        }
        JsonObject result = new JsonObject();
        result.addProperty("rounds", simulated.rounds);
        result.addProperty("kills", simulated.kills);
        result.addProperty("processes", killed.rounds);
        result.addProperty("accepted", simulated.accepted + killed.accepted);
        result.addProperty("refused", simulated.rejected);
        result.addProperty("writes_failed", simulated.failedWrites);
        result.addProperty("lost", simulated.lost + killed.lost);
        result.addProperty("second", simulated.duplicated + killed.duplicated);
        result.addProperty("wrong", simulated.wrongState + killed.wrongState);
        result.addProperty("seed", seed);
        boolean ok = simulated.ok() && killed.ok();
        result.addProperty("ok", ok);
        System.out.println(result);
        return ok ? 0 : Main.BAD;
    }
}
