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
            "50ba0abb433bcf9c41e0c45113f80d019631e228cff437c1bd40239dd4651d5e",
            "f75a1b8de95ba4f0bea8dcda18daddfedd3d38fd601a068105dc66867384a6f3",
            "a30cebf9c6ee398fbd3fdf677b5bebb974fb8f9474426bb82ff98fe82438345c",
            "9218f6a6761607b73c424c4c3750ee504440b9a0c702c8ee79b334d1b4291090",
            "55c8060465c680a28d17f3712d0e3029eae95114b520dc8cce4f91602bc7d78e",
            "46156fef3820226c74093e0288b10226bd06210945383efb5f95bab569a9c0dc",
            "298f89a96cc8d5ce695abdc72493e8e9fd7f7f4cc1edce66b2be619b20e06f6c",
            "54e7406c62377f62f5665a711ebb190fa8ef711e07038570d2e5f81e78ef0e71");

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
