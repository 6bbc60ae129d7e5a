package amberroute.sender.journal;

import amberroute.sender.message.MessageClassRegistry;

/** A journaled version of a message class, with the number that messages refer to. */
record NumberedClass(int number, MessageClassRegistry.Version version) {}
