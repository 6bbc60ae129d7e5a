package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import com.google.gson.JsonObject;

/** A book's sums as a rig's last line has them. */
final class DeliveryTotalsJson {
    private DeliveryTotalsJson() {}

    static void add(JsonObject out, DeliveryHistory.Totals t) {
        out.addProperty("taken", t.accepted());
        out.addProperty("delivered", t.delivered());
        out.addProperty("returned", t.returned());
        out.addProperty("failed", t.failed());
        out.addProperty("open", t.open());
        out.addProperty("lost", t.lost());
        out.addProperty("doubled", t.duplicateExecutions());
        out.addProperty("out_of_order", t.outOfOrder());
        out.addProperty("late_notices", t.lateNotifications());
        out.addProperty("strange", t.unknownMessages());
    }
}
