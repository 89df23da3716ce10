package org.bramleylatch.core;

import java.util.Optional;

/** Gives usage that no keeper holds to one that can be reached. */
final class SettlingSystem implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.settlements().size() == 0 || world.keepers().isEmpty()) {
            return;
        }
        world.settlements().where(row -> row.keeper().isEmpty()).forEach(row -> give(world, row));
    }

    private static void give(RouterWorld world, SettlementRow row) {
        Optional<Incarnation> holder =
                Optional.of(row.grant().holder()).filter(world.keepers()::contains);
        Incarnation keeper = holder.or(() -> world.keeperOf(row.grant().budget())).orElseThrow();
        world.settlements().put(row.usage().key(), row.givenTo(keeper));
        world.send(
                new RouterOutput.ToKeeper(
                        keeper,
                        new KeeperInput.UsageGiven(world.self(), row.grant(), row.usage())));
    }
}
