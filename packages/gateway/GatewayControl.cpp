#include "gateway/GatewayControl.h"

#include "base/Log.h"
#include "base/Random.h"
#include "peers/Deflate.h"
#include "resources/GrantTableCodec.h"
#include "resources/QuarantineCodec.h"

#include <boost/json.hpp>
#include <cmath>

namespace cumindale {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Millis shortestReportInterval { 100 };
    // Fraction of the report interval that must pass before a report that asks for permits.
    constexpr double minReportIntervalFactor = 0.4;
    constexpr Millis connectionErrorTime { 100 }; // a report that fails sooner met a broken connection, not a timeout
    // Answers that wait for this host's link. With more than this a host's table follows with a later answer, or
    // through the relays: when a fleet starts, all hosts lack it at once, and answers that are late are asked for
    // again. The smallest link, of 10 Mbit/s, carries so much within half of reportTimeout.
    constexpr size_t maxPendingReplyBytes = 262'144;
    constexpr double centi = 100;

    std::string textOf(const Endpoint& endpoint) { return endpoint.address + ":" + std::to_string(endpoint.port); }

    int32_t toMillis32(Millis time) { return static_cast<int32_t>(std::min<int64_t>(time.count(), INT32_MAX)); }

    int32_t toCenti(double value) { return static_cast<int32_t>(std::lround(value * centi)); }

    Millis leaseOf(const GatewaySettings& gateway) { return std::max(gateway.leaderLease, gateway.minStoreLease); }

    CoordinatorOptions coordinatorOptions(const Settings& settings)
    {
        CoordinatorOptions options;
        options.host = settings.host.name;
        options.grants.leaseDuration = std::min(settings.gateway->maxGrantHold, options.grants.leaseDuration);
        options.grants.maxLeaseDuration = settings.gateway->maxGrantHold;
        // The election, the leadership rules and the grant plans must use the same values: a coordinator that acted
        // beyond its lease, or for longer than its successor waits, could leave a key with two holders.
        options.leadership.lease = leaseOf(*settings.gateway);
        options.leadership.maxWithoutStore = options.grants.maxRenewalWithoutStore;
        return options;
    }

    ElectionOptions electionOptions(const Settings& settings, std::function<void()> whenChanged,
        std::function<Millis()> campaignDelay, std::function<bool()> defersToOthers)
    {
        ElectionOptions options;
        options.host = settings.host.name;
        options.address = textOf(settings.host.peers);
        options.lease = leaseOf(*settings.gateway);
        options.callTimeout = Millis(800); // allows for a slow store; a request without an answer is repeated
        options.onLeadershipChange = std::move(whenChanged);
        options.campaignDelay = std::move(campaignDelay);
        options.defersToOthers = std::move(defersToOthers);
        return options;
    }

}

namespace {

    // No value: the item's value is left out, or can't be decoded.
    std::optional<WatchEvent> decodeStoreItem(const wire::StoreItem& item)
    {
        if (item.leftOutBytes > 0)
            return std::nullopt;
        WatchEvent event;
        event.erased = item.erased;
        event.value.key = item.key;
        event.value.value = item.value;
        event.value.modRevision = item.revision;
        event.value.age = Millis(std::max(0, item.ageMillis));
        if (item.plainBytes > 0) {
            auto plain = inflated(item.value, static_cast<size_t>(item.plainBytes));
            if (!plain)
                return std::nullopt;
            event.value.value = std::move(*plain);
        }
        return event;
    }

}

