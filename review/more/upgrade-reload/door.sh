#!/bin/sh
# Runs a command with a listening socket of 127.0.0.1 as descriptor 0 and its port in DOOR_PORT, as the platform holds the clients' socket.
exec perl -MSocket -e '
socket(S, PF_INET, SOCK_STREAM, 0) or die;
setsockopt(S, SOL_SOCKET, SO_REUSEADDR, 1) or die;
bind(S, sockaddr_in(0, inet_aton("127.0.0.1"))) or die;
listen(S, 512) or die;
$ENV{DOOR_PORT} = (sockaddr_in(getsockname(S)))[0];
open(STDIN, "<&", \*S) or die;
close(S);
exec @ARGV or die' "$@"
