package amberroute.decisions.reference;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of the scheduler's behavior: the digests were recorded before the module was split into one
 * class per rule. A digest covers every action with its ids, times and delays, see {@link DecisionTrace}.
 */
class DecisionTraceDigestTest {
    private static final List<String> RECORDED_DIGESTS = List.of(
            "6ccc86a6615c6a39082b318300db983c0bf70896a83d9d6c9454f6700d3a0017",
            "ee4e9d3be856699fc1f444d921feac7fac0c7a6d83a3b5548cd255122f4c8674",
            "feecfa2b82d7f6081e55cfe9c3c0edc11679aa0a522a7b4749723edfbdcb0907",
            "8a5f8d2fdc56f6be7bc07779e1162799aac656e0259eeabfb034991bd7995e37",
            "aa2cd2aa633092cad748e3e55c3648d623f793fa55339c041d2fb420f7b53dbb",
            "b1d0a828f1873417f06d1db80aa73c9fde92e97cd9b5944078f14d2f35cebdae",
            "1cd24cace69c38cff0249106d2f2216d5dc8b67f3ac41c1ce2033c6c2e27ca6a",
            "5322df779053d73bc669194b5294bd712bdcb7a4206c48da48750d8a43ac4604");

    @Test
    void actionsOfAllPlansMatchRecordedDigests() {
        List<String> digests = new ArrayList<>();
        for (int plan = 0; plan < DecisionTrace.PLANS.size(); plan++) {
            digests.add(DecisionTrace.digest(plan));
            System.out.println(
                    "decision trace: plan " + plan + ", seeds " + DecisionTrace.seeds(plan) + ", " + digests.get(plan));
        }
        assertEquals(RECORDED_DIGESTS, digests);
    }
}
