#ifndef SR_BASE_LIST_H
#define SR_BASE_LIST_H

#include <stddef.h>

/**
 * sr_list_t - intrusive, circular, doubly linked list
 *
 * The same type is the head of a list and the link inside an element. An
 * element is on at most one list per link.
 */
typedef struct sr_list {
	struct sr_list *prev;
	struct sr_list *next;
} sr_list_t;

/** sr_list_entry - the element that contains a link. */
#define sr_list_entry(link, type, member) \
	((type *)((char *)(link)-offsetof(type, member)))

#define sr_list_for_each(pos, head) \
	for (sr_list_t *pos = (head)->next; pos != (head); pos = pos->next)

/** sr_list_for_each_safe - like sr_list_for_each; pos may be removed. */
#define sr_list_for_each_safe(pos, head)                             \
	for (sr_list_t *pos = (head)->next, *pos##_next = pos->next; \
	     pos != (head); pos = pos##_next, pos##_next = pos->next)

static inline void sr_list_init(sr_list_t *list)
{
	list->prev = list;
	list->next = list;
}

static inline int sr_list_is_empty(const sr_list_t *head)
{
	return head->next == head;
}

static inline void sr_list_append(sr_list_t *head, sr_list_t *link)
{
	link->prev = head->prev;
	link->next = head;
	head->prev->next = link;
	head->prev = link;
}

/** sr_list_prepend - add a link at the beginning. */
static inline void sr_list_prepend(sr_list_t *head, sr_list_t *link)
{
	sr_list_append(head->next, link);
}

/** sr_list_remove - unlink; the link is left pointing at itself. */
static inline void sr_list_remove(sr_list_t *link)
{
	link->prev->next = link->next;
	link->next->prev = link->prev;
	sr_list_init(link);
}

#endif
