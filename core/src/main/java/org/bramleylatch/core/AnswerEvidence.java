package org.bramleylatch.core;

import java.util.Optional;
import java.util.Set;

/**
 * Holds what the head of an answer and its connection show about the request that it answers. A
 * faulty endpoint may write an answer a second time, whole or in part, after the next request was
 * sent on the connection.
 *
 * @param status the HTTP status
 * @param answeredId the id of the request that the answer names, if any
 * @param signed true if the answer carries the endpoint's signature
 * @param reportsNotRun true if the endpoint states that it has not run the request
 * @param mergesAnswers true if a status line stands within the head: it begins with that of an
 *     answer that broke off, and goes on with the next one
 * @param connectionUses the number of requests sent on the connection so far, at least 1
 */
public record AnswerEvidence(
        int status,
        Optional<String> answeredId,
        boolean signed,
        boolean reportsNotRun,
        boolean mergesAnswers,
        int connectionUses) {
    /** Statuses that promise callers that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final int MAX_LOGGED_ID_LENGTH = 64;
    private static final int OK = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int LAST_STATUS = 599;

    /** Decides what the answer means for the request with the given id. */
    public AnswerVerdict judge(String requestId) {
        if (mergesAnswers || !isAnswerTo(requestId)) {
            return AnswerVerdict.UNATTRIBUTED;
        }
        if (reportsNotRun) {
            return AnswerVerdict.REFUSAL;
        }
        return !isFinal() || NOT_RUN_STATUSES.contains(status)
                ? AnswerVerdict.UNPROVEN
                : AnswerVerdict.ANSWER;
    }

    /** Returns true if the connection may carry a further request after the answer. */
    public boolean keepsConnection() {
        return isSuccess();
    }

    /** Returns the evidence for a log line. */
    public String describe() {
        return "status="
                + status
                + " answeredId="
                + answeredId.map(AnswerEvidence::shorten).orElse("none")
                + (mergesAnswers ? " mergesAnswers=true" : "")
                + " connectionUses="
                + connectionUses;
    }

    /**
     * A success must name the request and carry the signature. Another answer may lack an id on a
     * connection that has carried no earlier request, where no copy can arrive.
     */
    private boolean isAnswerTo(String requestId) {
        boolean namesRequest = answeredId.filter(requestId::equals).isPresent();
        return isSuccess()
                ? namesRequest && signed
                : namesRequest || (answeredId.isEmpty() && connectionUses == 1);
    }

    private static String shorten(String id) {
        return id.substring(0, Math.min(id.length(), MAX_LOGGED_ID_LENGTH));
    }

    /** Returns false for an interim status, and for a number that is no status (RFC 9110, 15). */
    private boolean isFinal() {
        return status >= OK && status <= LAST_STATUS;
    }

    private boolean isSuccess() {
        return status >= OK && status < FIRST_REDIRECT;
    }
}
