/** An accepted message, the versions of message classes, and the ids of completed messages. */
package amberroute.sender.message;
