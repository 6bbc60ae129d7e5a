/*
 * Preloaded into a process: system calls fail as the file named by FAIL_CALLS_FILE says, from the moment that it is written. It holds
 * pairs of 32 bit numbers in the machine's order, one pair a call: the errno and how often it is to come, -1 for always. Calls in
 * their order: accept, connect, write to a regular file, sync of a file.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

enum { ACCEPT, CONNECT, WRITE, SYNC, CALLS };

struct failure {
    volatile int32_t error;
    volatile int32_t left;
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
    return is_file(file) && fails(WRITE) ? -1 : REAL(ssize_t, "write", int, const void *, size_t)(file, bytes, length);
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
