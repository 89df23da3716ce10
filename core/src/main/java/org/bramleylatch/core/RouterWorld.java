package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

/** Holds the tables of one router: its requests, attempts and endpoints. */
public final class RouterWorld implements World<RouterInput, RouterOutput> {
    private final Mailbox<RouterInput> inbox = Mailbox.empty();
    private final Mailbox<RouterOutput> outbox = Mailbox.empty();
    private final Table<RequestId, RequestRow> requests = Table.empty();
    private final Table<RequestKey, RequestId> requestsByKey = Table.empty();
    private final Table<AttemptId, AttemptRow> attempts = Table.empty();
    private final Table<EndpointId, EndpointRow> endpoints = Table.empty();
    private final Table<RequestKey, SettlementRow> settlements = Table.empty();
    private final Table<String, RetryRow> retries = Table.empty();
    private final Table<RouteName, MoveWatch> moves = Table.empty();
    private final Table<RequestId, List<Incarnation>> lenders = Table.empty();
    private final Table<GrantKey, Long> lendersAtRest = Table.empty();
    private final Set<RequestId> queued = new LinkedHashSet<>();
    private final Set<Incarnation> keepers = new LinkedHashSet<>();
    private final Deadlines<RouterTimer> timers = Deadlines.empty();
    private final Incarnation self;
    private final Zone zone;
    private final Supplier<AttemptId> attemptIds;
    private Configuration configuration = Configuration.empty();
    private Optional<Incarnation> beside = Optional.empty();
    private boolean stopping;
    private int routers = 1;
    private long nextMoveReportMillis;
    private boolean registryReachable;
    private long registryBackMillis;

    private RouterWorld(Incarnation self, Zone zone, Supplier<AttemptId> attemptIds) {
        this.self = self;
        this.zone = zone;
        this.attemptIds = attemptIds;
    }

    /**
     * Returns a router's world without requests.
     *
     * @param attemptIds gives ids that no one can guess
     */
    public static RouterWorld of(Incarnation self, Zone zone, Supplier<AttemptId> attemptIds) {
        return new RouterWorld(self, zone, attemptIds);
    }

    @Override
    public Mailbox<RouterInput> inbox() {
        return inbox;
    }

    @Override
    public Mailbox<RouterOutput> outbox() {
        return outbox;
    }

    @Override
    public OptionalLong nextDeadlineMillis() {
        return timers.earliestMillis();
    }

    /** Returns this router's incarnation. */
    public Incarnation self() {
        return self;
    }

