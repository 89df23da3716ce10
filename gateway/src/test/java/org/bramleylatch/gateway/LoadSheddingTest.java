package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.edge.LinkUse;
import org.junit.jupiter.api.Test;

/** Answers the pattern "the callers of one workspace come to one VM", which gets late. */
class LoadSheddingTest {
    private static final int TICK_MILLIS = 100;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long LINK_BYTES_PER_SECOND = 875_000;
    private static final int VMS_OF_ZONE = 24;

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final InstantSource clock = () -> Instant.ofEpochMilli(nowMillis.get());
    private final AtomicLong lagMillis = new AtomicLong();
    private final AtomicLong vmsOfZone = new AtomicLong(VMS_OF_ZONE);
    private final List<Event> events = new ArrayList<>();
    private final LoadShedding shedding =
            new LoadShedding(clock, "front-1", lagMillis::get, vmsOfZone::get, events::add);
    private double requestsDue;
    private LinkUse callers = new LinkUse("callers", 0, 0);
    private LinkUse store = new LinkUse("store", 0, 0);
    private final LoadMeter meter =
            new LoadMeter(clock, LINK_BYTES_PER_SECOND, () -> List.of(callers, store), shedding);

    /** Guards against SHORT: 0.09 of a workspace's requests were served, 0.71 of all. */
    @Test
    void aVmWhoseLinkIsFullWithBodiesAsksForNoNewConnections() {
        run(3, 40, 800_000, 0, 0);
        assertThat(shedding.isInRotation()).isFalse();
        assertThat(events).extracting(Event::kind).containsExactly(EventKind.ROTATION_LEFT);
    }

    @Test
    void aVmWhoseEventLoopIsLateAsksForNoNewConnections() {
        run(2, 40, 0, 0, 250);
        assertThat(shedding.isInRotation()).isFalse();
    }

    @Test
    void whatIsReadFromTheStoreIsNoLoadOfRequests() {
        run(5, 40, 0, 800_000, 0);
        assertThat(shedding.isInRotation()).isTrue();
    }

    @Test
    void aVmThatIsLateWithFewRequestsStaysInRotationAsTheCauseLiesElsewhere() {
        run(5, 5, 0, 0, 250);
        assertThat(shedding.isInRotation()).isTrue();
        assertThat(takenOnOf(50)).isEqualTo(50);
    }

    @Test
    void aSinglePauseOfTheRuntimeChangesNothing() {
        run(1, 40, 0, 0, 0);
        tick(300, 40, 0, 0, 200);
        run(3, 40, 0, 0, 0);
        assertThat(events).isEmpty();
    }

    /** Guards against a VM that leaves the rotation for seconds after its process was suspended. */
    @Test
    void aProcessThatWasSuspendedStaysInRotation() {
        run(1, 40, 0, 0, 0);
        tick(5_000, 40, 0, 0, 4_900);
        run(3, 40, 0, 0, 0);
        assertThat(events).isEmpty();
    }

    @Test
    void aVmThatIsCalmAgainReturnsOnlyAfterNewConnectionsHaveMoved() {
        run(2, 40, 0, 0, 250);
        run(2, 1, 0, 0, 0);
        assertThat(shedding.isInRotation()).isFalse();
        run(4, 1, 0, 0, 0);
        assertThat(shedding.isInRotation()).isTrue();
    }

    @Test
    void aVmThatIsOutOfRotationRefusesOnlyWhatWouldBeLate() {
        run(2, 80, 0, 0, 250);
        lagMillis.set(150);
        assertThat(takenOnOf(50)).isZero();
        lagMillis.set(50);
        assertThat(takenOnOf(50)).isEqualTo(50);
    }

    @Test
    void aVmThatRefusesRequestsStaysOutOfRotationAlthoughItIsCalmInTheMean() {
        run(2, 80, 0, 0, 250);
        lagMillis.set(150);
        run(6, 80, 0, 0, 0);
        assertThat(shedding.isInRotation()).isFalse();
    }

    @Test
    void callersThatAreRefusedTogetherComeBackOnceNewConnectionsHaveMovedAndSpreadOverTime() {
        run(2, 80, 0, 0, 250);
        lagMillis.set(250);
        List<Long> early = retryMillis(100);
        assertThat(early).allMatch(millis -> millis >= 50 && millis <= 2_550);
        assertThat(early.stream().distinct().count()).isGreaterThan(20);
        run(3, 80, 0, 0, 250);
        assertThat(retryMillis(100)).allMatch(millis -> millis >= 50 && millis <= 550);
    }

    @Test
    void aVmOfASmallZoneStaysInRotation() {
        vmsOfZone.set(3);
        run(5, 80, 870_000, 0, 400);
        assertThat(shedding.isInRotation()).isTrue();
        lagMillis.set(400);
        assertThat(takenOnOf(1_000)).isEqualTo(1_000);
    }

    private int takenOnOf(int requests) {
        return (int)
                IntStream.range(0, requests).filter(request -> shedding.takeOn().isEmpty()).count();
    }

    private List<Long> retryMillis(int requests) {
        return Stream.generate(shedding::takeOn).limit(requests).flatMap(Optional::stream).toList();
    }

    /** Plays seconds with a load, and returns how many requests were taken on. */
    private int run(
            int seconds,
            int requestsPerSecond,
            long callerBytesPerSecond,
            long storeBytesPerSecond,
            long lateMillis) {
        long tickMillis = TICK_MILLIS + lateMillis;
        return LongStream.range(0, seconds * MILLIS_PER_SECOND / tickMillis)
                .mapToInt(
                        tick ->
                                tick(
                                        tickMillis,
                                        requestsPerSecond,
                                        callerBytesPerSecond,
                                        storeBytesPerSecond,
                                        lateMillis))
                .sum();
    }

    /** Lets the requests of a tick arrive one after the other, as their limit refills meanwhile. */
    private int tick(
            long elapsedMillis,
            int requestsPerSecond,
            long callerBytesPerSecond,
            long storeBytesPerSecond,
            long lateMillis) {
        int takenOn = 0;
        for (long millis = 0; millis < elapsedMillis; millis++) {
            nowMillis.incrementAndGet();
            requestsDue += (double) requestsPerSecond / MILLIS_PER_SECOND;
            if (requestsDue >= 1) {
                requestsDue--;
                takenOn += takenOnOf(1);
            }
        }
        callers = more(callers, callerBytesPerSecond, elapsedMillis);
        store = more(store, storeBytesPerSecond, elapsedMillis);
        meter.accept(lateMillis);
        return takenOn;
    }

    private static LinkUse more(LinkUse use, long bytesPerSecond, long elapsedMillis) {
        return new LinkUse(
                use.use(),
                use.readBytes() + bytesPerSecond * elapsedMillis / MILLIS_PER_SECOND,
                use.writtenBytes());
    }
}
