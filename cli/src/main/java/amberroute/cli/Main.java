package amberroute.cli;

import amberroute.config.ConfigException;
import amberroute.decisions.settings.InvalidSettingsException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. Exit codes: 0 done, 1 it could not be done (one line on standard error says why), 2 wrong usage,
 * 3 a check or a run ended badly.
 */
@Command(
        name = "amberroute",
        mixinStandardHelpOptions = true,
        version = "amberroute 0.2.0",
        description = "Takes messages on and delivers each to an endpoint of its destination within its deadline.",
        subcommands = {
            ServeCommand.class,
            FleetCommand.class,
            DemoCommand.class,
            CheckCommand.class,
            SubmitCommand.class,
            JournalCommand.class,
            RecoverCommand.class,
            ReplicaCommand.class,
            OverloadCommand.class,
            ExperimentCommand.class
        })
public final class Main implements Runnable {
    /** Exit code of a check or a run that ended badly. */
    static final int BAD = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(execute(args));
    }

    static int execute(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof ConfigException
                    || e instanceof InvalidSettingsException
                    || e instanceof java.io.IOException
                    || e instanceof IllegalArgumentException) {
                complain(command.getErr(), e.getMessage() == null ? e.toString() : e.getMessage());
                return 1;
            }
            complain(command.getErr(), "defect: " + e);
            e.printStackTrace();
            return 1;
        });
        line.setParameterExceptionHandler((e, rest) -> {
            complain(e.getCommandLine().getErr(), e.getMessage());
            return 2;
        });
        return line.execute(args);
    }

    private static void complain(PrintWriter err, String text) {
        err.println("amberroute: " + text.replaceAll("\\p{Cntrl}+", " "));
        err.flush();
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed; --help lists them");
    }
}
