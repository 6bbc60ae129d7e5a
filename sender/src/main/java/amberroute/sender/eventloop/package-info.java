/** The event loop's select strategy and the detection of its stalls. */
package amberroute.sender.eventloop;
