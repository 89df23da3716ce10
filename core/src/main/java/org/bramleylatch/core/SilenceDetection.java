package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;
import org.bramleylatch.core.RouterInput.PathProbed;

/**
 * Handles attempts whose endpoint is silent, on routes that wait for silent endpoints. A sound
 * endpoint may be silent for seconds, so silence alone ends no attempt: a new connection that is
 * refused or times out shows that the endpoint is dead, and a connection that stays silent while
 * new ones are accepted is given up when the caller would otherwise leave without an answer.
 */
record SilenceDetection(RouterWorld world, RouterLimits limits, long nowMillis) {

    /**
     * Checks a silent attempt, and sets the time of its next check.
     *
     * @param noticeAfterMillis how long a silence is ignored
     */
    void check(AttemptRow attempt, RequestRow request, long noticeAfterMillis) {
        SilenceLimit limit = SilenceLimit.of(request, attempt, noticeAfterMillis);
        if (limit.allowsRetry(nowMillis) && canStartElsewhere(attempt, request)) {
            fail(attempt, AttemptFailed.Cause.SILENT, "another endpoint can still answer in time");
            return;
        }
        probeWhenDue(attempt, request, limit);
        world.timers()
                .set(
                        new RouterTimer.AttemptSilenceCheck(attempt.id()),
                        limit.nextCheckMillis(nowMillis, noticeAfterMillis));
    }

    /** Fails the attempts at an endpoint that a probe shows to be dead, and confirms crashes. */
    boolean applyProbe(EndpointProbed probed) {
        EndpointId endpoint = probed.endpoint();
        EndpointProbes probes = new EndpointProbes(world, nowMillis);
        Optional<EndpointContact> before = probes.contactOf(endpoint);
        long sentMillis = before.map(EndpointContact::probedMillis).orElse(nowMillis);
        long unreachableMillis = before.map(EndpointContact::unreachableMillis).orElse(0L);
        for (AttemptRow attempt : silentAttempts(endpoint, sentMillis)) {
            boolean counts =
                    countsFor(probed, sentMillis)
                            || evidence().counts(attempt.lastProgressMillis());
            if (counts
                    && attempt.via().isEmpty()
                    && showsDeath(probed, unreachableMillis, attempt)) {
                failDead(attempt, probed);
            }
        }
        CrashDetection crashes = new CrashDetection(world, nowMillis);
        crashes.applyProbe(probed, sentMillis);
        probes.recordOutcome(
                countsFor(probed, sentMillis)
                        ? probed
                        : new EndpointProbed(endpoint, Outcome.NOT_TRIED, probed.detail()));
        recordPath(probed, sentMillis);
        if (crashes.isUnconfirmed(endpoint)) {
            probes.probe(endpoint);
        } else if (probed.outcome() == Outcome.UNREACHABLE
                && !silentAttempts(endpoint, sentMillis).isEmpty()) {
            probes.probeSilent(endpoint);
        }
        return true;
    }

    /** Fails the silent attempts that take a path on which the endpoint can't be reached. */
    boolean applyPathProbe(PathProbed probed) {
        boolean connected = new EndpointPaths(world, nowMillis).applyProbe(probed);
        if (!connected) {
            silentAttempts(probed.endpoint(), nowMillis).stream()
                    .filter(row -> row.via().filter(probed.peer()::equals).isPresent())
                    .filter(row -> isNoticed(row))
                    .filter(
                            row ->
                                    probed.outcome() == PathProbed.Outcome.ENDPOINT_FAILED
                                            || evidence().counts(row.lastProgressMillis()))
                    .forEach(
                            row ->
                                    fail(
                                            row,
                                            AttemptFailed.Cause.SILENT,
                                            "path=" + probed.outcome() + " " + probed.detail()));
        }
        return connected;
    }

    private boolean isNoticed(AttemptRow attempt) {
        return world.silences()
                .find(attempt.id())
                .filter(row -> row.sinceMillis() == attempt.lastProgressMillis())
                .isPresent();
    }

    private void recordPath(EndpointProbed probed, long sentMillis) {
        EndpointPaths paths = new EndpointPaths(world, nowMillis);
        if (probed.outcome() == Outcome.CONNECTED) {
            paths.recordDirectContact(probed.endpoint());
        } else if (probed.outcome() != Outcome.NOT_TRIED) {
            paths.recordDirectFailure(probed.endpoint(), countsFor(probed, sentMillis));
        }
    }

    private TimeoutEvidence evidence() {
        return new TimeoutEvidence(world, nowMillis);
    }

    /** Returns false if the probe timed out and this VM's own lateness may be the cause. */
    private boolean countsFor(EndpointProbed probed, long sentMillis) {
        return probed.outcome() != Outcome.UNREACHABLE || evidence().counts(sentMillis);
    }

