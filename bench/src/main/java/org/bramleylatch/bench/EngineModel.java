package org.bramleylatch.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.fakes.VirtualTime;

/**
 * Models an inference engine in virtual time. Each step processes at most one prompt (prefill) and
 * generates one token of every running answer. The most recently used prompt prefixes are cached,
 * and a cached prefix makes the processing of a prompt ten times as fast.
 */
final class EngineModel {
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.1;
    private static final double STEP_MILLIS = 15;
    private static final double STEP_MILLIS_PER_ANSWER = 0.4;
    private static final int MAX_CACHED_PREFIXES = 12;

    private final VirtualTime time;
    private final long memoryTokens;
    private final Queue<AcceptedRequest> awaitingPrefill = new ArrayDeque<>();
    private final List<AcceptedRequest> running = new ArrayList<>();
    private final Map<Long, Boolean> cachedPrefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_CACHED_PREFIXES;
                }
            };
    private long worstCaseTokens;
    private long maxWorstCaseTokens;
    private boolean stepScheduled;

    EngineModel(VirtualTime time, long memoryTokens) {
        this.time = time;
        this.memoryTokens = memoryTokens;
    }

    /**
     * Accepts a request; returns false, without running it, if its worst case does not fit into the
     * memory besides the requests accepted before.
     */
    boolean tryAccept(RequestSpec spec, long answerTokens, RequestListener listener) {
        if (worstCaseTokens + spec.worstCaseTokens() > memoryTokens) {
            return false;
        }
        worstCaseTokens += spec.worstCaseTokens();
        maxWorstCaseTokens = Math.max(maxWorstCaseTokens, worstCaseTokens);
        awaitingPrefill.add(new AcceptedRequest(spec, answerTokens, listener));
        scheduleStep();
        return true;
    }

    /** Returns the tokens that the accepted requests need in the worst case. */
    long worstCaseTokens() {
        return worstCaseTokens;
    }

    /** Returns the highest value that {@link #worstCaseTokens} ever had. */
    long maxWorstCaseTokens() {
        return maxWorstCaseTokens;
    }

    private void scheduleStep() {
        if (stepScheduled || awaitingPrefill.isEmpty() && running.isEmpty()) {
            return;
        }
        stepScheduled = true;
        double durationMillis = STEP_MILLIS + STEP_MILLIS_PER_ANSWER * running.size();
        if (!awaitingPrefill.isEmpty()) {
            durationMillis += startPrefill(awaitingPrefill.remove());
        }
        time.runAfter(Math.round(durationMillis), this::finishStep);
    }

    /** Starts the first step of a request; returns how many milliseconds its prompt adds to it. */
    private double startPrefill(AcceptedRequest request) {
        boolean isPrefixCached = cachedPrefixes.put(request.spec.prefixHash(), true) != null;
        request.listener.prefillStarted(isPrefixCached);
        running.add(request);
        long tokens = request.spec.promptTokens();
        return PREFILL_MILLIS_PER_TOKEN * (isPrefixCached ? tokens / 10 : tokens);
    }

    private void finishStep() {
        stepScheduled = false;
        Iterator<AcceptedRequest> iterator = running.iterator();
        List<AcceptedRequest> ended = new ArrayList<>();
        while (iterator.hasNext()) {
            AcceptedRequest request = iterator.next();
            request.remainingTokens--;
            request.listener.tokenGenerated();
            if (request.remainingTokens <= 0) {
                iterator.remove();
                ended.add(request);
            }
        }
        ended.forEach(this::endAnswer);
        scheduleStep();
    }

    private void endAnswer(AcceptedRequest request) {
        worstCaseTokens -= request.spec.worstCaseTokens();
        request.listener.answerEnded();
    }

    /** Receives the progress of one request. */
    interface RequestListener {
        void prefillStarted(boolean isPrefixCached);

        void tokenGenerated();

        void answerEnded();
    }

    private static final class AcceptedRequest {
        private final RequestSpec spec;
        private final RequestListener listener;
        private long remainingTokens;

        AcceptedRequest(RequestSpec spec, long remainingTokens, RequestListener listener) {
            this.spec = spec;
            this.remainingTokens = remainingTokens;
            this.listener = listener;
        }
    }
}
