/** Connections of clients: the RESP decoder, {@code SUBMIT}, connection limits, and how connections are drained and closed. */
package amberroute.sender.client;
