package org.bramleylatch.core;

/**
 * Removes the endpoints that are no longer listed and run no request of this router. It runs after
 * the systems that end attempts and judge them by the rows of their endpoints.
 */
final class WithdrawalSystem implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        world.endpoints().where(WithdrawalSystem::isGone).forEach(row -> remove(world, row.id()));
    }

    private static boolean isGone(EndpointRow row) {
        return row.leavingSignals().withdrawn() && row.load().outstanding() == 0;
    }

    private static void remove(RouterWorld world, EndpointId id) {
        world.endpoints().remove(id);
        world.endpointPauses().remove(id);
    }
}
