package amberroute.cli;

import amberroute.sender.journal.JournalView;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "journal",
        mixinStandardHelpOptions = true,
        subcommands = {JournalCommand.Show.class, JournalCommand.Verify.class, JournalCommand.Repair.class},
        description = "What a state folder's journal has.")
final class JournalCommand {
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
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

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = {
                "Reads every record and says what could not be read; reads only.",
                "Exit code 0 for a sound journal (a torn end is sound: nobody was told of it), 3 for a damaged one."
            })
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "a sender's state folder")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            JournalView view = JournalView.read(folder);
            view.unreadable().forEach(what -> System.out.println("could not be read: " + what));
            System.out.println(view.summary());
            return view.damaged() ? Main.BAD : 0;
        }
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description = {
                "Writes all that can be read of a journal into a new folder; the original is never touched.",
                "Exit code 0 where it was written, 1 where not."
            })
    static final class Repair implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FOLDER", description = "a sender's state folder")
        private Path folder;

        @Parameters(index = "1", paramLabel = "INTO", description = "a folder that is not there or has no journal")
        private Path into;

        @Override
        public Integer call() throws IOException {
            JournalView view = JournalView.read(folder);
            JournalView written = JournalView.repair(folder, into);
            view.unreadable().forEach(what -> System.out.println("could not be read, and is not in the copy: " + what));
            System.out.println(written.summary());
            return 0;
        }
    }
}
