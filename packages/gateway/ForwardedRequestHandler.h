// Passes requests that other hosts forward to the gateway, from the server at the port for such requests.
#pragma once

#include "gateway/Gateway.h"

namespace cumindale {

class ForwardedRequestHandler final : public RequestHandler {
public:
    explicit ForwardedRequestHandler(Gateway& gateway)
        : m_gateway(gateway)
    {
    }

    RequestPolicy requestPolicy(const CallerHeader& header) override { return m_gateway.requestPolicy(header); }
    boost::asio::awaitable<CallerResponse> handle(CallerRequest& request, CallerConnection& connection) override
    {
        return m_gateway.handleForwarded(request, connection);
    }
    CallerResponse errorResponse(ErrorKind error) override { return m_gateway.forwardedErrorResponse(error); }
    bool ready() const override { return m_gateway.ready(); }

private:
    Gateway& m_gateway;
};

}
