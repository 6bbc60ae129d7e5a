package amberroute.sender;

import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import io.netty.channel.EventLoop;

/**
 * The state that all components of one sender share.
 *
 * @param config the configuration that the sender was started with
 * @param loop the event loop that owns the rest
 * @param transfers transfers of ownership from and to other processes
 */
record SenderState(
        SenderConfig config,
        EventLoop loop,
        LifecycleState lifecycle,
        StateFolder folder,
        MessageTable messages,
        ActiveSettings activeSettings,
        SenderMetrics metrics,
        OwnershipTransfers transfers) {}