GatewayControl::GatewayControl(asio::any_io_executor executor, const Clock& clock, const Settings& settings,
    const PlatformAdapter& adapter, Store& store, Metrics& metrics, UpdateSink sink)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_updateSink(std::move(sink))
    , m_peerBytes(metrics.counter("peers_bytes_sent"))
    , m_reports(metrics.counter("reports_sent"))
    , m_reportsFailed(metrics.counter("reports_failed"))
    , m_newsTaken(metrics.counter("news_taken"))
    , m_newsGaps(metrics.counter("news_gaps"))
    , m_awaitingAnswered(metrics.counter("awaiting_hosts_answered"))
    , m_view(adapter, clock, settings.gateway->rulesDeadline)
    , m_follower(
          executor, clock, {}, store, m_view, metrics,
          [this](const PlatformView::Change& change) { onViewChange(change); },
          [this](int64_t afterChange, const std::vector<WatchEvent>& events) {
              m_coordinator.onEvents(afterChange, events);
          })
    , m_rulesWatcher(executor, clock, adapter, store, m_view, metrics,
          [this](const PlatformView::Change& change) {
              m_follower.recordOtherAnswer();
              onViewChange(change);
          })
    , m_standbyReader(
          executor, clock, textOf(settings.host.peers), metrics, [this] { return makeStandbyReport(); },
          [this](const wire::HostAdvice& advice, Instant askedAt) { return takeStandbyAnswer(advice, askedAt); })
    , m_election(executor, clock,
          electionOptions(
              settings, [this] { m_coordinator.wake(); }, [this] { return campaignDelay(); },
              [this] { return wouldCoordinateBadly(); }),
          store, m_view, metrics)
    , m_coordinator(executor, clock, adapter, coordinatorOptions(settings), store, m_view, m_election, metrics,
          [this](GrantTable table) { onViewChange(m_view.applyTable(std::move(table))); })
    , m_relay(executor, m_peerBytes)
    , m_permitNeeded(executor)
    , m_server(
          makeCoordinationServer(executor, settings.host.peers.address, settings.host.peers.port, *this, m_peerBytes))
{
}

void GatewayControl::start()
{
    spawnLoop(m_executor, "store-follower", m_follower.run());
    spawnLoop(m_executor, "leader-watch", m_follower.watchLeader());
    spawnLoop(m_executor, "rules-watcher", m_rulesWatcher.run());
    spawnLoop(m_executor, "standby-reader", m_standbyReader.run());
    spawnLoop(m_executor, "election", m_election.run());
    spawnLoop(m_executor, "coordinator", m_coordinator.run());
    spawnLoop(m_executor, "reports", reportLoop());
}

asio::awaitable<void> GatewayControl::leave(Instant until)
{
    m_leaving = true;
    constexpr Millis retryInterval { 200 }; // between attempts while the store is unavailable
    for (;;) {
        const bool resigned = co_await m_election.resign();
        if (resigned || m_clock.now() >= until)
            co_return;
        co_await sleepFor(retryInterval);
    }
}

// --- Updates to the routing thread

bool GatewayControl::pushUpdate(GatewayUpdate update)
{
    update.hasReadStore = m_follower.hasSnapshot();
    const bool pushed = m_updateSink(std::move(update));
    m_pushFailed |= !pushed; // the full state is sent after the next report
    return pushed;
}

void GatewayControl::pushFullUpdate()
{
    m_pushFailed = false;
    GatewayUpdate update;
    update.rules = m_view.rules();
    update.rulesValidity = m_rulesValidity = m_view.rulesFreshness().validity();
    update.servers = m_view.allServers();
    update.allServers = true;
    update.serversAsOf = m_view.lastChange();
    for (const auto& [service, table] : m_view.tables())
        update.tables.push_back(table);
    update.crashes = m_crashNews;
    pushUpdate(std::move(update));
}

void GatewayControl::onViewChange(const PlatformView::Change& change)
{
    if (change.leader) {
        m_election.onLeaderChange();
        m_link.reset();
        if (m_view.leader().host.empty() || m_view.leader().host == m_settings.host.name)
            followWithoutCoordinator();
    }
    GatewayUpdate update;
    update.newCoordinator = change.leader && m_view.leader().modRevision != m_answeringTerm;
    if (change.rules)
        update.rules = m_view.rules();
    if (!change.servers.empty()) {
        update.servers = m_view.changesOf(change.servers);
        update.serversAsOf = m_view.lastChange();
    }
    for (const auto& service : change.tables)
        update.tables.push_back(m_view.table(service));
    update.coordinatorLost = change.leader && m_view.leader().host.empty();
    if (update.newCoordinator || update.coordinatorLost || change.rules || !change.servers.empty()
        || !change.tables.empty())
        pushUpdate(std::move(update));
    pushRulesValidity();
    if (change.quarantine)
        publishCrashes();
    if (change.any())
        m_coordinator.wake();
}

// --- Reports

wire::HostAdvice GatewayControl::onReport(const wire::HostReport& report)
{
    return answerReport(report, m_server->pendingReplyBytes() < maxPendingReplyBytes);
}

void GatewayControl::onAdopt(const wire::News& news)
{
    if (!news.forwardTo.empty())
        m_relay.forward(news);
    handleNews(news);
}

