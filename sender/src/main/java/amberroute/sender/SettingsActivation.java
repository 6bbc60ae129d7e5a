package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.LogEvent;
import java.util.HashSet;
import java.util.Set;

/** Activates validated settings: they apply from the next event on, and accepted messages keep their class. Event loop only. */
final class SettingsActivation {
    private final StateFolder folder;
    private final MessageTable messages;
    private final ActiveSettings activeSettings;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final ClientServer clientServer;

    SettingsActivation(
            SenderState state,
            SchedulerDriver scheduler,
            EndpointWatch endpoints,
            UpstreamClient upstream,
            ClientServer clientServer) {
        folder = state.folder();
        messages = state.messages();
        activeSettings = state.activeSettings();
        metrics = state.metrics();
        this.scheduler = scheduler;
        this.endpoints = endpoints;
        this.upstream = upstream;
        this.clientServer = clientServer;
    }

    /** Activates settings. Returns null, or the reason why they cannot be activated, in which case nothing has changed. */
    String apply(SenderConfig config) {
        DeliveryScheduler.Settings settings = config.settings();
        Set<Integer> classesInUse = new HashSet<>();
        folder.journal().pendingMessages().forEach(message -> classesInUse.add(message.classNumber));
        messages.pendingAcceptances()
                .values()
                .forEach(pendingAcceptance -> classesInUse.add(pendingAcceptance.message().classNumber));
        if (!messages.classes().take(config.classes(), settings.classes(), classesInUse::contains)) {
            return "held messages still need too many other classes";
        }
        recordClasses();
        activeSettings.replace(config, settings.withClasses(messages.classes().types()));
        endpoints.configure(config);
        upstream.configure(
                settings.limits().connectTimeoutMicros(),
                settings.limits().idleConnectionLifeMicros(),
                config.reportNames());
        clientServer.setClassNames(messages.classes().names());
        messages.classes().names().forEach(metrics::declareClass);
        scheduler.submit(new Event.SettingsChanged(activeSettings.settings()));
        return null;
    }

    private void recordClasses() {
        for (int i = 0; i < messages.classes().size(); i++) {
            MessageClassRegistry classes = messages.classes();
            if (classes.version(i) != null && !folder.journal().defineClass(i, classes.version(i))) {
                // After a restart, only the class name of its messages would be known.
                LogEvent.of("message_class_not_recorded")
                        .with("class", classes.version(i).name())
                        .warn();
            }
        }
    }
}
