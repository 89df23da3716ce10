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
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.wire.ConfigDocument;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.Schema;
import org.bramleylatch.wire.Settings;

/** Serves the administration API: budgets, holders and configuration sections. */
final class AdminApi {
    private static final Schema MOVE_SCHEMA = Schema.of("move.schema.json");
    private static final String BASE = "/admin/v1";
    private static final String BEARER = "Bearer ";
    private static final String KEY_HEADER = "idempotency-key";
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final List<Settings.AdminKey> keys;
    private final Function<LedgerRecord, CompletableFuture<Void>> proposer;
    private final AdminWorld world;
    private final Sections sections;
    private final Consumer<Event> audit;

    AdminApi(
            List<Settings.AdminKey> keys,
            Function<LedgerRecord, CompletableFuture<Void>> proposer,
            AdminWorld world,
            Sections sections,
            Consumer<Event> audit) {
        this.keys = keys;
        this.proposer = proposer;
        this.world = world;
        this.sections = sections;
        this.audit = audit;
    }

    /** Adds the API's calls. */
    void mount(Router web) {
        web.route(BASE + "/*").handler(BodyHandler.create(false));
        web.get(BASE + "/openapi.json")
                .handler(call -> call.response().sendFile("org/bramleylatch/admin/openapi.json"));
        web.get(BASE + "/budgets").handler(call -> guard(call, owner -> list(call)));
        web.post(BASE + "/budgets").handler(call -> guard(call, owner -> create(call)));
        web.get(BASE + "/budgets/:budget").handler(call -> guard(call, owner -> show(call)));
        web.post(BASE + "/budgets/:budget/top-ups")
                .handler(call -> guard(call, owner -> topUp(call)));
        web.post(BASE + "/holders/:holder/freeze")
                .handler(call -> guard(call, owner -> freeze(call)));
        web.post(BASE + "/budgets/:budget/holders/:holder/release")
                .handler(call -> guard(call, owner -> release(call, owner)));
        web.get(BASE + "/moves").handler(call -> guard(call, owner -> moves()));
        web.post(BASE + "/moves").handler(call -> guard(call, owner -> beginMove(call)));
        web.post(BASE + "/moves/:route/take-back")
                .handler(call -> guard(call, owner -> takeBack(call, owner)));
        web.get(BASE + "/sections").handler(call -> guard(call, owner -> sections(call)));
        web.put(BASE + "/sections/:section")
                .handler(call -> guard(call, owner -> putSection(call, owner)));
    }

    private void guard(RoutingContext call, Function<String, CompletableFuture<Answer>> handler) {
        CompletableFuture<Answer> answer;
        try {
            String owner = owner(call);
            String line = owner + " " + call.request().method() + " " + call.request().path();
            audit.accept(Event.of(EventKind.ADMIN_CALLED, owner, line));
            answer = handler.apply(owner);
        } catch (ResultException refused) {
            answer = CompletableFuture.failedFuture(refused);
        }
        answer.whenComplete((done, failure) -> finish(call, done, failure));
    }

    private static void finish(RoutingContext call, Answer answer, Throwable failure) {
        if (failure != null) {
            ResultCode code = ResultException.codeOf(failure);
            Problem.of(code, RunState.NOT_RUN, failure.getMessage()).send(call.response());
        } else {
            call.response()
                    .setStatusCode(answer.status)
                    .putHeader("content-type", "application/json")
                    .end(Json.write(answer.body));
        }
    }

    private String owner(RoutingContext call) {
        String header = call.request().getHeader("authorization");
        String key =
                header != null && header.startsWith(BEARER)
                        ? Digests.sha256(header.substring(BEARER.length()))
                        : "";
        return keys.stream()
                .filter(entry -> entry.keySha256().equals(key))
                .map(Settings.AdminKey::owner)
                .findFirst()
                .orElseThrow(() -> ResultException.of(ResultCode.UNAUTHENTICATED, "admin key"));
    }

    private CompletableFuture<Answer> list(RoutingContext call) {
        List<BudgetStatement> all =
                world.ledger()
                        .budgets()
                        .keys()
                        .sorted()
                        .flatMap(id -> world.ledger().statement(id).stream())
                        .toList();
        return done(OK, new Books(world.ledger().nextOffset(), all));
    }

    private CompletableFuture<Answer> create(RoutingContext call) {
        JsonNode body = Json.readTree(call.body().asString());
        BudgetId budget = BudgetId.of(text(body, "budget"));
        String workspace = text(body, "workspace");
        return proposer.apply(new LedgerRecord.BudgetCreated(budget, workspace))
                .thenApply(accepted -> new Answer(CREATED, statement(budget)));
    }