    /** Returns the availability zone that this router is in. */
    public Zone zone() {
        return zone;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the requests by id. */
    public Table<RequestId, RequestRow> requests() {
        return requests;
    }

    /** Returns the running attempts by id. */
    public Table<AttemptId, AttemptRow> attempts() {
        return attempts;
    }

    /** Returns the endpoints by id. */
    public Table<EndpointId, EndpointRow> endpoints() {
        return endpoints;
    }

    /** Returns the usage that is not durable yet, by request. */
    public Table<RequestKey, SettlementRow> settlements() {
        return settlements;
    }

    /** Returns the keepers that can be reached. */
    public Set<Incarnation> keepers() {
        return keepers;
    }

    /** Returns what this router knows of the latest move of each route. */
    public Table<RouteName, MoveWatch> moves() {
        return moves;
    }

    /** Returns true once a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns the request that runs under the key, if it is still on its way. */
    public Optional<RequestRow> requestOf(RequestKey key) {
        return requestsByKey.find(key).flatMap(requests::find);
    }

    Table<RequestKey, RequestId> requestsByKey() {
        return requestsByKey;
    }

    Table<String, RetryRow> retries() {
        return retries;
    }

    /** Returns the keepers that may still be asked, by request that was refused tokens. */
    Table<RequestId, List<Incarnation>> lenders() {
        return lenders;
    }

    /** Returns until when a keeper is not asked for tokens of a budget, in milliseconds. */
    Table<GrantKey, Long> lendersAtRest() {
        return lendersAtRest;
    }

    Set<RequestId> queued() {
        return queued;
    }

    Deadlines<RouterTimer> timers() {
        return timers;
    }

    AttemptId newAttemptId() {
        return attemptIds.get();
    }

    void setConfiguration(Configuration newer) {
        configuration = newer;
    }

    long nextMoveReportMillis() {
        return nextMoveReportMillis;
    }

    void setNextMoveReport(long millis) {
        nextMoveReportMillis = millis;
    }

    boolean isRegistryReachable() {
        return registryReachable;
    }

    void setRegistryReachable(boolean reachable) {
        registryReachable = reachable;
    }

    long registryBackMillis() {
        return registryBackMillis;
    }

    void setRegistryBackMillis(long millis) {
        registryBackMillis = millis;
    }

    void setBeside(Incarnation keeper) {
        beside = Optional.of(keeper);
    }

    /** Returns among how many routers the fleet's allowances are split. */
    int routers() {
        return routers;
    }

    void setRouters(int count) {
        routers = count;
    }

    void setStopping() {
        stopping = true;
    }

    /** Returns the keeper that the budget's requests go to, if one can be reached. */
    Optional<Incarnation> keeperOf(BudgetId budget) {
        return beside.or(() -> Rendezvous.first(budget.value(), keepers));
    }

    /**
     * Returns the endpoints that may serve the request now, in order of their ids. One that failed
     * a request that may be repeated is asked again if there is no other.
     */
    List<EndpointRow> candidates(RequestRow row, long nowMillis) {
        if (row.position() > 0 && !row.spec().route().terms().resumeAnywhere()) {
            return row.origin().flatMap(endpoints::find).stream().toList();
        }
        List<EndpointRow> others = open(row, version(row), row.tried(), nowMillis);
        boolean mayRepeat = row.ran() == RunState.RAN && row.spec().route().repeatable();
        return others.isEmpty() && mayRepeat
                ? open(row, version(row), Set.of(), nowMillis)
                : others;
    }

    /** Returns the endpoints of the old version, if the request fell to one that is moved to. */
    List<EndpointRow> oldCandidates(RequestRow row, long nowMillis) {
        return moves.find(row.spec().route().name())
                .filter(watch -> watch.move().isRunning() && row.position() == 0)
                .map(
                        watch ->
                                open(
                                        row,
                                        Optional.of(watch.move().spec().from()),
                                        row.tried(),
                                        nowMillis))
                .orElse(List.of());
    }

    private List<EndpointRow> open(
            RequestRow row, Optional<Version> version, Set<EndpointId> tried, long nowMillis) {
        List<EndpointRow> open =
                new ArrayList<>(
                        endpoints.where(
                                endpoint ->
                                        endpoint.backEnd().equals(row.spec().backEnd())
                                                && endpoint.isOpen(nowMillis)
                                                && !tried.contains(endpoint.id())
                                                && version.filter(
                                                                v -> !v.equals(endpoint.version()))
                                                        .isEmpty()));
        open.sort(Comparator.comparing(EndpointRow::id));
        return open;
    }

    /** Returns the version that the request falls to; a retry of a moving route goes back. */
    private Optional<Version> version(RequestRow row) {
        Optional<MoveWatch> watch = moves.find(row.spec().route().name());
        if (watch.isEmpty()) {
            return row.spec().version();
        }
        boolean isRetry = row.attempts() > 0 && watch.get().move().isRunning();
        return watch.map(w -> isRetry ? w.move().spec().from() : w.versionFor(row.spec().key()));
    }

    void send(RouterOutput message) {
        outbox.add(message);
    }

    void note(EventKind kind, Object subject, String detail) {
        outbox.add(new RouterOutput.Note(Event.of(kind, subject, detail)));
    }
}
