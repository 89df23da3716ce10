package org.bramleylatch.core;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the state of one keeper: the ledger as read from the log, the use of its own grants, and
 * the records that it has queued or sent to the log.
 */
public final class KeeperWorld implements World<KeeperInput, KeeperOutput> {
    private final Mailbox<KeeperInput> inbox = Mailbox.empty();
    private final Mailbox<KeeperOutput> outbox = Mailbox.empty();
    private final Table<RequestKey, ReservationRow> waitingReservations = Table.empty();
    private final Table<RequestKey, ReservationRow> reservations = Table.empty();
    private final Table<BudgetId, GrantUseRow> grantUses = Table.empty();
    private final Table<RequestKey, PendingUsageRow> pendingUsages = Table.empty();
    private final Table<RequestKey, PendingIntentRow> pendingIntents = Table.empty();
    private final Deadlines<KeeperTimer> timers = Deadlines.empty();
    private final Set<Incarnation> routers = new HashSet<>();
    private final Table<RouteName, Long> announcedMoveRevisions = Table.empty();
    private final Table<String, RouterReport> routerReports = Table.empty();
    private final Set<BudgetId> changedBudgets = new HashSet<>();
    private final Table<BudgetId, BudgetFunds> configuredFunds = Table.empty();
    private final SpendingLimits spendingLimits = new SpendingLimits();
    private final Set<Incarnation> takeoversInFlight = new HashSet<>();
    private final Set<Incarnation> predecessors = new LinkedHashSet<>();
    private final Table<String, ClockOffsetRow> clockOffsets = Table.empty();
    private final LogWriter writer = LogWriter.empty();
    private final Incarnation self;
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);
    private Optional<EraTransition> transition = Optional.empty();
    private long era;
    private long snapshotOffset;
    private long snapshotMillis;
    private long logAnsweredMillis;
    private boolean logReachable;
    private boolean logLost;
    private boolean caughtUp;
    private long bootMillis;
    private long startMillis;
    private boolean stopping;
    private boolean selected = true;
    private boolean uncheckedFunds;
    private boolean configured;
    private boolean funded;

    private KeeperWorld(Incarnation self) {
        this.self = self;
    }

    /** Creates the world of a keeper that has read no records. */
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

    /** Identifies this run of the keeper, which is the holder of its grants. */
    public Incarnation self() {
        return self;
    }

    /** Contains the effects of all records that this keeper has read so far. */
    public Ledger ledger() {
        return ledger;
    }

    /** Contains the requests that wait for tokens. */
    public Table<RequestKey, ReservationRow> waitingReservations() {
        return waitingReservations;
    }

    /** Contains the requests that tokens are reserved for. */
    public Table<RequestKey, ReservationRow> reservations() {
        return reservations;
    }

    /** Tracks how this keeper's grants are used, by budget. */
    public Table<BudgetId, GrantUseRow> grantUses() {
        return grantUses;
    }

    /** Contains the usage that is not yet read back from the log, by request. */
    public Table<RequestKey, PendingUsageRow> pendingUsages() {
        return pendingUsages;
    }

    /** Returns true while the log answers reads; false until its first answer. */
    public boolean isLogReachable() {
        return logReachable;
    }

    /**
     * Returns what the newest configuration says was paid, by budget; the ledger may not have it
     * yet.
     */
    Table<BudgetId, BudgetFunds> configuredFunds() {
        return configuredFunds;
    }

    /**
     * Returns true if the keeper takes part in the ledger: it is selected as a holder, or holds or
     * waits for tokens because the selected ones could not be asked.
     */
    public boolean isActive() {
        return selected || grantUses.size() > 0 || waitingReservations.size() > 0;
    }

    void setSelected(boolean isSelected) {
        selected = isSelected;
    }

    /**
     * Returns true once the ledger had all funds of a configuration, so that the first requests
     * need not wait for them.
     */
    public boolean isFunded() {
        return funded;
    }

    void setFunded() {
        funded = configured;
    }

    boolean isConfigured() {
        return configured;
    }

    /** Returns true while the configured funds are to be compared with the ledger. */
    boolean hasUncheckedFunds() {
        return uncheckedFunds;
    }

    void setUncheckedFunds(boolean unchecked) {
        uncheckedFunds = unchecked;
        configured = true;
    }

    /** Returns true once a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns how many more tokens this keeper may reserve now, within its spending limits. */
    public long availableTokens(BudgetId budget) {
        return Math.min(idleTokens(budget), spendingLimits.tokensOf(budget) - spentTokens(budget));
    }

    /**
     * Returns how many tokens of its grant this keeper has spent: those that were billed, those
     * used and not yet billed, and those reserved.
     */
    long spentTokens(BudgetId budget) {
        long settledTokens = ledger.grant(budget, self).map(GrantRow::settledTokens).orElse(0L);
        return settledTokens + grantUses.find(budget).map(GrantUseRow::spentTokens).orElse(0L);
    }

    /** Returns how many tokens the waiting requests need. */
    long waitingTokens(BudgetId budget) {
        return waitingReservations
                .rows()
                .filter(row -> row.budget().equals(budget))
                .mapToLong(ReservationRow::tokens)
                .sum();
    }

    /** Returns how many tokens this keeper holds that are not reserved, used or being returned. */
    public long idleTokens(BudgetId budget) {
        return openTokens(budget) - committedTokens(budget);
    }

    /** Returns how many tokens this keeper holds according to the ledger; 0 if it has no grant. */
    long openTokens(BudgetId budget) {
        return ledger.grant(budget, self).map(GrantRow::openTokens).orElse(0L);
    }

    private long committedTokens(BudgetId budget) {
        return grantUses.find(budget).map(GrantUseRow::committedTokens).orElse(0L);
    }

    /** Contains this keeper's heartbeats that limit what it spends. */
    SpendingLimits spendingLimits() {
        return spendingLimits;
    }

    long bootMillis() {
        return bootMillis;
    }

    /** Returns when this process started, by its own clock; earlier runs had ended by then. */
    long startMillis() {
        return startMillis;
    }

    void setStartTimes(long newBootMillis, long newStartMillis) {
        bootMillis = newBootMillis;
        startMillis = newStartMillis;
    }

    /** Contains the latest offset from each other process's clock, by its stable name. */
    Table<String, ClockOffsetRow> clockOffsets() {
        return clockOffsets;
    }

    /** Contains the earlier runs of this process whose grants are still to be taken over. */
    Set<Incarnation> predecessors() {
        return predecessors;
    }

    boolean isCaughtUp() {
        return caughtUp;
    }

    void setCaughtUp() {
        caughtUp = true;
    }

    Table<RequestKey, PendingIntentRow> pendingIntents() {
        return pendingIntents;
    }

    Deadlines<KeeperTimer> timers() {
        return timers;
    }

    Set<Incarnation> routers() {
        return routers;
    }

    /** Contains the last revision of each move that the routers were told of. */
    Table<RouteName, Long> announcedMoveRevisions() {
        return announcedMoveRevisions;
    }

    /** Contains the latest report of each router on each subject. */
    Table<String, RouterReport> routerReports() {
        return routerReports;
    }

    /** Contains predecessors whose HolderTakenOver or HolderFrozen record is not yet read back. */
    Set<Incarnation> takeoversInFlight() {
        return takeoversInFlight;
    }

    /** Contains the budgets to reconsider in this tick; cleared by {@link GrantSystem}. */
    Set<BudgetId> changedBudgets() {
        return changedBudgets;
    }

    LogWriter writer() {
        return writer;
    }

    LedgerFold fold() {
        return fold;
    }

    void load(LedgerSnapshot snapshot) {
        setLedger(Ledger.of(snapshot));
    }

    private void setLedger(Ledger newLedger) {
        ledger = newLedger;
        fold = LedgerFold.of(ledger);
    }

    /** Returns up to where the ledger contains the log. */
    LogPosition position() {
        return new LogPosition(era, ledger.nextOffset());
    }

    /** Returns the change to another era of the log; empty while there is none. */
    Optional<EraTransition> transition() {
        return transition;
    }

    /** Begins to fold another era of the log; a keeper that holds nothing yet drops its ledger. */
    void beginEra(long newEra) {
        if (caughtUp) {
            transition = Optional.of(new EraTransition(newEra));
        } else {
            setLedger(Ledger.empty());
            era = newEra;
        }
        snapshotOffset = 0;
    }

    /** Goes on with the ledger of the new era. */
    void completeTransition(EraTransition completed) {
        setLedger(completed.ledger());
        era = completed.era();
        transition = Optional.empty();
    }

    void setLogReachable(boolean reachable) {
        logReachable = reachable;
        logLost = !reachable;
    }

    /** Returns true once the log fails to answer, until it answers again; false at the start. */
    boolean isLogLost() {
        return logLost;
    }

    long snapshotMillis() {
        return snapshotMillis;
    }

    void setSnapshotMillis(long millis) {
        snapshotMillis = millis;
    }

    /** Returns when the log last answered a read, in milliseconds since the epoch; 0 at first. */
    long logAnsweredMillis() {
        return logAnsweredMillis;
    }

    void setLogAnsweredMillis(long millis) {
        logAnsweredMillis = millis;
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

    GrantUseRow findOrAddGrantUse(BudgetId budget, long nowMillis, long halfLifeMillis) {
        return grantUses.findOrAdd(budget, () -> GrantUseRow.of(budget, nowMillis, halfLifeMillis));
    }

    void append(LedgerRecord record) {
        writer.add(record);
    }

    void note(EventKind kind, Object subject, String detail) {
        outbox.add(new KeeperOutput.Note(Event.of(kind, subject, detail)));
    }
}
