package amberroute.sender.peer;

import amberroute.replication.LeaderTerm;
import amberroute.replication.ReplicaSet;
import amberroute.replication.ReplicaState;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/** What operators see of the journals that are known here; its keys are part of the control socket. Lives on the event loop. */
final class ReplicaReport {
    private final ReplicationContext context;
    private final OwnedJournals owned;

    ReplicaReport(ReplicationContext context, OwnedJournals owned) {
        this.context = context;
        this.owned = owned;
    }

    JsonArray describeAll() {
        JsonArray all = new JsonArray();
        context.store().all().values().forEach(replica -> all.add(describe(replica)));
        return all;
    }

    private JsonObject describe(ReplicaStore.StoredReplica replica) {
        JsonObject json = new JsonObject();
        ReplicaState state = owned.currentState(replica);
        json.addProperty("estate", replica.journalId);
        json.addProperty("owner", state.owner());
        json.addProperty("term", state.term());
        json.addProperty("here", role(replica));
        json.addProperty("number", replica.completed ? 0 : state.logPosition().index());
        JournalReplicator running = owned.replicatorOf(replica);
        LeaderTerm term = running == null ? null : running.leaderTerm();
        ReplicaSet replicaSet = term == null ? replica.replicaSet : term.replicaSet();
        json.add("holders", names(replicaSet == null ? List.of() : replicaSet.members()));
        if (term != null) {
            json.add("behind", lags(term));
            json.addProperty("ready", running.isReady());
            json.addProperty("not_in_time", running.lateEffects());
        }
        FailoverManager.RunningFailover failover = owned.failovers().of(replica.journalId);
        if (failover != null) {
            json.addProperty("taken", failover.resumedMessages());
            json.addProperty("for_ms", failover.runningForMillis());
        }
        return json;
    }

    private String role(ReplicaStore.StoredReplica replica) {
        if (replica.completed) {
            return "done";
        }
        if (owned.isOwn(replica)) {
            return "own";
        }
        if (replica.runningHere) {
            return "taken over";
        }
        return replica.copyFolderName.isEmpty() ? "promised" : "copy";
    }

    private static JsonArray names(List<String> members) {
        JsonArray names = new JsonArray();
        members.forEach(names::add);
        return names;
    }

    private static JsonObject lags(LeaderTerm term) {
        JsonObject lags = new JsonObject();
        term.replicaSet().members().forEach(member -> lags.addProperty(member, term.replicationLag(member)));
        return lags;
    }
}
