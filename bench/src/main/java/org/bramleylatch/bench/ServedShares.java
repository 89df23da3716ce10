package org.bramleylatch.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Table;

/** Counts from event logs how many requests of each workspace and at each VM were served. */
final class ServedShares {
    private static final Pattern REQUEST = Pattern.compile("request=(\\S+)");
    private static final Pattern NUMBER = Pattern.compile("request=\\S+~(\\d{1,18})");
    private static final Pattern WORKSPACE = Pattern.compile("budget=(\\S+)");
    private static final Pattern WHOLE_ANSWER = Pattern.compile("(status=200 .*complete)$");
    private static final Pattern CODE = Pattern.compile("^([A-Z_]{2,}|.*?(?= request=)|.*)");

    /** The share of fewer requests says little. */
    private static final int MIN_ARRIVALS = 20;

    private final Table<String, LoggedRequestRow> requests = Table.empty();
    private final Table<String, VmSequenceRow> sequences = Table.empty();
    private final Map<String, Integer> refusals = new TreeMap<>();

    /** Counts the events in the lines of one or more VMs, each VM's in the order of its log. */
    static ServedShares read(Stream<String> lines) {
        ServedShares shares = new ServedShares();
        lines.flatMap(line -> EventLine.read(line).stream()).forEach(shares::add);
        return shares;
    }

    private void add(EventLine line) {
        if (isOf(line, EventKind.PROCESS_STARTED)) {
            sequences.update(line.vm(), VmSequenceRow::withNextProcess);
        } else if (isOf(line, EventKind.REQUEST_ARRIVED)
                || isOf(line, EventKind.REQUEST_REFUSED)
                || isOf(line, EventKind.ANSWER_ENDED)) {
            line.find(REQUEST).ifPresent(id -> addRequest(line, id));
        }
    }

    private static boolean isOf(EventLine line, EventKind kind) {
        return kind.name().equals(line.event());
    }

    private void addRequest(EventLine line, String id) {
        String key = line.vm() + " " + id;
        requests.findOrAdd(key, () -> LoggedRequestRow.of(line.vm()));
        long number = line.find(NUMBER).map(Long::parseLong).orElse(0L);
        sequences.put(
                line.vm(), sequences.findOrAdd(line.vm(), VmSequenceRow::empty).withNumber(number));
        if (isOf(line, EventKind.REQUEST_ARRIVED)) {
            line.find(WORKSPACE)
                    .ifPresent(name -> requests.update(key, row -> row.withWorkspace(name)));
        } else if (isOf(line, EventKind.REQUEST_REFUSED)) {
            line.find(CODE).ifPresent(code -> refusals.merge(code, 1, Integer::sum));
        } else if (line.find(WHOLE_ANSWER).isPresent()) {
            requests.update(key, LoggedRequestRow::markFinished);
        }
    }

    /** Returns the counts over all VMs, also of requests without a line of their own. */
    ServedShareRow all() {
        long arrivals = sequences.rows().mapToLong(VmSequenceRow::requests).sum();
        long finished = requests.rows().filter(LoggedRequestRow::finished).count();
        return new ServedShareRow("all", arrivals, finished, sequences.size());
    }

    /** Returns the number of requests that only the numbers of later ones tell of. */
    long unloggedArrivals() {
        return Math.max(0, all().arrivals() - requests.size());
    }

    /** Returns how many requests were refused, by result code or other reason. */
    Map<String, Integer> refusals() {
        return refusals;
    }

    /** Returns the workspaces, the least served first, by requests whose arrival was logged. */
    List<ServedShareRow> workspaces() {
        Stream<LoggedRequestRow> arrived =
                requests.rows().filter(row -> row.workspace().isPresent());
        return leastServedFirst(
                groups(arrived, row -> row.workspace().orElseThrow()).entrySet().stream()
                        .map(group -> shareOf(group.getKey(), group.getValue())));
    }

    /** Returns the VMs, the least served first, with requests that have no line of their own. */
    List<ServedShareRow> vms() {
        return leastServedFirst(
                groups(requests.rows(), LoggedRequestRow::vm).entrySet().stream()
                        .map(group -> shareOf(group.getKey(), group.getValue()))
                        .map(
                                row ->
                                        new ServedShareRow(
                                                row.name(),
                                                requestsAt(row.name()),
                                                row.finished(),
                                                1)));
    }

    private long requestsAt(String vm) {
        return sequences.find(vm).map(VmSequenceRow::requests).orElse(0L);
    }

    private static Map<String, List<LoggedRequestRow>> groups(
            Stream<LoggedRequestRow> rows, Function<LoggedRequestRow, String> name) {
        return rows.collect(Collectors.groupingBy(name));
    }

    private static ServedShareRow shareOf(String name, List<LoggedRequestRow> rows) {
        long finished = rows.stream().filter(LoggedRequestRow::finished).count();
        long vms = rows.stream().map(LoggedRequestRow::vm).distinct().count();
        return new ServedShareRow(name, rows.size(), finished, vms);
    }

    private static List<ServedShareRow> leastServedFirst(Stream<ServedShareRow> rows) {
        return rows.filter(row -> row.arrivals() >= MIN_ARRIVALS)
                .sorted(
                        Comparator.comparingDouble(ServedShareRow::share)
                                .thenComparing(ServedShareRow::name))
                .toList();
    }
}