void GatewayControl::handleItems(int64_t afterChange, int64_t lastChange, const std::vector<wire::StoreItem>& items)
{
    std::vector<WatchEvent> events;
    for (const auto& item : items) {
        if (auto event = decodeStoreItem(item)) {
            events.push_back(std::move(*event));
            continue;
        }
        const Millis messageTime = deliveryTimeout(static_cast<size_t>(item.leftOutBytes));
        if (m_view.isRulesKey(item.key))
            expectRules(item.revision, messageTime);
        else
            m_follower.readItemIfMissed(item.key, item.revision, messageTime);
    }
    (afterChange > m_view.lastChange() ? m_newsGaps : m_newsTaken).add();
    onViewChange(m_view.applyNews(afterChange, lastChange, events));
    m_coordinator.onNews(afterChange, lastChange, events, events.size() == items.size());
}

// What the coordinator's history says of the changes before a snapshot is not known here.
void GatewayControl::handleSnapshot(const wire::News& news)
{
    std::vector<KeyValue> entries;
    int32_t age = 0;
    for (const auto& packed : news.packedItems) {
        const auto items = unpackItems(packed);
        if (!items)
            return; // the next report asks for it again
        age = std::max(age, packed.ageMillis);
        for (const auto& item : *items) {
            if (auto event = decodeStoreItem(item))
                entries.push_back(std::move(event->value));
        }
    }
    m_follower.takeSnapshot(news.lastChange, entries, Millis(age));
    m_coordinator.onNews(news.lastChange, news.lastChange, {}, false);
}

void GatewayControl::handleChanges(const wire::News& news)
{
    std::vector<wire::StoreItem> items = news.items;
    bool complete = true; // all items could be read
    for (const auto& packed : news.packedItems) {
        auto unpacked = unpackItems(packed);
        complete = complete && unpacked;
        if (unpacked)
            items.insert(items.end(), unpacked->begin(), unpacked->end());
    }
    // Otherwise this host's next report shows what it has missed.
    if (!items.empty() && complete)
        handleItems(news.afterChange, news.lastChange, items);
}

void GatewayControl::handleNews(const wire::News& news)
{
    if (news.isSnapshot)
        handleSnapshot(news);
    else
        handleChanges(news);
    if (!news.crowded.empty()) {
        GatewayUpdate update;
        update.crowded = news.crowded;
        pushUpdate(std::move(update));
    }
    if (news.crashesEdition)
        updateCrashes(news.crashesEdition, news.suspects, news.quarantined);
    for (const auto& table : news.packedTables)
        handleTable(table);
    for (const auto& text : news.tables) {
        const auto change = decodeGrantChange(text);
        const auto held = change ? m_view.table(change->service) : nullptr;
        if (held && held->edition == change->from)
            onViewChange(m_view.applyTable(applyChange(*held, *change)));
    }
}

void GatewayControl::handleTable(const std::string& text)
{
    if (auto table = decodeGrantTable(text))
        onViewChange(m_view.applyTable(std::move(*table)));
    else
        logChange(LogLevel::Error, "table-refused", { { "from", "coordinator" } });
}

void GatewayControl::handleTable(const wire::PackedTable& packed)
{
    handleTable(inflated(packed.value, static_cast<size_t>(std::max(0, packed.plainBytes))).value_or(std::string()));
}

// Hosts with enough processor time are candidates first, then weaker ones, and hosts that aren't standbys later still:
// a coordinator with little processor time serves its callers worse, and each candidate costs the store two writes.
Millis GatewayControl::campaignDelay() const
{
    constexpr double fullStrength = 0.5; // cores
    constexpr Millis nonStandbyDelay { 250 };
    constexpr Millis maxJitter { 60 };
    const double weakness = std::clamp(1 - m_settings.gateway->strength / fullStrength, 0.0, 1.0);
    const Millis longest = fleetTiming(knownHosts()).weakCandidateDelay;
    const Millis weaknessDelay(std::llround(weakness * static_cast<double>(longest.count())));
    return weaknessDelay + (m_isStandby ? Millis(0) : nonStandbyDelay) + randomUpTo(maxJitter);
}

bool GatewayControl::wouldCoordinateBadly() const { return m_cutOff || m_coordinator.hasSteppedDownRecently(); }

