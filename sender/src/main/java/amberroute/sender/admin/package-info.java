/** What operators and their tools reach: the control socket, the HTTP server for readiness and metrics, and the metrics themselves. */
package amberroute.sender.admin;
