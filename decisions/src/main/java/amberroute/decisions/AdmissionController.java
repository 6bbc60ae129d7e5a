package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Event.AdmissionPriceChanged;
import amberroute.decisions.DeliveryScheduler.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Rejects arriving messages that are predicted to wait until after their due date, and messages whose priority weight is below
 * the admission price of a call. Near capacity, the message with the lowest index is shed, so that new arrivals can still
 * compete. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a predicted wait that is too long: a message is rejected that could have been delivered.
 */
final class AdmissionController {
    /** Share of the maximum number of pending messages above which messages are shed. */
    private static final double SHED_ABOVE_CAPACITY_RATIO = 0.9;
    /** Seconds of its quota that a tenant may use in one burst. */
    private static final double TENANT_BURST_SECONDS = 2;

    private final CurrentSettings settings;
    private final SplittableRandom random;
    private final MessageLifecycle messages;
    private final PendingMessages pending;
    private final DispatchIndex index;
    private final WaitPrediction waitPrediction;
    private final List<TokenBucket> tenantQuotas = new ArrayList<>();
    /** Messages that have arrived since the last decision. */
    private final List<PendingMessage> arrivals = new ArrayList<>();

    AdmissionController(
            CurrentSettings settings,
            SplittableRandom random,
            MessageLifecycle messages,
            PendingMessages pending,
            DispatchIndex index,
            WaitPrediction waitPrediction) {
        this.settings = settings;
        this.random = random;
        this.messages = messages;
        this.pending = pending;
        this.index = index;
        this.waitPrediction = waitPrediction;
        for (Tenant tenant : settings.get().tenants()) {
            double perSecond = tenant.quotaPerSecond() / settings.get().senderCount();
            tenantQuotas.add(new TokenBucket(perSecond, TENANT_BURST_SECONDS));
        }
    }

    /** Adds an arrival, to be tested in the next decision; a message beyond the quota of its tenant gets a lower weight. */
    void onArrival(long now, PendingMessage message, int tenant) {
        message.priorityWeight *= withinQuota(now, tenant) ? 1 : settings.get().overQuotaWeightFactor();
        arrivals.add(message);
    }

    /** Each sender sees only its own part of the traffic of a tenant, and applies a fair share of the quota to it. */
    private boolean withinQuota(long now, int tenant) {
        return tenant < 0
                || tenant >= tenantQuotas.size()
                || tenantQuotas.get(tenant).tryTake(now);
    }

    /** Tests the arrivals; the predicted wait is tested only while more messages are waiting than there are slots. */
    void admitArrivals(long now, Actions actions) {
        boolean checkWait = pending.waitingCount() > settings.limits().maxConcurrentCalls();
        for (PendingMessage message : arrivals) {
            if (!message.completed) {
                rejectUnlessAdmissible(now, message, checkWait, actions);
            }
        }
        arrivals.clear();
        shedAboveCapacity(now, actions);
    }

    private void rejectUnlessAdmissible(long now, PendingMessage message, boolean checkWait, Actions actions) {
        long waitMicros = checkWait ? waitPrediction.upperBoundMicros(now, message) : 0;
        if (checkWait && message.due - now - waitMicros < 0) {
            waitMicros = waitPrediction.predictedWaitMicros(now, message);
        }
        long retryAfterMicros = priceRetryAfterMicros(message);
        if (retryAfterMicros > 0 || message.due - now - waitMicros < 0) {
            messages.answer(now, message, Math.max(waitMicros, retryAfterMicros), actions);
        }
    }

    /**
     * Returns after how long a message that is worth less than the admission price may be submitted again, 0 if it is admitted.
     * At the price itself a share is admitted by whole keys, so that no message of a key overtakes a rejected one.
     */
    private long priceRetryAfterMicros(PendingMessage message) {
        AdmissionPriceChanged price = message.destination.admissionPrice;
        boolean rejected = message.priorityWeight < price.rejectedBelowWeight()
                || message.priorityWeight < price.sharedUpToWeight() && message.keySample() >= price.admittedShare();
        return rejected ? 1 + price.retryAfterMicros() + random.nextLong(1 + price.retryAfterMicros()) : 0;
    }

    private void shedAboveCapacity(long now, Actions actions) {
        double capacity = SHED_ABOVE_CAPACITY_RATIO * settings.limits().maxPendingMessages();
        while (messages.count() > capacity && pending.waitingCount() > 0) {
            PendingMessage lowestIndexed = index.lowestIndexMessage(now);
            messages.answer(now, lowestIndexed, waitPrediction.predictedWaitMicros(now, lowestIndexed), actions);
        }
    }
}
