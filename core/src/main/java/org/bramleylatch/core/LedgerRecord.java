package org.bramleylatch.core;

import java.util.List;

/** Is one proposal in an account stream of the log. The fold accepts or refuses it. */
public sealed interface LedgerRecord {

    /** Is a record about one budget. */
    sealed interface OfBudget extends LedgerRecord {

        /** Returns the budget that the record is about. */
        BudgetId budget();
    }

    /** Creates a budget for a workspace. */
    record BudgetCreated(BudgetId budget, String workspace) implements OfBudget {}

    /**
     * Raises what was paid into a budget to a total, and creates the budget if need be. A total
     * that is not above what is known changes nothing, so any number of writers may tell it.
     */
    record BudgetFunded(BudgetId budget, long totalTokens) implements OfBudget {}

    /**
     * Bills usage in one sum. Its writer's sequence keeps it from being taken twice, which is
     * enough where no other process can bill the same requests.
     */
    record UsageSummed(BudgetId budget, Incarnation holder, long tokens) implements OfBudget {}

    /** Adds paid tokens to a budget. The key makes a repeated top-up count once. */
    record BudgetToppedUp(BudgetId budget, RequestKey key, long tokens) implements OfBudget {}

    /**
     * Asks for tokens from the free part of a budget. What is free, up to the amount, is granted;
     * what is needed at once and was not free is noted as wanted.
     *
     * @param tokens how much the holder would like in all
     * @param neededTokens how much of that requests wait for
     * @param demandTokensPerHour the holder's forecast, by which shares are weighed
     */
    record GrantAsked(
            BudgetId budget,
            Incarnation holder,
            long tokens,
            long neededTokens,
            long demandTokensPerHour)
            implements OfBudget {}

    /** Settles the usage of requests against a grant. */
    record UsageReported(BudgetId budget, Incarnation holder, List<Usage> usages)
            implements OfBudget {

        /** Copies the list. */
        public UsageReported {
            usages = List.copyOf(usages);
        }
    }

    /** Returns tokens of the writer's own grant to the free part. */
    record GrantReturned(BudgetId budget, Incarnation holder, long tokens) implements OfBudget {}

    /**
     * Says at the head of each batch what its writer's successor needs to know.
     *
     * @param bootMillis when the steady clock of the VM was zero, by the writer's clock
     * @param stampMillis when the batch was made
     * @param clockAgreed true if most of the fleet's clocks agreed with the writer's
     * @param beyondShare the budgets of whose grants the writer had bound more than its usable
     *     share
     */
    record HolderSeen(
            Incarnation holder,
            long bootMillis,
            long stampMillis,
            boolean clockAgreed,
            List<BudgetId> beyondShare)
            implements LedgerRecord {

        /** Copies the list. */
        public HolderSeen {
            beyondShare = List.copyOf(beyondShare);
        }
    }

    /**
     * Ends a holder whose successor proved that it used no more than a share of its grants; the
     * rest of them is free again.
     *
     * @param usedPermille the share, in thousandths
     */
    record HolderSucceeded(Incarnation holder, int usedPermille) implements LedgerRecord {}

    /** Marks the grants of a holder as frozen. Evidence that it is away, not proof. */
    record HolderFrozen(Incarnation holder) implements LedgerRecord {}

    /** Returns a frozen grant to the free part, on an operator's word that its VM is gone. */
    record FrozenReleased(BudgetId budget, Incarnation holder, String operator)
            implements OfBudget {}

    /** Claims the single run of a request that may not be repeated. */
    record IntentDeclared(RequestKey key, Incarnation router, BudgetId budget)
            implements OfBudget {}

    /** Ends the intent of a router with the service's answer, or as not run. */
    record IntentFinished(
            RequestKey key, Incarnation router, RunState state, int status, String body)
            implements LedgerRecord {}

    /** Begins a move of a route to another version. */
    record MoveBegun(MoveSpec spec) implements LedgerRecord {}

    /**
     * Reports the attempts of one router since its last report.
     *
     * @param stage the stage in which the attempts were made
     * @param alarm true if the router has stopped the new version by itself
     */
    record MoveObserved(
            RouteName route, Version to, int stage, Tally old, Tally fresh, boolean alarm)
            implements LedgerRecord {}

    /** Takes a move back whose deadline has passed by the time of the log. */
    record MoveExpired(RouteName route, Version to) implements LedgerRecord {}

    /** Takes a move back on an operator's word. */
    record MoveTakenBack(RouteName route, String operator) implements LedgerRecord {}

    /**
     * Carries a part of a snapshot of all that lies before an offset.
     *
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
            List<LedgerImage.Row> rows)
            implements LedgerRecord {

        /** Copies the list. */
        public SnapshotPart {
            rows = List.copyOf(rows);
        }
    }
}
