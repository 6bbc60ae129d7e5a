/**
 * The command line, the demo and the rigs: all that people start by hand. It may use every other module and none may use
 * it; what it decides itself is only how to show things. The daemon does not load it.
 */
package amberroute.cli;
