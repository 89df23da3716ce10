package org.bramleylatch.core;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds the tables built by folding the records of one ledger stream. Two readers that have folded
 * the same records hold equal tables.
 */
public final class Ledger {
    private final Table<BudgetId, BudgetRow> budgets = Table.empty();
    private final Table<GrantKey, GrantRow> grants = Table.empty();
    private final Table<BudgetId, List<Incarnation>> holdersByBudget = Table.empty();
    private final Table<RequestKey, IntentRow> intents = Table.empty();
    private final Table<Incarnation, WriterRow> writers = Table.empty();
    private final Table<Incarnation, HolderRow> holders = Table.empty();
    private final Table<RouteName, MoveRow> moves = Table.empty();
    private final EraStatements statements = new EraStatements();
    private final KeyWindow settledKeys = KeyWindow.empty();
    private long nextOffset;
    private long logMillis;

    private Ledger() {}

    /** Returns a ledger without rows, which continues at offset 0. */
    public static Ledger empty() {
        return new Ledger();
    }

    /** Returns a ledger with the rows of a snapshot, which continues at the offset after it. */
    public static Ledger of(LedgerSnapshot snapshot) {
        Ledger ledger = new Ledger();
        ledger.nextOffset = snapshot.nextOffset();
        ledger.logMillis = snapshot.logMillis();
        snapshot.rows().forEach(ledger::load);
        return ledger;
    }

    /** Returns every budget that was ever created or funded. */
    public Table<BudgetId, BudgetRow> budgets() {
        return budgets;
    }

    /**
     * Returns the grants; one that a return or release leaves without open and wanted tokens is
     * removed.
     */
    public Table<GrantKey, GrantRow> grants() {
        return grants;
    }

    /** Returns the latest claim on each request whose key is not expired. */
    public Table<RequestKey, IntentRow> intents() {
        return intents;
    }

    /**
     * Returns the last sequence number of each writer, which the fold uses to detect repeated
     * appends.
     */
    public Table<Incarnation, WriterRow> writers() {
        return writers;
    }

    /** Returns the last heartbeat of each holder. */
    public Table<Incarnation, HolderRow> holders() {
        return holders;
    }

    /** Returns the latest planned move of each route. */
    public Table<RouteName, MoveRow> moves() {
        return moves;
    }

    /** Returns the keys of settled usage and of top-ups that are not expired. */
    public KeyWindow settledKeys() {
        return settledKeys;
    }

    /** Returns what holders have stated in the current era of the log. */
    EraStatements statements() {
        return statements;
    }

    /** Returns the tokens of a budget that can be granted now. */
    long grantableTokens(BudgetRow budget) {
        return statements.isSettled() ? Math.max(0, budget.freeTokens()) : 0;
    }

    /** Returns the offset of the next record to fold. */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the time of the log: the latest append time of a folded record, in milliseconds since
     * the epoch.
     */
    public long logMillis() {
        return logMillis;
    }

    /** Returns the grant that the holder has of the budget; empty if it has none. */
    public Optional<GrantRow> grant(BudgetId budget, Incarnation holder) {
        return grants.find(GrantKey.of(budget, holder));
    }

    /** Returns the grants of one budget, in the order in which their holders first asked. */
    public List<GrantRow> grantsOf(BudgetId budget) {
        return holdersByBudget.find(budget).orElse(List.of()).stream()
                .flatMap(holder -> grant(budget, holder).stream())
                .toList();
    }

    /** Returns the statement of a budget for operators; empty if the budget does not exist. */
    public Optional<BudgetStatement> statement(BudgetId budget) {
        return budgets.find(budget).map(row -> BudgetStatement.of(row, grantsOf(budget)));
    }

    /** Returns a digest of all rows that does not depend on their order. */
    public long digest() {
        return snapshot().digest();
    }

