/** The configuration of a sender, from the platform's JSON or an operator's TOML, in the terms that the code uses. */
package amberroute.sender.config;
