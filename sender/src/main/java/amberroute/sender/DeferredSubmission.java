package amberroute.sender;

import amberroute.sender.client.ClientServer;

/** A submission during a stop that is not answered until it is known which sender takes over its ordered key. */
record DeferredSubmission(ClientServer.Submission submission, ClientServer.Answer reply) {}
