// Client for the platform's list of live and leaving entry hosts. The list is eventually consistent: a listed host
// may be dead, and a live host may not be listed yet.
//
// GET /hosts returns {"hosts":[{"name","dataCentre","address","peerPort","callerPort","operatorPort","leaving"}]}.
#pragma once

#include "base/Time.h"
#include "decisions/Roster.h"
#include "web/HttpClient.h"

#include <optional>
#include <vector>

namespace cumindale {

struct ListedHost {
    Member member;
    bool leaving = false;
};

class HostList {
public:
    virtual ~HostList() = default;
    virtual boost::asio::awaitable<std::optional<std::vector<ListedHost>>> read(Millis timeout) = 0;
};

class HttpHostList final : public HostList {
public:
    HttpHostList(boost::asio::any_io_executor, std::string address, uint16_t port);
    boost::asio::awaitable<std::optional<std::vector<ListedHost>>> read(Millis timeout) override;

private:
    HttpClient m_client;
};

}
