/**
 * What all daemons together may send to a destination that is warming up. {@link amberroute.quota.QuotaShare} divides a limit among daemons,
 * {@link amberroute.quota.QuotaLending} asks peers for more, {@link amberroute.quota.SlowStartLimit} says how much the whole is just now
 * and whether there is a limit at all, and {@link amberroute.quota.SlowStartLimits} keeps one of them for each destination.
 *
 * <p>Assumes clocks whose rates differ by {@link amberroute.quota.QuotaShare#MAX_CLOCK_DRIFT_RATIO} at most, and datagrams that may be lost,
 * delayed and repeated. Invariant: the fractions of a limit that daemons may use add up to 1 at most, whatever daemons believe of one
 * another and whoever fails.
 *
 * <p>No I/O and no clock; times are microseconds on the daemon's own monotonic clock. It knows the messages of {@code membership} and neither
 * sockets nor the sender nor the decision module.
 */
package amberroute.quota;
