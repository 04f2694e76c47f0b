// Hash of a host and a server, for choices that each host makes for itself and that must spread evenly over all hosts.
#pragma once

#include <cstdint>
#include <string_view>

namespace cumindale {

uint64_t rendezvousHash(std::string_view host, std::string_view server); // the same on every host and platform

}
