package org.bramleylatch.keeper;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
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

/**
 * Queries endpoints, each time over a new connection, for the tokens that the attempts of lost
 * routers used.
 */
final class AttemptUsageClient {
    private static final long VM_LIST_INTERVAL_MILLIS = 1_000;
    private static final long QUERY_TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final Consumer<KeeperInput> inbox;
    private final WebClient client;
    private Optional<Map<EndpointId, Address>> endpointAddresses = Optional.empty();

    AttemptUsageClient(Vertx vertx, PlatformClient platform, Consumer<KeeperInput> inbox) {
        this.vertx = vertx;
        this.platform = platform;
        this.inbox = inbox;
        // An answer doesn't name its attempt.
        this.client = WebClient.create(vertx, new WebClientOptions().setKeepAlive(false));
    }

    /** Starts to poll the platform's list of endpoint VMs. */
    void start() {
        vertx.setPeriodic(
                0,
                VM_LIST_INTERVAL_MILLIS,
                id -> platform.fetchVms().thenAccept(this::updateAddresses));
    }

    /**
     * Queries the endpoint and reports its answer. An endpoint that the platform no longer lists is
     * reported with zero tokens, as its usage no longer counts. Until the first list has arrived,
     * nothing is reported.
     */
    void queryUsage(KeeperOutput.QueryAttemptUsage query) {
        if (endpointAddresses.isEmpty()) {
            return;
        }
        Optional<Address> address =
                endpointAddresses.map(addresses -> addresses.get(query.endpoint()));
        if (address.isEmpty()) {
            report(query, OptionalLong.of(0));
            return;
        }
        client.get(address.get().port(), address.get().ip(), "/attempts/" + query.attempt())
                .timeout(QUERY_TIMEOUT_MILLIS)
                .send()
                .onSuccess(answer -> report(query, usedTokens(answer)))
                .onFailure(failure -> report(query, OptionalLong.empty()));
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

    private void report(KeeperOutput.QueryAttemptUsage query, OptionalLong tokens) {
        inbox.accept(new KeeperInput.AttemptUsageReported(query.key(), tokens));
    }

    private void updateAddresses(VmList list) {
        endpointAddresses =
                Optional.of(
                        list.vms().stream()
                                .collect(
                                        Collectors.toMap(
                                                VmList.Vm::id,
                                                vm -> new Address(vm.ip(), vm.port()))));
    }

    /**
     * Holds an endpoint's answer about one attempt.
     *
     * @param running true while the attempt has not ended
     * @param tokens the tokens used so far
     */
    record AttemptUsage(boolean running, long tokens) {}
}
