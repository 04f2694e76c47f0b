// What a deployment's platform says in its own words, in ours. One implementation for each platform; it only
// translates and decides nothing.
#pragma once

#include "decisions/GrantPlan.h"
#include "decisions/RouteRules.h"
#include "resources/FieldReader.h"
#include "store/Store.h"
#include "web/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace cumindale {

// Headers by which callers, hosts and servers speak of a request.
struct RequestHeaderNames {
    std::string requestId; // of one try of a caller; servers echo it
    std::string timeLeft; // whole milliseconds that the caller goes on waiting
    std::string signature; // on what a server itself answered
    std::string targetServer; // the server that is meant; any other refuses with 421
    std::string notExecuted; // on answers: the server did not run the request
    std::string server; // on answers: the server's name
    std::string key; // number of the request's key, in decimals
    std::string leaving; // on answers: "1" if the server is about to leave
    std::string limit; // on answers: requests a second that the server takes from all hosts together, in decimals
};

// Which item of the store an entry is.
enum class StoreItem : uint8_t {
    Rules,
    Server,
    Evacuation, // of a data centre, for as long as the item is there
    Other,
};

// The operators' document as far as this version understands it.
struct ParsedRules {
    RouteRules rules;
    std::vector<FieldFault> problems; // one for each part that was left out or taken at its strictest
};

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;

    virtual std::unique_ptr<Store> makeStore(
        boost::asio::any_io_executor, std::string address, uint16_t port) const = 0;
    virtual const RequestHeaderNames& headers() const = 0;
    virtual std::string_view readinessPath() const = 0; // asked by the balancer

    // --- What the store holds besides our own keys
    virtual StoreItem itemOf(std::string_view key) const = 0;
    virtual std::string serverNameIn(std::string_view key) const = 0;
    virtual std::string dataCentreIn(std::string_view key) const = 0; // of an evacuation
    // Each fails with a FieldFault: rules that are no document at all, an entry that names no server to use.
    virtual boost::leaf::result<ParsedRules> parseRules(std::string_view text) const = 0;
    virtual boost::leaf::result<RegisteredServer> parseServer(std::string_view name, std::string_view text) const = 0;

    // --- Orders to servers
    virtual HttpCall callFor(const GrantOrder&) const = 0;
    virtual OrderResult resultOf(const GrantOrder&, const HttpReply&) const = 0; // of an answer that arrived
    virtual std::string handoverIn(const HttpReply&) const = 0;
};

}
