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
 * Folds the configuration stream. A change is accepted only if its section is at the expected
 * revision, its owner may change it, its content fits the schema and the whole document still holds
 * together. Every reader comes to the same verdict.
 */
public final class ConfigDocument {
    /** The revision of a section that was never accepted. */
    public static final long NO_REVISION = -1;

    private static final String MEMBERS = "members";
    private static final String ROUTES = "routes";
    private static final Schema MEMBERS_SCHEMA = Schema.of("members.schema.json");
    private static final Schema ROUTES_SCHEMA = Schema.of("routes.schema.json");

    private final Map<String, Section> sections = new TreeMap<>();
    private final KeyWindow taken = KeyWindow.empty();
    private Configuration configuration = Configuration.empty();
    private long nextOffset;
    private long logMillis;

    private ConfigDocument() {}

    /** Returns the document without sections. */
    public static ConfigDocument empty() {
        return new ConfigDocument();
    }

    /**
     * Folds the proposal at the given offset and time of the log, in milliseconds.
     *
     * @return why it was refused, or empty if it was accepted
     */
    public Optional<Verdict> apply(
            long offset, long timeMillis, ConfigRecord.SectionProposed proposal) {
        if (offset < nextOffset) {
            return Optional.of(Verdict.of(ResultCode.RECORD_REPEATED, "offset " + offset));
        }
        advance(offset, timeMillis);
        if (KeyWindow.isExpired(proposal.key(), logMillis)) {
            String detail = proposal.section() + ": the key is too old";
            return Optional.of(Verdict.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED, detail));
        }
        if (!taken.add(proposal.key())) {
            return Optional.of(Verdict.of(ResultCode.RECORD_REPEATED, proposal.section()));
        }
        Optional<Verdict> refusal = check(proposal);
        if (refusal.isEmpty()) {
            accept(offset, proposal);
        }
        return refusal;
    }

    /** Notes a record that changes nothing. */
    public void advance(long offset, long timeMillis) {
        nextOffset = Math.max(nextOffset, offset + 1);
        logMillis = Math.max(logMillis, timeMillis);
        taken.expire(logMillis);
    }

    /** Returns the record that carries the document as it is now. */
    public ConfigRecord.DocumentSnapshot snapshot() {
        return new ConfigRecord.DocumentSnapshot(
                nextOffset, logMillis, List.copyOf(sections.values()), taken.keys().toList());
    }

    /** Takes a snapshot's place; returns false if the snapshot is older than the document. */
    public boolean load(ConfigRecord.DocumentSnapshot snapshot) {
        if (snapshot.nextOffset() < nextOffset) {
            return false;
        }
        sections.clear();
        snapshot.sections().forEach(section -> sections.put(section.name(), section));
        snapshot.keys().forEach(taken::add);
        nextOffset = snapshot.nextOffset();
        logMillis = snapshot.logMillis();
        long revision =
                sections.values().stream().mapToLong(Section::revision).max().orElse(NO_REVISION);
        configuration = new Configuration(revision, members(sections), routes(sections));
        return true;
    }

    /** Returns why the proposal would be refused now, or empty if it would be accepted. */
    public Optional<Verdict> check(ConfigRecord.SectionProposed proposal) {
        Optional<Section> current = section(proposal.section());
        long revision = current.map(Section::revision).orElse(NO_REVISION);
        if (current.filter(s -> !s.owner().equals(proposal.owner())).isPresent()) {
            String detail = proposal.section() + " belongs to " + current.get().owner();
            return Optional.of(Verdict.of(ResultCode.SECTION_OWNER_MISMATCH, detail));
        }
        if (revision != proposal.expectedRevision()) {
            String detail = proposal.section() + " is at revision " + revision;
            return Optional.of(Verdict.of(ResultCode.REVISION_CONFLICT, detail));
        }
        List<String> faults = faults(proposal.section(), proposal.content());
        return faults.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        Verdict.of(ResultCode.CONFIGURATION_INVALID, String.join("; ", faults)));
    }

    /** Returns the configuration that the accepted sections make up. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the section with the given name, if it was ever accepted. */
    public Optional<Section> section(String name) {
        return Optional.ofNullable(sections.get(name));
    }

    /** Returns the accepted sections, by name. */
    public List<Section> sections() {
        return List.copyOf(sections.values());
    }

    /** Returns the offset of the next record to fold. */
    public long nextOffset() {
        return nextOffset;
    }

    private void accept(long offset, ConfigRecord.SectionProposed proposal) {
        sections.put(
                proposal.section(),
                new Section(proposal.section(), offset, proposal.owner(), proposal.content()));
        configuration = new Configuration(offset, members(sections), routes(sections));
    }

    private List<String> faults(String name, JsonNode content) {
        List<String> faults = new ArrayList<>();
        if (name.equals(MEMBERS)) {
            faults.addAll(MEMBERS_SCHEMA.check(content.toString()));
        } else if (name.equals(ROUTES)) {
            faults.addAll(ROUTES_SCHEMA.check(content.toString()));
        } else {
            faults.add("section " + name + " is none of members, routes");
        }
        if (faults.isEmpty()) {
            Map<String, Section> after = new TreeMap<>(sections);
            after.put(name, new Section(name, nextOffset, "", content));
            faults.addAll(wholeDocumentFaults(after));
        }
        return faults.stream().map(fault -> name + " " + fault).toList();
    }

    private static List<String> wholeDocumentFaults(Map<String, Section> after) {
        List<String> faults = new ArrayList<>();
        Set<String> selectors = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (RouteRow route : routes(after)) {
            if (!names.add(route.name().value())) {
                faults.add("route " + route.name() + " stands twice; give it another name");
            }
            if (!selectors.add(route.kind() + route.selector())) {
                faults.add("selector " + route.selector() + " stands twice; remove one route");
            }
            int sum = route.shares().stream().mapToInt(share -> share.permille()).sum();
            if (sum != 0 && sum != org.bramleylatch.core.VersionShare.WHOLE_PERMILLE) {
                faults.add("shares of " + route.name() + " add up to " + sum + ", not 1000");
            }
        }
        Set<String> keys = new HashSet<>();
        for (MemberRow member : members(after)) {
            if (!keys.add(member.keySha256())) {
                faults.add("a key of budget " + member.budget() + " stands twice");
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

    /** Is an accepted section at its revision. */
    public record Section(String name, long revision, String owner, JsonNode content) {}

    /** Tells why a proposal was refused. */
    public record Verdict(ResultCode code, String detail) {

        /** Returns a refusal with the given code and place. */
        public static Verdict of(ResultCode code, String detail) {
            return new Verdict(code, detail);
        }
    }
}