    /** Returns a copy of all rows, from which another process can continue folding. */
    public LedgerSnapshot snapshot() {
        List<LedgerSnapshot.Row> rows = new ArrayList<>();
        budgets.rows().map(LedgerSnapshot.BudgetPart::new).forEach(rows::add);
        holdersByBudget
                .keys()
                .flatMap(budget -> grantsOf(budget).stream())
                .map(LedgerSnapshot.GrantPart::new)
                .forEach(rows::add);
        intents.rows().map(LedgerSnapshot.IntentPart::new).forEach(rows::add);
        writers.rows().map(LedgerSnapshot.WriterPart::new).forEach(rows::add);
        holders.rows().map(LedgerSnapshot.HolderPart::new).forEach(rows::add);
        moves.rows().map(LedgerSnapshot.MovePart::new).forEach(rows::add);
        settledKeys.keys().map(LedgerSnapshot.KeyPart::new).forEach(rows::add);
        if (statements.era() > 0) {
            rows.add(new LedgerSnapshot.EraPart(statements.era()));
        }
        return new LedgerSnapshot(nextOffset, logMillis, rows);
    }

    void advance(LogEntry entry) {
        nextOffset = entry.offset() + 1;
        logMillis = Math.max(logMillis, entry.timeMillis());
    }

    void putGrant(GrantRow grant) {
        BudgetId budget = grant.key().budget();
        if (!grants.has(grant.key())) {
            holdersByBudget.findOrAdd(budget, ArrayList::new).add(grant.key().holder());
        }
        grants.put(grant.key(), grant);
    }

    void removeGrant(GrantKey key) {
        grants.remove(key);
        holdersByBudget
                .find(key.budget())
                .ifPresent(holdersOfBudget -> holdersOfBudget.remove(key.holder()));
        if (holdersByBudget.find(key.budget()).filter(List::isEmpty).isPresent()) {
            holdersByBudget.remove(key.budget());
        }
    }

    private void load(LedgerSnapshot.Row row) {
        loader.apply(row);
    }

    private final Dispatch<LedgerSnapshot.Row, Boolean> loader =
            Dispatch.<LedgerSnapshot.Row, Boolean>empty()
                    .on(LedgerSnapshot.BudgetPart.class, part -> loadBudget(part.budget()))
                    .on(LedgerSnapshot.GrantPart.class, part -> loadGrant(part.grant()))
                    .on(LedgerSnapshot.IntentPart.class, part -> loadIntent(part.intent()))
                    .on(LedgerSnapshot.WriterPart.class, part -> loadWriter(part.writer()))
                    .on(LedgerSnapshot.HolderPart.class, part -> loadHolder(part.holder()))
                    .on(LedgerSnapshot.MovePart.class, part -> loadMove(part.move()))
                    .on(LedgerSnapshot.KeyPart.class, part -> settledKeys.add(part.key()))
                    .on(LedgerSnapshot.EraPart.class, part -> loadEra(part.era()));

    private boolean loadBudget(BudgetRow row) {
        budgets.put(row.id(), row);
        return true;
    }

    private boolean loadGrant(GrantRow row) {
        putGrant(row);
        return true;
    }

    private boolean loadIntent(IntentRow row) {
        intents.put(row.key(), row);
        return true;
    }

    private boolean loadWriter(WriterRow row) {
        writers.put(row.writer(), row);
        return true;
    }

    private boolean loadHolder(HolderRow row) {
        holders.put(row.holder(), row);
        return true;
    }

    private boolean loadEra(long era) {
        statements.setEra(era);
        return true;
    }

    private boolean loadMove(MoveRow row) {
        moves.put(row.spec().route(), row);
        return true;
    }

    /**
     * Hashes the text of a row. Snapshots in the log carry the digest of these hashes, so the names
     * of the row types and of their components must not change.
     */
    static HashCode hash(Object row) {
        return Hashing.murmur3_128().hashString(row.toString(), StandardCharsets.UTF_8);
    }

    static long digestOf(Stream<?> rows) {
        List<HashCode> rowHashes = rows.map(Ledger::hash).toList();
        return rowHashes.isEmpty() ? 0 : Hashing.combineUnordered(rowHashes).asLong();
    }
}
