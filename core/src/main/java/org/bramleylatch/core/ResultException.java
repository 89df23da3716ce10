package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/** Carries a numbered result code as the failure of a {@link CompletableFuture}. */
public final class ResultException extends RuntimeException {
    private final ResultCode code;

    private ResultException(ResultCode code, String detail) {
        super(code.number() + " " + code + ": " + detail);
        this.code = requireNonNull(code);
    }

    /** Returns an exception with the given code and a detail for people. */
    public static ResultException of(ResultCode code, String detail) {
        return new ResultException(code, detail);
    }

    /** Returns a future that has failed with the given code. */
    public static <T> CompletableFuture<T> failed(ResultCode code, String detail) {
        return CompletableFuture.failedFuture(of(code, detail));
    }

    /** Returns the code of a failure; anything without one is {@link ResultCode#INTERNAL}. */
    public static ResultCode codeOf(Throwable failure) {
        return failure instanceof ResultException result
                ? result.code
                : failure.getCause() == null ? ResultCode.INTERNAL : codeOf(failure.getCause());
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }
}
