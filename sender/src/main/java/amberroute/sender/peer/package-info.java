/** Messages between the daemons of a fleet: heartbeats, load reports, handoff of messages and replication of journals. */
package amberroute.sender.peer;
