package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BudgetFunds;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.SpendingLimit;
import org.bramleylatch.core.Tally;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Version;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A renamed record must be written and read as before, for the sake of logs and other processes.
 */
class OuterNamesTest {
    private static final Incarnation HOLDER = Incarnation.of("keeper");
    private static final Incarnation ROUTER = Incarnation.of("router");
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final RequestKey KEY = RequestKey.of(1_700_000_000_000L, 5);
    private static final LedgerRecord.MoveObserved MOVE_REPORT =
            new LedgerRecord.MoveObserved(
                    RouteName.of("chat"),
                    Version.of("v2"),
                    1,
                    new Tally(5, 1),
                    new Tally(3, 2),
                    true);
    private static final String MOVE_REPORT_FIELDS =
            "'route':'chat','to':'v2','stage':1,'old':{'good':5,'bad':1},"
                    + "'fresh':{'good':3,'bad':2},'alarm':true}";

    @ParameterizedTest
    @MethodSource("messages")
    void aRenamedRecordIsWrittenInJsonUnderItsOuterNames(Message message) {
        assertThat(Json.write(message.value())).isEqualTo(message.json());
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aRenamedRecordIsReadFromJsonUnderItsOuterNames(Message message) {
        assertThat(Json.read(message.json(), message.family())).isEqualTo(message.value());
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aRenamedRecordIsWrittenInCborUnderItsOuterTypeId(Message message) {
        String bytes = new String(Cbor.write(message.value()), StandardCharsets.ISO_8859_1);
        assertThat(bytes).contains(OuterNames.typeId(message.value().getClass()));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aRenamedRecordIsReadFromCborUnchanged(Message message) {
        byte[] bytes = Cbor.write(message.value());
        assertThat(Cbor.read(bytes, message.family())).isEqualTo(message.value());
    }

    /** It is not read back: it stays in the process, and the updates in it have no type ids. */
    @Test
    void anUpdateFromTheLogIsWrittenInJsonUnderItsOuterName() {
        KeeperInput input = new KeeperInput.FromLog(new LogUpdate.BatchAppended(5));
        assertThat(Json.write(input))
                .isEqualTo("{\"type\":\"FromLog\",\"feed\":{\"lastSequence\":5}}");
    }

    @Test
    void everyRecordOfTheTableIsWrittenInThisTest() {
        Set<Class<?>> written =
                Stream.concat(
                                messages().stream().map(message -> message.value().getClass()),
                                Stream.of(KeeperInput.FromLog.class))
                        .collect(Collectors.toSet());
        Set<Class<?>> listed =
                Stream.of(OuterNames.typeIds().keySet(), OuterNames.fieldNames().keySet())
                        .flatMap(Set::stream)
                        .collect(Collectors.toSet());
        assertThat(written).isEqualTo(listed);
    }

    @Test
    void everyFieldOfTheTableBelongsToAComponentOfItsRecord() {
        OuterNames.fieldNames()
                .forEach(
                        (type, fields) ->
                                assertThat(componentsOf(type)).containsAll(fields.keySet()));
    }

    @Test
    void noTwoMessagesOfAFamilyHaveTheSameTypeId() {
        messages().stream()
                .map(Message::family)
                .distinct()
                .map(family -> Json.messageTypes(family).map(OuterNames::typeId).toList())
                .forEach(typeIds -> assertThat(typeIds).doesNotHaveDuplicates());
    }

    private static List<String> componentsOf(Class<?> type) {
        return Arrays.stream(type.getRecordComponents())
                .map(component -> component.getName())
                .toList();
    }

    static List<Message> messages() {
        return Stream.of(ledgerRecords(), messagesFromRouters(), messagesInAKeeper())
                .flatMap(messages -> messages)
                .toList();
    }

    private static Stream<Message> ledgerRecords() {
        return Stream.of(
                new Message(
                        LedgerRecord.class,
                        new LedgerRecord.HolderHeartbeat(
                                HOLDER, 7, 9, true, List.of(new SpendingLimit(BUDGET, 40, 30))),
                        "{'type':'HolderSeen','holder':'keeper','bootMillis':7,'stampMillis':9,"
                                + "'clockAgreed':true,'limits':[{'budget':'budget','tokens':40,"
                                + "'paceTokensPerHour':30}]}"),
                new Message(
                        LedgerRecord.class,
                        new LedgerRecord.HolderTakenOver(HOLDER, 500),
                        "{'type':'HolderSucceeded','holder':'keeper','endMillis':500}"),
                new Message(
                        LedgerRecord.class,
                        new LedgerRecord.FrozenGrantReleased(BUDGET, HOLDER, "operators"),
                        "{'type':'FrozenReleased','budget':'budget','holder':'keeper',"
                                + "'operator':'operators'}"),
                new Message(
                        LedgerRecord.class,
                        MOVE_REPORT,
                        "{'type':'MoveObserved'," + MOVE_REPORT_FIELDS));
    }

    private static Stream<Message> messagesFromRouters() {
        return Stream.of(
                new Message(
                        KeeperInput.class,
                        new KeeperInput.MoveReported(MOVE_REPORT),
                        "{'type':'MoveSeen','seen':{'type':'MoveObserved',"
                                + MOVE_REPORT_FIELDS
                                + "}"),
                new Message(
                        KeeperInput.class,
                        new KeeperInput.UsageSubmitted(
                                ROUTER, GrantKey.of(BUDGET, HOLDER), Usage.of(KEY, 7)),
                        "{'type':'UsageGiven','router':'router',"
                                + "'grant':{'budget':'budget','holder':'keeper'},"
                                + "'usage':{'key':'"
                                + KEY
                                + "','tokens':7}}"),
                new Message(
                        KeeperInput.class,
                        new KeeperInput.RouterConnected(ROUTER),
                        "{'type':'RouterSeen','router':'router'}"),
                new Message(
                        KeeperInput.class,
                        new KeeperInput.RouterDisconnected(ROUTER),
                        "{'type':'RouterLost','router':'router'}"));
    }

    private static Stream<Message> messagesInAKeeper() {
        return Stream.of(
                new Message(
                        KeeperInput.class,
                        new KeeperInput.AttemptUsageReported(KEY, OptionalLong.of(8)),
                        "{'type':'EndpointReported','key':'" + KEY + "','tokens':8}"),
                new Message(
                        KeeperInput.class,
                        new KeeperInput.ProcessStarted(7, 9),
                        "{'type':'ProcessBegan','bootMillis':7,'startMillis':9}"),
                new Message(
                        KeeperInput.class,
                        new KeeperInput.FundsConfigured(List.of(BudgetFunds.of(BUDGET, 100))),
                        "{'type':'FundsSeen','funds':[{'budget':'budget','paidTokens':100}]}"),
                new Message(
                        KeeperOutput.class,
                        new KeeperOutput.QueryAttemptUsage(
                                KEY, AttemptId.of("attempt"), EndpointId.of("endpoint")),
                        "{'type':'AskEndpoint','key':'"
                                + KEY
                                + "','attempt':'attempt','endpoint':'endpoint'}"));
    }

    /**
     * Holds a renamed record with the text that it was written as before it was renamed.
     *
     * @param quoted the JSON text, with single quotes
     */
    record Message(Class<?> family, Object value, String quoted) {
        String json() {
            return quoted.replace('\'', '"');
        }
    }
}
