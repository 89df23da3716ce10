package org.bramleylatch.keeper;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/** Asks endpoints what the attempts of lost routers used. */
final class EndpointAsker {
    private static final long LIST_EVERY_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final Consumer<KeeperInput> world;
    private final WebClient client;
    private Optional<Map<EndpointId, Address>> listed = Optional.empty();

    EndpointAsker(Vertx vertx, PlatformClient platform, Consumer<KeeperInput> world) {
        this.vertx = vertx;
        this.platform = platform;
        this.world = world;
        this.client = WebClient.create(vertx);
    }

    /** Starts to read the platform's list. */
    void begin() {
        vertx.setPeriodic(0, LIST_EVERY_MILLIS, id -> platform.vms().thenAccept(this::list));
    }

    /** Asks the endpoint; one that the platform no longer lists has used nothing that counts. */
    void ask(KeeperOutput.AskEndpoint ask) {
        if (listed.isEmpty()) {
            return;
        }
        Optional<Address> address = listed.map(list -> list.get(ask.endpoint()));
        if (address.isEmpty()) {
            report(ask, OptionalLong.of(0));
            return;
        }
        client.get(address.get().port(), address.get().ip(), "/attempts/" + ask.attempt())
                .timeout(TIMEOUT_MILLIS)
                .send()
                .onSuccess(answer -> report(ask, usedTokens(answer)))
                .onFailure(failure -> report(ask, OptionalLong.empty()));
    }

    private static OptionalLong usedTokens(HttpResponse<Buffer> answer) {
        if (answer.statusCode() == NOT_FOUND) {
            return OptionalLong.of(0);
        }
        if (answer.statusCode() != OK) {
            return OptionalLong.empty();
        }
        AttemptUsage usage = Json.read(answer.bodyAsString(), AttemptUsage.class);
        return usage.running() ? OptionalLong.empty() : OptionalLong.of(usage.tokens());
    }

    private void report(KeeperOutput.AskEndpoint ask, OptionalLong tokens) {
        world.accept(new KeeperInput.EndpointReported(ask.key(), tokens));
    }

    private void list(VmList list) {
        listed =
                Optional.of(
                        list.vms().stream()
                                .collect(
                                        Collectors.toMap(
                                                VmList.Vm::id,
                                                vm -> new Address(vm.ip(), vm.port()))));
    }

    /** Is an endpoint's answer: whether the attempt runs, and what it used so far. */
    record AttemptUsage(boolean running, long tokens) {}
}
