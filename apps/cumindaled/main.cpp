// cumindaled: the daemon that runs on every entry host.
//
// Exit status: 0 stopped normally or settings valid, 1 failed while running, 2 invalid command line or settings.
#include "GatewayHost.h"
#include "Host.h"

#include "base/Log.h"
#include "resources/ResourceCodec.h"
#include "resources/Settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace {

constexpr int badUsage = 2;

// Gives large blocks back to the system as soon as they are freed. Otherwise the allocator raises its threshold by
// itself and keeps the freed storage of large bodies, in pieces that other bodies don't fit into.
void keepLargeBlocksApart()
{
    constexpr int bytes = 131'072;
    mallopt(M_MMAP_THRESHOLD, bytes);
}

}

int main(int argc, char** argv)
{
    keepLargeBlocksApart();
    absl::SetProgramUsageMessage("routes callers' requests to the single owner of each key.\n"
                                 "  cumindaled --settings FILE [--check]");
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("cumindaled " CUMINDALE_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    const auto rest = absl::ParseCommandLine(argc, argv);

    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty() || rest.size() > 1) {
        std::cerr << "cumindaled: --settings FILE is required, and no other arguments; see --help\n";
        return badUsage;
    }
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        std::cerr << "cumindaled: " << file << ": can't be read\n";
        return badUsage;
    }
    cumindale::Settings settings;
    const auto fault = cumindale::fieldErrorOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings, cumindale::parseSettings(text.str()));
        return {};
    });
    if (fault) {
        std::cerr << "cumindaled: " << file << ": " << fault->text() << '\n';
        return badUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": ok\n";
        return 0;
    }
    const int status = settings.gateway ? cumindale::runGatewayHost(settings, file) : cumindale::runHost(settings);
    cumindale::stopLog();
    return status;
}
