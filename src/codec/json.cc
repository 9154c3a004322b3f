#include "codec/json.h"
