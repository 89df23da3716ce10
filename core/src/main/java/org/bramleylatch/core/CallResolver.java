package org.bramleylatch.core;

import java.util.Optional;

/** Resolves a call's route and budget from the configuration, and admits the request. */
record CallResolver(RouterWorld world, Admission admission, long nowMillis) {

    /** Admits the call's request; returns false if it is refused. */
    boolean resolve(RouterInput.CallArrived arrived) {
        Call call = arrived.call();
        Configuration configuration = world.configuration();
        if (!configuration.isKnown()) {
            return refuse(call, ResultCode.NOT_CONFIGURED);
        }
        Optional<RouteRow> route = configuration.routeForHost(call.host(), call.path());
        if (route.isEmpty()) {
            return refuse(call, ResultCode.UNKNOWN_ROUTE);
        }
        Optional<MemberRow> member = call.keySha256().flatMap(configuration::member);
        if (member.isEmpty() && !route.get().options().allowsAnonymous()) {
            return refuse(call, ResultCode.UNAUTHENTICATED);
        }
        Optional<ResultCode> lateness =
                LateArrival.findRefusal(call, route.get().options(), nowMillis);
        if (lateness.isPresent()) {
            return refuse(call, lateness.get());
        }
        return admission.admit(new RouterInput.RequestArrived(spec(call, route.get(), member)));
    }

    private static RequestSpec spec(Call call, RouteRow route, Optional<MemberRow> member) {
        RouteOptions options = route.options();
        int priority = member.flatMap(MemberRow::priority).orElse(options.priority());
        boolean metered = member.filter(row -> !row.unmetered()).isPresent();
        return new RequestSpec(
                call.id(),
                call.key(),
                true,
                member.map(MemberRow::budget).orElse(BudgetId.NONE),
                route,
                call.promptTokens(),
                call.maxAnswerTokens(),
                call.prefixHash(),
                call.arrivedMillis() + options.effectiveTimeoutMillis(call.callerTimeoutMillis()),
                new RequestTraits(
                        call.sharedPrefixTokens(),
                        call.sharedPartIds(),
                        Optional.of(call.fingerprint()),
                        priority,
                        metered,
                        call.headReadMillis() - call.arrivedMillis()));
    }

    private boolean refuse(Call call, ResultCode reason) {
        ConfigurationAge age = ConfigurationAge.of(world, nowMillis);
        ResultCode code = age.qualify(reason);
        String detail =
                "host="
                        + call.host()
                        + " path="
                        + call.path()
                        + " ageMillis="
                        + (nowMillis - call.arrivedMillis())
                        + " waitedMillis="
                        + (nowMillis - call.completedMillis())
                        + " "
                        + age;
        world.send(new RouterOutput.Refuse(call.id(), code, RunState.NOT_RUN, detail));
        world.note(
                EventKind.REQUEST_REFUSED,
                call.key(),
                code + " reason=" + reason + " request=" + call.id() + " " + detail);
        return false;
    }
}
