package amberroute.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.quota.QuotaShare.LoanGrant;
import amberroute.quota.QuotaShare.LoanRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the usable fractions never add up to more than the limit, and how loans are granted and end. */
class QuotaShareTest {
    private static final long LEASE_MICROS = 1_000_000;

    private static QuotaShare newShare(int senderCount) {
        return new QuotaShare(0, 0, senderCount, LEASE_MICROS, false);
    }

    @Test
    void shareOwnsAnEqualFraction() {
        assertEquals(0.05, newShare(20).usableFraction(0), 1e-12);
    }

    @Test
    void lentFractionReturnsWhenTheLeaseEnds() {
        QuotaShare lender = newShare(4);
        QuotaShare borrower = newShare(4);
        LoanRequest request = borrower.requestLoan(0, "lender", 0.2);
        LoanGrant grant = lender.onLoanRequest(100, "borrower", request, 0.1);
        assertEquals(0.15, grant.fraction(), 1e-12);
        borrower.onLoanGrant(200, "lender", grant);
        assertEquals(0.4, borrower.usableFraction(200), 1e-12);
        assertEquals(0.1, lender.usableFraction(200), 1e-12);
        assertEquals(0.25, borrower.usableFraction(QuotaShare.usableLeaseMicros(LEASE_MICROS)), 1e-12);
        assertEquals(0.1, lender.usableFraction(LEASE_MICROS), 1e-12);
        assertEquals(0.25, lender.usableFraction(100 + LEASE_MICROS), 1e-12);
    }

    @Test
    void repeatedLoanRequestIsGrantedNothing() {
        QuotaShare lender = newShare(2);
        QuotaShare borrower = newShare(2);
        LoanRequest request = borrower.requestLoan(0, "lender", 0.2);
        LoanGrant first = lender.onLoanRequest(0, "borrower", request, 0);
        assertEquals(0, lender.onLoanRequest(10, "borrower", request, 0).fraction());
        borrower.onLoanGrant(10, "lender", first);
        borrower.onLoanGrant(20, "lender", first);
        assertEquals(0.7, borrower.usableFraction(20), 1e-12);
        assertEquals(0.3, lender.usableFraction(20), 1e-12);
    }

    @Test
    void grantReceivedAfterTheLeaseIsIgnored() {
        QuotaShare borrower = newShare(2);
        LoanRequest request = borrower.requestLoan(0, "lender", 0.2);
        borrower.onLoanGrant(LEASE_MICROS, "lender", new LoanGrant(request.requestNumber(), 0.2));
        assertEquals(0.5, borrower.usableFraction(LEASE_MICROS), 1e-12);
    }

    @Test
    void restartedSenderUsesNothingUntilItsLoansExpire() {
        QuotaShare restarted = new QuotaShare(0, 5, 2, LEASE_MICROS, true);
        assertEquals(0, restarted.usableFraction(QuotaShare.quietPeriodMicros(LEASE_MICROS) - 1), 1e-12);
        assertEquals(
                0,
                restarted.onLoanRequest(0, "peer", new LoanRequest(1, 0.1), 0).fraction());
        assertEquals(0.5, restarted.usableFraction(QuotaShare.quietPeriodMicros(LEASE_MICROS)), 1e-12);
    }

    @Test
    void grantThatWasNotRequestedIsIgnored() {
        QuotaShare borrower = newShare(2);
        LoanRequest request = borrower.requestLoan(0, "lender", 0.2);
        for (double fraction : new double[] {-1, 0.3, Double.NaN, Double.POSITIVE_INFINITY}) {
            borrower.onLoanGrant(1, "lender", new LoanGrant(request.requestNumber(), fraction));
        }
        borrower.onLoanGrant(1, "other", new LoanGrant(request.requestNumber(), 0.2));
        assertEquals(0.5, borrower.usableFraction(1), 1e-12);
        assertEquals(
                0,
                newShare(2)
                        .onLoanRequest(0, "p", new LoanRequest(1, Double.NaN), 0)
                        .fraction());
        assertEquals(
                0, newShare(2).onLoanRequest(0, "p", new LoanRequest(1, -1), 0).fraction());
    }

    /** A sender of a simulated fleet, with a clock of its own rate. */
    private static final class SimulatedSender {
        final String name;
        final double clockRate;
        final long clockOffset;
        QuotaShare share;
        boolean alive = true;

        SimulatedSender(String name, double clockRate, long clockOffset, int senderCount) {
            this.name = name;
            this.clockRate = clockRate;
            this.clockOffset = clockOffset;
            share = new QuotaShare(localTime(0), 0, senderCount, LEASE_MICROS, false);
        }

