package amberroute.sender;

import java.lang.reflect.Proxy;

/**
 * Turns SIGHUP into a call; one that comes before anybody listens is kept until somebody does. The JVM's one
 * interface for signals, {@code sun.misc.Signal}, makes the compiler warn wherever it is named, and no annotation
 * allows for that: it is looked up by its name, so that warnings stay errors everywhere.
 */
public final class Hangup {
    private Runnable listener;
    private boolean missed;

    private Hangup() {
    }

    /** Handles the signal from now on. */
    public static Hangup install() {
        Hangup hangup = new Hangup();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object received = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        hangup.received();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), received);
        } catch (ReflectiveOperationException e) {
            Log.warn("SIGHUP has no handler: " + e);
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
    synchronized void then(Runnable next) {
        listener = next;
        if (missed) {
            received();
        }
    }
}
