/* Simplified list macros that cppcheck reads in place of those of liburcu. */
#define cds_list_for_each_entry(p, h, m) for (p = list_first(h); list_more(p, h); p = list_next(p))
#define cds_list_for_each_entry_safe(p, n, h, m)                                                   \
	for (p = list_first(h), n = list_next(p); list_more(p, h); p = n, n = list_next(n))
#define cds_list_for_each_entry_reverse(p, h, m)                                                   \
	for (p = list_first(h); list_more(p, h); p = list_next(p))
#define cds_list_for_each(p, h) for (p = list_first(h); list_more(p, h); p = list_next(p))
#define cds_list_for_each_safe(p, n, h)                                                            \
	for (p = list_first(h), n = list_next(p); list_more(p, h); p = n, n = list_next(n))
