#include "daemon/postings.h"

/* No journal is there yet: the caller package refuses before it gets here. */

void sr_postings_submit(sr_postings_t *postings, const sr_posting_t *posting)
{
	g_assert_not_reached();
}

void sr_postings_forget(sr_postings_t *postings, void *user)
{
	g_assert_not_reached();
}
