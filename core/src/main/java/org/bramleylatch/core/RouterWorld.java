package org.bramleylatch.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Holds the tables of one router, such as its requests, attempts and endpoints. */
public final class RouterWorld implements World<RouterInput, RouterOutput> {
    private final Mailbox<RouterInput> inbox = Mailbox.empty();
    private final Mailbox<RouterOutput> outbox = Mailbox.empty();
    private final Table<RequestId, RequestRow> requests = Table.empty();
    private final Table<RequestKey, RequestId> requestsByKey = Table.empty();
    private final Table<AttemptId, AttemptRow> attempts = Table.empty();
    private final Table<EndpointId, EndpointRow> endpoints = Table.empty();
    private final Table<RequestKey, SettlementRow> settlements = Table.empty();
    private final Table<String, RetryRow> retriesByBackEnd = Table.empty();
    private final Table<RouteName, RouterMoveRow> moves = Table.empty();
    private final Table<RequestId, List<Incarnation>> remainingLenders = Table.empty();
    private final Table<GrantKey, Long> lenderBackoffUntilMillis = Table.empty();
    private final Table<String, RolloutRow> rollouts = Table.empty();
    private final Table<OrderedVersionRow.Key, OrderedVersionRow> orderedVersions = Table.empty();
    private final Table<EndpointId, RateLimitRow> rateLimits = Table.empty();
    private final Table<EndpointId, EndpointLimit> ownLimits = Table.empty();
    private final Table<DemandSource, Double> demands = Table.empty();
    private final Table<LimitSource, EndpointLimit> heardLimits = Table.empty();
    private final Table<EndpointId, Long> endpointPauses = Table.empty();
    private final Table<AttemptId, SilenceRow> silences = Table.empty();
    private final PathTables paths = new PathTables();
    private final LatenessTables lateness = new LatenessTables();
    private final CrashTables crashTables = new CrashTables();
    private final Set<RequestId> queuedRequests = new LinkedHashSet<>();
    private final Set<Incarnation> keepers = new LinkedHashSet<>();
    private final Set<Incarnation> silentKeepers = new LinkedHashSet<>();
    private final Table<String, VmRow> vms = Table.empty();
    private final Deadlines<RouterTimer> timers = Deadlines.empty();
    private final Incarnation self;
    private final Zone zone;
    private final Supplier<AttemptId> attemptIds;
    private Configuration configuration = Configuration.empty();
    private HolderSelection holders = HolderSelection.none();
    private Optional<Incarnation> localKeeper = Optional.empty();
    private long configurationAsOfMillis;
    private VmLoad load = VmLoad.none();
    private boolean stopping;
    private int routerCount = 1;
    private long nextMoveReportMillis;
    private long nextLimitReportMillis;
    private boolean registryReachable;
    private boolean registryAway;
    private long registryRecoveredMillis;

    private RouterWorld(Incarnation self, Zone zone, Supplier<AttemptId> attemptIds) {
        this.self = self;
        this.zone = zone;
        this.attemptIds = attemptIds;
    }

    /**
     * Returns an empty world of a router.
     *
     * @param attemptIds supplies unique ids that can't be guessed
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

    /** Returns the incarnation of this router, which changes with each start of its process. */
    public Incarnation self() {
        return self;
    }

    /** Returns the availability zone of this router. */
    public Zone zone() {
        return zone;
    }

    /** Returns the newest configuration received; empty before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the unfinished requests by id. */
    public Table<RequestId, RequestRow> requests() {
        return requests;
    }

    /** Returns the running attempts by id. */
    public Table<AttemptId, AttemptRow> attempts() {
        return attempts;
    }

    /** Returns the endpoints that this router uses or that still run its requests, by id. */
    public Table<EndpointId, EndpointRow> endpoints() {
        return endpoints;
    }

    /** Returns the usage that is not known to be in the log yet, by request key. */
    public Table<RequestKey, SettlementRow> settlements() {
        return settlements;
    }

    /** Returns the connected keepers. */
    public Set<Incarnation> keepers() {
        return keepers;
    }

    /** Returns the connected keepers that lately left a reservation without an answer. */
    Set<Incarnation> silentKeepers() {
        return silentKeepers;
    }

    /** Returns the VMs that announced themselves, by name. */
    Table<String, VmRow> vms() {
        return vms;
    }

    /** Returns the VMs whose keepers hold grants; empty until VMs announce themselves. */
    HolderSelection holders() {
        return holders;
    }

    void setHolders(HolderSelection selection) {
        holders = selection;
    }

    /** Returns the latest move of each route with the attempts that this router counted. */
    public Table<RouteName, RouterMoveRow> moves() {
        return moves;
    }

    /** Returns the latest order of the operator for each back end. */
    Table<String, RolloutRow> rollouts() {
        return rollouts;
    }

    /** Returns what is known of each version that an order has named. */
    Table<OrderedVersionRow.Key, OrderedVersionRow> orderedVersions() {
        return orderedVersions;
    }

    /** Returns the latest move of the request's route, or else of its back end. */
    Optional<RouterMoveRow> moveOf(RequestSpec spec) {
        return moves.find(spec.route().name())
                .or(
                        () ->
                                rollouts.find(spec.backEnd())
                                        .flatMap(row -> moves.find(row.order().moveName())));
    }

    /** Returns true once a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns the unfinished request with the key; empty if there is none. */
    public Optional<RequestRow> requestByKey(RequestKey key) {
        return requestsByKey.find(key).flatMap(requests::find);
    }

    Table<RequestKey, RequestId> requestsByKey() {
        return requestsByKey;
    }

    Table<String, RetryRow> retriesByBackEnd() {
        return retriesByBackEnd;
    }

