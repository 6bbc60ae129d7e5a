package amberroute.sender.upstream;

import amberroute.sender.decision.SchedulerAction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongToIntFunction;

/** Which sends of one turn travel as one call. */
public final class CallBatching {
    private record BatchKey(long endpoint, long giveUpAt) {}

    private CallBatching() {}

    /**
     * Those to one endpoint that are given up at one time, as far as its kind takes several messages: the module gives all
     * messages of a call one time, and where it starts two calls to one endpoint in a turn, messages that have little time
     * left must not be given up as late as the others.
     */
    public static List<List<SchedulerAction.Send>> of(
            List<SchedulerAction.Send> sends, LongToIntFunction messagesPerCall) {
        List<List<SchedulerAction.Send>> groups = new ArrayList<>();
        Map<BatchKey, List<SchedulerAction.Send>> open = new LinkedHashMap<>();
        for (SchedulerAction.Send s : sends) {
            BatchKey key = new BatchKey(s.endpoint(), s.giveUpAt());
            List<SchedulerAction.Send> group = open.get(key);
            if (group == null || group.size() >= messagesPerCall.applyAsInt(s.endpoint())) {
                group = new ArrayList<>();
                groups.add(group);
                open.put(key, group);
            }
            group.add(s);
        }
        return groups;
    }
}
