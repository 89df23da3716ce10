package org.bramleylatch.wire;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategy;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.introspect.AnnotatedField;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LedgerSnapshot;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RouterReport;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;

/**
 * Encodes the types of core and of the configuration as JSON. Ids are written as strings. A record
 * of a sealed family is written with its type id in the field {@code type}. The type id is the
 * simple name of the record and a field has the name of its component, except where {@link
 * OuterNames} keeps another.
 */
public final class Json {
    private static final List<Class<?>> ID_TYPES =
            List.of(
                    AttemptId.class,
                    BudgetId.class,
                    EndpointId.class,
                    Incarnation.class,
                    RequestId.class,
                    RouteName.class,
                    Version.class,
                    Zone.class);
    private static final List<Class<?>> FAMILIES =
            List.of(
                    LedgerRecord.class,
                    LedgerSnapshot.Row.class,
                    KeeperInput.class,
                    KeeperOutput.class,
                    RouterReport.class,
                    ConfigRecord.class);
    private static final ObjectMapper MAPPER = mapper();

    private Json() {}

    /** Encodes a value as JSON text. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Encodes a value as JSON in UTF-8. */
    public static byte[] writeBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Decodes a value from JSON text; unknown fields are ignored.
     *
     * @throws ResultException with MALFORMED_JSON if the text does not fit the type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException malformed) {
            throw ResultException.of(ResultCode.MALFORMED_JSON, describe(malformed));
        }
    }

    /**
     * Decodes a value from JSON text in which each component of a record must be present and not
     * null, unless it is optional or a number; unknown fields are ignored. For what any process may
     * have written.
     *
     * @throws ResultException with MALFORMED_JSON if the text does not fit the type
     */
    public static <T> T readComplete(String text, Class<T> type) {
        try {
            T value =
                    MAPPER.readerFor(type)
                            .with(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                            .readValue(text);
            if (value == null) {
                throw ResultException.of(ResultCode.MALFORMED_JSON, "null");
            }
            return value;
        } catch (JsonProcessingException malformed) {
            throw ResultException.of(ResultCode.MALFORMED_JSON, describe(malformed));
        }
    }

    /**
     * Decodes a value from a JSON tree; unknown fields are ignored.
     *
     * @throws ResultException with MALFORMED_JSON if the tree does not fit the type
     */
    public static <T> T read(JsonNode tree, Class<T> type) {
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException malformed) {
            throw ResultException.of(ResultCode.MALFORMED_JSON, describe(malformed));
        }
    }

    /**
     * Parses JSON text into a tree.
     *
     * @throws ResultException with MALFORMED_JSON if the text is not JSON
     */
    public static JsonNode readTree(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            throw ResultException.of(ResultCode.MALFORMED_JSON, describe(malformed));
        }
    }

    /**
     * Reads an integer field of a JSON object and nothing behind it; empty if the text up to there
     * is no JSON, or has no such integer of 64 bits.
     */
    public static OptionalLong peekInteger(String text, String field) {
        try (JsonParser parser = MAPPER.createParser(text)) {
            return findField(parser, field)
                            && parser.nextToken() == JsonToken.VALUE_NUMBER_INT
                            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                    ? OptionalLong.of(parser.getLongValue())
                    : OptionalLong.empty();
        } catch (IOException malformed) {
            return OptionalLong.empty();
        }
    }

    private static boolean findField(JsonParser parser, String field) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return false;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            if (parser.currentName().equals(field)) {
                return true;
            }
            parser.nextToken();
            parser.skipChildren();
        }
        return false;
    }

    private static String describe(JsonProcessingException malformed) {
        String where =
                malformed.getLocation() == null
                        ? ""
                        : "line "
                                + malformed.getLocation().getLineNr()
                                + ", column "
                                + malformed.getLocation().getColumnNr()
                                + ": ";
        return where + malformed.getOriginalMessage();
    }

    private static ObjectMapper mapper() {
        return configure(JsonMapper.builder()).build();
    }

    /** Configures a mapper of any data format for the types of core. */
    static <B extends MapperBuilder<?, B>> B configure(B builder) {
        builder.addModule(new Jdk8Module())
                .addModule(keyModule())
                .propertyNamingStrategy(new FieldNames())
                .serializationInclusion(JsonInclude.Include.NON_ABSENT)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        ID_TYPES.forEach(id -> builder.addMixIn(id, IdMixIn.class));
        FAMILIES.forEach(family -> builder.addMixIn(family, FamilyMixIn.class));
        FAMILIES.forEach(family -> registerTypeIds(builder, family));
        return builder;
    }

    /** Lists the records of a sealed family, each once, including those of nested families. */
    static Stream<Class<?>> messageTypes(Class<?> family) {
        return Arrays.<Class<?>>stream(family.getPermittedSubclasses())
                .flatMap(type -> type.isSealed() ? messageTypes(type) : Stream.of(type))
                .distinct();
    }

    private static SimpleModule keyModule() {
        return new SimpleModule()
                .addSerializer(RequestKey.class, ToStringSerializer.instance)
                .addDeserializer(RequestKey.class, new KeyDeserializer());
    }

    private static void registerTypeIds(MapperBuilder<?, ?> builder, Class<?> family) {
        messageTypes(family)
                .forEach(
                        type ->
                                builder.registerSubtypes(
                                        new NamedType(type, OuterNames.typeId(type))));
    }

    private abstract static class IdMixIn {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        IdMixIn(String value) {}

        @JsonValue
        abstract String value();
    }

    private static final class KeyDeserializer extends StdDeserializer<RequestKey> {
        KeyDeserializer() {
            super(RequestKey.class);
        }

        @Override
        public RequestKey deserialize(JsonParser parser, DeserializationContext context)
                throws IOException {
            String text = parser.getText();
            return RequestKey.parse(text)
                    .orElseThrow(
                            () -> new JsonParseException(parser, "not a request key: " + text));
        }
    }

    /** Names the fields of a record when they are written and when they are read. */
    private static final class FieldNames extends PropertyNamingStrategy {
        private static final long serialVersionUID = 1L;

        @Override
        public String nameForField(MapperConfig<?> config, AnnotatedField field, String name) {
            return fieldName(field, name);
        }

        @Override
        public String nameForGetterMethod(
                MapperConfig<?> config, AnnotatedMethod accessor, String name) {
            return fieldName(accessor, name);
        }

        @Override
        public String nameForConstructorParameter(
                MapperConfig<?> config, AnnotatedParameter parameter, String name) {
            return fieldName(parameter, name);
        }

        private static String fieldName(AnnotatedMember member, String name) {
            return OuterNames.fieldName(member.getDeclaringClass(), name).orElse(name);
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface FamilyMixIn {}
}
