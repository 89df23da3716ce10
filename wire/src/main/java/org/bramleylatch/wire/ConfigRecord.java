package org.bramleylatch.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.bramleylatch.core.RequestKey;

/** Lists the records of the log's configuration stream. */
public sealed interface ConfigRecord {

    /**
     * Proposes new content for a section; refused unless the section is at the expected revision.
     *
     * @param expectedRevision the offset of the section's last change, -1 for none
     * @param owner the proposer, who must own the section; becomes the owner of a new section
     * @param key the idempotency key by which a repeated proposal is recognized
     */
    record SectionProposed(
            String section, long expectedRevision, String owner, RequestKey key, JsonNode content)
            implements ConfigRecord {}

    /**
     * Holds the whole document with every record before an offset applied.
     *
     * @param nextOffset the first offset that is not included
     * @param logMillis the latest log time of the records included, in milliseconds since the epoch
     * @param keys the keys of earlier proposals that have not expired, to recognize repeated ones
     */
    record DocumentSnapshot(
            long nextOffset,
            long logMillis,
            List<ConfigDocument.Section> sections,
            List<RequestKey> keys)
            implements ConfigRecord {

        /** Makes defensive copies of the lists. */
        public DocumentSnapshot {
            sections = List.copyOf(sections);
            keys = List.copyOf(keys);
        }
    }
}