    /**
     * Returns true if the probe leaves the attempt no hope. An endpoint that is leaving may close
     * its port before it has finished its requests. A path that is gone may come back, so an
     * attempt that can't be made elsewhere ends only once two probes in a row found none.
     *
     * @param unreachableMillis when the probe before was sent if it found no path; 0 if it did not
     */
    private boolean showsDeath(EndpointProbed probed, long unreachableMillis, AttemptRow attempt) {
        return switch (probed.outcome()) {
            case CONNECTED, NOT_TRIED -> false;
            case REFUSED -> !isLeaving(probed.endpoint());
            case UNREACHABLE ->
                    attempt.lastProgressMillis() < unreachableMillis
                            || world.requests()
                                    .find(attempt.request())
                                    .filter(request -> canStartElsewhere(attempt, request))
                                    .isPresent();
        };
    }

    private boolean isLeaving(EndpointId endpoint) {
        return world.endpoints()
                .find(endpoint)
                .filter(row -> row.leavingSignals().isLeaving())
                .isPresent();
    }

    private List<AttemptRow> silentAttempts(EndpointId endpoint, long sinceMillis) {
        return world.attempts()
                .where(
                        row ->
                                row.endpoint().equals(endpoint)
                                        && row.lastProgressMillis() < sinceMillis
                                        && !row.paused()
                                        && waitsForSilentEndpoint(row));
    }

    private boolean waitsForSilentEndpoint(AttemptRow attempt) {
        return world.requests()
                .find(attempt.request())
                .filter(row -> row.spec().route().options().waitsForSilentEndpoint())
                .isPresent();
    }

    private void failDead(AttemptRow attempt, EndpointProbed probed) {
        AttemptFailed.Cause cause =
                probed.outcome() == Outcome.REFUSED
                        ? AttemptFailed.Cause.CONNECTION_LOST
                        : AttemptFailed.Cause.SILENT;
        fail(attempt, cause, "probe=" + probed.outcome() + " " + probed.detail());
    }

    private void fail(AttemptRow attempt, AttemptFailed.Cause cause, String rule) {
        String detail =
                "silentMillis=" + (nowMillis - attempt.lastProgressMillis()) + " rule: " + rule;
        new AnswerRelay(world, limits, nowMillis)
                .failAttempt(new AttemptFailed(attempt.id(), RunState.UNKNOWN, detail, cause));
    }

    /** Returns true if the request may be retried and an endpoint would take it at once. */
    private boolean canStartElsewhere(AttemptRow attempt, RequestRow request) {
        RunState runState = request.deliveredTokens() > 0 ? RunState.RAN : RunState.UNKNOWN;
        RequestRow failed = request.attemptFailed(attempt.endpoint(), runState, true);
        return Retries.allows(world, limits, failed, true, nowMillis)
                && PlacementSystem.hasPlaceElsewhere(world, failed, attempt.endpoint(), nowMillis);
    }

    /** Probes the endpoint once its silence is noticed, and again each time it has doubled. */
    private void probeWhenDue(AttemptRow attempt, RequestRow request, SilenceLimit limit) {
        Optional<SilenceRow> known = world.silences().find(attempt.id());
        Optional<SilenceRow> same =
                known.filter(row -> row.sinceMillis() == attempt.lastProgressMillis());
        if (same.filter(row -> nowMillis < row.nextProbeMillis()).isPresent()) {
            return;
        }
        long silentMillis = nowMillis - attempt.lastProgressMillis();
        String probe = probe(attempt);
        long delayMillis = Math.max(silentMillis, EndpointContact.MIN_PROBE_INTERVAL_MILLIS);
        world.silences()
                .put(
                        attempt.id(),
                        new SilenceRow(attempt.lastProgressMillis(), nowMillis + delayMillis));
        if (same.isEmpty()) {
            note(attempt, limit, probe, request);
        }
        boolean counts = evidence().counts(attempt.lastProgressMillis());
        if (counts && known.isEmpty() && attempt.firstTokenLatencyMillis().isEmpty()) {
            world.endpoints().update(attempt.endpoint(), row -> row.overloaded(nowMillis));
        }
    }

    /** Probes the endpoint on the path of the attempt. */
    private String probe(AttemptRow attempt) {
        if (attempt.via().isEmpty()) {
            return new EndpointProbes(world, nowMillis).probeSilent(attempt.endpoint());
        }
        String peer = attempt.via().get();
        world.send(new RouterOutput.ProbePath(attempt.endpoint(), peer));
        return "sent via " + peer;
    }

    private void note(AttemptRow attempt, SilenceLimit limit, String probe, RequestRow request) {
        world.note(
                EventKind.ATTEMPT_SILENT,
                attempt.id(),
                attempt.endpoint()
                        + " silentMillis="
                        + (nowMillis - attempt.lastProgressMillis())
                        + " position="
                        + attempt.nextPosition()
                        + " probe="
                        + probe
                        + " repeatable="
                        + request.spec().route().repeatable()
                        + " retryInMillis="
                        + (limit.retryMillis() - nowMillis)
                        + " callerLeavesInMillis="
                        + (limit.endMillis() - nowMillis)
                        + (evidence().counts(attempt.lastProgressMillis())
                                ? ""
                                : " counted=false " + world.load())
                        + " key="
                        + request.spec().key());
    }
}
