package amberroute.sender;

import java.lang.reflect.Proxy;

/**
 * Turns a signal into a call; one that comes before anybody listens is kept until somebody does. The JVM's one
 * interface for signals, {@code sun.misc.Signal}, makes the compiler warn wherever it is named, and no annotation
 * allows for that: it is looked up by its name, so that warnings stay errors everywhere.
 */
public final class SignalHook {
    private Runnable listener;
    private boolean missed;

    private SignalHook() {}

    /** Handles SIGHUP from now on. */
    public static SignalHook install() {
        return install("HUP");
    }

    /** Handles the signal of this name, without its SIG, from now on. */
    public static SignalHook install(String name) {
        SignalHook hangup = new SignalHook();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object received = Proxy.newProxyInstance(
                    SignalHook.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        hangup.received();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), received);
        } catch (ReflectiveOperationException e) {
            Log.warn("SIG" + name + " has no handler: " + e);
        }
        return hangup;
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
