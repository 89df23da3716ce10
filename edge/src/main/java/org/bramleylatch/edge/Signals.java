package org.bramleylatch.edge;

import java.lang.reflect.Proxy;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;

/**
 * Handles signals of the operating system. {@code sun.misc.Signal} is not part of the Java SE API,
 * so it is called by reflection.
 */
public final class Signals {

    private Signals() {}

    /**
     * Runs the action on each signal of the given name, such as HUP.
     *
     * @throws ResultException with INTERNAL if the JVM cannot handle the signal by this class
     */
    public static void on(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (self, method, arguments) -> run(action));
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(
                            null,
                            signalClass.getConstructor(String.class).newInstance(name),
                            proxy);
        } catch (ReflectiveOperationException reflectionFailure) {
            throw ResultException.of(
                    ResultCode.INTERNAL, "cannot handle signal " + name + ": " + reflectionFailure);
        }
    }

    private static Object run(Runnable action) {
        action.run();
        return null;
    }
}
