package org.bramleylatch.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.Usage;

/**
 * Encodes the messages between routers and keepers as CBOR. The components of a message are written
 * by position, without their names, so both ends of a connection must run the same release.
 */
public final class Cbor {
    private static final int KEY_BYTES = 16;
    private static final List<Class<?>> MESSAGE_INTERFACES =
            List.of(KeeperInput.class, KeeperOutput.class);
    private static final ObjectMapper MAPPER = createMapper();

    private Cbor() {}

    /** Encodes a value as CBOR. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Decodes a value from CBOR.
     *
     * @throws ResultException with RECORD_MALFORMED if the bytes do not fit the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException malformed) {
            throw ResultException.of(ResultCode.RECORD_MALFORMED, malformed.getMessage());
        }
    }

    private static ObjectMapper createMapper() {
        ObjectMapper mapper =
                Json.configure(CBORMapper.builder())
                        .disable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                        .addModule(requestKeyModule())
                        .build();
        MESSAGE_INTERFACES.stream()
                .flatMap(Json::messageTypes)
                .forEach(type -> encodeAsArray(mapper, type));
        encodeAsArray(mapper, GrantKey.class);
        encodeAsArray(mapper, Usage.class);
        return mapper;
    }

    private static SimpleModule requestKeyModule() {
        return new SimpleModule("binary keys")
                .addSerializer(RequestKey.class, new RequestKeySerializer())
                .addDeserializer(RequestKey.class, new RequestKeyDeserializer());
    }

    private static final class RequestKeySerializer extends StdSerializer<RequestKey> {
        private static final long serialVersionUID = 1L;

        RequestKeySerializer() {
            super(RequestKey.class);
        }

        @Override
        public void serialize(RequestKey key, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(KEY_BYTES);
            bytes.putLong(key.high()).putLong(key.low());
            out.writeBinary(bytes.array());
        }
    }

    private static final class RequestKeyDeserializer extends StdDeserializer<RequestKey> {
        private static final long serialVersionUID = 1L;

        RequestKeyDeserializer() {
            super(RequestKey.class);
        }

        @Override
        public RequestKey deserialize(JsonParser in, DeserializationContext context)
                throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap(in.getBinaryValue());
            return new RequestKey(bytes.getLong(), bytes.getLong());
        }
    }

    private static void encodeAsArray(ObjectMapper mapper, Class<?> type) {
        mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }
}
