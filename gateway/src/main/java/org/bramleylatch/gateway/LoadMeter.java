package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.bramleylatch.core.VmLoad;
import org.bramleylatch.edge.LinkUse;

/** Measures the load of the VM over the last second, each time the event loop's lag is measured. */
final class LoadMeter implements LongConsumer {
    /** The store is read by all VMs at once, so that no other VM would have room. */
    private static final Set<String> REQUEST_USES =
            Set.of(LinkUse.CALLERS, LinkUse.ENDPOINTS, LinkUse.RELAY);

    /** A longer pause is one of the whole process and says nothing about the load before. */
    private static final long MAX_LATE_MILLIS = 200;

    private static final double MEAN_MILLIS = 1_000;
    private static final double PERMILLE = 1_000;

    private final InstantSource clock;
    private final long linkBytesPerSecond;
    private final Supplier<List<LinkUse>> uses;
    private final Consumer<VmLoad> loads;
    private long measuredMillis;
    private long readBytes;
    private long writtenBytes;
    private double readPermille;
    private double writtenPermille;
    private double lateMillis;

    /**
     * Creates a meter.
     *
     * @param linkBytesPerSecond what the link carries in each direction; 0 if that is not limited
     * @param uses supplies what was moved since the process started
     * @param loads receives each measurement
     */
    LoadMeter(
            InstantSource clock,
            long linkBytesPerSecond,
            Supplier<List<LinkUse>> uses,
            Consumer<VmLoad> loads) {
        this.clock = clock;
        this.linkBytesPerSecond = linkBytesPerSecond;
        this.uses = uses;
        this.loads = loads;
        this.measuredMillis = clock.millis();
    }

    @Override
    public void accept(long newestLateMillis) {
        long elapsedMillis = clock.millis() - measuredMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        measuredMillis += elapsedMillis;
        long countedLateMillis = Math.min(newestLateMillis, MAX_LATE_MILLIS);
        long countedMillis = elapsedMillis - newestLateMillis + countedLateMillis;
        double weight = 1 - Math.exp(-countedMillis / MEAN_MILLIS);
        lateMillis += weight * (countedLateMillis - lateMillis);
        measureLink(elapsedMillis, weight);
        loads.accept(new VmLoad((int) readPermille, (int) writtenPermille, (long) lateMillis));
    }

    private void measureLink(long elapsedMillis, double weight) {
        long readNow = requestUses().mapToLong(LinkUse::readBytes).sum();
        long writtenNow = requestUses().mapToLong(LinkUse::writtenBytes).sum();
        readPermille += weight * (permille(readNow - readBytes, elapsedMillis) - readPermille);
        writtenPermille +=
                weight * (permille(writtenNow - writtenBytes, elapsedMillis) - writtenPermille);
        readBytes = readNow;
        writtenBytes = writtenNow;
    }

    private Stream<LinkUse> requestUses() {
        return uses.get().stream().filter(use -> REQUEST_USES.contains(use.use()));
    }

    private double permille(long bytes, long elapsedMillis) {
        return linkBytesPerSecond == 0
                ? 0
                : PERMILLE * bytes * MEAN_MILLIS / elapsedMillis / linkBytesPerSecond;
    }
}
