package org.bramleylatch.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bramleylatch.core.AdminWorld;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.MoveSpec;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.Digests;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.wire.ConfigDocument;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.Schema;
import org.bramleylatch.wire.Settings;

/** Serves the administration API: budgets, holders, planned moves and configuration sections. */
final class AdminApi {
    private static final Schema MOVE_SCHEMA = Schema.of("move.schema.json");
    private static final String BASE_PATH = "/admin/v1";
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final List<Settings.AdminKey> keys;
    private final Function<LedgerRecord, CompletableFuture<Void>> proposer;
    private final AdminWorld world;
    private final SectionService sections;
    private final Consumer<Event> audit;

    AdminApi(
            List<Settings.AdminKey> keys,
            Function<LedgerRecord, CompletableFuture<Void>> proposer,
            AdminWorld world,
            SectionService sections,
            Consumer<Event> audit) {
        this.keys = keys;
        this.proposer = proposer;
        this.world = world;
        this.sections = sections;
        this.audit = audit;
    }

    /** Registers the paths of the API. */
    void mount(Router web) {
        web.route(BASE_PATH + "/*").handler(BodyHandler.create(false));
        web.get(BASE_PATH + "/openapi.json")
                .handler(call -> call.response().sendFile("org/bramleylatch/admin/openapi.json"));
        web.get(BASE_PATH + "/budgets").handler(call -> handle(call, owner -> listBudgets(call)));
        web.post(BASE_PATH + "/budgets").handler(call -> handle(call, owner -> createBudget(call)));
        web.get(BASE_PATH + "/budgets/:budget")
                .handler(call -> handle(call, owner -> showBudget(call)));
        web.post(BASE_PATH + "/budgets/:budget/top-ups")
                .handler(call -> handle(call, owner -> topUp(call)));
        web.post(BASE_PATH + "/holders/:holder/freeze")
                .handler(call -> handle(call, owner -> freezeHolder(call)));
        web.post(BASE_PATH + "/budgets/:budget/holders/:holder/release")
                .handler(call -> handle(call, owner -> releaseGrant(call, owner)));
        web.get(BASE_PATH + "/moves").handler(call -> handle(call, owner -> listMoves()));
        web.post(BASE_PATH + "/moves").handler(call -> handle(call, owner -> beginMove(call)));
        web.post(BASE_PATH + "/moves/:route/take-back")
                .handler(call -> handle(call, owner -> takeMoveBack(call, owner)));
        web.get(BASE_PATH + "/sections").handler(call -> handle(call, owner -> listSections(call)));
        web.put(BASE_PATH + "/sections/:section")
                .handler(call -> handle(call, owner -> putSection(call, owner)));
    }

    /** Authenticates a call, writes an audit event, runs the handler and sends its response. */
    private void handle(
            RoutingContext call, Function<String, CompletableFuture<Response>> handler) {
        CompletableFuture<Response> response;
        try {
            String owner = authenticate(call);
            String detail = owner + " " + call.request().method() + " " + call.request().path();
            audit.accept(Event.of(EventKind.ADMIN_CALLED, owner, detail));
            response = handler.apply(owner);
        } catch (ResultException refusal) {
            response = CompletableFuture.failedFuture(refusal);
        }
        response.whenComplete((result, failure) -> respond(call, result, failure));
    }

    private static void respond(RoutingContext call, Response response, Throwable failure) {
        if (failure != null) {
            ResultCode code = ResultException.codeOf(failure);
            Problem.of(code, RunState.NOT_RUN, failure.getMessage()).send(call.response());
        } else {
            call.response()
                    .setStatusCode(response.status)
                    .putHeader("content-type", "application/json")
                    .end(Json.write(response.body));
        }
    }

    private String authenticate(RoutingContext call) {
        String header = call.request().getHeader("authorization");
        String keySha256 =
                header != null && header.startsWith(BEARER_PREFIX)
                        ? Digests.sha256(header.substring(BEARER_PREFIX.length()))
                        : "";
        return keys.stream()
                .filter(entry -> entry.keySha256().equals(keySha256))
                .map(Settings.AdminKey::owner)
                .findFirst()
                .orElseThrow(
                        () ->
                                ResultException.of(
                                        ResultCode.UNAUTHENTICATED,
                                        "no known administration key in the authorization header"));
    }

    private CompletableFuture<Response> listBudgets(RoutingContext call) {
        List<BudgetStatement> statements =
                world.ledger()
                        .budgets()
                        .keys()
                        .sorted()
                        .flatMap(id -> world.ledger().statement(id).stream())
                        .toList();
        return completed(OK, new BudgetList(world.ledger().nextOffset(), statements));
    }

