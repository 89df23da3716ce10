package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.BudgetRow;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LedgerSnapshot;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.LogPosition;
import org.bramleylatch.core.MoveRow;
import org.bramleylatch.core.MoveSpec;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.SpendingLimit;
import org.bramleylatch.core.Tally;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Version;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class WireEntryTest {
    private static final Incarnation WRITER = Incarnation.of("keeper@vm-1");
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final RequestKey KEY = RequestKey.of(1_700_000_000_000L, 77);

    private static final MoveSpec SPEC =
            new MoveSpec(
                    RouteName.of("chat"), Version.of("v1"), Version.of("v2"), 9, List.of(10), 5);

    @ParameterizedTest
    @MethodSource("records")
    void aRecordIsDecodedUnchanged(LedgerRecord record) {
        String text = WireEntry.encode(WRITER, new SequencedRecord(5, record));
        assertThat(WireEntry.decode(9, 13, text)).isEqualTo(new LogEntry(9, 13, WRITER, 5, record));
    }

    @ParameterizedTest
    @MethodSource("records")
    void onlyTheTextOfASnapshotPartMayBeASnapshot(LedgerRecord record) {
        String text = WireEntry.encode(WRITER, new SequencedRecord(5, record));
        assertThat(WireEntry.mayBeSnapshot(text))
                .isEqualTo(record instanceof LedgerRecord.SnapshotPart);
    }

    static List<LedgerRecord> records() {
        return List.of(
                new LedgerRecord.BudgetCreated(BUDGET, "workspace"),
                new LedgerRecord.BudgetToppedUp(BUDGET, KEY, 100),
                new LedgerRecord.GrantAsked(BUDGET, WRITER, 10, 5, 1_000),
                new LedgerRecord.UsageReported(BUDGET, WRITER, List.of(Usage.of(KEY, 3))),
                new LedgerRecord.GrantReturned(BUDGET, WRITER, 4),
                new LedgerRecord.HolderFrozen(WRITER),
                new LedgerRecord.HolderHeartbeat(
                        WRITER, 7, 9, true, List.of(new SpendingLimit(BUDGET, 40, 30))),
                new LedgerRecord.HolderTakenOver(WRITER, 500),
                new LedgerRecord.EraStated(
                        2,
                        WRITER,
                        new LogPosition(1, 40),
                        List.of(
                                new LedgerSnapshot.BudgetPart(BudgetRow.of(BUDGET)),
                                new LedgerSnapshot.EraPart(2))),
                new LedgerRecord.FrozenGrantReleased(BUDGET, WRITER, "operators"),
                new LedgerRecord.IntentDeclared(KEY, WRITER, BUDGET),
                new LedgerRecord.IntentFinished(KEY, WRITER, RunState.RAN, 201, "{\"a\":1}"),
                new LedgerRecord.MoveBegun(SPEC),
                new LedgerRecord.MoveObserved(
                        SPEC.route(), SPEC.to(), 1, new Tally(5, 1), Tally.empty(), true),
                new LedgerRecord.MoveExpired(SPEC.route(), SPEC.to()),
                new LedgerRecord.MoveTakenBack(SPEC.route(), "operators"),
                new LedgerRecord.SnapshotPart(
                        7,
                        8,
                        0,
                        1,
                        9,
                        List.of(
                                new LedgerSnapshot.BudgetPart(BudgetRow.of(BUDGET).addPaid(5)),
                                new LedgerSnapshot.MovePart(MoveRow.of(SPEC, 3)),
                                new LedgerSnapshot.KeyPart(KEY))));
    }
}
