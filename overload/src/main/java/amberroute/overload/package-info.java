/**
 * Who of a fleet sheds what. Senders tell one another short summaries of what they are asked for, by worth, and of what
 * destinations answer; each computes alone, from what it has heard, what a destination can do and what a call there costs: the
 * worth above which demand fits. {@link amberroute.overload.FleetAdmissionControl} is the way in. Decisions only: no I/O, time and chance
 * come in with each call. Whether a message is turned away is decided by the decision module, which hears of prices as
 * events. See {@code docs/overload.md}.
 */
package amberroute.overload;
