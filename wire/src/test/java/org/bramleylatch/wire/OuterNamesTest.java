package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A renamed record must be written and read as before, for the sake of logs and other processes.
 */
class OuterNamesTest {
    private static final Incarnation HOLDER = Incarnation.of("keeper");
    private static final BudgetId BUDGET = BudgetId.of("budget");

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

    @Test
    void everyRecordOfTheTableIsWrittenInThisTest() {
        Set<Class<?>> written =
                messages().stream()
                        .map(message -> message.value().getClass())
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
        return List.of(
                new Message(
                        LedgerRecord.class,
                        new LedgerRecord.HolderHeartbeat(HOLDER, 7, 9, true, List.of(BUDGET)),
                        "{'type':'HolderSeen','holder':'keeper','bootMillis':7,'stampMillis':9,"
                                + "'clockAgreed':true,'beyondShare':['budget']}"));
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
