package amberroute.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import amberroute.sender.JournalView;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "journal", mixinStandardHelpOptions = true, subcommands = JournalCommand.Show.class,
        description = "What a state folder's journal has.")
final class JournalCommand {
    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Lists what a state folder owes, a line each; reads only, also beside a running daemon.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "a sender's state folder")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            JournalView view = JournalView.read(folder);
            view.lines(System.currentTimeMillis()).forEach(System.out::println);
            System.out.println(view.summary());
            return 0;
        }
    }
}
