package amberroute.sender.journal;

import amberroute.sender.message.MessageClassRegistry;

/** A version of a message class as it is journaled, under the number that messages refer to. */
record NumberedClass(int number, MessageClassRegistry.Version version) {}
