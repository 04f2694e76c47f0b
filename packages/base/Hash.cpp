#include "base/Hash.h"

#include <xxhash.h>

namespace cumindale {

uint64_t pointOfKey(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

}
