package amberroute.sender.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.KeyScope;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Numbers of class versions: kept while anybody needs them, given away again after. */
class MessageClassRegistryTest {
    private static MessageClass type(int worth) {
        return new MessageClass(worth, 0, 1, 2, Idempotency.IDEMPOTENT, KeyScope.DESTINATION, 0, false);
    }

    @Test
    void aVersionKeepsItsNumberWhileItIsHeld() {
        MessageClassRegistry book = new MessageClassRegistry();
        assertTrue(book.take(List.of("a", "b"), List.of(type(1), type(2)), n -> false));
        int old = book.number("a");
        assertTrue(book.take(List.of("b", "a"), List.of(type(2), type(3)), n -> n == old));
        assertEquals(type(1), book.type(old));
        assertEquals(type(3), book.type(book.number("a")));
        assertEquals(type(2), book.types().get(book.number("b")));
        assertTrue(book.take(List.of("b", "a"), List.of(type(2), type(3)), n -> false));
        assertEquals(null, book.version(old));
        assertEquals(-1, book.number("gone"));
    }

    @Test
    void changesNothingWhereTooManyVersionsAreHeld() {
        MessageClassRegistry book = new MessageClassRegistry();
        for (int i = 1; i <= MessageClassRegistry.MAX_VERSIONS; i++) {
            assertTrue(book.take(List.of("a"), List.of(type(i)), n -> true));
        }
        assertFalse(book.take(List.of("a", "b"), List.of(type(0), type(99)), n -> true));
        assertEquals(type(MessageClassRegistry.MAX_VERSIONS), book.type(book.number("a")));
        assertEquals(-1, book.number("b"));
        assertTrue(book.take(List.of("a"), List.of(type(0)), n -> n != 5));
        assertEquals(5, book.number("a"));
    }

    @Test
    void whatNobodyNeedsStandsForAClassThatCounts() {
        MessageClassRegistry book = new MessageClassRegistry();
        book.restore(3, new MessageClassRegistry.Version("old", type(7)));
        assertTrue(book.take(List.of("a"), List.of(type(1)), n -> n == 3));
        assertEquals(List.of(type(1), type(1), type(1), type(7)), book.types());
    }
}
