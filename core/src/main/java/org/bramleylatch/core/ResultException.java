package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/** Carries a result code, thrown or as the failure of a {@link CompletableFuture}. */
public final class ResultException extends RuntimeException {
    private final ResultCode code;

    private ResultException(ResultCode code, String detail) {
        super(code.number() + " " + code + ": " + detail);
        this.code = requireNonNull(code);
    }

    /** Returns an exception whose message holds the code's number, its name and the detail. */
    public static ResultException of(ResultCode code, String detail) {
        return new ResultException(code, detail);
    }

    /** Returns a future that has failed with the given code. */
    public static <T> CompletableFuture<T> failedFuture(ResultCode code, String detail) {
        return CompletableFuture.failedFuture(of(code, detail));
    }

    /** Returns the code of a failure or its causes; {@link ResultCode#INTERNAL} if none has one. */
    public static ResultCode codeOf(Throwable failure) {
        return failure instanceof ResultException result
                ? result.code
                : failure.getCause() == null ? ResultCode.INTERNAL : codeOf(failure.getCause());
    }

    /** Returns the code of this failure, never null. */
    public ResultCode code() {
        return code;
    }
}
