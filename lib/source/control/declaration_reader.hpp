#ifndef BAMBOOGATE_SOURCE_CONTROL_DECLARATION_READER_HPP
#define BAMBOOGATE_SOURCE_CONTROL_DECLARATION_READER_HPP

#include <bamboogate/control/declaration_json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::control {

/// Formats a value for a fault report, shortened.
[[nodiscard]] std::string excerpt(const json& value);

/// Reads the fields of one JSON object and reports every fault.
class object_reader
{
public:
    object_reader(const json& document, std::string path, unknown_fields policy,
                  std::vector<declaration_fault>& faults);

    /// @brief Reports the fields that were not read.
    void finish();

    void required_text(const char* name, std::string& out);
    void optional_text(const char* name, std::string& out);
    void key_digest(const char* name, std::string& out);
    void number(const char* name, double& out, double low, double high);
    void boolean(const char* name, bool& out);
    void duration_ms(const char* name, milliseconds& out, std::int64_t low,
                     std::int64_t high);
    void texts(const char* name, std::vector<std::string>& out);

    template <typename Unsigned>
    void count(const char* name, Unsigned& out, std::uint64_t low,
               std::uint64_t high)
    {
        std::uint64_t value = out;
        read_count(name, value, low, high);
        out = static_cast<Unsigned>(value);
    }

    template <typename Id>
    void required_id(const char* name, Id& out)
    {
        std::string text;
        required_text(name, text);
        out = Id(std::move(text));
    }

    template <typename Id>
    void ids(const char* name, std::vector<Id>& out)
    {
        std::vector<std::string> values;
        texts(name, values);
        for (auto& each : values) {
            out.emplace_back(std::move(each));
        }
    }

    /// @brief Reads a list of objects with a function
    ///     `void(object_reader&, Item&)`.
    template <typename Item, typename Function>
    void objects(const char* name, std::vector<Item>& out, Function function)
    {
        const json* list = find(name);
        if (list == nullptr) {
            return;
        }
        if (!list->is_array()) {
            report(name, *list, "a list of objects");
            return;
        }
        std::size_t index = 0;
        for (const auto& element : *list) {
            object_reader reader(
                element, path_ + "/" + name + "/" + std::to_string(index++),
                policy_, faults_);
            Item item;
            if (reader.valid_) {
                function(reader, item);
                reader.finish();
            }
            out.push_back(std::move(item));
        }
    }

    /// @brief Reads a nested object with `void(object_reader&)`.
    template <typename Function>
    void object(const char* name, Function function)
    {
        const json* nested = find(name);
        if (nested == nullptr) {
            return;
        }
        object_reader reader(*nested, path_ + "/" + name, policy_, faults_);
        if (reader.valid_) {
            function(reader);
            reader.finish();
        }
    }

    [[nodiscard]] bool valid() const noexcept { return valid_; }

private:
    [[nodiscard]] const json* find(const char* name);
    void report(const char* name, const json& value, std::string allowed);
    void read_count(const char* name, std::uint64_t& out, std::uint64_t low,
                    std::uint64_t high);

    const json& document_;
    std::string path_;
    unknown_fields policy_;
    std::vector<declaration_fault>& faults_;
    std::set<std::string, std::less<>> known_;
    bool valid_;
};

} // namespace bamboogate::control

#endif
