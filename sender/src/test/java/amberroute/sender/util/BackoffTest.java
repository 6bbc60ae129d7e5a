package amberroute.sender.util;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BackoffTest {
    /** Fifty senders lose discovery at one moment: no 50 ms sees more than two fifths of them come back. */
    @Test
    void sendersThatLoseDiscoveryTogetherComeBackApart() {
        List<Long> times = new ArrayList<>();
        for (int seed = 1; seed <= 50; seed++) {
            times.add(new Backoff(100, 200, 2_000, seed).next());
        }
        for (long from = 0; from < 400; from += 50) {
            long start = from;
            long within =
                    times.stream().filter(t -> t >= start && t < start + 50).count();
            assertTrue(within <= 20, within + " within 50 ms of " + start);
        }
        assertTrue(times.stream().distinct().count() > 35, "apart: " + times);
    }

    @Test
    void pausesGrowUpToABoundAndAreShortAgainBehindAList() {
        Backoff pauses = new Backoff(100, 200, 2_000, 7);
        long sum = 0;
        for (int i = 0; i < 40; i++) {
            long pause = pauses.next();
            assertTrue(pause >= 100 && pause <= 2_100, "pause " + pause);
            sum += i >= 10 ? pause : 0;
        }
        assertTrue(sum / 30 > 700, "mean of the later ones " + sum / 30);
        pauses.good();
        assertTrue(pauses.next() <= 300);
    }
}
