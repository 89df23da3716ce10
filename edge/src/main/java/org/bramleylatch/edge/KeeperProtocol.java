package org.bramleylatch.edge;

import io.vertx.core.buffer.Buffer;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;

/**
 * Defines the gRPC method between routers and keepers: a bidirectional stream of messages encoded
 * by {@link org.bramleylatch.wire.Cbor}. The first message of each side is a {@link Hello}.
 */
public final class KeeperProtocol {
    /** Names the gRPC service. */
    public static final ServiceName SERVICE = ServiceName.create("bramleylatch", "Keeper");

    private static final String METHOD = "Connect";

    private KeeperProtocol() {}

    /** Describes the method for the keeper, which serves it. */
    public static ServiceMethod<Buffer, Buffer> serverMethod() {
        return ServiceMethod.server(
                SERVICE, METHOD, GrpcMessageEncoder.IDENTITY, GrpcMessageDecoder.IDENTITY);
    }

    /** Describes the method for the router, which calls it. */
    public static ServiceMethod<Buffer, Buffer> clientMethod() {
        return ServiceMethod.client(
                SERVICE, METHOD, GrpcMessageEncoder.IDENTITY, GrpcMessageDecoder.IDENTITY);
    }
}
