// Interface to a deployment's platform: translates its headers, store entries and documents into the router's types and
// back. There is one implementation for each platform; it contains no decisions.
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

// Names of the headers that callers, hosts and servers exchange with a request.
struct RequestHeaderNames {
    std::string requestId; // id of one attempt of a caller; servers echo it
    std::string timeLeft; // how much longer the caller waits, in whole milliseconds
    std::string signature; // on responses that come from a server itself
    std::string targetServer; // name of the intended server; any other refuses with 421
    std::string notExecuted; // on responses: the server did not run the request
    std::string server; // on responses: the server's name
    std::string key; // number of the request's key, in decimal
    std::string leaving; // on responses: "1" if the server is shutting down
    std::string limit; // on responses: requests a second that the server accepts from all hosts together, in decimal
};

// Kind of an entry in the store.
enum class StoreItem : uint8_t {
    Rules,
    Server,
    Evacuation, // of a data centre, while the entry exists
    Other,
};

// The operators' configuration document, as far as this version understands it.
struct ParsedRules {
    RouteRules rules;
    std::vector<FieldError> problems; // one for each part that was ignored, or read in its strictest meaning
    bool incomplete = false; // routes or limits couldn't be read, so what the rules don't allow may be allowed
};

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;

    virtual std::unique_ptr<Store> makeStore(
        boost::asio::any_io_executor, std::string address, uint16_t port) const = 0;
    virtual const RequestHeaderNames& headers() const = 0;
    virtual std::string_view readinessPath() const = 0; // polled by the load balancer

    // --- Entries of the store that belong to the platform
    virtual StoreItem itemOf(std::string_view key) const = 0;
    virtual std::string_view rulesKey() const = 0; // of the operators' document
    virtual std::string serverNameIn(std::string_view key) const = 0;
    virtual std::string dataCentreIn(std::string_view key) const = 0; // of an evacuation
    // Each fails with a FieldError: parseRules() if the text is no valid document, parseServer() if the entry describes
    // no usable server.
    virtual boost::leaf::result<ParsedRules> parseRules(std::string_view text) const = 0;
    virtual boost::leaf::result<RegisteredServer> parseServer(std::string_view name, std::string_view text) const = 0;

    // --- Grant orders to servers
    virtual HttpCall callFor(const GrantOrder&) const = 0;
    virtual OrderResult resultOf(const GrantOrder&, const HttpReply&) const = 0; // of a response that arrived
    virtual std::string handoverIn(const HttpReply&) const = 0;
};

}
