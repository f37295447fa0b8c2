/*
 * The head of the one-file program.  It unpacks what is appended to itself into a temporary folder, once for
 * each version, and then becomes the unpacked program by execv: it starts no other process.
 *
 * Layout of the file: this program, then records (name length, mode, size, name, content), then a trailer (offset
 * of the first record, digest of the records, magic).  Numbers are little-endian 64-bit.
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
#define NAME_MAX_BYTES 4096
#define COPY_BYTES 65536

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

static void fail(const char *what)
{
    fprintf(stderr, "kingcuppond: %s: %s\n", what, strerror(errno));
    exit(2);
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash != NULL; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void copy_content(FILE *from, const char *path, const struct record *record)
{
    static char buffer[COPY_BYTES];
    FILE *to = fopen(path, "wb");
    if (to == NULL)
        fail(path);
    for (uint64_t left = record->size; left > 0;) {
        size_t wanted = left < COPY_BYTES ? left : COPY_BYTES;
        size_t got = fread(buffer, 1, wanted, from);
        if (got == 0 || fwrite(buffer, 1, got, to) != got)
            fail(path);
        left -= got;
    }
    if (fchmod(fileno(to), (mode_t)record->mode) != 0 || fclose(to) != 0)
        fail(path);
}

static void unpack(FILE *from, const struct trailer *trailer, uint64_t end, const char *folder)
{
    char path[2 * NAME_MAX_BYTES];
    if (fseeko(from, (off_t)trailer->offset, SEEK_SET) != 0)
        fail("seek");
    while ((uint64_t)ftello(from) < end) {
        struct record record;
        if (fread(&record, sizeof record, 1, from) != 1 || record.name_bytes >= NAME_MAX_BYTES)
            fail("damaged file");
        int start = snprintf(path, NAME_MAX_BYTES, "%s/", folder);
        if (fread(path + start, 1, record.name_bytes, from) != record.name_bytes)
            fail("damaged file");
        path[start + record.name_bytes] = '\0';
        make_parents(path);
        copy_content(from, path, &record);
    }
}

int main(int argc, char **argv)
{
    (void)argc;
    struct trailer trailer;
    FILE *self = fopen("/proc/self/exe", "rb");
    if (self == NULL || fseeko(self, -(off_t)sizeof trailer, SEEK_END) != 0)
        fail("/proc/self/exe");
    uint64_t end = (uint64_t)ftello(self);
    if (fread(&trailer, sizeof trailer, 1, self) != 1 || trailer.magic != MAGIC)
        fail("damaged file");
    const char *base = getenv("KINGCUPPOND_RUN_DIR");
    if (base == NULL)
        base = getenv("TMPDIR");
    char folder[NAME_MAX_BYTES];
    char fresh[NAME_MAX_BYTES];
    char program[NAME_MAX_BYTES + 32];
    snprintf(folder, sizeof folder, "%.1000s/kingcuppond-%u-%016llx", base ? base : "/tmp",
             (unsigned)getuid(), (unsigned long long)trailer.digest);
    snprintf(program, sizeof program, "%s/kingcuppond", folder);
    struct stat status;
    if (stat(folder, &status) != 0) {
        /* Unpacked beside and renamed, so that no second start ever sees half of it. */
        snprintf(fresh, sizeof fresh, "%.2000s.%d", folder, (int)getpid());
        unpack(self, &trailer, end, fresh);
        if (rename(fresh, folder) != 0 && errno != EEXIST && errno != ENOTEMPTY)
            fail(folder);
        if (stat(folder, &status) != 0)
            fail(folder);
    }
    if (status.st_uid != getuid() || (status.st_mode & 022) != 0) {
        errno = EPERM;
        fail(folder);
    }
    fclose(self);
    execv(program, argv);
    fail(program);
}
