package org.bramleylatch.wire;

import com.fasterxml.jackson.databind.JsonNode;
import org.bramleylatch.core.RequestKey;

/** Is one proposal in the configuration stream of the log. */
public sealed interface ConfigRecord {

    /**
     * Replaces a section if it is still at the expected revision.
     *
     * @param section the name of the section
     * @param expectedRevision the offset of the section's last change, -1 for none
     * @param owner who may change the section from now on
     * @param key makes a repeated proposal count once
     * @param content the new content
     */
    record SectionProposed(
            String section, long expectedRevision, String owner, RequestKey key, JsonNode content)
            implements ConfigRecord {}
}
