/*
 * Launcher of the single-file executable.  It unpacks the archive that is appended to it into a temporary
 * directory, once for each version, and replaces itself with the unpacked program by execv, without starting
 * another process.
 *
 * Layout of the file: this launcher, then records (name length, mode, size, name, content), then a trailer (offset
 * of the first record, digest of the records, magic).  Numbers are little-endian 64-bit integers.
 */

#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC 0x31444e4f50435043ULL
#define MAX_PATH_BYTES 4096
#define COPY_BUFFER_BYTES 65536

struct trailer {
    uint64_t offset;
    uint64_t digest;
    uint64_t magic;
};

struct record {
    uint64_t name_bytes;
    uint64_t mode;
    uint64_t size;
};

static void fail(const char *context)
{
    fprintf(stderr, "kingcuppond: %s: %s\n", context, strerror(errno));
    exit(2);
}

static void make_parent_directories(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash != NULL; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void extract_file(FILE *source, const char *path, const struct record *record)
{
    static char buffer[COPY_BUFFER_BYTES];
    FILE *target = fopen(path, "wb");
    if (target == NULL)
        fail(path);
    for (uint64_t bytes_left = record->size; bytes_left > 0;) {
        size_t bytes_wanted = bytes_left < COPY_BUFFER_BYTES ? bytes_left : COPY_BUFFER_BYTES;
        size_t bytes_read = fread(buffer, 1, bytes_wanted, source);
        if (bytes_read == 0 || fwrite(buffer, 1, bytes_read, target) != bytes_read)
            fail(path);
        bytes_left -= bytes_read;
    }
    if (fchmod(fileno(target), (mode_t)record->mode) != 0 || fclose(target) != 0)
        fail(path);
}

static void unpack(FILE *source, const struct trailer *trailer, uint64_t end, const char *folder)
{
    char path[2 * MAX_PATH_BYTES];
    if (fseeko(source, (off_t)trailer->offset, SEEK_SET) != 0)
        fail("cannot seek to the archive in the executable");
    while ((uint64_t)ftello(source) < end) {
        struct record record;
        if (fread(&record, sizeof record, 1, source) != 1 || record.name_bytes >= MAX_PATH_BYTES)
            fail("damaged file");
        int prefix_bytes = snprintf(path, MAX_PATH_BYTES, "%s/", folder);
        if (fread(path + prefix_bytes, 1, record.name_bytes, source) != record.name_bytes)
            fail("damaged file");
        path[prefix_bytes + record.name_bytes] = '\0';
        make_parent_directories(path);
        extract_file(source, path, &record);
    }
}

int main(int argc, char **argv)
{
    (void)argc;
    struct trailer trailer;
    FILE *executable = fopen("/proc/self/exe", "rb");
    if (executable == NULL || fseeko(executable, -(off_t)sizeof trailer, SEEK_END) != 0)
        fail("/proc/self/exe");
    uint64_t end = (uint64_t)ftello(executable);
    if (fread(&trailer, sizeof trailer, 1, executable) != 1 || trailer.magic != MAGIC)
        fail("damaged file");
    const char *base_directory = getenv("KINGCUPPOND_RUN_DIR");
    if (base_directory == NULL)
        base_directory = getenv("TMPDIR");
    char folder[MAX_PATH_BYTES];
    char staging[MAX_PATH_BYTES];
    char program[MAX_PATH_BYTES + 32];
    snprintf(folder, sizeof folder, "%.1000s/kingcuppond-%u-%016llx", base_directory ? base_directory : "/tmp",
             (unsigned)getuid(), (unsigned long long)trailer.digest);
    snprintf(program, sizeof program, "%s/kingcuppond", folder);
    struct stat status;
    if (stat(folder, &status) != 0) {
        /* Unpacked in a staging directory and renamed, so that a concurrent start never sees a partial copy. */
        snprintf(staging, sizeof staging, "%.2000s.%d", folder, (int)getpid());
        unpack(executable, &trailer, end, staging);
        if (rename(staging, folder) != 0 && errno != EEXIST && errno != ENOTEMPTY)
            fail(folder);
        if (stat(folder, &status) != 0)
            fail(folder);
    }
    if (status.st_uid != getuid() || (status.st_mode & 022) != 0) {
        errno = EPERM;
        fail(folder);
    }
    fclose(executable);
    execv(program, argv);
    fail(program);
}