void GatewayControl::onRoutingReport(GatewayReport report)
{
    // Load figures are means over the period of the last report and replace earlier ones. Key usage, crashes and
    // answered suspects accumulate until they are sent.
    m_pendingReport.servers = std::move(report.servers);
    m_pendingReport.lastSharesNumber = report.lastSharesNumber;
    m_pendingReport.leaving = std::move(report.leaving);
    m_pendingReport.rates = std::move(report.rates);
    m_exchangesSlots = report.exchangesSlots;
    m_cutOff = report.cutOff;
    m_coordinator.setCutOff(m_cutOff);
    m_awaitsPermit |= report.urgent;
    if (report.urgent)
        m_permitNeeded.notifyAll();
    m_pendingReport.crashes.insert(m_pendingReport.crashes.end(), report.crashes.begin(), report.crashes.end());
    m_pendingReport.answered.insert(m_pendingReport.answered.end(), report.answered.begin(), report.answered.end());
    for (auto& [service, keys] : report.keys) {
        auto& all = m_pendingReport.keys[service];
        all.insert(all.end(), keys.begin(), keys.end());
    }
}

void GatewayControl::describeHost(wire::HostReport& report) const
{
    report.sender = m_settings.host.name;
    report.dataCentre = m_settings.host.dataCentre;
    report.address = textOf(m_settings.host.peers);
    report.lastChange = m_view.lastChange();
    report.rulesKnown = m_view.rulesFreshness().revision();
    report.strengthCenti = toCenti(m_settings.gateway->strength);
    report.ratesKnown = m_ratesEdition;
    report.readsPacked = true;
    report.brokersKnown = m_brokers ? m_brokers->edition : 0;
    report.brokersSlots = m_exchangesSlots && m_settings.gateway->slotBrokers != SlotBrokerMode::Off;
    report.cutOff = m_cutOff;
    const unsigned forwardPortOffset = m_settings.gateway->forwardPortOffset;
    if (forwardPortOffset && !m_leaving)
        report.forwardPort = static_cast<int32_t>(m_settings.host.peers.port + forwardPortOffset);
    report.forwardTargetsKnown = m_forwardTargetsChecksum;
    report.standbysKnown = m_standbyReader.standbysChecksum();
    report.answersAwaiting = true;
    report.needsSnapshot = m_follower.needsSnapshot();
}

wire::HostReport GatewayControl::makeReport()
{
    wire::HostReport report;
    describeHost(report);
    for (const auto& [name, table] : m_view.tables()) {
        wire::ServiceUse service;
        service.serviceName = name;
        service.term = table->edition.term;
        service.edition = static_cast<int64_t>(table->edition.edition);
        for (const auto& use : m_pendingReport.keys[name]) {
            wire::KeyUse key;
            key.key = static_cast<int32_t>(use.key);
            key.busyMicros = static_cast<int32_t>(std::min<uint64_t>(use.busyMicros, INT32_MAX));
            service.keys.push_back(key);
        }
        report.services.push_back(std::move(service));
    }
    for (const auto& [id, use] : m_pendingReport.servers) {
        wire::ServerUse server;
        server.server = id;
        server.inFlightCenti = toCenti(use.inFlight);
        server.waitingCenti = toCenti(use.waiting);
        server.workMicros = static_cast<int32_t>(use.meanWork.count() * 1000);
        server.present = static_cast<int32_t>(use.present + unseenPermits(id));
        server.waitingNow = static_cast<int32_t>(use.waitingNow);
        server.overdue = static_cast<int32_t>(use.overdue);
        report.servers.push_back(std::move(server));
    }
    for (const auto& crash : m_pendingReport.crashes) {
        wire::ServerCrash& reportedCrash = report.crashes.emplace_back();
        reportedCrash.server = crash.server;
        reportedCrash.requests.assign(crash.requests.begin(), crash.requests.end());
    }
    report.answered.assign(m_pendingReport.answered.begin(), m_pendingReport.answered.end());
    report.released.assign(m_unreportedReleases.begin(), m_unreportedReleases.end());
    report.leaving = m_pendingReport.leaving;
    for (const auto& knownRate : m_pendingReport.rates) {
        wire::ServerRate& rate = report.rates.emplace_back();
        rate.server = knownRate.server;
        rate.limited = knownRate.limit.has_value();
        rate.perSecond = knownRate.limit.value_or(0);
        rate.ageMillis = toMillis32(m_clock.now() - knownRate.at);
    }
    report.adviceTerm = m_lastAdviceTerm;
    report.adviceAnsweredAt = m_lastAdviceAnsweredAt;
    report.adviceAgeMillis = toMillis32(m_clock.now() - m_lastAdvice);
    m_pendingReport = {};
    return report;
}

