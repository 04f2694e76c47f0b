// At the coordinator: the load of each server from the hosts' reports, and the share or permits that each host gets.
//
// decisions/SlotShares.h makes the decisions, with one SlotDemand for each server; this class converts from and to the
// messages of the wire protocol.
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
    // `defaultWorkMillis`: assumed duration of one request at a server without reports.
    ServerShares(ShareOptions, double defaultWorkMillis);

    // --- From reports
    void setHosts(size_t hosts, Millis interval); // `hosts` report, each once in `interval`
    void report(const std::string& host, const wire::ServerUse&, unsigned slots, Instant now);
    void forget(std::string_view host);
    void clear();

    // --- Answers
    // The host's share of the server, or its permits; no value if the server has room. `keyed`: the server holds keys,
    // so requests wait for it. Without keys, requests go to other servers instead of waiting, and a rate-limited server
    // gets work only if permits are given before requests arrive.
    std::optional<wire::ServerShare> shareFor(
        const std::string& host, const std::string& server, unsigned slots, bool keyed, Instant now);
    double workMillis(const std::string& server) const; // of one request, mean over hosts and time; 0: not known

    // --- Rate limits that servers announce
    GlobalRateLimiter& rates() { return m_rates; }
    const GlobalRateLimiter& rates() const { return m_rates; }

    // --- Crowded servers
    // Call when a key that overloads its server moves to this one. `busyMillis`: the key's demand, in ms of work of
    // default duration per second. False: the key won't overload this server.
    bool expectCrowd(const std::string& server, unsigned slots, double busyMillis, Instant now);
    // Those of the crowded servers of which all hosts must be told now.
    std::vector<std::string> crowdsToAnnounce(std::span<const std::string> crowded, Instant now);

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
    // Servers that need permits, with the time at which a report last showed them as crowded.
    std::map<std::string, Instant, std::less<>> m_crowded;
    std::map<std::string, State, std::less<>> m_servers;
    GlobalRateLimiter m_rates;
};

}
