#include "daemon/settings.h"
