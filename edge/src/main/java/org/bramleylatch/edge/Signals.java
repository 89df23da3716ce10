package org.bramleylatch.edge;

import java.lang.reflect.Proxy;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;

/**
 * Handles signals of the operating system. The runtime's class for it is not part of the language's
 * standard library, so it is reached by name.
 */
public final class Signals {

    private Signals() {}

    /** Calls the action at each signal of the given name, such as HUP. */
    public static void on(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> run(action));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException absent) {
            throw ResultException.of(ResultCode.INTERNAL, "no handler for " + name + ": " + absent);
        }
    }

    private static Object run(Runnable action) {
        action.run();
        return null;
    }
}
