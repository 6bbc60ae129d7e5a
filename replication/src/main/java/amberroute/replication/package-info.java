/**
 * Replication of a sender's journal: replicas of its records at the members of a replica set, leader terms that a
 * quorum grants, and elections for the next term.
 *
 * <p>Messages may be lost, delayed and duplicated, and clocks may be wrong. The caller must have each {@link
 * amberroute.replication.ReplicaState} on disk before it sends the reply that depends on it. Invariants:
 *
 * <ul>
 * <li>A term has one leader: a replica grants it once, and afterwards accepts nothing of an earlier term ({@link
 * amberroute.replication.ReplicaState}).
 * <li>An effect takes place only once a quorum has the record that allows it ({@link
 * amberroute.replication.LeaderTerm}). The leader of a later term has that record, because its quorum and the first
 * have a member in common ({@link amberroute.replication.Candidacy}).
 * <li>A change of the replica set adds or removes one member, so that quorums before and after it overlap ({@link
 * amberroute.replication.ReplicaSet}).
 * </ul>
 *
 * <p>The package performs no I/O and reads no clock. It does not depend on the journal, the network or the sender.
 * When to start an election ({@link amberroute.replication.ElectionSchedule}) and which senders to replicate to
 * ({@link amberroute.replication.ReplicaSetChange}) affect only time and work, never safety.
 */
package amberroute.replication;
