package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BackEndDemand;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.CrashEvidence;
import org.bramleylatch.core.CrashReport;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.EndpointLimit;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.IntentRow;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LimitReport;
import org.bramleylatch.core.MoveRow;
import org.bramleylatch.core.MoveSpec;
import org.bramleylatch.core.PartClears;
import org.bramleylatch.core.PromptPartId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.SuspectPart;
import org.bramleylatch.core.Tally;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Version;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CborTest {
    private static final Incarnation ROUTER = Incarnation.of("router");
    private static final RequestKey KEY = RequestKey.of(1_700_000_000_000L, 5);
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final GrantKey GRANT = GrantKey.of(BUDGET, Incarnation.of("keeper"));
    private static final MoveSpec SPEC =
            new MoveSpec(
                    RouteName.of("chat"), Version.of("v1"), Version.of("v2"), 9, List.of(10), 5);

    private static final PromptPartId PART = new PromptPartId("seilhelfer", "5c1e07a2");
    private static final CrashEvidence EVIDENCE =
            new CrashEvidence(
                    ROUTER,
                    List.of(
                            new CrashReport(
                                    EndpointId.of("endpoint"),
                                    9,
                                    List.of(new SuspectPart(PART, 1)))),
                    List.of(new PartClears(PART, 3)));

    private static final LimitReport LIMITS =
            new LimitReport(
                    ROUTER,
                    List.of(
                            new EndpointLimit(EndpointId.of("one"), Optional.of(4.1), 9),
                            new EndpointLimit(EndpointId.of("two"), Optional.empty(), 9)),
                    List.of(new BackEndDemand("seilhelfer", 7.5)));

    @ParameterizedTest
    @MethodSource("messagesToKeepers")
    void aMessageToAKeeperIsDecodedUnchanged(KeeperInput message) {
        byte[] bytes = Cbor.write(new Envelope(Optional.of(message), Optional.empty()));
        assertThat(Cbor.read(bytes, Envelope.class).input()).contains(message);
    }

    @ParameterizedTest
    @MethodSource("messagesToRouters")
    void aMessageToARouterIsDecodedUnchanged(KeeperOutput message) {
        byte[] bytes = Cbor.write(new Envelope(Optional.empty(), Optional.of(message)));
        assertThat(Cbor.read(bytes, Envelope.class).output()).contains(message);
    }

    static List<KeeperInput> messagesToKeepers() {
        return List.of(
                new KeeperInput.ReserveAsked(ROUTER, KEY, BUDGET, 4_000),
                new KeeperInput.AttemptNoted(
                        ROUTER, KEY, AttemptId.of("attempt"), EndpointId.of("endpoint")),
                new KeeperInput.UsageSubmitted(ROUTER, GRANT, Usage.of(KEY, 7)),
                new KeeperInput.ReservationReleased(ROUTER, KEY),
                new KeeperInput.RouterReported(EVIDENCE),
                new KeeperInput.IntentAsked(ROUTER, KEY, BUDGET),
                new KeeperInput.IntentEnded(KEY, ROUTER, RunState.RAN, 201, "{}"),
                new KeeperInput.MoveReported(
                        new LedgerRecord.MoveObserved(
                                SPEC.route(), SPEC.to(), 1, new Tally(5, 1), Tally.empty(), true)));
    }

    static List<KeeperOutput> messagesToRouters() {
        return List.of(
                new KeeperOutput.ReportRelayed(ROUTER, EVIDENCE),
                new KeeperOutput.ReportRelayed(ROUTER, LIMITS),
                new KeeperOutput.ReserveGranted(ROUTER, KEY, GRANT),
                new KeeperOutput.ReserveRefused(ROUTER, KEY, ResultCode.BUDGET_EXHAUSTED),
                new KeeperOutput.UsageHeld(ROUTER, KEY),
                new KeeperOutput.UsageDurable(ROUTER, KEY),
                new KeeperOutput.IntentWon(ROUTER, KEY),
                new KeeperOutput.IntentLost(ROUTER, IntentRow.of(KEY, ROUTER, 3)),
                new KeeperOutput.IntentRefused(ROUTER, KEY, ResultCode.LOG_UNAVAILABLE),
                new KeeperOutput.MoveChanged(ROUTER, MoveRow.of(SPEC, 3)));
    }

    record Envelope(Optional<KeeperInput> input, Optional<KeeperOutput> output) {}
}
