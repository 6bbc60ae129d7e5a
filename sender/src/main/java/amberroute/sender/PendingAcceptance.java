package amberroute.sender;

import amberroute.sender.client.ClientServer;
import amberroute.sender.message.AcceptedMessage;

/** A message whose acceptance the next event loop iteration decides, and the answer that its client waits for. */
record PendingAcceptance(AcceptedMessage message, ClientServer.Answer reply) {}
