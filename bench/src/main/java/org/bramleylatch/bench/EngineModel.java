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
 * Models an engine in virtual time: it reads prompts one after the other, generates a token of
 * every running answer in each step, and keeps the latest prompt prefixes in limited memory.
 */
final class EngineModel {
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.1;
    private static final double STEP_MILLIS = 15;
    private static final double STEP_MILLIS_PER_ANSWER = 0.4;
    private static final int CACHED_PREFIXES = 12;

    private final VirtualTime time;
    private final long memoryTokens;
    private final Queue<Running> unread = new ArrayDeque<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<Long, Boolean> prefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            };
    private long heldTokens;
    private long mostHeldTokens;
    private boolean stepping;

    EngineModel(VirtualTime time, long memoryTokens) {
        this.time = time;
        this.memoryTokens = memoryTokens;
    }

    /** Takes a request; returns false if it does not fit, in which case it was not run. */
    boolean start(RequestSpec spec, long answerTokens, Caller caller) {
        if (heldTokens + spec.worstCaseTokens() > memoryTokens) {
            return false;
        }
        heldTokens += spec.worstCaseTokens();
        mostHeldTokens = Math.max(mostHeldTokens, heldTokens);
        unread.add(new Running(spec, answerTokens, caller));
        step();
        return true;
    }

    /** Returns the tokens that its requests may need. */
    long heldTokens() {
        return heldTokens;
    }

    /** Returns the most tokens that it ever held. */
    long mostHeldTokens() {
        return mostHeldTokens;
    }

    private void step() {
        if (stepping || unread.isEmpty() && running.isEmpty()) {
            return;
        }
        stepping = true;
        double millis = STEP_MILLIS + STEP_MILLIS_PER_ANSWER * running.size();
        if (!unread.isEmpty()) {
            millis += read(unread.remove());
        }
        time.runAfter(Math.round(millis), this::generate);
    }

    private double read(Running request) {
        boolean cached = prefixes.put(request.spec.prefixHash(), true) != null;
        request.caller.read(cached);
        running.add(request);
        long tokens = request.spec.promptTokens();
        return PREFILL_MILLIS_PER_TOKEN * (cached ? tokens / 10 : tokens);
    }

    private void generate() {
        stepping = false;
        Iterator<Running> each = running.iterator();
        List<Running> ended = new ArrayList<>();
        while (each.hasNext()) {
            Running request = each.next();
            request.left--;
            request.caller.token();
            if (request.left <= 0) {
                each.remove();
                ended.add(request);
            }
        }
        ended.forEach(this::end);
        step();
    }

    private void end(Running request) {
        heldTokens -= request.spec.worstCaseTokens();
        request.caller.end();
    }

    /** Is told how a request goes. */
    interface Caller {
        void read(boolean cached);

        void token();

        void end();
    }

    private static final class Running {
        private final RequestSpec spec;
        private final Caller caller;
        private long left;

        Running(RequestSpec spec, long left, Caller caller) {
            this.spec = spec;
            this.left = left;
            this.caller = caller;
        }
    }
}
