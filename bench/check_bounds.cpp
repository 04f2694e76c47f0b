// Checks the results of bench-slopes against bounds.json. A bound limits a count, or the ratio of two figures of the
// same run, and never an absolute time, so that the outcome does not depend on the speed of the machine.
//
//     bench-check-bounds RESULT.json BOUNDS.json      exit status 1 if a bound is exceeded
#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <optional>
#include <sstream>

namespace {

namespace json = boost::json;

json::value readFile(const char* path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    json::parse_options options;
    options.allow_comments = true;
    return json::parse(text.str(), {}, options);
}

// Returns the CPU time of the benchmark NAME, or the value of a counter for NAME:COUNTER. If the benchmark was
// repeated, returns the minimum.
double figure(const json::array& results, const std::string& name)
{
    const auto colon = name.find(':');
    std::optional<double> minimum;
    for (const auto& result : results) {
        const bool measurement = result.at("run_type").as_string() == "iteration";
        if (!measurement || result.at("run_name").as_string() != name.substr(0, colon))
            continue;
        const auto value = result.at(colon == std::string::npos ? "cpu_time" : name.substr(colon + 1));
        minimum = std::min(minimum.value_or(std::numeric_limits<double>::max()), value.to_number<double>());
    }
    if (!minimum)
        throw std::runtime_error("no benchmark " + name);
    return *minimum;
}

}

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "bench-check-bounds RESULT.json BOUNDS.json\n";
        return 2;
    }
    const json::value results = readFile(argv[1]);
    const json::value bounds = readFile(argv[2]);
    int exceeded = 0;
    for (const auto& bound : bounds.at("bounds").as_array()) {
        const auto& list = results.at("benchmarks").as_array();
        const std::string name(bound.at("figure").as_string());
        const auto* over = bound.as_object().if_contains("over");
        const double value = figure(list, name) / (over ? figure(list, std::string(over->as_string())) : 1);
        const double most = bound.at("most").to_number<double>();
        const bool withinBound = value <= most;
        exceeded += !withinBound;
        std::cout << (withinBound ? "kept   " : "BROKEN ") << name
                  << (over ? " / " + std::string(over->as_string()) : "") << " = " << value << ", at most " << most
                  << (withinBound ? "" : ", over by " + std::to_string(value - most)) << '\n';
    }
    return exceeded ? 1 : 0;
}
