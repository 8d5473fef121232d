/* The clock of lib/base on a machine that was suspended. */
#include <glib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

/* Time for which the machine was suspended, in the view of this process. */
static time_t suspended_s;

/* Replaces the function of the C library. */
int clock_gettime(clockid_t __clock_id, struct timespec *__tp)
{
	int rc = (int)syscall(SYS_clock_gettime, __clock_id, __tp);

	if (__clock_id == CLOCK_BOOTTIME)
		__tp->tv_sec += suspended_s;
	return rc;
}

/*
 * Guards against a suspended machine that acts on permissions, deadlines and states of others that
 * ran out while it slept.
 */
static void test_counts_suspension(void)
{
	uint64_t before = cs_mono_us();

	suspended_s = 5;
	g_assert_cmpuint(cs_mono_us() - before, >=, 5 * CS_US_PER_S);
	suspended_s = 0;
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/clock/counts-suspension", test_counts_suspension);
	return g_test_run();
}
