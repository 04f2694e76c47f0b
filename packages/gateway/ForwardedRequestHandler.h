// Passes requests that other hosts forward to the gateway, and their queries, from the server at the port for these.
#pragma once

#include "gateway/Gateway.h"
#include "gateway/ReachQueries.h"

namespace cumindale {

class ForwardedRequestHandler final : public RequestHandler {
public:
    explicit ForwardedRequestHandler(Gateway& gateway)
        : m_gateway(gateway)
    {
    }

    RequestPolicy requestPolicy(const CallerHeader& header) override
    {
        return queriedServer(header).empty() ? m_gateway.requestPolicy(header) : RequestPolicy {};
    }
    boost::asio::awaitable<CallerResponse> handle(CallerRequest& request, CallerConnection& connection) override
    {
        if (!queriedServer(request).empty())
            return m_gateway.handleReachQuery(std::string(queriedServer(request)));
        return m_gateway.handleForwarded(request, connection);
    }
    CallerResponse errorResponse(ErrorKind error, const CallerHeader& header) override
    {
        return m_gateway.forwardedErrorResponse(error, header);
    }
    bool ready() const override { return m_gateway.ready(); }

private:
    Gateway& m_gateway;
};

}
