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
 * Sends chats at the times that a seeded arrival process sets, whether or not earlier ones have
 * been answered. Times count from when a chat was due, not from when it was sent.
 */
final class LoadRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DRAIN_SECONDS = 60;
    private static final int OK = 200;

    private final SseClient client;
    private final Address to;
    private final String memberKey;
    private final LoadPlan plan;
    private final ConcurrentHistogram firstToken = new ConcurrentHistogram(3);
    private final ConcurrentHistogram between = new ConcurrentHistogram(3);
    private final AtomicLong whole = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong broken = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();

    LoadRun(Vertx vertx, Address to, String memberKey, LoadPlan plan) {
        this.client = new SseClient(vertx);
        this.to = to;
        this.memberKey = memberKey;
        this.plan = plan;
    }

    /** Runs the load to its end and returns what came of it. */
    LoadReport run() {
        Random random = new Random(plan.seed());
        long startNanos = System.nanoTime();
        long dueNanos = startNanos;
        long endNanos = startNanos + plan.seconds() * NANOS_PER_SECOND;
        int count = 0;
        CountDownLatch open = new CountDownLatch(arrivals());
        while (dueNanos < endNanos) {
            dueNanos += Math.round(-Math.log(1 - random.nextDouble()) / plan.perSecond() * 1e9);
            awaitNanos(dueNanos);
            send(dueNanos, open);
            count++;
        }
        drain(open, count);
        return new LoadReport(
                plan,
                count,
                whole.get(),
                refused.get(),
                broken.get(),
                tokens.get(),
                LoadReport.Times.of(firstToken),
                LoadReport.Times.of(between));
    }

    /** Returns a number of arrivals that the plan does not exceed. */
    private int arrivals() {
        return (int) (plan.seconds() * plan.perSecond() * 2 + 1_000);
    }

    private void send(long dueNanos, CountDownLatch open) {
        AtomicLong lastNanos = new AtomicLong();
        String body = Documents.chat(plan.promptLines(), plan.mostTokens(), true);
        Map<String, String> headers = Map.of("authorization", "Bearer " + memberKey);
        client.chat(to, headers, body, now -> note(dueNanos, lastNanos, now))
                .whenComplete(
                        (outcome, failure) -> {
                            count(outcome);
                            open.countDown();
                        });
    }

    private void note(long dueNanos, AtomicLong lastNanos, long nowNanos) {
        long before = lastNanos.getAndSet(nowNanos);
        tokens.incrementAndGet();
        if (before == 0) {
            firstToken.recordValue(Math.max(1, nowNanos - dueNanos));
        } else {
            between.recordValue(Math.max(1, nowNanos - before));
        }
    }

    private void count(SseClient.Outcome outcome) {
        if (outcome.status() != OK) {
            refused.incrementAndGet();
        } else if (outcome.whole()) {
            whole.incrementAndGet();
        } else {
            broken.incrementAndGet();
        }
    }

    private void drain(CountDownLatch open, int count) {
        long endNanos = System.nanoTime() + DRAIN_SECONDS * NANOS_PER_SECOND;
        long never = arrivals() - count;
        while (open.getCount() > never && System.nanoTime() < endNanos) {
            awaitNanos(System.nanoTime() + 10_000_000);
        }
    }

    private static void awaitNanos(long dueNanos) {
        long leftNanos = dueNanos - System.nanoTime();
        if (leftNanos > 0) {
            try {
                TimeUnit.NANOSECONDS.sleep(leftNanos);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
