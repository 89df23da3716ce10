package org.bramleylatch.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.bramleylatch.core.Configuration;
import org.bramleylatch.core.KeyWindow;
import org.bramleylatch.core.MemberRow;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouteRow;

/**
 * Applies the records of the configuration stream. A proposal is accepted only if its section is at
 * the expected revision and has the same owner, its content fits the schema, and the document as a
 * whole stays consistent. The result depends on the records alone, so all readers reach the same
 * one.
 */
public final class ConfigDocument {
    /** The revision of a section without accepted content. */
    public static final long NO_REVISION = -1;

    private static final String MEMBERS = "members";
    private static final String ROUTES = "routes";
    private static final Schema MEMBERS_SCHEMA = Schema.of("members.schema.json");
    private static final Schema ROUTES_SCHEMA = Schema.of("routes.schema.json");

    private final Map<String, Section> sections = new TreeMap<>();
    private final KeyWindow seenKeys = KeyWindow.empty();
    private Configuration configuration = Configuration.empty();
    private long nextOffset;
    private long logMillis;

    private ConfigDocument() {}

    /** Creates a document without sections. */
    public static ConfigDocument empty() {
        return new ConfigDocument();
    }

    /**
     * Applies a proposal.
     *
     * @param timeMillis the time of the append, in milliseconds since the epoch, by the clock of
     *     the process that appended the record, or by the log's own
     * @return the refusal, or empty if the proposal was accepted
     */
    public Optional<Refusal> apply(
            long offset, long timeMillis, ConfigRecord.SectionProposed proposal) {
        if (offset < nextOffset) {
            return Optional.of(Refusal.of(ResultCode.RECORD_REPEATED, "offset " + offset));
        }
        markRead(offset, timeMillis);
        if (KeyWindow.isExpired(proposal.key(), logMillis)) {
            String detail = proposal.section() + ": the idempotency key has expired";
            return Optional.of(Refusal.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED, detail));
        }
        if (!seenKeys.add(proposal.key())) {
            return Optional.of(Refusal.of(ResultCode.RECORD_REPEATED, proposal.section()));
        }
        Optional<Refusal> refusal = check(proposal);
        if (refusal.isEmpty()) {
            accept(offset, proposal);
        }
        return refusal;
    }

    /** Marks the record at the offset as read and forgets keys that have expired by its time. */
    public void markRead(long offset, long timeMillis) {
        nextOffset = Math.max(nextOffset, offset + 1);
        logMillis = Math.max(logMillis, timeMillis);
        seenKeys.expire(logMillis);
    }

    /** Creates a snapshot of the current sections and of the keys that have not expired. */
    public ConfigRecord.DocumentSnapshot snapshot() {
        return new ConfigRecord.DocumentSnapshot(
                nextOffset, logMillis, List.copyOf(sections.values()), seenKeys.keys().toList());
    }

    /**
     * Replaces the sections by those of a snapshot and adds its keys to those seen.
     *
     * @return false if the snapshot is older than the document, which then stays unchanged
     */
    public boolean load(ConfigRecord.DocumentSnapshot snapshot) {
        if (snapshot.nextOffset() < nextOffset) {
            return false;
        }
        sections.clear();
        snapshot.sections().forEach(section -> sections.put(section.name(), section));
        snapshot.keys().forEach(seenKeys::add);
        nextOffset = snapshot.nextOffset();
        logMillis = snapshot.logMillis();
        long revision =
                sections.values().stream().mapToLong(Section::revision).max().orElse(NO_REVISION);
        configuration = new Configuration(revision, members(sections), routes(sections));
        return true;
    }

    /**
     * Checks a proposal against the current document without applying it.
     *
     * @return the refusal, or empty if the proposal would be accepted
     */
    public Optional<Refusal> check(ConfigRecord.SectionProposed proposal) {
        Optional<Section> current = section(proposal.section());
        long revision = current.map(Section::revision).orElse(NO_REVISION);
        if (current.filter(s -> !s.owner().equals(proposal.owner())).isPresent()) {
            String detail = proposal.section() + " is owned by " + current.get().owner();
            return Optional.of(Refusal.of(ResultCode.SECTION_OWNER_MISMATCH, detail));
        }
        if (revision != proposal.expectedRevision()) {
            String detail = proposal.section() + " is at revision " + revision;
            return Optional.of(Refusal.of(ResultCode.REVISION_CONFLICT, detail));
        }
        List<String> faults = findFaults(proposal.section(), proposal.content());
        return faults.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        Refusal.of(ResultCode.CONFIGURATION_INVALID, String.join("; ", faults)));
    }

    /** Returns the rows of all accepted sections; the revision is that of the newest section. */
    public Configuration configuration() {
        return configuration;
    }

    /** Finds a section; empty if none with this name was accepted. */
    public Optional<Section> section(String name) {
        return Optional.ofNullable(sections.get(name));
    }

    /** Lists the accepted sections in the order of their names. */
    public List<Section> sections() {
        return List.copyOf(sections.values());
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    private void accept(long offset, ConfigRecord.SectionProposed proposal) {
        sections.put(
                proposal.section(),
                new Section(proposal.section(), offset, proposal.owner(), proposal.content()));
        configuration = new Configuration(offset, members(sections), routes(sections));
    }

    private List<String> findFaults(String name, JsonNode content) {
        List<String> faults = new ArrayList<>();
        if (name.equals(MEMBERS)) {
            faults.addAll(MEMBERS_SCHEMA.check(content.toString()));
        } else if (name.equals(ROUTES)) {
            faults.addAll(ROUTES_SCHEMA.check(content.toString()));
        } else {
            faults.add("section " + name + " does not exist; the sections are members and routes");
        }
        if (faults.isEmpty()) {
            Map<String, Section> candidate = new TreeMap<>(sections);
            candidate.put(name, new Section(name, nextOffset, "", content));
            faults.addAll(findDocumentFaults(candidate));
        }
        return faults.stream().map(fault -> name + " " + fault).toList();
    }

    private static List<String> findDocumentFaults(Map<String, Section> candidate) {
        List<String> faults = new ArrayList<>();
        Set<String> selectors = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (RouteRow route : routes(candidate)) {
            if (!names.add(route.name().value())) {
                faults.add("route " + route.name() + " is defined twice; rename one of them");
            }
            if (!selectors.add(route.kind() + route.selector())) {
                faults.add(
                        "selector "
                                + route.selector()
                                + " is used by two routes; remove one of them");
            }
            int sum = route.shares().stream().mapToInt(share -> share.permille()).sum();
            if (sum != 0 && sum != org.bramleylatch.core.VersionShare.WHOLE_PERMILLE) {
                faults.add("shares of " + route.name() + " add up to " + sum + ", not 1000");
            }
        }
        Set<String> keys = new HashSet<>();
        for (MemberRow member : members(candidate)) {
            if (!keys.add(member.keySha256())) {
                faults.add("a key of budget " + member.budget() + " is listed twice");
            }
        }
        return faults;
    }

    private static List<MemberRow> members(Map<String, Section> sections) {
        return rows(sections, MEMBERS, MemberRow.class);
    }

    private static List<RouteRow> routes(Map<String, Section> sections) {
        return rows(sections, ROUTES, RouteRow.class);
    }

    private static <T> List<T> rows(Map<String, Section> sections, String name, Class<T> type) {
        List<T> rows = new ArrayList<>();
        Optional.ofNullable(sections.get(name))
                .ifPresent(s -> s.content().forEach(row -> rows.add(Json.read(row, type))));
        return rows;
    }

    /** Holds an accepted section; its revision is the offset of the proposal. */
    public record Section(String name, long revision, String owner, JsonNode content) {}

    /** Holds the reason why a proposal was refused. */
    public record Refusal(ResultCode code, String detail) {

        /** Creates a refusal; the detail names the section and the fault. */
        public static Refusal of(ResultCode code, String detail) {
            return new Refusal(code, detail);
        }
    }
}
