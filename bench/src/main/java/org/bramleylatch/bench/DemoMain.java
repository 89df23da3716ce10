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
 * Runs the whole path once, as separate processes in two zones, and prints what came of it. Ends
 * with 0 only if every outcome was the right one.
 */
public final class DemoMain {
    private static final long PAID_TOKENS = 200_000;
    private static final long SETTLE_MILLIS = 10_000;
    private static final int DOSSIER_LINES = 60;
    private static final int MOST_TOKENS = 300;
    private static final String[] ROUTERS = {"router-langnau", "router-burgdorf"};

    private final Deployment deployment;
    private final List<String> wrong = new ArrayList<>();

    private DemoMain(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Runs the demo; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        try (Deployment deployment = Deployment.in(folder)) {
            DemoMain demo = new DemoMain(deployment);
            demo.start();
            demo.run();
            demo.stop();
            System.exit(demo.report());
        }
    }

    private void start() {
        deployment
                .withEngine("engine-langnau", "langnau", "v1")
                .withEngine("engine-burgdorf", "burgdorf", "v1")
                .withService("ordnerei-langnau", "langnau")
                .withPlatform();
        deployment
                .withAdmin("langnau")
                .withKeeper("keeper-langnau", "langnau")
                .withKeeper("keeper-burgdorf", "burgdorf")
                .withRouter("router-langnau", "langnau", "keeper-langnau")
                .withRouter("router-burgdorf", "burgdorf", "keeper-burgdorf");
        deployment.awaitReady("admin", "keeper-langnau", "keeper-burgdorf");
        deployment.publish(PAID_TOKENS);
        deployment.awaitReady(ROUTERS);
    }

    private void run() {
        long spent = 0;
        for (String router : ROUTERS) {
            spent += chat(router);
        }
        spent += book();
        stock();
        refuse();
        account(spent);
    }

    private long chat(String router) {
        Caller caller = deployment.caller(router).withKey(Deployment.MEMBER_KEY);
        Caller.Reply reply =
                caller.post(
                        "/v1/chat/completions", Documents.chat(DOSSIER_LINES, MOST_TOKENS, true));
        String[] events = reply.body().split("\n\n");
        JsonNode last = Json.readTree(events[events.length - 2].substring("data: ".length()));
        long total = last.path("usage").path("total_tokens").asLong();
        boolean whole =
                events[events.length - 1].equals("data: [DONE]")
                        && last.path("usage").path("completion_tokens").asLong()
                                == events.length - 2;
        tell("chat through " + router, reply.status() == 200 && whole, total + " tokens");
        return total;
    }

    private long book() {
        String key = RequestKey.of(System.currentTimeMillis(), RandomIds.bits()).toString();
        String order = "{\"bales\":12}";
        Caller.Reply first = member(ROUTERS[0], key).post("/bookings", order);
        Caller.Reply again = member(ROUTERS[1], key).post("/bookings", order);
        long count =
                Json.readTree(deployment.caller("ordnerei-langnau").get("/bookings-count").body())
                        .path("count")
                        .asLong();
        tell("booking", first.status() == 201, first.body());
        boolean once = count == 1 && again.status() == 201 && again.body().equals(first.body());
        tell("same booking through another router", once, "ran " + count + " time(s)");
        return 5;
    }

    private void stock() {
        Caller.Reply reply =
                deployment.caller(ROUTERS[0]).withKey(Deployment.MEMBER_KEY).get("/stock/sisal");
        tell("stock lookup", reply.status() == 200, reply.body());
    }

    private void refuse() {
        Caller caller = deployment.caller(ROUTERS[0]).withKey(Deployment.MEMBER_KEY);
        Caller.Reply keyless = caller.post("/bookings", "{}");
        tell("booking without a key", keyless.status() == 400, keyless.body());
        Caller.Reply model = caller.post("/v1/chat/completions", "{\"model\":\"x\"}");
        tell("unknown model", model.status() == 404, model.body());
        Caller.Reply stranger = deployment.caller(ROUTERS[0]).withKey("nobody").get("/stock/sisal");
        tell("unknown key", stranger.status() == 401, stranger.body());
    }

    private void account(long spent) {
        Caller admin = deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
        String path = "/admin/v1/budgets/" + Deployment.BUDGET;
        Await.until("usage is settled", SETTLE_MILLIS, () -> settled(admin, path) == spent);
        tell("account", true, admin.get(path).body());
    }

    private void stop() {
        for (String name : List.of("router-langnau", "router-burgdorf")) {
            tell("planned stop of " + name, isPlanned(deployment.stop(name)), "");
        }
        for (String name : List.of("keeper-langnau", "keeper-burgdorf")) {
            tell("planned stop of " + name, isPlanned(deployment.stop(name)), "");
        }
        Caller admin = deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
        String path = "/admin/v1/budgets/" + Deployment.BUDGET;
        Await.until("grants are returned", SETTLE_MILLIS, () -> open(admin, path) == 0);
        tell("account after the stop", true, admin.get(path).body());
    }

    private int report() {
        System.out.println(wrong.isEmpty() ? "demo: all as expected" : "demo: wrong: " + wrong);
        return wrong.isEmpty() ? 0 : 1;
    }

    private Caller member(String router, String key) {
        return deployment
                .caller(router)
                .withKey(Deployment.MEMBER_KEY)
                .with("idempotency-key", key);
    }

    private static long settled(Caller admin, String path) {
        return Json.readTree(admin.get(path).body()).path("settledTokens").asLong();
    }

    private static long open(Caller admin, String path) {
        return Json.readTree(admin.get(path).body()).path("openTokens").asLong();
    }

    private static boolean isPlanned(int exitCode) {
        int terminated = 128 + 15;
        return exitCode == 0 || exitCode == terminated;
    }

    private void tell(String what, boolean right, String detail) {
        System.out.println((right ? "ok     " : "WRONG  ") + what + "  " + detail);
        if (!right) {
            wrong.add(what);
        }
    }
}
