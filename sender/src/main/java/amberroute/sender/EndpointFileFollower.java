package amberroute.sender;

import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointFile;
import amberroute.sender.discovery.EndpointWatch;
import io.netty.channel.EventLoop;

/** Applies the file of endpoints, where one is configured, whenever it changes. Event loop only, but for {@link #close}. */
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

    /** Starts to follow the file. */
    void start() {
        if (config.standalone() != null && config.standalone().endpoints() != null) {
            endpointFile = new EndpointFile(
                    config.standalone().endpoints(),
                    config,
                    endpointList -> loop.execute(() -> endpoints.replace(endpointList)));
        }
    }

    /** Reads the file again though it has not changed; the follower does it so that no older content is applied later. */
    void reload() {
        endpointFile.ask();
    }

    /** Stops to follow the file. */
    void close() {
        if (endpointFile != null) {
            endpointFile.close();
        }
    }
}
