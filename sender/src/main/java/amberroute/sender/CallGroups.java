package amberroute.sender;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongToIntFunction;

/** Which sends of one turn travel as one call. */
final class CallGroups {
    private record Together(long endpoint, long giveUpAt) {}

    private CallGroups() {}

    /**
     * Those to one endpoint that are given up at one time, as far as its kind takes several messages: the module gives all
     * messages of a call one time, and where it starts two calls to one endpoint in a turn, messages that have little time
     * left must not be given up as late as the others.
     */
    static List<List<Action.Send>> of(List<Action.Send> sends, LongToIntFunction messagesPerCall) {
        List<List<Action.Send>> groups = new ArrayList<>();
        Map<Together, List<Action.Send>> open = new LinkedHashMap<>();
        for (Action.Send s : sends) {
            Together key = new Together(s.endpoint(), s.giveUpAt());
            List<Action.Send> group = open.get(key);
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
