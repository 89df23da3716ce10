package org.bramleylatch.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.bramleylatch.core.RequestKey;

/** Is one record in the configuration stream of the log. */
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

    /**
     * Carries the whole document as it is before an offset.
     *
     * @param nextOffset the first offset that is not included
     * @param logMillis the time of the log at that offset, in milliseconds
     * @param keys the keys of proposals that still count as taken
     */
    record DocumentSnapshot(
            long nextOffset,
            long logMillis,
            List<ConfigDocument.Section> sections,
            List<RequestKey> keys)
            implements ConfigRecord {

        /** Copies the lists. */
        public DocumentSnapshot {
            sections = List.copyOf(sections);
            keys = List.copyOf(keys);
        }
    }
}
