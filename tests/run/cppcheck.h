/* Simplified list, tree and test macros for cppcheck, which does not read system headers. */
#define TAILQ_HEAD(name, type)                                                                     \
	struct name {                                                                              \
		struct type *tqh_first;                                                            \
	}
#define LIST_HEAD(name, type)                                                                      \
	struct name {                                                                              \
		struct type *lh_first;                                                             \
	}
#define STAILQ_HEAD(name, type)                                                                    \
	struct name {                                                                              \
		struct type *stqh_first;                                                           \
	}
#define RB_HEAD(name, type)                                                                        \
	struct name {                                                                              \
		struct type *rbh_root;                                                             \
	}
#define TAILQ_ENTRY(type) struct type *
#define LIST_ENTRY(type) struct type *
#define STAILQ_ENTRY(type) struct type *
#define RB_ENTRY(type) struct type *
#define TAILQ_FOREACH(v, h, f) for ((v) = (h)->tqh_first; (v) != 0; (v) = (v)->f)
#define LIST_FOREACH(v, h, f) for ((v) = (h)->lh_first; (v) != 0; (v) = (v)->f)
#define STAILQ_FOREACH(v, h, f) for ((v) = (h)->stqh_first; (v) != 0; (v) = (v)->f)
#define RB_GENERATE_INTERNAL(name, type, field, cmp, attr)
#define g_assert_cmpint(a, op, b) g_assert_true((a)op(b))
#define g_assert_cmpuint(a, op, b) g_assert_true((a)op(b))
#define g_assert_cmpfloat(a, op, b) g_assert_true((a)op(b))
#define g_assert_cmphex(a, op, b) g_assert_true((a)op(b))
#define g_assert_cmpstr(a, op, b) g_assert_true(strcmp(a, b) op 0)
#define RB_FOREACH(v, name, h) for ((v) = (h)->rbh_root; (v) != 0; (v) = 0)
#define TAILQ_FOREACH_SAFE(v, h, f, n) for ((v) = (n) = (h)->tqh_first; (v) != 0; (v) = (n))
#define LIST_FOREACH_SAFE(v, h, f, n) for ((v) = (n) = (h)->lh_first; (v) != 0; (v) = (n))
#define RB_FOREACH_SAFE(v, name, h, n) for ((v) = (n) = (h)->rbh_root; (v) != 0; (v) = (n))
#define json_object_foreach(o, k, v) for ((k) = 0, (v) = json_object_get(o, ""); (k) != 0; (k) = 0)
#define json_array_foreach(a, i, v) for ((i) = 0; (v) = json_array_get(a, i), (i) < 1; (i)++)
