/* Choice of a target and bookkeeping of the policies under comparison. */
#ifndef MASTICMUX_BENCH_POLICY_H
#define MASTICMUX_BENCH_POLICY_H

#include "model.h"

/* Prepares the views of all entries. */
void policy_init(model_t *model);
void policy_finish(model_t *model);

/* Chooses the target of an attempt and counts it as outstanding. */
bool policy_choose(model_t *model, request_t *request, int not_target);

/* The entry received a response, or gave up (then request->result is
 * MMX_RESULT_ABANDONED). */
void policy_done(model_t *model, request_t *request);

/* A level pushed by an exit arrived at all entries. */
void policy_level(model_t *model, target_t *target);

/* Counts an ejection by one entry and its end. */
void policy_ejected(model_t *model, view_t *view, size_t target, bool ejected);

/* The probe of an entry for one node. */
void policy_probe(model_t *model, size_t entry, size_t node);

/* One-way delay between two zones. */
mmx_time_t policy_delay(size_t from, size_t to);

#endif
