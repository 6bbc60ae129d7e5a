/** Log, backoff and parsers that several packages share; they depend on no other package of the sender. */
package amberroute.sender.util;
