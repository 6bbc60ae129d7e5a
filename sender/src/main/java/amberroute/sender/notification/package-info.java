/** Notifies the platform of messages that end undelivered. */
package amberroute.sender.notification;
