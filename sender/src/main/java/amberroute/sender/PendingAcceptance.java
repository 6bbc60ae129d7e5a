package amberroute.sender;

import amberroute.sender.client.ClientServer;
import amberroute.sender.message.AcceptedMessage;

/** A message that the next event loop iteration accepts or rejects, and the reply that its client waits for. */
record PendingAcceptance(AcceptedMessage message, ClientServer.Answer reply) {}
