// Random numbers for jitter, load spreading and ids. Not cryptographically secure.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace cumindale {

uint64_t randomNumber(); // uniform over 64 bits, never 0; each thread has its own generator
Millis randomUpTo(Millis limit); // uniform from 0 to limit, both included

}
