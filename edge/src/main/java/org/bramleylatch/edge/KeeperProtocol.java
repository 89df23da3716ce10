package org.bramleylatch.edge;

import io.vertx.core.buffer.Buffer;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;

/**
 * Names the gRPC method between routers and keepers: one stream each way, of compact messages. The
 * first message of each side is a hello.
 */
public final class KeeperProtocol {
    /** The name of the service. */
    public static final ServiceName SERVICE = ServiceName.create("bramleylatch", "Keeper");

    private static final String METHOD = "Connect";

    private KeeperProtocol() {}

    /** Returns the method as the keeper serves it. */
    public static ServiceMethod<Buffer, Buffer> server() {
        return ServiceMethod.server(
                SERVICE, METHOD, GrpcMessageEncoder.IDENTITY, GrpcMessageDecoder.IDENTITY);
    }

    /** Returns the method as the router calls it. */
    public static ServiceMethod<Buffer, Buffer> client() {
        return ServiceMethod.client(
                SERVICE, METHOD, GrpcMessageEncoder.IDENTITY, GrpcMessageDecoder.IDENTITY);
    }
}
