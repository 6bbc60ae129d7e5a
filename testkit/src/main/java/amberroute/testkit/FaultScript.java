package amberroute.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Which faults befall a fleet, and when: drawn from a seed, printed as it is read, and shortened to the fewest faults that
 * still fail.
 */
public record FaultScript(List<Fault> faults) {
    /**
     * KILL: SIGKILL, started again on its folder. LOSE: SIGKILL and the folder gone, started again without. PAUSE: SIGSTOP and SIGCONT.
     * CUT: off from all peers, not from clients and partners. ONE_WAY: what it says does not arrive at its peers. SPLIT: the fleet in two halves.
     * FLAP: cut and healed five times a second. STORM: datagrams lost, doubled and late everywhere.
     * RESTART: SIGTERM, and started again as soon as it has ended. OLD_FOLDER: killed, and started again on its folder as it was before.
     * SLOW: stopped for nine tenths of each tenth of a second, so its processor, its disk and its answers are that much slower.
     * RELEASE: whoever has taken over what the target had is asked to let go of it.
     */
    public enum Kind {
        KILL,
        LOSE,
        PAUSE,
        CUT,
        ONE_WAY,
        SPLIT,
        FLAP,
        STORM,
        OLD_FOLDER,
        RESTART,
        SLOW,
        RELEASE
    }

    /** One fault: at which moment of the round it begins and how long it lasts, in milliseconds, and whom it befalls. */
    public record Fault(Kind kind, int target, long atMillis, long durationMillis) {
        @Override
        public String toString() {
            return kind + ":" + target + ":" + atMillis + ":" + durationMillis;
        }
    }

    public FaultScript {
        faults = List.copyOf(faults);
    }

    /** One round's faults, one or two of these kinds, on different targets. */
    public static FaultScript draw(Random random, int processes, List<Kind> kinds) {
        List<Fault> out = new ArrayList<>();
        int first = random.nextInt(processes);
        int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            if (out.stream().anyMatch(f -> f.kind() == Kind.LOSE || f.kind() == Kind.OLD_FOLDER)
                    && (kind == Kind.LOSE || kind == Kind.OLD_FOLDER)) {
                // Two folders gone at once can be the majority of a group, which nothing survives.
                continue;
            }
            out.add(new Fault(
                    kind,
                    (first + i * (1 + random.nextInt(processes - 1))) % processes,
                    random.nextInt(700),
                    600 + random.nextInt(2_600)));
        }
        return new FaultScript(out);
    }

    /** Reads what {@link #toString} wrote; IllegalArgumentException where it is anything else. */
    public static FaultScript read(String text) {
        List<Fault> out = new ArrayList<>();
        for (String part : text.split(",")) {
            String[] words = part.strip().split(":");
            if (words.length != 4) {
                throw new IllegalArgumentException("a fault is KIND:TARGET:AT:LASTS, not " + part);
            }
            out.add(new Fault(
                    Kind.valueOf(words[0]),
                    Integer.parseInt(words[1]),
                    Long.parseLong(words[2]),
                    Long.parseLong(words[3])));
        }
        return new FaultScript(out);
    }

    /** The same without some of its faults, as few as still fail: none of what is left can be taken away alone. */
    public FaultScript shortened(Predicate<FaultScript> fails) {
        FaultScript best = this;
        for (int i = 0; i < best.faults.size(); ) {
            List<Fault> fewer = new ArrayList<>(best.faults);
            fewer.remove(i);
            FaultScript next = new FaultScript(fewer);
            if (!fewer.isEmpty() && fails.test(next)) {
                best = next;
                i = 0;
            } else {
                i++;
            }
        }
        return best;
    }

    @Override
    public String toString() {
        return String.join(",", faults.stream().map(Fault::toString).toList());
    }
}
