#!/usr/bin/perl
# Starts processes that share one listening socket as descriptor 0, which a JVM cannot do for another process.
#
# Prints "listening PORT". Reads one command a line from standard input, fields separated by tabs:
#   start LOG NUMBER_OF_VARIABLES NAME=VALUE... PROGRAM ARGUMENT...
# and prints "started PID" for each; prints "ended PID STATUS" as processes end, with 128 and the signal's number for one that a
# signal ended. When its input ends it kills what it started.
use strict;
use warnings;
use IO::Socket::INET;
use POSIX ();

$| = 1;
my $socket = IO::Socket::INET->new(Listen => 512, LocalAddr => '127.0.0.1', LocalPort => 0, Proto => 'tcp')
    or die "cannot listen: $!\n";
my %running;
print "listening ", $socket->sockport, "\n";

sub start {
    my ($log, $variables, @fields) = @_;
    my $pid = fork;
    die "cannot fork: $!\n" unless defined $pid;
    if ($pid == 0) {
        my $output = POSIX::open($log, POSIX::O_WRONLY() | POSIX::O_CREAT() | POSIX::O_APPEND(), 0600);
        POSIX::dup2($output, 1);
        POSIX::dup2($output, 2);
        POSIX::dup2(fileno $socket, 0);
        foreach my $pair (splice @fields, 0, $variables) {
            my ($name, $value) = split /=/, $pair, 2;
            $ENV{$name} = $value;
        }
        exec @fields or POSIX::_exit(127);
    }
    $running{$pid} = 1;
    print "started $pid\n";
}

sub reap {
    while ((my $pid = waitpid -1, POSIX::WNOHANG()) > 0) {
        my $status = $? & 127 ? 128 + ($? & 127) : $? >> 8;
        delete $running{$pid};
        print "ended $pid $status\n";
    }
}

my $pending = '';
while (1) {
    my $ready = '';
    vec($ready, fileno(STDIN), 1) = 1;
    if (select($ready, undef, undef, 0.01) > 0) {
        last unless sysread STDIN, $pending, 65536, length $pending;
        while ($pending =~ s/^([^\n]*)\n//) {
            my (undef, @fields) = split /\t/, $1;
            start(@fields);
        }
    }
    reap();
}
kill 'KILL', keys %running;
