package amberroute.sender;

import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointFile;
import amberroute.sender.discovery.EndpointWatch;
import io.netty.channel.EventLoop;

/** Applies the endpoint file, if one is configured, whenever it changes. Event loop only, except {@link #close}. */
final class EndpointFileFollower {
    private final SenderConfig config;
    private final EventLoop loop;
    private final EndpointWatch endpoints;
    private EndpointFile endpointFile;

    EndpointFileFollower(SenderConfig config, EventLoop loop, EndpointWatch endpoints) {
        this.config = config;
        this.loop = loop;
        this.endpoints = endpoints;
    }

    /** Starts to watch the file. */
    void start() {
        if (config.standalone() != null && config.standalone().endpoints() != null) {
            endpointFile = new EndpointFile(
                    config.standalone().endpoints(),
                    config,
                    endpointList -> loop.execute(() -> endpoints.replace(endpointList)));
        }
    }

    /**
     * Rereads the file even if it has not changed. The file's polling thread reads it, so that no older content is applied
     * afterwards.
     */
    void reload() {
        endpointFile.ask();
    }

    /** Stops watching the file. */
    void close() {
        if (endpointFile != null) {
            endpointFile.close();
        }
    }
}
