// The quarantined requests as they lie in the store. Times there are on the wall clock: the host that reads them is
// another one, perhaps much later.
#pragma once

#include "decisions/CrashEvidence.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

std::string quarantineKey(); // in the store

std::string encodeQuarantine(std::span<const QuarantinedRequest>, Instant now, int64_t unixMillis);
// What can't be read is left out, with a line.
std::vector<QuarantinedRequest> decodeQuarantine(std::string_view text, Instant now, int64_t unixMillis);

std::string formatFingerprint(Fingerprint); // 16 hexadecimal digits
std::optional<Fingerprint> parseFingerprint(std::string_view text);

}
