package org.bramleylatch.core;

import java.util.Optional;

/** Asks for probes of endpoints, at most one at a time for each of them. */
record EndpointProbes(RouterWorld world, long nowMillis) {

    /** Probes the endpoint, unless a probe of it is under way. */
    void probe(EndpointId endpoint) {
        if (contactOf(endpoint).filter(found -> found.isProbeUnderWay(nowMillis)).isEmpty()) {
            send(endpoint);
        }
    }

    /**
     * Probes an endpoint at which an attempt is silent, unless its state is known well enough.
     *
     * @return what was done, for the log
     */
    String probeSilent(EndpointId endpoint) {
        Optional<EndpointContact> found = contactOf(endpoint);
        if (found.isEmpty()) {
            return "none, endpoint unknown";
        }
        EndpointContact contact = found.get();
        if (contact.isFresh(nowMillis)) {
            return "none, heard from " + (nowMillis - contact.heardMillis()) + " ms ago";
        }
        if (contact.isProbeUnderWay(nowMillis) || contact.isProbeRecent(nowMillis)) {
            return "none, last one " + (nowMillis - contact.probedMillis()) + " ms ago";
        }
        send(endpoint);
        return "sent";
    }

    /** Records that a part of an answer arrived. */
    void recordAnswer(EndpointId endpoint) {
        update(endpoint, contactOf(endpoint).map(contact -> contact.heard(nowMillis)));
    }

    /** Records the outcome of the last probe; another one may be sent from then on. */
    void recordOutcome(RouterInput.EndpointProbed probed) {
        update(
                probed.endpoint(),
                contactOf(probed.endpoint())
                        .map(contact -> contact.probeAnswered(probed.outcome(), nowMillis)));
    }

    /** Returns what is known of the endpoint's state; empty if the endpoint is unknown. */
    Optional<EndpointContact> contactOf(EndpointId endpoint) {
        return world.endpoints().find(endpoint).map(EndpointRow::contact);
    }

    private void send(EndpointId endpoint) {
        update(endpoint, contactOf(endpoint).map(contact -> contact.probeSent(nowMillis)));
        world.send(new RouterOutput.ProbeEndpoint(endpoint));
    }

    private void update(EndpointId endpoint, Optional<EndpointContact> contact) {
        contact.ifPresent(
                latest -> world.endpoints().update(endpoint, row -> row.withContact(latest)));
    }
}
