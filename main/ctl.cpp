#include <bamboogate/operations/ctl.hpp>

#include <fmt/format.h>

#include <cstdio>

int main(int argc, char** argv)
{
    using namespace bamboogate;
    net::event_loop loop;
    const auto code = operations::run_ctl(
        loop, config::arguments_of(argc, argv), config::process_environment(),
        {.output =
             [](std::string_view text) { fmt::print(stdout, "{}", text); },
         .diagnostics =
             [](std::string_view text) { fmt::print(stderr, "{}", text); }});
    return config::to_int(code);
}
