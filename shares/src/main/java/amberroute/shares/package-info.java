/**
 * What all daemons together may give a partner that has just come back: a share of its limit that each daemon owns by the
 * settings, lends in short leases and gets back by the passing of time. {@code docs/cold-partners.md} has the invariant.
 *
 * <p>Decides only: no I/O, time from outside, nothing random. It knows no sender and no wire.
 */
package amberroute.shares;
