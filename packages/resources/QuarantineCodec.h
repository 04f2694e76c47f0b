// JSON encoding of the quarantined requests in the store. Times are stored as wall-clock time because another host may
// read them, possibly much later.
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
// Invalid entries are logged and skipped.
std::vector<QuarantinedRequest> decodeQuarantine(std::string_view text, Instant now, int64_t unixMillis);

std::string formatFingerprint(Fingerprint); // 16 hexadecimal digits
std::optional<Fingerprint> parseFingerprint(std::string_view text);

}
