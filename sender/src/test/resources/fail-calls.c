/*
 * Preloaded into a process: system calls fail as the file named by FAIL_CALLS_FILE says, from the moment that it is written. It holds
 * three 32 bit numbers a call in the machine's order: the errno, how often it is to come (-1 for always), and the peer's port for
 * reads (0 for any). Calls in their order: accept, connect, write to a regular file, sync of a file, read from a socket. A last entry
 * makes reads from and writes to sockets short: the most bytes of each, whether it counts, and how many there were.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum { ACCEPT, CONNECT, WRITE, SYNC, READ, SHORT, CALLS };

struct failure {
    volatile int32_t error;
    volatile int32_t left;
    volatile int32_t port;
};

static struct failure *failures;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAIL_CALLS_FILE");
    int file = path ? open(path, O_RDWR) : -1;
    if (file >= 0) {
        void *page = mmap(NULL, CALLS * sizeof *failures, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        failures = page == MAP_FAILED ? NULL : page;
        close(file);
    }
}

static int fails(int call) {
    if (!failures || failures[call].left == 0) {
        return 0;
    }
    if (failures[call].left > 0) {
        __atomic_sub_fetch(&failures[call].left, 1, __ATOMIC_SEQ_CST);
    }
    errno = failures[call].error;
    return 1;
}

static int is_file(int descriptor) {
    struct stat status;
    return descriptor > 2 && fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

static int is_socket(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_peer(int socket, int port) {
    struct sockaddr_in6 peer;
    socklen_t length = sizeof peer;
    /* The port stands at the same place in addresses of both families. */
    return port == 0
            || (getpeername(socket, (struct sockaddr *) &peer, &length) == 0 && ntohs(peer.sin6_port) == port);
}

/* As many bytes as a read or write of this socket may move. */
static size_t at_most(int descriptor, size_t length) {
    if (!failures || failures[SHORT].left == 0 || !is_socket(descriptor)) {
        return length;
    }
    size_t most = (size_t) failures[SHORT].error;
    if (length <= most) {
        return length;
    }
    __atomic_add_fetch(&failures[SHORT].port, 1, __ATOMIC_SEQ_CST);
    return most;
}

#define REAL(type, name, ...) ((type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, name))

int accept(int socket, struct sockaddr *restrict address, socklen_t *restrict length) {
    return fails(ACCEPT) ? -1 : REAL(int, "accept", int, struct sockaddr *, socklen_t *)(socket, address, length);
}

int accept4(int socket, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    return fails(ACCEPT) ? -1 : REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    return fails(CONNECT) ? -1 : REAL(int, "connect", int, const struct sockaddr *, socklen_t)(socket, address, length);
}

ssize_t write(int file, const void *bytes, size_t length) {
    return is_file(file) && fails(WRITE) ? -1
            : REAL(ssize_t, "write", int, const void *, size_t)(file, bytes, at_most(file, length));
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    size_t all = 0;
    for (int i = 0; i < count; i++) {
        all += parts[i].iov_len;
    }
    if (count > 0 && at_most(file, all) < all) {
        int first = 0;
        while (first < count - 1 && parts[first].iov_len == 0) {
            first++;
        }
        return write(file, parts[first].iov_base, parts[first].iov_len);
    }
    return REAL(ssize_t, "writev", int, const struct iovec *, int)(file, parts, count);
}

ssize_t read(int file, void *bytes, size_t length) {
    if (failures && failures[READ].left != 0 && is_socket(file) && is_peer(file, failures[READ].port) && fails(READ)) {
        return -1;
    }
    return REAL(ssize_t, "read", int, void *, size_t)(file, bytes, at_most(file, length));
}

ssize_t readv(int file, const struct iovec *parts, int count) {
    return count > 0 && at_most(file, parts[0].iov_len) < parts[0].iov_len
            ? read(file, parts[0].iov_base, parts[0].iov_len)
            : REAL(ssize_t, "readv", int, const struct iovec *, int)(file, parts, count);
}

ssize_t pwrite64(int file, const void *bytes, size_t length, off64_t at) {
    return is_file(file) && fails(WRITE) ? -1
            : REAL(ssize_t, "pwrite64", int, const void *, size_t, off64_t)(file, bytes, length, at);
}

int fsync(int file) {
    return fails(SYNC) ? -1 : REAL(int, "fsync", int)(file);
}

int fdatasync(int file) {
    return fails(SYNC) ? -1 : REAL(int, "fdatasync", int)(file);
}
