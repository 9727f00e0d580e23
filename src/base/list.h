#ifndef SR_BASE_LIST_H
#define SR_BASE_LIST_H

#include <stddef.h>

/**
 * sr_list_t - intrusive, circular, doubly linked list
 *
 * The same type is the head of a list and the link inside an element. A link
 * is on at most one list at a time.
 */
typedef struct sr_list {
	struct sr_list *prev;
	struct sr_list *next;
} sr_list_t;

/** sr_list_entry - pointer to the element that contains a link. */
#define sr_list_entry(link, type, member) \
	((type *)((char *)(link)-offsetof(type, member)))

/** sr_list_for_each - visit each link; pos may not be removed. */
#define sr_list_for_each(pos, head) \
	for (sr_list_t *pos = (head)->next; pos != (head); pos = pos->next)

/** sr_list_for_each_safe - like sr_list_for_each; pos may be removed. */
#define sr_list_for_each_safe(pos, head)                             \
	for (sr_list_t *pos = (head)->next, *pos##_next = pos->next; \
	     pos != (head); pos = pos##_next, pos##_next = pos->next)

/** sr_list_init - initialise an empty head or an unlinked link. */
static inline void sr_list_init(sr_list_t *list)
{
	list->prev = list;
	list->next = list;
}

static inline int sr_list_is_empty(const sr_list_t *head)
{
	return head->next == head;
}

/** sr_list_append - insert a link at the end. */
static inline void sr_list_append(sr_list_t *head, sr_list_t *link)
{
	link->prev = head->prev;
	link->next = head;
	head->prev->next = link;
	head->prev = link;
}

/** sr_list_prepend - insert a link at the beginning. */
static inline void sr_list_prepend(sr_list_t *head, sr_list_t *link)
{
	sr_list_append(head->next, link);
}

/** sr_list_remove - unlink; the link is initialised again. */
static inline void sr_list_remove(sr_list_t *link)
{
	link->prev->next = link->next;
	link->next->prev = link->prev;
	sr_list_init(link);
}

#endif
