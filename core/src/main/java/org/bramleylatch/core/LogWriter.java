package org.bramleylatch.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.IntentDeclared;
import org.bramleylatch.core.LedgerRecord.SnapshotPart;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;

/**
 * Queues a process's records and forms the batches to append to the log, one at a time. A batch
 * whose answer is unknown is sent again with the same sequence numbers, so that the fold takes each
 * record once.
 */
public final class LogWriter {
    /** Counts a snapshot part, which has up to 500 rows, as this many records of a batch. */
    private static final int SNAPSHOT_PART_WEIGHT = 100;

    private final Queue<LedgerRecord> queue = new ArrayDeque<>();
    private final List<SequencedRecord> inFlight = new ArrayList<>();
    private long lastSequence;
    private long appendedSequence;
    private boolean hasUrgentRecord;
    private boolean emptyBatchWanted;
    private long nextSendMillis;
    private long nextUrgentMillis;
    private long resendMillis;

    private LogWriter() {}

    /** Returns a writer with an empty queue, whose first sequence number is 1. */
    public static LogWriter empty() {
        return new LogWriter();
    }

    /** Returns true while any record of the last batch has not been read back. */
    boolean hasBatchInFlight() {
        return !inFlight.isEmpty();
    }

    /** Queues a record for one of the next batches. */
    public void add(LedgerRecord record) {
        queue.add(record);
        hasUrgentRecord = hasUrgentRecord || isUrgent(record);
    }

    /** Lets the queued records follow soon, as requests have begun to wait for one of them. */
    void hurry() {
        hasUrgentRecord |= !queue.isEmpty();
    }

    /** Lets a batch follow soon that has at least its header. */
    void addEmptyBatch() {
        emptyBatchWanted = true;
        hasUrgentRecord = true;
    }

    /**
     * Drops the records that rest on an earlier era of the log, and queues the given one before the
     * others. What was sent and not read back is sent again under new sequence numbers.
     */
    void restartWith(LedgerRecord first) {
        List<LedgerRecord> kept =
                Stream.concat(inFlight.stream().map(SequencedRecord::record), queue.stream())
                        .filter(LogWriter::holdsInEveryEra)
                        .toList();
        inFlight.clear();
        queue.clear();
        queue.add(first);
        queue.addAll(kept);
        addEmptyBatch();
        nextUrgentMillis = 0;
    }

    /** Returns true if no record is waiting to be appended or read back. */
    public boolean isIdle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    /**
     * Takes the batch that is due: a new one, or the last one again if its answer is overdue. Empty
     * if none is due.
     *
     * @param nowMillis the time of the tick, in milliseconds
     * @param batchHeader supplies the first record of a new batch; empty for none
     */
    public Optional<List<SequencedRecord>> takeDueBatch(
            long nowMillis, KeeperLimits limits, Supplier<Optional<LedgerRecord>> batchHeader) {
        if (inFlight.isEmpty() && hasBatch() && nowMillis >= sendMillis()) {
            emptyBatchWanted = false;
            batchHeader.get().ifPresent(this::addToBatch);
            coalesce(takeQueued(limits.maxBatchRecords())).forEach(this::addToBatch);
            hasUrgentRecord = !queue.isEmpty() && hasUrgentRecord;
            nextSendMillis = nowMillis + limits.appendIntervalMillis();
            nextUrgentMillis = nowMillis + limits.urgentIntervalMillis();
            return send(nowMillis, limits);
        }
        return isUnanswered() && nowMillis >= resendMillis
                ? send(nowMillis, limits)
                : Optional.empty();
    }

    /**
     * Returns when {@link #takeDueBatch} next has a batch, in milliseconds; empty if nothing is to
     * be sent.
     */
    public OptionalLong dueMillis() {
        if (isUnanswered()) {
            return OptionalLong.of(resendMillis);
        }
        return inFlight.isEmpty() && hasBatch()
                ? OptionalLong.of(sendMillis())
                : OptionalLong.empty();
    }

    /** Records that the log acknowledged the batch whose last sequence number is given. */
    public void markAppended(long sequence) {
        appendedSequence = Math.max(appendedSequence, sequence);
    }

    /** Removes the record with the given sequence number from the batch in flight. */
    public void markReadBack(long sequence) {
        inFlight.removeIf(record -> record.sequence() == sequence);
    }

    /** Returns the records in flight up to and including the given sequence number. */
    public List<SequencedRecord> inFlightUpTo(long sequence) {
        return inFlight.stream().filter(record -> record.sequence() <= sequence).toList();
    }

    /** Returns the records with all usage of one grant merged into the first record about it. */
    static List<LedgerRecord> coalesce(List<LedgerRecord> records) {
        Map<Object, LedgerRecord> merged = new LinkedHashMap<>();
        records.forEach(record -> merged.merge(mergeKey(record), record, LogWriter::merge));
        return List.copyOf(merged.values());
    }

    private Optional<List<SequencedRecord>> send(long nowMillis, KeeperLimits limits) {
        resendMillis = nowMillis + limits.appendRetryMillis();
        return Optional.of(List.copyOf(inFlight));
    }

    private boolean hasBatch() {
        return emptyBatchWanted || !queue.isEmpty();
    }

    private long sendMillis() {
        return hasUrgentRecord ? nextUrgentMillis : nextSendMillis;
    }

    private boolean isUnanswered() {
        return !inFlight.isEmpty()
                && appendedSequence < inFlight.get(inFlight.size() - 1).sequence();
    }

    private List<LedgerRecord> takeQueued(int maxWeight) {
        List<LedgerRecord> batch = new ArrayList<>();
        int weight = 0;
        while (weight < maxWeight && !queue.isEmpty()) {
            LedgerRecord record = queue.remove();
            weight += record instanceof SnapshotPart ? SNAPSHOT_PART_WEIGHT : 1;
            batch.add(record);
        }
        return batch;
    }

    private void addToBatch(LedgerRecord record) {
        lastSequence++;
        inFlight.add(new SequencedRecord(lastSequence, record));
    }

    private static Object mergeKey(LedgerRecord record) {
        if (record instanceof UsageReported usage) {
            return GrantKey.of(usage.budget(), usage.holder());
        }
        return record instanceof UsageSummed sum
                ? List.of(sum.budget(), sum.holder())
                : new Object();
    }

    private static LedgerRecord merge(LedgerRecord first, LedgerRecord second) {
        return first instanceof UsageSummed sum
                ? new UsageSummed(
                        sum.budget(), sum.holder(), sum.tokens() + ((UsageSummed) second).tokens())
                : merge((UsageReported) first, (UsageReported) second);
    }

    private static LedgerRecord merge(UsageReported first, UsageReported second) {
        List<Usage> usages = new ArrayList<>(first.usages());
        usages.addAll(second.usages());
        return new UsageReported(first.budget(), first.holder(), usages);
    }

    private static boolean holdsInEveryEra(LedgerRecord record) {
        return record instanceof UsageSummed
                || record instanceof LedgerRecord.MoveOrdered
                || record instanceof LedgerRecord.MoveObserved
                || record instanceof LedgerRecord.MoveExpired;
    }

    /** Returns true if requests may be waiting for the record to be appended. */
    private static boolean isUrgent(LedgerRecord record) {
        boolean isAwaitedGrant = record instanceof GrantAsked ask && ask.neededTokens() > 0;
        return isAwaitedGrant
                || record instanceof BudgetFunded
                || record instanceof GrantReturned
                || record instanceof HolderTakenOver
                || record instanceof IntentDeclared;
    }
}
