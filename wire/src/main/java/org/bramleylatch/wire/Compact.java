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
 * Encodes the messages between the system's own processes: CBOR, with the parts of a message by
 * position instead of by name. Both sides of a link are of one release.
 */
public final class Compact {
    private static final int KEY_BYTES = 16;
    private static final List<Class<?>> FAMILIES = List.of(KeeperInput.class, KeeperOutput.class);
    private static final ObjectMapper MAPPER = mapper();

    private Compact() {}

    /** Returns the bytes of the value. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Returns the value of the bytes.
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

    private static ObjectMapper mapper() {
        ObjectMapper mapper =
                Json.configure(CBORMapper.builder())
                        .disable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                        .addModule(keyModule())
                        .build();
        FAMILIES.stream().flatMap(Json::messageTypes).forEach(type -> byPosition(mapper, type));
        byPosition(mapper, GrantKey.class);
        byPosition(mapper, Usage.class);
        return mapper;
    }

    private static SimpleModule keyModule() {
        return new SimpleModule("binary keys")
                .addSerializer(RequestKey.class, new KeyWriter())
                .addDeserializer(RequestKey.class, new KeyReader());
    }

    private static final class KeyWriter extends StdSerializer<RequestKey> {
        private static final long serialVersionUID = 1L;

        KeyWriter() {
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

    private static final class KeyReader extends StdDeserializer<RequestKey> {
        private static final long serialVersionUID = 1L;

        KeyReader() {
            super(RequestKey.class);
        }

        @Override
        public RequestKey deserialize(JsonParser in, DeserializationContext context)
                throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap(in.getBinaryValue());
            return new RequestKey(bytes.getLong(), bytes.getLong());
        }
    }

    private static void byPosition(ObjectMapper mapper, Class<?> type) {
        mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }
}
