package amberroute.sender.upstream;

import amberroute.sender.decision.SchedulerAction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongToIntFunction;

/** Groups the sends of one decision into calls with several messages. Stateless. */
public final class CallBatching {
    private record BatchKey(long endpoint, long giveUpAt) {}

    private CallBatching() {}

    /**
     * Groups sends to one endpoint with one time-out, up to the number of messages that the endpoint takes. The scheduler gives all messages of
     * a call the same time-out; where it starts two calls to one endpoint in one decision, messages with little time left must not
     * get the time-out of the others.
     */
    public static List<List<SchedulerAction.Send>> of(
            List<SchedulerAction.Send> sends, LongToIntFunction messagesPerCall) {
        List<List<SchedulerAction.Send>> calls = new ArrayList<>();
        Map<BatchKey, List<SchedulerAction.Send>> openCalls = new LinkedHashMap<>();
        for (SchedulerAction.Send send : sends) {
            BatchKey key = new BatchKey(send.endpoint(), send.giveUpAt());
            List<SchedulerAction.Send> call = openCalls.get(key);
            if (call == null || call.size() >= messagesPerCall.applyAsInt(send.endpoint())) {
                call = new ArrayList<>();
                calls.add(call);
                openCalls.put(key, call);
            }
            call.add(send);
        }
        return calls;
    }
}
