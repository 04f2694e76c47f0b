// Random numbers for spreading and for ids; not for secrets.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace cumindale {

uint64_t randomNumber(); // uniform over 64 bits, never 0; a generator for each thread
Millis randomBelow(Millis limit); // 0 to limit, both included

}
