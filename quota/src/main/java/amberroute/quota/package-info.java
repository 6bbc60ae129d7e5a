/**
 * Limits the rate at which all senders of a fleet together send to a destination that is warming up. {@link amberroute.quota.QuotaShare}
 * divides a limit among the senders, {@link amberroute.quota.QuotaLending} requests loans from peers, {@link
 * amberroute.quota.SlowStartLimit} computes the current limit of one destination, if it has one, and {@link
 * amberroute.quota.SlowStartLimits} keeps the limits of all destinations.
 *
 * <p>Assumes that the rate of each clock is off by at most {@link amberroute.quota.QuotaShare#MAX_CLOCK_DRIFT_RATIO}, and that datagrams may
 * be lost, delayed and duplicated. Invariant: the fractions of a limit that senders may use add up to at most 1, whatever the senders
 * assume about one another and whichever of them fail.
 *
 * <p>The package does no I/O and reads no clock; times are microseconds on the sender's own monotonic clock. It depends on the messages of
 * the {@code membership} module, and not on sockets, the sender module or the decision module.
 */
package amberroute.quota;