    private CompletableFuture<Answer> show(RoutingContext call) {
        return done(OK, statement(budget(call)));
    }

    private CompletableFuture<Answer> topUp(RoutingContext call) {
        BudgetId budget = budget(call);
        JsonNode tokens = Json.readTree(call.body().asString()).path("tokens");
        if (!tokens.isIntegralNumber() || tokens.asLong() <= 0) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, "tokens: a positive whole number is needed");
        }
        LedgerRecord record =
                new LedgerRecord.BudgetToppedUp(
                        budget, key(call).scopedTo(budget), tokens.asLong());
        return proposer.apply(record).thenApply(accepted -> new Answer(OK, statement(budget)));
    }

    private CompletableFuture<Answer> freeze(RoutingContext call) {
        Incarnation holder = Incarnation.of(call.pathParam("holder"));
        return proposer.apply(new LedgerRecord.HolderFrozen(holder))
                .thenApply(accepted -> new Answer(OK, holder));
    }

    private CompletableFuture<Answer> release(RoutingContext call, String owner) {
        BudgetId budget = budget(call);
        Incarnation holder = Incarnation.of(call.pathParam("holder"));
        return proposer.apply(new LedgerRecord.FrozenReleased(budget, holder, owner))
                .thenApply(accepted -> new Answer(OK, statement(budget)));
    }

    private CompletableFuture<Answer> moves() {
        return done(OK, world.ledger().moves().rows().toList());
    }

    private CompletableFuture<Answer> beginMove(RoutingContext call) {
        MoveSpec spec =
                MOVE_SCHEMA.read(
                        "move", call.body().asString(), MoveSpec.class, ResultCode.FIELD_INVALID);
        return proposer.apply(new LedgerRecord.MoveBegun(spec))
                .thenApply(accepted -> new Answer(CREATED, move(spec.route())));
    }

    private CompletableFuture<Answer> takeBack(RoutingContext call, String owner) {
        RouteName route = RouteName.of(call.pathParam("route"));
        return proposer.apply(new LedgerRecord.MoveTakenBack(route, owner))
                .thenApply(accepted -> new Answer(OK, move(route)));
    }

    private Object move(RouteName route) {
        return world.ledger().moves().find(route).orElseThrow();
    }

    private CompletableFuture<Answer> sections(RoutingContext call) {
        return done(OK, sections.document().sections());
    }

    private CompletableFuture<Answer> putSection(RoutingContext call, String owner) {
        String name = call.pathParam("section");
        SectionProposed proposal =
                new SectionProposed(
                        name,
                        expectedRevision(call),
                        owner,
                        key(call),
                        Json.readTree(call.body().asString()));
        return sections.propose(proposal)
                .thenApply(revision -> new Answer(OK, new Accepted(name, revision)));
    }

    private static long expectedRevision(RoutingContext call) {
        String text = call.request().getHeader("if-match");
        try {
            return text == null ? ConfigDocument.NO_REVISION : Long.parseLong(text);
        } catch (NumberFormatException notANumber) {
            throw ResultException.of(ResultCode.FIELD_INVALID, "if-match: a revision is needed");
        }
    }

    private static RequestKey key(RoutingContext call) {
        String text = call.request().getHeader(KEY_HEADER);
        return text == null
                ? RequestKey.of(System.currentTimeMillis(), Incarnations.randomBits())
                : RequestKey.parse(text)
                        .orElseThrow(
                                () ->
                                        ResultException.of(
                                                ResultCode.IDEMPOTENCY_KEY_MALFORMED,
                                                "send a version 7 UUID"));
    }

    private BudgetStatement statement(BudgetId budget) {
        return world.ledger()
                .statement(budget)
                .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_BUDGET, budget.value()));
    }

    private static BudgetId budget(RoutingContext call) {
        return BudgetId.of(call.pathParam("budget"));
    }

    private static String text(JsonNode body, String field) {
        return Optional.of(body.path(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .filter(text -> !text.isBlank())
                .orElseThrow(
                        () ->
                                ResultException.of(
                                        ResultCode.FIELD_INVALID, field + ": a string is needed"));
    }

    private static CompletableFuture<Answer> done(int status, Object body) {
        return CompletableFuture.completedFuture(new Answer(status, body));
    }

    private record Answer(int status, Object body) {}

    private record Accepted(String section, long revision) {}

    private record Books(long nextOffset, List<BudgetStatement> budgets) {}
}
