package org.bramleylatch.core;

/** Makes the parts that handle the messages of one tick of a router. */
record RouterTick(RouterWorld world, RouterLimits limits, long nowMillis) {

    Admission admission() {
        return new Admission(world, limits, nowMillis);
    }

    CallResolver calls() {
        return new CallResolver(world, admission(), nowMillis);
    }

    AnswerRelay answers() {
        return new AnswerRelay(world, limits, nowMillis);
    }

    FailedOutputs failedOutputs() {
        return new FailedOutputs(world, answers(), admission());
    }

    RegistryUpdates registry() {
        return new RegistryUpdates(world, limits, nowMillis);
    }

    EndpointSignals signals() {
        return new EndpointSignals(world, nowMillis);
    }

    SilenceDetection silences() {
        return new SilenceDetection(world, limits, nowMillis);
    }

    EndpointPaths paths() {
        return new EndpointPaths(world, nowMillis);
    }

    RateLimits rateLimits() {
        return new RateLimits(world, nowMillis);
    }

    CrashDetection crashes() {
        return new CrashDetection(world, nowMillis);
    }

    FleetUpdates fleet() {
        return new FleetUpdates(world, limits, nowMillis);
    }
}