// The routing thread's figures may be older than the last permits. Requests that those permits allow count as present
// at the server, or the coordinator would issue further permits for the same capacity.
unsigned GatewayControl::unseenPermits(const std::string& server) const
{
    if (!m_shares || m_pendingReport.lastSharesNumber >= m_shares->number)
        return 0;
    const auto advice = m_shares->servers.find(server);
    return advice == m_shares->servers.end() ? 0 : advice->second.permits;
}

namespace {

    ServerAdvice decodeServerAdvice(const wire::ServerShare& share)
    {
        ServerAdvice advice;
        advice.kind = share.crowded ? ServerAdvice::Kind::Permits : ServerAdvice::Kind::Share;
        advice.share = share.slotsCenti / centi;
        advice.permits = static_cast<unsigned>(std::max(0, share.permits));
        advice.permitInterval = Millis(std::max(0, share.pauseMillis));
        return advice;
    }

}

void GatewayControl::handleAdvice(
    const wire::HostAdvice& advice, std::span<const std::string> reportedServers, Instant reportedAt)
{
    handleNews(advice.missed);
    m_view.setReportInterval(Millis(advice.reportMillis));
    takeRulesConfirmation(advice, reportedAt);
    m_view.confirmUnchanged(advice.lastChange, advice.storeRevision);
    for (const auto& text : advice.tables)
        handleTable(text);
    for (const auto& table : advice.packedTables)
        handleTable(table);
    m_isStandby = advice.standsBy;
    const ConfirmationTiming timing
        = confirmationTiming(m_settings.gateway->rulesDeadline, Millis(advice.reportMillis));
    m_reportInterval = std::clamp(timing.reportInterval, shortestReportInterval, maxReportInterval);
    m_follower.setWatchDuration(timing.watchDuration);
    m_rulesWatcher.setDocumentWait(timing.documentWait);
    m_mostHosts = std::max(m_mostHosts, static_cast<size_t>(std::max(1, advice.hosts)));
    m_follower.setMaxShortOutage(fleetTiming(knownHosts()).maxShortOutage);
    m_follower.setHosts(knownHosts());
    if (!advice.sendsSnapshots)
        m_follower.readWithoutSnapshot();
    const auto shares = std::make_shared<HostShares>();
    shares->number = m_shares ? m_shares->number + 1 : 1;
    shares->hosts = static_cast<size_t>(std::max(1, advice.hosts));
    for (const auto& server : reportedServers)
        shares->servers[server]; // servers that the answer leaves out are not limited
    for (const auto& share : advice.shares)
        shares->servers[share.server] = decodeServerAdvice(share);
    if (advice.ratesEdition != m_ratesEdition) {
        auto limits = std::make_shared<RateLimits>();
        for (const auto& rate : advice.rates)
            limits->emplace(rate.server, rate.perSecond);
        m_limits = std::move(limits);
        m_ratesEdition = advice.ratesEdition;
    }
    shares->limits = m_limits;
    updateBrokers(advice);
    shares->brokers = m_brokers;
    updateForwardTargets(advice);
    m_standbyReader.setStandbys(advice.standbysChecksum, advice.standbys, advice.answeringHosts);
    shares->forwardTargets = m_forwardTargets;
    m_shares = shares;
    GatewayUpdate update;
    update.shares = shares;
    update.newCoordinator = std::exchange(m_answeringTerm, advice.term) != advice.term;
    pushUpdate(std::move(update));
    updateCrashes(advice.crashesEdition, advice.suspects, advice.quarantined);
}

// A coordinator that has planned no list yet, or is of a version that plans none, leaves the list as it is.
void GatewayControl::updateBrokers(const wire::HostAdvice& advice)
{
    if (!advice.brokersEdition || (m_brokers && m_brokers->edition == advice.brokersEdition))
        return;
    BrokerList list { advice.brokersEdition };
    for (const auto& broker : advice.brokers)
        list.brokers.push_back({ broker.host, broker.dataCentre, broker.address });
    m_brokers = std::make_shared<const BrokerList>(std::move(list));
}

