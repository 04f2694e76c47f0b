// What the coordinator knows of the load of each server from the hosts' reports, and what each host may send there.
//
// The decisions are in decisions/SlotShares.h, one SlotDemand a server; here is what joins them to the wire.
#pragma once

#include "decisions/RateLimit.h"
#include "decisions/RouteRules.h"
#include "decisions/SlotShares.h"
#include "peers/Coordination.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cumindale {

class ServerShares {
public:
    // `defaultWorkMillis`: of one request, at a server of which nothing is known.
    ServerShares(ShareOptions, double defaultWorkMillis);

    // --- From reports
    void setHosts(size_t hosts, Millis interval); // that report, each once in `interval`
    void report(const std::string& host, const wire::ServerUse&, unsigned slots, Instant now);
    void forget(std::string_view host);
    void clear();

    // --- Answers
    // Nothing: it has room. `keyed`: it holds keys, so that requests wait for it; without keys others do the work, and
    // it gets something only if permits come before the requests.
    std::optional<wire::ServerShare> shareFor(
        const std::string& host, const std::string& server, unsigned slots, bool keyed, Instant now);
    double workMillis(const std::string& server) const; // mean over hosts and time; 0: not known

    // --- Limits that servers name
    GlobalRateLimiter& rates() { return m_rates; }
    const GlobalRateLimiter& rates() const { return m_rates; }

    // --- Crowds
    // A key that crowds its server moves to this one. `busyMillis`: of usual work a second that it asks for. False:
    // that is no crowd there.
    bool expectCrowd(const std::string& server, unsigned slots, double busyMillis, Instant now);
    std::vector<std::string> crowdsToAnnounce(
        std::span<const std::string> crowded, Instant now); // which all hosts must hear of

private:
    struct State {
        explicit State(const ShareOptions& options)
            : demand(options)
        {
        }

        SlotDemand demand;
        double workMillis = 0; // 0: not known
        Instant crowdAnnouncedAt {};
    };

    State& stateOf(const std::string& server);
    bool crowded(const std::string& server, State&, unsigned slots, Instant now);
    bool mayBeCrowded(const std::string& server, unsigned slots, Instant now);
    double workOrDefault(const State&) const;

    ShareOptions m_options;
    double m_defaultWorkMillis;
    size_t m_hosts = 0;
    Millis m_reportInterval { 250 };
    // Servers to which nothing goes without a permit, and when a report last said so.
    std::map<std::string, Instant, std::less<>> m_crowded;
    std::map<std::string, State, std::less<>> m_servers;
    GlobalRateLimiter m_rates;
};

}
