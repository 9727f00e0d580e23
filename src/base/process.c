#include "base/process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

void sr_process_raise_file_limit(void)
{
	struct rlimit limit;

	if (!getrlimit(RLIMIT_NOFILE, &limit)) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
}

void sr_process_unblock_output(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

guint64 sr_process_random_seed(void)
{
	return (guint64)g_random_int() << 32 | g_random_int();
}
