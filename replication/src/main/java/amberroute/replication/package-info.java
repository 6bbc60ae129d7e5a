/**
 * Who owns a daemon's journal when the daemon may be lost: replicas of its records at a replica set, leader terms that a quorum grants, and the
 * candidacy for the next one.
 *
 * <p>Assumes that messages may be lost, delayed and repeated, that clocks may be wrong, and that the host has each {@link
 * amberroute.replication.ReplicaState} on disk before the answer that follows from it leaves. Invariants:
 *
 * <ul>
 * <li>A term has one owner: a replica grants it once, and takes nothing of an older one afterwards ({@link
 * amberroute.replication.ReplicaState}).
 * <li>An effect happens once a quorum has the record that allows it ({@link amberroute.replication.LeaderTerm}); whoever wins a later term
 * has that record, as its quorum has a member in common with the first ({@link amberroute.replication.Candidacy}).
 * <li>A change of the replica set adds or removes one member, so quorums of before and after meet ({@link
 * amberroute.replication.ReplicaSet}).
 * </ul>
 *
 * <p>No I/O and no clock. It knows neither the journal nor sockets nor the sender. When to stand for election ({@link
 * amberroute.replication.ElectionSchedule}) and whom to replicate to ({@link amberroute.replication.ReplicaSetChange}) matters for time and
 * work only, never for safety.
 */
package amberroute.replication;
