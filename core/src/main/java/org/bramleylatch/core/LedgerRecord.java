package org.bramleylatch.core;

import java.util.List;

/** Proposes one change in the ledger stream of the log. The fold accepts or refuses it. */
public sealed interface LedgerRecord {

    /** Proposes a change that concerns one budget. */
    sealed interface BudgetRecord extends LedgerRecord {

        /** Returns the budget that the change concerns. */
        BudgetId budget();
    }

    /** Proposes a change that only the holder itself proposes. */
    sealed interface HolderRecord extends LedgerRecord {

        /** Returns the holder, which is the writer of the record. */
        Incarnation holder();
    }

    /** Creates a budget without tokens for a workspace. */
    record BudgetCreated(BudgetId budget, String workspace) implements BudgetRecord {}

    /**
     * Raises the total paid into a budget, and creates the budget if it does not exist. A total
     * that is not above the known one changes nothing, so any number of writers may report it.
     */
    record BudgetFunded(BudgetId budget, long totalTokens) implements BudgetRecord {}

    /**
     * Bills the usage of several requests as one sum. Only its writer's sequence number prevents it
     * from being counted twice; this suffices where no other process bills the same requests.
     */
    record UsageSummed(BudgetId budget, Incarnation holder, long tokens) implements BudgetRecord {}

    /** Adds paid tokens to a budget. A repeated top-up with the same key is refused. */
    record BudgetToppedUp(BudgetId budget, RequestKey key, long tokens) implements BudgetRecord {}

    /**
     * Asks for tokens from the free part of a budget. Free tokens are granted up to the amount;
     * needed tokens that were not free are recorded as wanted and granted once tokens become free.
     *
     * @param tokens the amount asked for, including the needed tokens
     * @param neededTokens the part of the amount that requests are waiting for
     * @param demandTokensPerHour the holder's forecast, by which shares are weighted
     */
    record GrantAsked(
            BudgetId budget,
            Incarnation holder,
            long tokens,
            long neededTokens,
            long demandTokensPerHour)
            implements BudgetRecord, HolderRecord {}

    /** Settles the usage of requests against a grant, each request once. */
    record UsageReported(BudgetId budget, Incarnation holder, List<Usage> usages)
            implements BudgetRecord {

        /** Copies the list. */
        public UsageReported {
            usages = List.copyOf(usages);
        }
    }

    /** Returns unused tokens of the writer's own grant to the free part of the budget. */
    record GrantReturned(BudgetId budget, Incarnation holder, long tokens)
            implements BudgetRecord, HolderRecord {}

    /**
     * Reports, as the heartbeat at the head of each batch, what its writer's successor needs to
     * know.
     *
     * @param bootMillis the time of day at which the monotonic clock of the VM was zero, by the
     *     writer's clock, in milliseconds since the epoch
     * @param heartbeatMillis the time of the heartbeat, by the same clock
     * @param clockAgreed true if most of the fleet's clocks agreed with the writer's
     * @param limits what the writer may spend at most of each of its grants; nothing of one that is
     *     not named
     */
    record HolderHeartbeat(
            Incarnation holder,
            long bootMillis,
            long heartbeatMillis,
            boolean clockAgreed,
            List<SpendingLimit> limits)
            implements HolderRecord {

        /** Copies the list. */
        public HolderHeartbeat {
            limits = List.copyOf(limits);
        }

        /** Returns what the writer may have spent of its grant at most, at the given time. */
        long limitAt(BudgetId budget, long nowMillis) {
            return SpendingLimit.tokensAfter(limits, budget, nowMillis - heartbeatMillis);
        }
    }

    /**
     * Ends a holder whose successor knows when it had ended at the latest. What it may have spent
     * by then, according to the limits of its last heartbeat, stays frozen; the rest becomes free.
     *
     * @param endMillis the latest time at which the holder can have ended, by the clock of its
     *     heartbeats
     */
    record HolderTakenOver(Incarnation holder, long endMillis) implements LedgerRecord {}

    /**
     * States what its writer knows after the log came back from a copy. The first statement of an
     * era begins that era.
     *
     * @param read up to where the writer had read the log in an earlier era; offset 0 if it had not
     * @param rows the writer's budgets, grants, heartbeats of holders and moves as of then
     */
    record EraStated(long era, Incarnation holder, LogPosition read, List<LedgerSnapshot.Row> rows)
            implements HolderRecord {

        /** Copies the list. */
        public EraStated {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Freezes the grants of a holder that is presumed down without proof, or whose successor cannot
     * prove how much it used. Its open tokens do not become free.
     */
    record HolderFrozen(Incarnation holder) implements LedgerRecord {}

    /** Returns a frozen grant to the free part after an operator confirmed that its VM is gone. */
    record FrozenGrantReleased(BudgetId budget, Incarnation holder, String operator)
            implements BudgetRecord {}

    /**
     * Declares a router's intent to run a request that must run at most once. An accepted intent is
     * the claim on that run.
     */
    record IntentDeclared(RequestKey key, Incarnation router, BudgetId budget)
            implements BudgetRecord {}

    /** Ends a router's claim with the service's answer, or as not run. */
    record IntentFinished(
            RequestKey key, Incarnation router, RunState state, int status, String body)
            implements LedgerRecord {}

    /** Begins a planned move of a route to another version. */
    record MoveBegun(MoveSpec spec) implements LedgerRecord {}

    /**
     * Begins a planned move that an operator ordered. Of several records with the same name only
     * the first counts, also after the move has ended.
     */
    record MoveOrdered(MoveSpec spec) implements LedgerRecord {}

    /**
     * Reports the attempts that one router made since its last report.
     *
     * @param stage the stage in which the attempts were made
     * @param oldAttempts the attempts at the version that the move leaves
     * @param newAttempts the attempts at the version that the move goes to
     * @param alarm true if the router stopped using the new version by its own decision
     */
    record MoveObserved(
            RouteName route,
            Version to,
            int stage,
            Tally oldAttempts,
            Tally newAttempts,
            boolean alarm)
            implements LedgerRecord {}

    /** Takes a move back whose deadline has passed according to the time of the log. */
    record MoveExpired(RouteName route, Version to) implements LedgerRecord {}

    /** Takes a move back at an operator's request. */
    record MoveTakenBack(RouteName route, String operator) implements LedgerRecord {}

    /**
     * Carries one part of a snapshot of all records before an offset.
     *
     * @param nextOffset the offset of the first record that the snapshot does not include
     * @param logMillis the time of the log at that offset, in milliseconds since the epoch
     * @param index the number of the part, from 0
     * @param count the number of parts
     * @param digest the digest over the rows of all parts
     */
    record SnapshotPart(
            long nextOffset,
            long logMillis,
            int index,
            int count,
            long digest,
            List<LedgerSnapshot.Row> rows)
            implements LedgerRecord {

        /** Copies the list. */
        public SnapshotPart {
            rows = List.copyOf(rows);
        }
    }
}
