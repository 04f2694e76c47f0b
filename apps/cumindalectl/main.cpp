// cumindalectl: command line client for operators and developers.
#include "Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <charconv>
#include <iostream>

ABSL_FLAG(std::string, host, "127.0.0.1:7103", "administration API of an entry host, ADDRESS:PORT");
ABSL_FLAG(std::string, token, "", "bearer token for writes; the host's operatorToken");
ABSL_FLAG(std::string, output, "json", "output format: json or table");
ABSL_FLAG(std::string, file, "", "apply: file with one resource or {\"resources\": [...]}; - reads standard input");
ABSL_FLAG(std::string, service, "", "explain: the service that the key belongs to");
ABSL_FLAG(
    std::string, operation_id, "", "apply, delete: id of the write; a retry with the same id is not written twice");
ABSL_FLAG(int64_t, expected_revision, -1, "apply, delete: write only if the resource is at this revision; 0: absent");
ABSL_FLAG(bool, wait, false, "apply, delete: wait until the write is in force on every host");

namespace {

bool readEndpoint(const std::string& text, cumindale::CommandOptions& options)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    options.address = text.substr(0, colon);
    const auto* first = text.data() + colon + 1;
    const auto result = std::from_chars(first, text.data() + text.size(), options.port);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "queries and changes a cumindale system.\n"
        "  cumindalectl get [KIND [NAME]]\n"
        "  cumindalectl apply --file FILE [--expected_revision N] [--wait]\n"
        "  cumindalectl delete KIND NAME [--expected_revision N] [--wait]\n"
        "  cumindalectl watch\n"
        "  cumindalectl explain KEY --service SERVICE\n"
        "  cumindalectl status\n"
        "  cumindalectl drain SERVER [--wait]\n"
        "  cumindalectl trace TRACE-ID\n"
        "  cumindalectl evacuate DATA-CENTRE [--wait]; taken back by delete Evacuation DATA-CENTRE\n"
        "  cumindalectl quarantine list | quarantine clear REQUEST\n"
        "Exit status: 0 done, 1 rejected, 2 bad usage, 3 conflict, 4 unavailable, 5 not yet in force.");
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("cumindalectl " CUMINDALE_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    const auto rest = absl::ParseCommandLine(argc, argv);

    cumindale::CommandOptions options;
    if (!readEndpoint(absl::GetFlag(FLAGS_host), options)) {
        std::cerr << "cumindalectl: --host must be ADDRESS:PORT\n";
        return cumindale::ExitUsage;
    }
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "json" && output != "table") {
        std::cerr << "cumindalectl: --output must be json or table\n";
        return cumindale::ExitUsage;
    }
    options.table = output == "table";
    options.token = absl::GetFlag(FLAGS_token);
    options.file = absl::GetFlag(FLAGS_file);
    options.service = absl::GetFlag(FLAGS_service);
    options.operationId = absl::GetFlag(FLAGS_operation_id);
    options.wait = absl::GetFlag(FLAGS_wait);
    if (absl::GetFlag(FLAGS_expected_revision) >= 0)
        options.expectedRevision = absl::GetFlag(FLAGS_expected_revision);
    return cumindale::runCommand(options, { rest.begin() + 1, rest.end() });
}
