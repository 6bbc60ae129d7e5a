package amberroute.sender.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class OutageBacklogTest {
    private static final long MS = 1_000_000;
    private static final long STARTED = 50_000 * MS;
    private static final long KEY = 7;

    private final OutageBacklog backlog = new OutageBacklog(STARTED, STARTED);

    @Test
    void whatComesRightBehindTheAnswerOfItsKeyMayBeAsOldAsTheOutage() {
        backlog.answered(STARTED + 1_000 * MS, KEY);
        assertEquals(1_020 + OutageBacklog.UNSEEN_MS, backlog.millis(STARTED + 1_020 * MS, KEY));
    }

    @Test
    void whatDoesNotFollowIsAsOldAsItSays() {
        assertEquals(0, backlog.millis(STARTED, KEY));
        backlog.answered(STARTED + 1_000 * MS, KEY);
        assertEquals(0, backlog.millis(STARTED + 1_010 * MS, KEY + 1));
        long later = STARTED + (1_000 + OutageBacklog.FOLLOWS_MS + 1) * MS;
        assertEquals(0, backlog.millis(later, KEY));
    }

    @Test
    void aMessageWithoutAKeyWaitsForNoOther() {
        backlog.answered(STARTED, 0);
        assertEquals(0, backlog.millis(STARTED + MS, 0));
    }

    @Test
    void anotherProcessThatServedUntilJustNowLeavesLittle() {
        backlog.servedUntil(STARTED + 800 * MS);
        backlog.answered(STARTED + 1_000 * MS, KEY);
        assertEquals(210, backlog.millis(STARTED + 1_010 * MS, KEY));
    }

    @Test
    void theOutageIsOverWhenNobodyHasWaitedLongForAWhile() {
        long felt = STARTED + 2_000 * MS;
        backlog.stillFelt(felt);
        long end = felt + OutageBacklog.SETTLED_MS * MS;
        backlog.answered(end - 10 * MS, KEY);
        assertEquals(4_499 + OutageBacklog.UNSEEN_MS, backlog.millis(end - MS, KEY));
        backlog.answered(end, KEY);
        assertEquals(0, backlog.millis(end + MS, KEY));
        // A request that lay unread later on is no outage.
        backlog.stillFelt(end + MS);
        backlog.answered(end + 2 * MS, KEY);
        assertEquals(0, backlog.millis(end + 3 * MS, KEY));
    }

    /** However long the start takes, clients come again only when somebody accepts them. */
    @Test
    void aSlowStartDoesNotEndTheOutage() {
        long listening = STARTED + 2 * OutageBacklog.SETTLED_MS * MS;
        OutageBacklog slow = new OutageBacklog(STARTED, listening);
        slow.answered(listening + 100 * MS, KEY);
        assertEquals(5_110 + OutageBacklog.UNSEEN_MS, slow.millis(listening + 110 * MS, KEY));
    }

    @Test
    void theKeysAnsweredLastAreKept() {
        for (long key = 1; key <= OutageBacklog.MOST_KEYS + 1; key++) {
            backlog.answered(STARTED, key);
        }
        assertEquals(0, backlog.millis(STARTED, 1));
        assertEquals(OutageBacklog.UNSEEN_MS, backlog.millis(STARTED, 2));
    }
}
