#ifndef BAMBOOGATE_NET_HTTP_MESSAGE_HPP
#define BAMBOOGATE_NET_HTTP_MESSAGE_HPP

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::net {

/// Header fields in order of arrival; names are in lower case.
class http_headers
{
public:
    http_headers() = default;
    http_headers(
        std::initializer_list<std::pair<std::string, std::string>> fields)
        : fields_(fields)
    {}

    void add(std::string name, std::string value)
    {
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) {
                return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32)
                                            : static_cast<char>(c);
            });
        fields_.emplace_back(std::move(name), std::move(value));
    }

    /// @brief The first value of a field.
    /// @param name in lower case
    [[nodiscard]] std::optional<std::string_view>
    find(std::string_view name) const
    {
        for (const auto& [key, value] : fields_) {
            if (key == name) {
                return value;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }
    [[nodiscard]] bool empty() const { return fields_.empty(); }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace bamboogate::net

#endif
