package org.bramleylatch.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.wire.Json;

/**
 * Starts separate processes in two zones, sends them chats, bookings, a lookup and requests that
 * they must refuse, and stops them as planned. Prints the result of each check and exits with 0
 * only if all checks pass.
 */
public final class DemoMain {
    private static final long PAID_TOKENS = 200_000;
    private static final long SETTLE_TIMEOUT_MILLIS = 10_000;
    private static final int PROMPT_LINES = 60;
    private static final int MAX_ANSWER_TOKENS = 300;
    private static final String[] ROUTERS = {"router-langnau", "router-burgdorf"};

    private final Deployment deployment;
    private final List<String> failedChecks = new ArrayList<>();

    private DemoMain(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Runs the demo; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        try (Deployment deployment = Deployment.in(folder)) {
            DemoMain demo = new DemoMain(deployment);
            demo.start();
            demo.checkRequests();
            demo.checkPlannedStops();
            System.exit(demo.printResult());
        }
    }

    private void start() {
        deployment
                .startEngine("engine-langnau", "langnau", "v1")
                .startEngine("engine-burgdorf", "burgdorf", "v1")
                .startService("ordnerei-langnau", "langnau")
                .startPlatform();
        deployment
                .startAdmin("langnau")
                .startKeeper("keeper-langnau", "langnau")
                .startKeeper("keeper-burgdorf", "burgdorf")
                .startRouter("router-langnau", "langnau", "keeper-langnau")
                .startRouter("router-burgdorf", "burgdorf", "keeper-burgdorf");
        deployment.awaitReady("admin", "keeper-langnau", "keeper-burgdorf");
        deployment.publishAndTopUp(PAID_TOKENS);
        deployment.awaitReady(ROUTERS);
    }

    private void checkRequests() {
        long spentTokens = 0;
        for (String router : ROUTERS) {
            spentTokens += checkChat(router);
        }
        spentTokens += checkBooking();
        checkStockLookup();
        checkRefusals();
        checkAccount(spentTokens);
    }

    /** Returns the tokens that the chat used. */
    private long checkChat(String router) {
        ProcessClient caller = deployment.client(router).withKey(Deployment.MEMBER_KEY);
        ProcessClient.Reply reply =
                caller.post(
                        "/v1/chat/completions",
                        RequestBodies.chat(PROMPT_LINES, MAX_ANSWER_TOKENS, true));
        String[] events = reply.body().split("\n\n");
        JsonNode lastEvent = Json.readTree(events[events.length - 2].substring("data: ".length()));
        long totalTokens = lastEvent.path("usage").path("total_tokens").asLong();
        boolean isComplete =
                events[events.length - 1].equals("data: [DONE]")
                        && lastEvent.path("usage").path("completion_tokens").asLong()
                                == events.length - 2;
        recordCheck(
                "chat through " + router,
                reply.status() == 200 && isComplete,
                totalTokens + " tokens");
        return totalTokens;
    }

    /**
     * Books twice with the same idempotency key; returns the tokens that the route charges for one
     * booking.
     */
    private long checkBooking() {
        String idempotencyKey =
                RequestKey.of(System.currentTimeMillis(), RandomIds.bits()).toString();
        String order = "{\"bales\":12}";
        ProcessClient.Reply first =
                memberClient(ROUTERS[0], idempotencyKey).post("/bookings", order);
        ProcessClient.Reply repeated =
                memberClient(ROUTERS[1], idempotencyKey).post("/bookings", order);
        long count =
                Json.readTree(deployment.client("ordnerei-langnau").get("/bookings-count").body())
                        .path("count")
                        .asLong();
        recordCheck("booking", first.status() == 201, first.body());
        boolean ranOnce =
                count == 1 && repeated.status() == 201 && repeated.body().equals(first.body());
        recordCheck("same booking through another router", ranOnce, "ran " + count + " time(s)");
        return 5;
    }

    private void checkStockLookup() {
        ProcessClient.Reply reply =
                deployment.client(ROUTERS[0]).withKey(Deployment.MEMBER_KEY).get("/stock/sisal");
        recordCheck("stock lookup", reply.status() == 200, reply.body());
    }

    private void checkRefusals() {
        ProcessClient caller = deployment.client(ROUTERS[0]).withKey(Deployment.MEMBER_KEY);
        ProcessClient.Reply withoutIdempotencyKey = caller.post("/bookings", "{}");
        recordCheck(
                "booking without an idempotency key",
                withoutIdempotencyKey.status() == 400,
                withoutIdempotencyKey.body());
        ProcessClient.Reply unknownModel = caller.post("/v1/chat/completions", "{\"model\":\"x\"}");
        recordCheck("unknown model", unknownModel.status() == 404, unknownModel.body());
        ProcessClient.Reply unknownMemberKey =
                deployment.client(ROUTERS[0]).withKey("nobody").get("/stock/sisal");
        recordCheck(
                "unknown member key", unknownMemberKey.status() == 401, unknownMemberKey.body());
    }

    private void checkAccount(long spentTokens) {
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        String path = "/admin/v1/budgets/" + Deployment.BUDGET;
        Await.until(
                "usage is settled",
                SETTLE_TIMEOUT_MILLIS,
                () -> settledTokens(admin, path) == spentTokens);
        recordCheck("account", true, admin.get(path).body());
    }

    private void checkPlannedStops() {
        for (String name : List.of("router-langnau", "router-burgdorf")) {
            recordCheck("planned stop of " + name, isPlannedStop(deployment.stop(name)), "");
        }
        for (String name : List.of("keeper-langnau", "keeper-burgdorf")) {
            recordCheck("planned stop of " + name, isPlannedStop(deployment.stop(name)), "");
        }
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        String path = "/admin/v1/budgets/" + Deployment.BUDGET;
        Await.until(
                "grants are returned", SETTLE_TIMEOUT_MILLIS, () -> openTokens(admin, path) == 0);
        recordCheck("account after the stop", true, admin.get(path).body());
    }

    private int printResult() {
        System.out.println(
                failedChecks.isEmpty()
                        ? "demo: all checks passed"
                        : "demo: failed checks: " + failedChecks);
        return failedChecks.isEmpty() ? 0 : 1;
    }

    private ProcessClient memberClient(String router, String idempotencyKey) {
        return deployment
                .client(router)
                .withKey(Deployment.MEMBER_KEY)
                .withHeader("idempotency-key", idempotencyKey);
    }

    private static long settledTokens(ProcessClient admin, String path) {
        return Json.readTree(admin.get(path).body()).path("settledTokens").asLong();
    }

    private static long openTokens(ProcessClient admin, String path) {
        return Json.readTree(admin.get(path).body()).path("openTokens").asLong();
    }

    private static boolean isPlannedStop(int exitCode) {
        int sigtermExitCode = 128 + 15;
        return exitCode == 0 || exitCode == sigtermExitCode;
    }

    private void recordCheck(String description, boolean passed, String detail) {
        System.out.println((passed ? "ok     " : "FAILED ") + description + "  " + detail);
        if (!passed) {
            failedChecks.add(description);
        }
    }
}
