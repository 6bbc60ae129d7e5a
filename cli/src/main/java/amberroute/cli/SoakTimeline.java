package amberroute.cli;

import amberroute.testkit.TestEnvironment;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What a soak did, and the logs of its senders, as one list in the order of time. Safe for use by several threads. */
final class SoakTimeline {
    /** One line; the time is the wall clock's. */
    private record Line(long atMillis, String source, String text) {
        @Override
        public String toString() {
            return atMillis + " " + source + " " + text;
        }
    }

    private final List<Line> actions = new ArrayList<>();
    /** The first moment at which a rule was seen broken, 0 for none. */
    private long firstFindingMillis;

    /** Something is done to a process or a stand-in. */
    synchronized void action(String source, String text) {
        actionAt(TestEnvironment.micros(), source, text);
    }

    /** Something happened at this moment of {@link TestEnvironment#micros}. */
    synchronized void actionAt(long micros, String source, String text) {
        long agoMillis = (TestEnvironment.micros() - micros) / 1_000;
        actions.add(new Line(System.currentTimeMillis() - agoMillis, source, text));
    }

    /** A rule was seen broken now. */
    synchronized void finding(String text) {
        action("FINDING", text);
        if (firstFindingMillis == 0) {
            firstFindingMillis = System.currentTimeMillis();
        }
    }

    synchronized long firstFindingMillis() {
        return firstFindingMillis;
    }

    /** All lines of actions and of these logs, between two moments. */
    synchronized List<String> merged(List<Path> logs, long fromMillis, long toMillis) {
        List<Line> lines = new ArrayList<>(actions);
        for (Path log : logs) {
            lines.addAll(read(log));
        }
        return lines.stream()
                .filter(line -> line.atMillis() >= fromMillis && line.atMillis() <= toMillis)
                .sorted(Comparator.comparingLong(Line::atMillis))
                .map(Line::toString)
                .toList();
    }

    /** Lines of the program begin with the time; others come at the time of the line before. */
    private static List<Line> read(Path log) {
        List<Line> lines = new ArrayList<>();
        String source = log.getFileName().toString();
        long atMillis = 0;
        try (Stream<String> all = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            for (String text : (Iterable<String>) all::iterator) {
                int blank = text.indexOf(' ');
                if (blank > 0 && text.substring(0, blank).matches("[0-9]{13}")) {
                    atMillis = Long.parseLong(text.substring(0, blank));
                    text = text.substring(blank + 1);
                }
                lines.add(new Line(atMillis, source, text));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }
}
