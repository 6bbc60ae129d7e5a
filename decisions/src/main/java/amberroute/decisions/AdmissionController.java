package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Event.AdmissionPriceChanged;
import amberroute.decisions.DeliveryScheduler.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Rejects at arrival what cannot be delivered in time: a message whose due date less its predicted wait is past, and one whose
 * priority weight is below the price of a call. Near capacity the message with the least index is shed, so that arrivals are
 * still ranked. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a predicted wait that is too long: a message is rejected that could have been delivered.
 */
final class AdmissionController {
    /** Share of the most pending messages above which the least is shed. */
    private static final double SHED_ABOVE_CAPACITY_RATIO = 0.9;
    /** Seconds of a tenant's quota that it may use in one burst. */
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

    /** Takes note of an arrival, to be tested in the next decision; a message beyond its tenant's quota loses weight. */
    void onArrival(long now, PendingMessage message, int tenant) {
        message.priorityWeight *= withinQuota(now, tenant) ? 1 : settings.get().overQuotaWeightFactor();
        arrivals.add(message);
    }

    /** Each sender sees its own part of a tenant's traffic only, and takes a fair share of the quota. */
    private boolean withinQuota(long now, int tenant) {
        return tenant < 0
                || tenant >= tenantQuotas.size()
                || tenantQuotas.get(tenant).tryTake(now);
    }

    /** Tests the arrivals; the predicted wait counts once more messages wait than there are slots. */
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
     * When to submit a message again that is not worth the price of a call, 0 for one that is. At the limit a share is admitted,
     * by whole keys, so that no message of a key overtakes one that was rejected.
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