void GatewayControl::updateForwardTargets(const wire::HostAdvice& advice)
{
    if (!advice.forwardTargetsChecksum || advice.forwardTargetsChecksum == m_forwardTargetsChecksum)
        return;
    m_forwardTargetsChecksum = advice.forwardTargetsChecksum;
    std::vector<ForwardTarget> targets;
    for (const auto& target : advice.forwardTargets)
        targets.push_back({ target.host, target.dataCentre, target.address });
    m_forwardTargets = std::make_shared<const std::vector<ForwardTarget>>(std::move(targets));
}

// News messages and answers to reports may arrive out of order, so older editions are ignored.
void GatewayControl::updateCrashes(
    int64_t edition, std::span<const int64_t> suspects, std::span<const int64_t> quarantined)
{
    if (edition < m_crashesEdition)
        return;
    m_crashesEdition = edition;
    m_suspects = { suspects.begin(), suspects.end() };
    m_quarantined = { quarantined.begin(), quarantined.end() };
    publishCrashes();
}

// Until a coordinator has answered, the quarantine list in the store applies.
void GatewayControl::publishCrashes()
{
    CrashUpdate news { m_suspects, m_quarantined };
    if (!m_answeringTerm) {
        for (const auto& request : m_view.quarantine())
            news.quarantined.insert(request.request);
    }
    if (m_crashNews && *m_crashNews == news)
        return;
    m_crashNews = std::make_shared<const CrashUpdate>(std::move(news));
    GatewayUpdate update;
    update.crashes = m_crashNews;
    pushUpdate(std::move(update));
}

void GatewayControl::releaseFromQuarantine(Fingerprint request)
{
    logChange(LogLevel::Info, "quarantine-release-asked", { { "fingerprint", formatFingerprint(request) } });
    m_unreportedReleases.push_back(request);
}

std::string GatewayControl::quarantineText() const
{
    json::array requests;
    for (const Fingerprint request : m_crashNews ? m_crashNews->quarantined : std::set<Fingerprint> {})
        requests.emplace_back(formatFingerprint(request));
    json::array suspects;
    for (const Fingerprint request : m_crashNews ? m_crashNews->suspects : std::set<Fingerprint> {})
        suspects.emplace_back(formatFingerprint(request));
    return json::serialize(json::object { { "quarantined", requests }, { "suspects", suspects } }) + "\n";
}

// No value: no answer, or an address that can't be used.
asio::awaitable<std::optional<wire::HostAdvice>> GatewayControl::reportTo(std::string address, wire::HostReport report)
{
    if (!m_link || m_linkAddress != address)
        m_link = makeCoordinationLink(m_executor, address, m_peerBytes);
    m_linkAddress = address;
    if (!m_link)
        co_return std::nullopt;
    m_reports.add();
    // The link is moved out of the member while in use, since a change of leader resets the member.
    auto link = std::move(m_link);
    std::optional<wire::HostAdvice> advice = co_await link->report(report, reportTimeout);
    if (!advice)
        m_reportsFailed.add();
    else if (!m_link && m_linkAddress == address)
        m_link = std::move(link);
    co_return advice;
}

