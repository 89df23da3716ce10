package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.bramleylatch.wire.Address;

/**
 * Generates an open-loop load: chats are sent at the times of a seeded Poisson process, whether or
 * not earlier ones have been answered. The time to the first token counts from when a chat was due,
 * not from when it was sent, so that a delay of the generator is not left out.
 */
final class LoadRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DRAIN_TIMEOUT_SECONDS = 60;
    private static final int OK = 200;

    private final SseClient client;
    private final Address target;
    private final String memberKey;
    private final LoadPlan plan;
    private final ConcurrentHistogram firstToken = new ConcurrentHistogram(3);
    private final ConcurrentHistogram betweenTokens = new ConcurrentHistogram(3);
    private final AtomicLong completeCount = new AtomicLong();
    private final AtomicLong refusedCount = new AtomicLong();
    private final AtomicLong brokenCount = new AtomicLong();
    private final AtomicLong tokenCount = new AtomicLong();

    LoadRun(Vertx vertx, Address target, String memberKey, LoadPlan plan) {
        this.client = new SseClient(vertx);
        this.target = target;
        this.memberKey = memberKey;
        this.plan = plan;
    }

    /** Sends all chats and waits up to 60 s for the answers still open before it reports. */
    LoadReport run() {
        Random random = new Random(plan.seed());
        long startNanos = System.nanoTime();
        long dueNanos = startNanos;
        long endNanos = startNanos + plan.seconds() * NANOS_PER_SECOND;
        int sentCount = 0;
        CountDownLatch openChats = new CountDownLatch(maxArrivals());
        while (dueNanos < endNanos) {
            dueNanos += Math.round(-Math.log(1 - random.nextDouble()) / plan.perSecond() * 1e9);
            sleepUntil(dueNanos);
            send(dueNanos, openChats);
            sentCount++;
        }
        awaitOpenChats(openChats, sentCount);
        return new LoadReport(
                plan,
                sentCount,
                completeCount.get(),
                refusedCount.get(),
                brokenCount.get(),
                tokenCount.get(),
                LoadReport.Times.of(firstToken),
                LoadReport.Times.of(betweenTokens));
    }

    /**
     * Returns an upper bound for the random number of arrivals, because the latch needs its count
     * before they are known.
     */
    private int maxArrivals() {
        return (int) (plan.seconds() * plan.perSecond() * 2 + 1_000);
    }

    private void send(long dueNanos, CountDownLatch openChats) {
        AtomicLong lastNanos = new AtomicLong();
        String body = RequestBodies.chat(plan.promptLines(), plan.mostTokens(), true);
        Map<String, String> headers = Map.of("authorization", "Bearer " + memberKey);
        client.chat(target, headers, body, nowNanos -> recordToken(dueNanos, lastNanos, nowNanos))
                .whenComplete(
                        (outcome, failure) -> {
                            countOutcome(outcome);
                            openChats.countDown();
                        });
    }

    private void recordToken(long dueNanos, AtomicLong lastNanos, long nowNanos) {
        long previousNanos = lastNanos.getAndSet(nowNanos);
        tokenCount.incrementAndGet();
        if (previousNanos == 0) {
            firstToken.recordValue(Math.max(1, nowNanos - dueNanos));
        } else {
            betweenTokens.recordValue(Math.max(1, nowNanos - previousNanos));
        }
    }

    private void countOutcome(SseClient.Outcome outcome) {
        if (outcome.status() != OK) {
            refusedCount.incrementAndGet();
        } else if (outcome.isComplete()) {
            completeCount.incrementAndGet();
        } else {
            brokenCount.incrementAndGet();
        }
    }

    private void awaitOpenChats(CountDownLatch openChats, int sentCount) {
        long endNanos = System.nanoTime() + DRAIN_TIMEOUT_SECONDS * NANOS_PER_SECOND;
        long unusedCount = maxArrivals() - sentCount;
        while (openChats.getCount() > unusedCount && System.nanoTime() < endNanos) {
            sleepUntil(System.nanoTime() + 10_000_000);
        }
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        if (remainingNanos > 0) {
            try {
                TimeUnit.NANOSECONDS.sleep(remainingNanos);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
