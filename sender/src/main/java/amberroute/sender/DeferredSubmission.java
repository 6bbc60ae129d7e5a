package amberroute.sender;

import amberroute.sender.client.ClientServer;

/** A submission whose answer depends on who takes over its ordered key during a stop. */
record DeferredSubmission(ClientServer.Submission submission, ClientServer.Answer reply) {}
