#ifndef OLEANDERGAUGE_OLEANDERGAUGE_H
#define OLEANDERGAUGE_OLEANDERGAUGE_H

/// The public header of the library. It provides scheduling decisions, leases,
/// the journal, quota grants, configuration freshness and membership as state
/// machines without I/O.

#include "oleandergauge/allotment.h"
#include "oleandergauge/base.h"
#include "oleandergauge/config.h"
#include "oleandergauge/estimator.h"
#include "oleandergauge/health.h"
#include "oleandergauge/journal.h"
#include "oleandergauge/lease.h"
#include "oleandergauge/membership.h"
#include "oleandergauge/partition.h"
#include "oleandergauge/scheduler.h"
#include "oleandergauge/table.h"

#endif // OLEANDERGAUGE_OLEANDERGAUGE_H
