/** Calls to endpoints: connections, batching, response parsing, and the window in which a repeat is safe. */
package amberroute.sender.upstream;
