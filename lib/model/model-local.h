/* Internal declarations of lib/model. */
#ifndef CS_MODEL_LOCAL_H
#define CS_MODEL_LOCAL_H

#include <jansson.h>

#include "model/model.h"

enum cs_section_id {
	CS_SECTION_DOCUMENT,
	CS_SECTION_CHANGE,
	CS_SECTION_NETWORK,
	CS_SECTION_REGION,
	CS_SECTION_ZONE,
	CS_SECTION_SERVICE,
	CS_SECTION_CLASS,
	CS_SECTION_SHIFT,
	CS_SECTION_DRAIN,
	CS_SECTION_COUNT
};

/*
 * Validates one object against its section of the schema: unknown and missing keys, types and
 * ranges. Constraints between values, such as references to other entries, are left to the caller.
 */
bool cs_check_object(enum cs_section_id id, const char *path, const json_t *obj,
		     struct cs_msg *msg);
/* Sets the message "PATH.KEY: VALUE is not allowed; allowed: ALLOWED"; key may be "". */
void cs_check_set_error(struct cs_msg *msg, const char *path, const char *key, const json_t *value,
			const char *allowed);

#endif
