/* Test program, not shipped: stand-ins for what masticmux talks to. */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "standin/load.h"
#include "standin/log_service.h"
#include "standin/target.h"

typedef struct subcommand_t {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} subcommand_t;

static const subcommand_t subcommands_[] = {
	{"log", "append-only log service with faults", log_service_main},
	{"target", "HTTP target that simulates gray failures", target_main},
	{"load", "load with a check of every response", load_main},
};

#define SUBCOMMANDS (sizeof(subcommands_) / sizeof(subcommands_[0]))

static int usage_(FILE *out)
{
	size_t i;

	fprintf(out, "Usage: masticmux-standin SUBCOMMAND [OPTION...]\n\n");
	for (i = 0; i < SUBCOMMANDS; i++)
		fprintf(out, "  %-8s %s\n", subcommands_[i].name,
			subcommands_[i].summary);
	fprintf(out, "\nEach subcommand explains its options with --help.\n");
	return out == stdout ? 0 : 2;
}

/* A load with many connections needs more descriptors than the soft limit. */
static void raise_descriptor_limit_(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int main(int argc, char **argv)
{
	size_t i;

	if (argc < 2)
		return usage_(stderr);
	if (strcmp(argv[1], "--help") == 0)
		return usage_(stdout);
	raise_descriptor_limit_();
	for (i = 0; i < SUBCOMMANDS; i++)
		if (strcmp(argv[1], subcommands_[i].name) == 0)
			return subcommands_[i].run(argc - 1, argv + 1);
	return usage_(stderr);
}
