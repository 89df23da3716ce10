package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.UsageSummed;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tokens that are given out twice, whatever records of holders are lost, repeated,
 * or take effect late, also after the next run of a holder took over.
 */
class LateRecordsTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation OPERATOR = Incarnation.of("operator");
    private static final int MAX_STEP_MILLIS = 60;
    private static final long TOKENS_PER_HOUR = 3_600_000;
    private static final int VMS = 3;
    private static final int STEPS = 400;
    private static final long PAID_TOKENS = 100_000;

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private final List<Holder> holders = new ArrayList<>();
    private final List<Holder> replaced = new ArrayList<>();
    private final List<LogEntry> onTheirWay = new ArrayList<>();
    private Random random;
    private long usedTokens;
    private long nowMillis;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void theOpenTokensOfEachHolderCoverWhatItUsed(long seed) {
        random = new Random(seed);
        fold.apply(entry(OPERATOR, 1, new BudgetFunded(BUDGET, PAID_TOKENS)));
        for (int vm = 0; vm < VMS; vm++) {
            holders.add(start(vm, 0));
        }
        for (int step = 0; step < STEPS; step++) {
            nowMillis += random.nextInt(MAX_STEP_MILLIS);
            act(holders.get(random.nextInt(VMS)));
            deliverAny();
            assertThat(holders).allMatch(holder -> holder.unbilledTokens() <= holder.openTokens());
            assertThat(replaced).allMatch(holder -> holder.unbilledTokens() <= holder.openTokens());
            assertThat(usedTokens).isLessThanOrEqualTo(PAID_TOKENS);
            assertThat(ledger.statement(BUDGET).orElseThrow().balances()).isTrue();
        }
    }

    private void act(Holder holder) {
        int tokens = 1 + random.nextInt(200);
        switch (random.nextInt(24)) {
            case 0, 1, 2, 3 -> holder.append(new GrantAsked(BUDGET, holder.self, tokens * 2, 0, 0));
            case 4, 5, 6, 7, 8, 9 -> holder.use(tokens);
            case 10, 11, 12 -> holder.bill(tokens);
            case 13, 14, 15, 16, 17, 18, 19, 20 -> holder.giveBack(tokens);
            case 21, 22 -> holder.sendHeartbeat(tokens);
            default -> replace(holder);
        }
    }

    private HolderHeartbeat heartbeat(Incarnation holder, long limitTokens) {
        SpendingLimit limit = new SpendingLimit(BUDGET, limitTokens, TOKENS_PER_HOUR);
        return new HolderHeartbeat(holder, 0, nowMillis, true, List.of(limit));
    }

    /** Applies the oldest record of a writer, unless it is lost; it may be sent again. */
    private void deliverAny() {
        if (!onTheirWay.isEmpty()) {
            Incarnation writer = onTheirWay.get(random.nextInt(onTheirWay.size())).writer();
            LogEntry oldest = oldestOf(writer);
            boolean lost = random.nextInt(8) == 0;
            if (!lost) {
                deliver(oldest);
            }
            if (!lost && random.nextInt(4) > 0) {
                onTheirWay.remove(oldest);
            }
        }
    }

    private LogEntry oldestOf(Incarnation writer) {
        return onTheirWay.stream().filter(e -> e.writer().equals(writer)).findFirst().orElseThrow();
    }

    private void deliver(LogEntry sent) {
        boolean accepted =
                fold.apply(entry(sent.writer(), sent.sequence(), sent.record())).isEmpty();
        if (accepted) {
            Stream.concat(holders.stream(), replaced.stream())
                    .filter(holder -> holder.self.equals(sent.writer()))
                    .forEach(holder -> holder.noteAccepted(sent.record()));
        }
    }

    private Holder start(int vm, int run) {
        Holder holder = new Holder(vm, run);
        HolderHeartbeat first = heartbeat(holder.self, 0);
        holder.limits.add(first);
        deliver(entry(holder.self, holder.nextSequence++, first));
        return holder;
    }

    private void replace(Holder holder) {
        Holder successor = start(holder.vm, holder.run + 1);
        holders.set(holder.vm, successor);
        replaced.add(holder);
        deliver(
                entry(
                        successor.self,
                        successor.nextSequence++,
                        new HolderTakenOver(holder.self, nowMillis)));
    }

    private LogEntry entry(Incarnation writer, long sequence, LedgerRecord record) {
        return new LogEntry(ledger.nextOffset(), 0, writer, sequence, record);
    }

    /** Acts as a keeper does that keeps within each limit that may be the last one in the log. */
    private final class Holder {
        private final SpendingLimits limits = new SpendingLimits();
        private final int vm;
        private final int run;
        private final Incarnation self;
        private long nextSequence = 1;
        private long ownUsedTokens;
        private long reportedTokens;
        private long billedTokens;
        private long returningTokens;

        Holder(int vm, int run) {
            this.vm = vm;
            this.run = run;
            this.self = Incarnation.of("keeper@front-" + vm + "-" + run);
        }

        long openTokens() {
            return ledger.grant(BUDGET, self).map(GrantRow::openTokens).orElse(0L);
        }

        long unbilledTokens() {
            return ownUsedTokens - billedTokens;
        }

        void noteAccepted(LedgerRecord record) {
            if (record instanceof GrantReturned returned) {
                returningTokens -= returned.tokens();
            } else if (record instanceof UsageSummed sum) {
                billedTokens += sum.tokens();
            } else if (record instanceof HolderHeartbeat heartbeat) {
                limits.confirm(heartbeat);
            }
        }

        void append(LedgerRecord record) {
            onTheirWay.add(entry(self, nextSequence++, record));
        }

        void use(long tokens) {
            if (tokens <= idleTokens() && settledTokens() + unbilledTokens() + tokens <= limit()) {
                ownUsedTokens += tokens;
                usedTokens += tokens;
            }
        }

        void bill(long tokens) {
            long billable = Math.min(tokens, ownUsedTokens - reportedTokens);
            reportedTokens += billable;
            append(new UsageSummed(BUDGET, self, billable));
        }

        void giveBack(long tokens) {
            if (tokens <= idleTokens()) {
                returningTokens += tokens;
                append(new GrantReturned(BUDGET, self, tokens));
            }
        }

        void sendHeartbeat(long marginTokens) {
            HolderHeartbeat next =
                    heartbeat(self, settledTokens() + unbilledTokens() + marginTokens);
            limits.add(next);
            append(next);
        }

        /** Counts tokens on their way back as gone. */
        private long idleTokens() {
            return openTokens() - returningTokens - unbilledTokens();
        }

        private long settledTokens() {
            return ledger.grant(BUDGET, self).map(GrantRow::settledTokens).orElse(0L);
        }

        private long limit() {
            limits.applyAt(nowMillis);
            return limits.tokensOf(BUDGET);
        }
    }
}
