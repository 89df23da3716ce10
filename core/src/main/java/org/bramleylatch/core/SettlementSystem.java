package org.bramleylatch.core;

import java.util.Optional;

/** Sends usage that no keeper holds to the holder of its grant or another reachable keeper. */
final class SettlementSystem implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.settlements().size() == 0 || world.keepers().isEmpty()) {
            return;
        }
        world.settlements()
                .where(row -> row.keeper().isEmpty())
                .forEach(row -> sendToKeeper(world, row));
    }

    /** Sends the usage, unless no connected keeper answers now. */
    private static void sendToKeeper(RouterWorld world, SettlementRow row) {
        Optional.of(row.grant().holder())
                .filter(world.keepers()::contains)
                .or(() -> world.keeperOf(row.grant().budget()))
                .ifPresent(keeper -> sendToKeeper(world, row, keeper));
    }

    private static void sendToKeeper(RouterWorld world, SettlementRow row, Incarnation keeper) {
        world.settlements().put(row.usage().key(), row.withKeeper(keeper));
        world.send(
                new RouterOutput.ToKeeper(
                        keeper,
                        new KeeperInput.UsageSubmitted(world.self(), row.grant(), row.usage())));
    }
}
