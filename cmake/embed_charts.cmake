# Embeds the charts in a generated source file, so that a program needs no file
# at run time and always uses the charts that its code was tested with.
file(GLOB charts CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/charts/*.json")
list(SORT charts)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${charts})

set(entries "")
foreach(chart ${charts})
    get_filename_component(name "${chart}" NAME_WE)
    file(READ "${chart}" text)
    string(APPEND entries "    {\"${name}\", R\"chart(${text})chart\"},\n")
endforeach()
file(CONFIGURE OUTPUT "${CMAKE_BINARY_DIR}/generated/embedded_charts.cpp"
    CONTENT [[
#include <bamboogate/core/chart_definition.hpp>

#include <utility>

namespace bamboogate {

namespace {

constexpr std::pair<std::string_view, std::string_view> charts[] = {
@entries@};

} // namespace

result<std::string_view> embedded_chart(std::string_view name)
{
    for (const auto& [chart, text] : charts) {
        if (chart == name) {
            return text;
        }
    }
    return fail(errc::not_found, "no chart " + std::string(name));
}

std::vector<std::string_view> embedded_chart_names()
{
    std::vector<std::string_view> names;
    for (const auto& [chart, text] : charts) {
        names.push_back(chart);
    }
    return names;
}

} // namespace bamboogate
]] @ONLY)
set(BAMBOOGATE_CHARTS_SOURCE
    "${CMAKE_BINARY_DIR}/generated/embedded_charts.cpp")
