/** The endpoint list: a watch of the discovery service or a file, with versions and reconnects. */
package amberroute.sender.discovery;