    private CompletableFuture<Response> createBudget(RoutingContext call) {
        JsonNode body = Json.readTree(call.body().asString());
        BudgetId budget = BudgetId.of(requiredText(body, "budget"));
        String workspace = requiredText(body, "workspace");
        return proposer.apply(new LedgerRecord.BudgetCreated(budget, workspace))
                .thenApply(accepted -> new Response(CREATED, statement(budget)));
    }

    private CompletableFuture<Response> showBudget(RoutingContext call) {
        return completed(OK, statement(budget(call)));
    }

    private CompletableFuture<Response> topUp(RoutingContext call) {
        BudgetId budget = budget(call);
        JsonNode tokens = Json.readTree(call.body().asString()).path("tokens");
        if (!tokens.isIntegralNumber() || tokens.asLong() <= 0) {
            throw ResultException.of(ResultCode.FIELD_INVALID, "tokens must be a positive integer");
        }
        LedgerRecord record =
                new LedgerRecord.BudgetToppedUp(
                        budget, idempotencyKey(call).scopedTo(budget), tokens.asLong());
        return proposer.apply(record).thenApply(accepted -> new Response(OK, statement(budget)));
    }

    private CompletableFuture<Response> freezeHolder(RoutingContext call) {
        Incarnation holder = Incarnation.of(call.pathParam("holder"));
        return proposer.apply(new LedgerRecord.HolderFrozen(holder))
                .thenApply(accepted -> new Response(OK, holder));
    }

    private CompletableFuture<Response> releaseGrant(RoutingContext call, String owner) {
        BudgetId budget = budget(call);
        Incarnation holder = Incarnation.of(call.pathParam("holder"));
        return proposer.apply(new LedgerRecord.FrozenGrantReleased(budget, holder, owner))
                .thenApply(accepted -> new Response(OK, statement(budget)));
    }

    private CompletableFuture<Response> listMoves() {
        return completed(OK, world.ledger().moves().rows().toList());
    }

    private CompletableFuture<Response> beginMove(RoutingContext call) {
        MoveSpec spec =
                MOVE_SCHEMA.read(
                        "move", call.body().asString(), MoveSpec.class, ResultCode.FIELD_INVALID);
        return proposer.apply(new LedgerRecord.MoveBegun(spec))
                .thenApply(accepted -> new Response(CREATED, move(spec.route())));
    }

    private CompletableFuture<Response> takeMoveBack(RoutingContext call, String owner) {
        RouteName route = RouteName.of(call.pathParam("route"));
        return proposer.apply(new LedgerRecord.MoveTakenBack(route, owner))
                .thenApply(accepted -> new Response(OK, move(route)));
    }

    private Object move(RouteName route) {
        return world.ledger().moves().find(route).orElseThrow();
    }

    private CompletableFuture<Response> listSections(RoutingContext call) {
        return completed(OK, sections.document().sections());
    }

    private CompletableFuture<Response> putSection(RoutingContext call, String owner) {
        String name = call.pathParam("section");
        SectionProposed proposal =
                new SectionProposed(
                        name,
                        expectedRevision(call),
                        owner,
                        idempotencyKey(call),
                        Json.readTree(call.body().asString()));
        return sections.propose(proposal)
                .thenApply(revision -> new Response(OK, new AcceptedSection(name, revision)));
    }

    private static long expectedRevision(RoutingContext call) {
        String text = call.request().getHeader("if-match");
        try {
            return text == null ? ConfigDocument.NO_REVISION : Long.parseLong(text);
        } catch (NumberFormatException notANumber) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, "the If-Match header must be a revision number");
        }
    }

    /** Reads the key, or makes a new one if the call has none; such a call is not deduplicated. */
    private static RequestKey idempotencyKey(RoutingContext call) {
        String text = call.request().getHeader(IDEMPOTENCY_KEY_HEADER);
        return text == null
                ? RequestKey.of(System.currentTimeMillis(), RandomIds.bits())
                : RequestKey.parse(text)
                        .orElseThrow(
                                () ->
                                        ResultException.of(
                                                ResultCode.IDEMPOTENCY_KEY_MALFORMED,
                                                "Idempotency-Key must be a version 7 UUID"));
    }

    private BudgetStatement statement(BudgetId budget) {
        return world.ledger()
                .statement(budget)
                .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_BUDGET, budget.value()));
    }

    private static BudgetId budget(RoutingContext call) {
        return BudgetId.of(call.pathParam("budget"));
    }

    private static String requiredText(JsonNode body, String field) {
        return Optional.of(body.path(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .filter(text -> !text.isBlank())
                .orElseThrow(
                        () ->
                                ResultException.of(
                                        ResultCode.FIELD_INVALID,
                                        field + " must be a string that is not blank"));
    }

    private static CompletableFuture<Response> completed(int status, Object body) {
        return CompletableFuture.completedFuture(new Response(status, body));
    }

    private record Response(int status, Object body) {}

    private record AcceptedSection(String section, long revision) {}

    private record BudgetList(long nextOffset, List<BudgetStatement> budgets) {}
}
