package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.BudgetRow;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.fakes.AppendFault;

/**
 * Guards against overspent budgets, double billing, repeated bookings and ledgers that differ,
 * which come about when keepers and routers are killed, paused or disconnected, the log is
 * unavailable or truncated, or an append or its answer is lost, delayed or repeated. Each try runs
 * a random sequence of such faults among requests, retries, bookings and top-ups.
 */
class BudgetProperties {

    @Property(tries = 3_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void spendNeverExceedsWhatWasPaidAndEveryRequestIsBilledOnce(
            @ForAll("steps") List<Step> steps) {
        FleetHarness fleet = new FleetHarness();
        for (Step step : steps) {
            step.apply(fleet);
            assertThat(fleet.oracle.overspentTokens())
                    .as("overspent tokens after step " + step)
                    .isZero();
            assertThat(fleet.keysBookedTwice())
                    .as("bookings that ran twice after step " + step)
                    .isEmpty();
        }
        fleet.heal();
        Ledger ledger = fleet.expectedLedger();
        assertEveryBudgetBalances(ledger);
        assertThat(fleet.keysWithUnsettledUsage())
                .as("keys of usage that is not settled")
                .isEmpty();
        assertEachSettledKeyIsBilledOnce(fleet, ledger);
        assertKeeperLedgersEqual(fleet, ledger);
    }

    /** Guards against tokens given out twice, as a replaced keeper's append takes effect late. */
    @Property(tries = 2_000, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void spendNeverExceedsWhatWasPaidWhenTheNextRunOfAKeeperTakesOver(
            @ForAll("stepsWithKills") List<Step> steps) {
        FleetHarness fleet = new FleetHarness(KeeperKind.colocatedWithRouter());
        for (Step step : steps) {
            step.apply(fleet);
            assertThat(fleet.oracle.overspentTokens())
                    .as("overspent tokens after step " + step)
                    .isZero();
        }
        fleet.heal();
        assertEveryBudgetBalances(fleet.expectedLedger());
        assertKeeperLedgersEqual(fleet, fleet.expectedLedger());
    }

    @Provide
    Arbitrary<List<Step>> stepsWithKills() {
        return Arbitraries.frequencyOf(
                        Tuple.of(5, anyStep()),
                        Tuple.of(
                                1,
                                step(
                                        "kill keeper",
                                        FleetHarness.KEEPERS,
                                        FleetHarness::killKeeper)))
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return anyStep().list().ofMinSize(5).ofMaxSize(80);
    }

    private static Arbitrary<Step> anyStep() {
        return Arbitraries.frequencyOf(
                Tuple.of(12, requestStep()),
                Tuple.of(
                        8,
                        step("advance", 4, (f, i) -> f.advance(new long[] {3, 60, 700, 6_000}[i]))),
                Tuple.of(3, retryStep()),
                Tuple.of(3, bookingStep()),
                Tuple.of(2, step("top up", FleetHarness.BUDGETS, (f, i) -> f.topUp(i, 1_500))),
                Tuple.of(2, step("kill router", FleetHarness.ROUTERS, FleetHarness::killRouter)),
                Tuple.of(1, step("kill keeper", FleetHarness.KEEPERS, FleetHarness::killKeeper)),
                Tuple.of(2, step("pause", FleetHarness.KEEPERS, (f, i) -> f.setPaused(i, true))),
                Tuple.of(2, step("wake", FleetHarness.KEEPERS, (f, i) -> f.setPaused(i, false))),
                Tuple.of(2, step("cut", 2, (f, i) -> f.setZoneDisconnected(i, true))),
                Tuple.of(2, step("rejoin", 2, (f, i) -> f.setZoneDisconnected(i, false))),
                Tuple.of(1, step("outage", 2, (f, i) -> f.setLogUnavailable(i == 0))),
                Tuple.of(8, appendFaultStep()),
                Tuple.of(1, step("freeze", FleetHarness.KEEPERS, FleetHarness::freezeHolder)),
                Tuple.of(1, step("expire", 1, (f, i) -> f.truncateLog())));
    }

    static Arbitrary<Step> requestStep() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, FleetHarness.ROUTERS - 1),
                        Arbitraries.integers().between(0, FleetHarness.BUDGETS - 1),
                        Arbitraries.integers().between(1, 4))
                .as(
                        (router, budget, count) ->
                                new Step(
                                        "requests " + router + "," + budget + "," + count,
                                        fleet -> fleet.sendRequests(router, budget, count)));
    }

    private static Arbitrary<Step> retryStep() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 50),
                        Arbitraries.integers().between(0, FleetHarness.ROUTERS - 1))
                .as(
                        (key, router) ->
                                new Step(
                                        "retry " + key + "," + router,
                                        fleet -> fleet.retryRequest(key, router)));
    }

    private static Arbitrary<Step> bookingStep() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 50),
                        Arbitraries.integers().between(0, FleetHarness.ROUTERS - 1))
                .as(
                        (key, router) ->
                                new Step(
                                        "book " + key + "," + router,
                                        fleet -> fleet.claimBooking(key, router)));
    }

    static Arbitrary<Step> appendFaultStep() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, FleetHarness.KEEPERS - 1),
                        Arbitraries.of(AppendFault.class))
                .as(
                        (keeper, fault) ->
                                new Step(
                                        "append fault " + keeper + "," + fault,
                                        fleet -> fleet.addAppendFault(keeper, fault)));
    }

    static Arbitrary<Step> step(String name, int count, IndexedAction action) {
        return Arbitraries.integers()
                .between(0, count - 1)
                .map(index -> new Step(name + " " + index, fleet -> action.apply(fleet, index)));
    }

    static void assertEveryBudgetBalances(Ledger ledger) {
        assertThat(ledger.budgets().rows()).allMatch(BudgetRow::balances);
        assertThat(ledger.budgets().keys().flatMap(id -> ledger.statement(id).stream()))
                .allMatch(statement -> statement.balances());
    }

    private static void assertEachSettledKeyIsBilledOnce(FleetHarness fleet, Ledger ledger) {
        Map<BudgetId, Long> expected =
                fleet.requestKeys.stream()
                        .filter(ledger.settledKeys()::has)
                        .collect(
                                Collectors.groupingBy(
                                        fleet::budgetOf,
                                        Collectors.summingLong(
                                                (RequestKey key) -> fleet.actualTokens(key))));
        ledger.budgets()
                .rows()
                .forEach(
                        row ->
                                assertThat(row.settledTokens())
                                        .isEqualTo(expected.getOrDefault(row.id(), 0L)));
    }

    static void assertKeeperLedgersEqual(FleetHarness fleet, Ledger ledger) {
        fleet.keepers.forEach(
                keeper -> {
                    assertThat(keeper.world().ledger().nextOffset()).isEqualTo(ledger.nextOffset());
                    assertThat(keeper.world().ledger().digest()).isEqualTo(ledger.digest());
                });
    }

    interface IndexedAction {
        void apply(FleetHarness fleet, int index);
    }

    /** Holds an action with its name, which the report of a failed sequence shows. */
    record Step(String name, Consumer<FleetHarness> action) {

        void apply(FleetHarness fleet) {
            action.accept(fleet);
        }

        @Override
        public String toString() {
            return name;
        }
    }
}