    /** Returns the lenders that were not asked yet, by the request that needs tokens. */
    Table<RequestId, List<Incarnation>> remainingLenders() {
        return remainingLenders;
    }

    /** Returns the time before which a keeper is not asked to lend tokens of a budget. */
    Table<GrantKey, Long> lenderBackoffUntilMillis() {
        return lenderBackoffUntilMillis;
    }

    /** Names a router and an endpoint that named a limit to it. */
    record LimitSource(String router, EndpointId endpoint) {}

    /** Returns the limits that endpoints name now, or named a few seconds ago. */
    Table<EndpointId, RateLimitRow> rateLimits() {
        return rateLimits;
    }

    /** Names a VM and a back end for which its router gets requests. */
    record DemandSource(String vm, String backEnd) {}

    /** Returns what endpoints named in their latest answers to this router. */
    Table<EndpointId, EndpointLimit> ownLimits() {
        return ownLimits;
    }

    /** Returns the requests per second of other routers, as they last told. */
    Table<DemandSource, Double> demands() {
        return demands;
    }

    long nextLimitReportMillis() {
        return nextLimitReportMillis;
    }

    void setNextLimitReportMillis(long millis) {
        nextLimitReportMillis = millis;
    }

    /** Returns the newest limit that each other router told of each endpoint. */
    Table<LimitSource, EndpointLimit> heardLimits() {
        return heardLimits;
    }

    /** Returns until when endpoints want no requests, in milliseconds since the epoch. */
    Table<EndpointId, Long> endpointPauses() {
        return endpointPauses;
    }

    /** Returns the latest silence of each running attempt that had one. */
    Table<AttemptId, SilenceRow> silences() {
        return silences;
    }

    /** Returns what is known about whether this VM kept up. */
    LatenessTables lateness() {
        return lateness;
    }

    /** Returns what is known about the paths to endpoints. */
    PathTables paths() {
        return paths;
    }

    /** Returns true if this VM is cut off from its endpoints, and must not be a path for others. */
    public boolean isCutOff(long nowMillis) {
        return new EndpointPaths(this, nowMillis).isCutOff();
    }

    /** Returns what is known about prompts that crash endpoints. */
    CrashTables crashTables() {
        return crashTables;
    }

    Set<RequestId> queuedRequests() {
        return queuedRequests;
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

    /**
     * Returns when no newer configuration was in force, in milliseconds since the epoch; 0 if its
     * stream has not been read to the end yet.
     */
    long configurationAsOfMillis() {
        return configurationAsOfMillis;
    }

    void confirmConfiguration(long asOfMillis) {
        configurationAsOfMillis = Math.max(configurationAsOfMillis, asOfMillis);
    }

    /** Returns the load of the VM that the router runs on. */
    public VmLoad load() {
        return load;
    }

    /** Returns the number of known VMs of this router's zone. */
    public long countVmsOfZone() {
        return vms.rows().filter(vm -> vm.zone().equals(zone)).count();
    }

    void setLoad(VmLoad measured) {
        load = measured;
    }

    long nextMoveReportMillis() {
        return nextMoveReportMillis;
    }

    void setNextMoveReportMillis(long millis) {
        nextMoveReportMillis = millis;
    }

    boolean isRegistryReachable() {
        return registryReachable;
    }

    /** Returns true if the registry could not be read last; false before the first attempt. */
    boolean isRegistryAway() {
        return registryAway;
    }

    void setRegistryReachable(boolean reachable) {
        registryReachable = reachable;
        registryAway = !reachable;
    }

    long registryRecoveredMillis() {
        return registryRecoveredMillis;
    }

    void setRegistryRecoveredMillis(long millis) {
        registryRecoveredMillis = millis;
    }

    Optional<Incarnation> localKeeper() {
        return localKeeper;
    }

    void setLocalKeeper(Incarnation keeper) {
        localKeeper = Optional.of(keeper);
    }

    /** Returns the number of routers that share the fleet's retry allowance; at least 1. */
    int routerCount() {
        return routerCount;
    }

    void setRouterCount(int count) {
        routerCount = count;
    }

    void setStopping() {
        stopping = true;
    }

    /**
     * Returns the keeper that this zone's routers ask first for tokens of the budget. Empty if no
     * keeper is connected.
     */
    Optional<Incarnation> keeperOf(BudgetId budget) {
        return new HolderOrder(this).inZone(budget.value()).stream().findFirst();
    }

    /**
     * Returns true if this router is the one that all routers with the same connections choose for
     * the key; where VMs announced themselves, it is one beside a holder. Always false without a
     * local keeper.
     */
    boolean isChosenRouter(String key) {
        Set<Incarnation> candidates =
                keepers.stream()
                        .filter(keeper -> holders.isEmpty() || holders.contains(keeper.vm()))
                        .collect(Collectors.toSet());
        return localKeeper.isPresent()
                && localKeeper.equals(
                        Rendezvous.first(key, candidates.isEmpty() ? keepers : candidates));
    }

    /** Tells all other routers, through the keepers, and stores what they are told. */
    void reportAndStore(RouterReport report) {
        report(report);
        send(new RouterOutput.StoreReport(report));
    }

    /** Tells all other routers, through the keepers that they are connected to. */
    void report(RouterReport report) {
        KeeperInput message = new KeeperInput.RouterReported(report);
        new ReportRelays(this)
                .choose().stream()
                        .map(keeper -> new RouterOutput.ToKeeper(keeper, message))
                        .forEach(this::send);
    }

    void send(RouterOutput message) {
        outbox.add(message);
    }

    void note(EventKind kind, Object subject, String detail) {
        outbox.add(new RouterOutput.Note(Event.of(kind, subject, detail)));
    }
}