asio::awaitable<void> GatewayControl::reportOnce()
{
    const LeaderView leader = m_view.leader(); // a copy, since the view may change while the report is in flight
    std::optional<wire::HostAdvice> advice;
    wire::HostReport report = makeReport();
    std::vector<std::string> reportedServers;
    for (const auto& use : report.servers)
        reportedServers.push_back(use.server);
    const auto releases = static_cast<std::ptrdiff_t>(report.released.size());
    m_lastReport = m_clock.now();
    m_awaitsPermit = false;
    if (leader.host == m_settings.host.name) {
        m_linkAddress.clear();
        advice = answerReport(report, true);
    } else if (!leader.address.empty()) {
        advice = co_await reportTo(leader.address, report);
        // A connection reset doesn't show that the coordinator is unavailable, so the report is sent once more over a
        // new connection. When resets counted as missing answers, resetting the connections of half of the hosts made
        // each of them read the whole store.
        const bool connectionFailed = !advice && m_clock.now() - m_lastReport < connectionErrorTime;
        if (connectionFailed)
            advice = co_await reportTo(leader.address, report);
    }
    const bool answers = advice && advice->coordinates;
    if (!answers)
        m_answeringTerm = 0; // the next coordinator to answer is sent the contents of this report again
    if (answers) {
        m_lastAdvice = m_clock.now();
        m_lastAdviceTerm = advice->term;
        m_lastAdviceAnsweredAt = advice->answeredAt;
    }
    // One unanswered report before the interval has passed doesn't change the coordinator's state: the next report
    // decides.
    if (!answers && m_clock.now() - m_lastAdvice < m_reportInterval)
        co_return;
    if (answers != m_coordinatorAnswers)
        logChange(answers ? LogLevel::Info : LogLevel::Warning, answers ? "coordinator-answers" : "coordinator-silent",
            { { "coordinator", leader.host }, { "term", leader.modRevision } });
    m_coordinatorAnswers = answers;
    if (answers) {
        // Others may have been asked for while the report was on its way.
        m_unreportedReleases.erase(m_unreportedReleases.begin(), m_unreportedReleases.begin() + releases);
        handleAdvice(*advice, reportedServers, m_lastReport);
    }
    if (!answers || m_election.isLeader() || isAskedByAwaitingHosts()
        || Millis(advice->storeSilentMillis) > maxStoreSilence) {
        followWithoutCoordinator();
        co_return;
    }
    m_standbyReader.stop();
    m_follower.followCoordinator(
        advice->missedLater ? m_view.lastChange() : advice->lastChange, Millis(advice->storeSilentMillis), m_isStandby);
}

// Hosts of a large fleet that start together must not go on reporting together until one answers: a new coordinator,
// which has a fraction of a core, would not renew its leadership in time. By the first report the size of the fleet is
// known.
asio::awaitable<void> GatewayControl::spreadReports()
{
    const Millis interval = fleetTiming(knownHosts()).reportInterval;
    if (!m_coordinatorAnswers)
        m_reportInterval = interval;
    co_await sleepFor(randomUpTo(interval - minReportInterval));
}

asio::awaitable<void> GatewayControl::reportLoop()
{
    for (bool isFirst = true;; isFirst = false) {
        if (!m_awaitsPermit)
            co_await m_permitNeeded.wait(m_reportInterval);
        const auto minInterval = std::chrono::duration_cast<Millis>(m_reportInterval * minReportIntervalFactor);
        const Millis elapsed = m_clock.now() - m_lastReport;
        if (elapsed < minInterval)
            co_await sleepFor(minInterval - elapsed);
        m_coordinator.setTimeSinceStoreAnswer(m_clock.now() - m_follower.lastAnswer());
        co_await reportOnce();
        if (isFirst)
            co_await spreadReports();
        if (m_pushFailed)
            pushFullUpdate();
    }
}

namespace {

    size_t countHolders(const GrantTable& table, const ServerMap& servers, const std::string& dataCentre)
    {
        std::set<std::string_view> holders;
        for (const auto& range : table.ranges) {
            const auto server = servers.find(range.holder);
            if (server != servers.end() && server->second.dataCentre == dataCentre)
                holders.insert(range.holder);
        }
        return holders.size();
    }

}

std::string GatewayControl::statusText() const
{
    json::object status;
    status["host"] = m_settings.host.name;
    addRulesStatus(status);
    status["storeRevision"] = m_view.revision();
    status["coordinator"] = m_view.leader().host;
    status["term"] = m_view.leader().modRevision;
    status["coordinates"] = m_election.isLeader();
    json::array servers;
    for (const auto& [id, server] : *m_view.servers())
        servers.push_back(json::object { { "id", id }, { "service", server.service }, { "leaving", server.leaving } });
    status["servers"] = std::move(servers);
    json::array evacuated;
    for (const auto& [centre, since] : m_view.evacuations()) {
        size_t holders = 0; // servers in the data centre that still hold keys, including keys being moved away
        for (const auto& [service, table] : m_view.tables())
            holders += countHolders(*table, *m_view.servers(), centre);
        evacuated.push_back(json::object {
            { "dataCentre", centre }, { "sinceMs", (m_clock.now() - since).count() }, { "keyHolders", holders } });
    }
    status["evacuated"] = std::move(evacuated);
    json::array tables;
    for (const auto& [service, table] : m_view.tables()) {
        const auto parsed = json::parse(encodeGrantTable(*table));
        tables.push_back(parsed);
    }
    status["tables"] = std::move(tables);
    return json::serialize(status);
}

}
