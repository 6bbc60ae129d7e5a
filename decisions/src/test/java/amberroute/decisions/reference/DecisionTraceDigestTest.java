package amberroute.decisions.reference;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards the behaviour of the decision module byte for byte: the digests were recorded from the version before the module was
 * split into one class a rule. Every action with its ids, times and delays is part of a digest, see {@link DecisionTrace}.
 */
class DecisionTraceDigestTest {
    private static final List<String> RECORDED = List.of(
            "0605bb21791d2f9d7fb2f21fa18b403265aaa444d2040297ec3db4fad1bbcf8d",
            "f6e748d344e22992f777354684b8eebecb8c7589b87334e49722dd9a75d93ad8",
            "eb5131a55c6991f17cc9f627fbe15f609588b63615b16641d1482fafe8f47c2f",
            "bfb6a1c3648772c39b563c363091f1eb062a3451257f0bce96d623254e00f54c",
            "83a1c28a40881632dfe23deb3dc1ea5b9cf805c0dd2296a537598b62fba0c23f",
            "76da8e229af21bc71878b8ce4dfcf4c33bce9b85d6a07b20c20e753ec19efff2",
            "9cd5aa604688b52d0f4519233191ceb9fdf61fe5fc70bae5d808354803fae54d",
            "ff567f1bffc5d14f26d11b78823139d6c1c6e27a9ebb3e2e1f3f52cb7f865847");

    @Test
    void actionsAreThoseOfTheRecordedVersion() {
        List<String> digests = new ArrayList<>();
        for (int plan = 0; plan < DecisionTrace.PLANS.size(); plan++) {
            digests.add(DecisionTrace.digest(plan));
            System.out.println(
                    "decision trace: plan " + plan + ", seeds " + DecisionTrace.seeds(plan) + ", " + digests.get(plan));
        }
        assertEquals(RECORDED, digests);
    }
}
