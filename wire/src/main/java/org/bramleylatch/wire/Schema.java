package org.bramleylatch.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;

/** Validates JSON against a schema file of this module; each fault is reported with its place. */
public final class Schema {
    private final com.networknt.schema.Schema schema;
    private final String name;

    private Schema(String name, com.networknt.schema.Schema schema) {
        this.name = name;
        this.schema = schema;
    }

    /** Loads the schema with the given file name. */
    public static Schema of(String name) {
        SchemaRegistry registry =
                SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
        return new Schema(name, registry.getSchema(readResource(name), InputFormat.JSON));
    }

    /** Lists the faults of the text with their places; empty if it conforms to the schema. */
    public List<String> check(String json) {
        return schema.validate(json, InputFormat.JSON).stream().map(Schema::describe).toList();
    }

    /**
     * Decodes a value from text that conforms to the schema.
     *
     * @param source the name of the file or section that holds the text, for the message
     * @throws ResultException with the given code and all faults if the text does not conform, or
     *     with MALFORMED_JSON if it is not JSON
     */
    public <T> T read(String source, String json, Class<T> type, ResultCode code) {
        JsonNode tree = Json.readTree(json);
        List<String> faults = check(json);
        if (!faults.isEmpty()) {
            String joinedFaults = faults.stream().collect(Collectors.joining("; "));
            throw ResultException.of(
                    code, source + ": " + joinedFaults + " (see schema " + name + ")");
        }
        return Json.read(tree, type);
    }

    private static String describe(Error fault) {
        return "at " + fault.getInstanceLocation() + ": " + fault.getMessage();
    }

    private static String readResource(String name) {
        try (InputStream in = Schema.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}
