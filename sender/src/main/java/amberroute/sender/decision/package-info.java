/** The actions of the decision module as data, and a trace of its events and actions. */
package amberroute.sender.decision;
