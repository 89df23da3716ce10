package org.bramleylatch.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.Usage;

/**
 * Encodes the messages between the system's own processes: CBOR, with the parts of a message by
 * position instead of by name. Both sides of a link are of one release.
 */
public final class Compact {
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
                        .build();
        FAMILIES.forEach(family -> byPosition(mapper, family.getPermittedSubclasses()));
        byPosition(mapper, GrantKey.class, Usage.class);
        return mapper;
    }

    private static void byPosition(ObjectMapper mapper, Class<?>... types) {
        JsonFormat.Value array = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        for (Class<?> type : types) {
            mapper.configOverride(type).setFormat(array);
        }
    }
}
