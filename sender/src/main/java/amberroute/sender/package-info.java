/**
 * The daemon: carries out on sockets what the decisions decide, and keeps in a journal what it owes. One event loop owns
 * the module and all state; nothing slow runs on it and there are no locks. It knows no fleet, no command line and no
 * simulator.
 */
package amberroute.sender;
