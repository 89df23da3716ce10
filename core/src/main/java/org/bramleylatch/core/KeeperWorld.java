package org.bramleylatch.core;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the tables of one keeper: the ledger it folds, what it does with its own grants, and what
 * is on its way to the log.
 */
public final class KeeperWorld implements World<KeeperInput, KeeperOutput> {
    private final Mailbox<KeeperInput> inbox = Mailbox.empty();
    private final Mailbox<KeeperOutput> outbox = Mailbox.empty();
    private final Table<RequestKey, ReservationRow> waiting = Table.empty();
    private final Table<RequestKey, ReservationRow> reservations = Table.empty();
    private final Table<BudgetId, HoldingRow> holdings = Table.empty();
    private final Table<RequestKey, PendingUsageRow> pendingUsages = Table.empty();
    private final Table<RequestKey, IntentAskRow> intentAsks = Table.empty();
    private final Deadlines<KeeperTimer> timers = Deadlines.empty();
    private final Set<Incarnation> routers = new HashSet<>();
    private final Table<RouteName, Long> toldMoves = Table.empty();
    private final Set<BudgetId> touched = new HashSet<>();
    private final Set<Incarnation> freezing = new HashSet<>();
    private final Set<Incarnation> predecessors = new LinkedHashSet<>();
    private final Table<String, ClockRow> clocks = Table.empty();
    private final LogWriter writer = LogWriter.empty();
    private final Incarnation self;
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);
    private long snapshotOffset;
    private long snapshotMillis;
    private boolean logReachable;
    private boolean logLost;
    private boolean caughtUp;
    private int usablePermille = UsableShareSystem.WHOLE_PERMILLE;
    private long stampMillis;
    private long bootMillis;
    private long startMillis;
    private boolean stopping;

    private KeeperWorld(Incarnation self) {
        this.self = self;
    }

    /** Returns a keeper's world that has read nothing. */
    public static KeeperWorld of(Incarnation self) {
        return new KeeperWorld(self);
    }

    @Override
    public Mailbox<KeeperInput> inbox() {
        return inbox;
    }

    @Override
    public Mailbox<KeeperOutput> outbox() {
        return outbox;
    }

    @Override
    public OptionalLong nextDeadlineMillis() {
        return timers.earliestMillis();
    }

    /** Returns this keeper's incarnation, the holder of its grants. */
    public Incarnation self() {
        return self;
    }

    /** Returns the ledger as far as it was read. */
    public Ledger ledger() {
        return ledger;
    }

    /** Returns the requests that wait for tokens. */
    public Table<RequestKey, ReservationRow> waiting() {
        return waiting;
    }

    /** Returns the requests that tokens are set aside for. */
    public Table<RequestKey, ReservationRow> reservations() {
        return reservations;
    }

    /** Returns the holdings by budget. */
    public Table<BudgetId, HoldingRow> holdings() {
        return holdings;
    }

    /** Returns the usage that was not read back yet, by request. */
    public Table<RequestKey, PendingUsageRow> pendingUsages() {
        return pendingUsages;
    }

    /** Returns true while reads of the log are answered. */
    public boolean isLogReachable() {
        return logReachable;
    }

    /** Returns true once a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns the tokens of the budget that this keeper may still set aside. */
    public long availableTokens(BudgetId budget) {
        long returning = holdings.find(budget).map(HoldingRow::returningTokens).orElse(0L);
        long kept = openTokens(budget) - returning;
        long usable = kept * usablePermille / UsableShareSystem.WHOLE_PERMILLE;
        return usable - boundTokens(budget) + returning;
    }

    /** Returns the tokens of the budget that this keeper holds and has no use for yet. */
    public long idleTokens(BudgetId budget) {
        return openTokens(budget) - boundTokens(budget);
    }

    /** Returns the tokens of the budget that the ledger says this keeper holds. */
    long openTokens(BudgetId budget) {
        return ledger.grant(budget, self).map(GrantRow::openTokens).orElse(0L);
    }

    private long boundTokens(BudgetId budget) {
        return holdings.find(budget).map(HoldingRow::boundTokens).orElse(0L);
    }

    int usablePermille() {
        return usablePermille;
    }

    void setUsablePermille(int permille) {
        usablePermille = permille;
    }

    /** Returns when this keeper last told, at the head of a batch, what it had bound. */
    long stampMillis() {
        return stampMillis;
    }

    void setStampMillis(long millis) {
        stampMillis = millis;
    }

    long bootMillis() {
        return bootMillis;
    }

    /** Returns when this process began, by its own clock; earlier runs had ended by then. */
    long startMillis() {
        return startMillis;
    }

    void setBegin(long newBootMillis, long newStartMillis) {
        bootMillis = newBootMillis;
        startMillis = newStartMillis;
    }

    /** Returns how the clocks of the other VMs compare, by VM. */
    Table<String, ClockRow> clocks() {
        return clocks;
    }

    /** Returns the earlier runs of this process whose grants are still to be taken over. */
    Set<Incarnation> predecessors() {
        return predecessors;
    }

    boolean isCaughtUp() {
        return caughtUp;
    }

    void setCaughtUp() {
        caughtUp = true;
    }

    Table<RequestKey, IntentAskRow> intentAsks() {
        return intentAsks;
    }

    Deadlines<KeeperTimer> timers() {
        return timers;
    }

    Set<Incarnation> routers() {
        return routers;
    }

    Table<RouteName, Long> toldMoves() {
        return toldMoves;
    }

    Set<Incarnation> freezing() {
        return freezing;
    }

    Set<BudgetId> touched() {
        return touched;
    }

    LogWriter writer() {
        return writer;
    }

    LedgerFold fold() {
        return fold;
    }

    void load(LedgerImage image) {
        ledger = Ledger.of(image);
        fold = LedgerFold.of(ledger);
    }

    void setLogReachable(boolean reachable) {
        logReachable = reachable;
        logLost = !reachable;
    }

    /** Returns true once the log has failed to answer, until it answers again. */
    boolean isLogLost() {
        return logLost;
    }

    long snapshotMillis() {
        return snapshotMillis;
    }

    void setSnapshotMillis(long millis) {
        snapshotMillis = millis;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    void setSnapshotOffset(long offset) {
        snapshotOffset = Math.max(snapshotOffset, offset);
    }

    void setStopping() {
        stopping = true;
    }

    HoldingRow holding(BudgetId budget, long nowMillis, long halfLifeMillis) {
        return holdings.findOrAdd(budget, () -> HoldingRow.of(budget, nowMillis, halfLifeMillis));
    }

    void append(LedgerRecord record) {
        writer.add(record);
    }

    void note(EventKind kind, Object subject, String detail) {
        outbox.add(new KeeperOutput.Note(Event.of(kind, subject, detail)));
    }
}