        long localTime(long realMicros) {
            return clockOffset + (long) (realMicros * clockRate);
        }
    }

    private record Packet(long deliverAtMicros, SimulatedSender from, SimulatedSender to, Object payload) {}

    /**
     * Up to 40 senders, with clocks up to 2 % fast or slow, request loans from random peers. The network loses, delays and
     * duplicates packets and is partitioned into halves at times; senders crash while they hold loans, and restart. At no
     * point of real time may the usable fractions add up to more than the whole limit.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void usableFractionsNeverExceedTheWholeLimit(long seed) {
        double[] highestFractions = simulate(seed);
        assertTrue(
                highestFractions[0] <= 1 + 1e-9,
                "seed " + seed + ": usable fractions add up to " + highestFractions[0]);
        assertTrue(
                highestFractions[1] > 1.2,
                "seed " + seed + ": too little was lent to test the invariant, largest multiple of the own fraction: "
                        + highestFractions[1]);
    }

    /** Returns the largest sum of usable fractions, and the largest one of a sender as a multiple of the fraction that it owns. */
    private static double[] simulate(long seed) {
        Random random = new Random(seed);
        int senderCount = 2 + random.nextInt(39);
        List<SimulatedSender> senders = new ArrayList<>();
        for (int i = 0; i < senderCount; i++) {
            double clockRate = i == 0
                    ? 1 + QuotaShare.MAX_CLOCK_DRIFT_RATIO
                    : i == 1
                            ? 1 - QuotaShare.MAX_CLOCK_DRIFT_RATIO
                            : 1 + QuotaShare.MAX_CLOCK_DRIFT_RATIO * (2 * random.nextDouble() - 1);
            senders.add(new SimulatedSender("d" + i, clockRate, random.nextInt(1_000_000), senderCount));
        }
        List<Packet> packets = new ArrayList<>();
        double highestSum = 0;
        double highestMultiple = 0;
        for (long now = 0; now < 20 * LEASE_MICROS; now += 5_000) {
            boolean partitioned = now / LEASE_MICROS % 4 == 3;
            long stepTime = now;
            for (Packet packet : packets.stream()
                    .filter(queued -> queued.deliverAtMicros() <= stepTime)
                    .toList()) {
                packets.remove(packet);
                if (packet.to().alive) {
                    deliver(random, packets, now, packet);
                }
            }
            for (SimulatedSender sender : senders) {
                if (!sender.alive || random.nextInt(40) != 0) {
                    continue;
                }
                SimulatedSender peer = senders.get(random.nextInt(senderCount));
                if (peer != sender) {
                    LoanRequest request = sender.share.requestLoan(
                            sender.localTime(now), peer.name, random.nextDouble() / senderCount);
                    send(
                            random,
                            packets,
                            now,
                            sender,
                            peer,
                            request,
                            partitioned && senders.indexOf(sender) % 2 != senders.indexOf(peer) % 2);
                }
            }
            if (random.nextInt(100) == 0) {
                SimulatedSender sender = senders.get(random.nextInt(senderCount));
                sender.alive = !sender.alive;
                if (sender.alive) {
                    sender.share = new QuotaShare(sender.localTime(now), now, senderCount, LEASE_MICROS, true);
                }
            }
            double sum = 0;
            for (SimulatedSender sender : senders) {
                double fraction = sender.alive ? sender.share.usableFraction(sender.localTime(now)) : 0;
                sum += fraction;
                highestMultiple = Math.max(highestMultiple, fraction * senderCount);
            }
            highestSum = Math.max(highestSum, sum);
        }
        return new double[] {highestSum, highestMultiple};
    }

    private static void deliver(Random random, List<Packet> packets, long now, Packet packet) {
        SimulatedSender to = packet.to();
        if (packet.payload() instanceof LoanRequest request) {
            LoanGrant grant = to.share.onLoanRequest(
                    to.localTime(now), packet.from().name, request, 0.2 * random.nextDouble() / 40);
            send(random, packets, now, to, packet.from(), grant, false);
        } else if (packet.payload() instanceof LoanGrant grant) {
            to.share.onLoanGrant(to.localTime(now), packet.from().name, grant);
        }
    }

    private static void send(
            Random random,
            List<Packet> packets,
            long now,
            SimulatedSender from,
            SimulatedSender to,
            Object payload,
            boolean partitioned) {
        for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
            if (!partitioned && random.nextInt(8) != 0) {
                long delay = random.nextInt(6) == 0 ? random.nextInt((int) (2 * LEASE_MICROS)) : random.nextInt(20_000);
                packets.add(new Packet(now + delay, from, to, payload));
            }
        }
    }
}
