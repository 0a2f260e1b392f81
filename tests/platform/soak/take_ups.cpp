#include "take_ups.hpp"

#include <array>
#include <utility>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

/// A gate is in touch this long after the last disturbance (`contactMs`).
constexpr duration contact_time = 3s;
constexpr unsigned min_engines = 2;
constexpr unsigned min_take_ups = 12;
/// Attempts of an account that other streams may name.
constexpr std::size_t kept_attempts = 32;

} // namespace

void take_up_checks::check_share()
{
    if (taken_up_.streams >= min_take_ups &&
        2 * taken_up_.on * begun_.streams < begun_.on * taken_up_.streams) {
        violations_.add("LOST, take-ups go on",
                        fmt::format("{} of {} went on, {} of {} new streams "
                                    "began",
                                    taken_up_.on, taken_up_.streams, begun_.on,
                                    begun_.streams));
    }
}

std::string take_up_checks::summary() const
{
    const auto text = [](std::string_view name, const take_up_counts& counts) {
        return fmt::format("{} {}: {} went on, {} refused, {} unanswered",
                           counts.sent, name, counts.went_on, counts.refused,
                           counts.unanswered);
    };
    return fmt::format(
        "; {}; {}; at undisturbed gates {} of {} broken streams went on, {} of "
        "{} new ones began",
        text("take-ups", true_names_), text("with false names", false_names_),
        taken_up_.on, taken_up_.streams, begun_.on, begun_.streams);
}

std::optional<std::string> client_stream::sent(const std::string& attempt,
                                               const std::string& gate,
                                               time_point now, bool may_lie)
{
    attempt_ = attempt;
    gate_ = gate;
    sent_at_ = now;
    on_ = false;
    takes_up_ = begun();
    could_go_on_ = two_engines_serve();
    name_ = resumed_name::first_attempt;
    if (!takes_up_) {
        return std::nullopt;
    }
    const unsigned false_names = checks_.settings_.false_names;
    std::optional<std::string> name = first_attempt_;
    if (may_lie && false_names > 0 && checks_.random_() % false_names == 0) {
        name = draw_false_name();
    }
    ++counts().sent;
    // No attempt with the true name follows.
    counts_ = counts_ && !named_falsely();
    return name;
}

std::optional<std::string> client_stream::draw_false_name()
{
    constexpr std::array names{resumed_name::unknown, resumed_name::malformed,
                               resumed_name::of_other_account,
                               resumed_name::of_other_stream};
    auto& random = checks_.random_;
    name_ = names.at(random() % names.size());
    if (name_ == resumed_name::malformed) {
        const std::array<std::optional<std::string>, 4> texts{
            std::nullopt, "", std::string(300, 'x'), "a, b;c=\"d"};
        return texts.at(random() % texts.size());
    }
    const std::size_t account =
        name_ == resumed_name::of_other_account ? 1 - account_ : account_;
    const auto& known = checks_.first_attempts_[account];
    if (name_ == resumed_name::unknown || known.empty()) {
        name_ = resumed_name::unknown;
        return fmt::format("unknown-{:08x}", random());
    }
    const auto& out = known.at(random() % known.size());
    if (out == first_attempt_) {
        name_ = resumed_name::first_attempt;
    }
    return out;
}

take_up_counts& client_stream::counts() const
{
    return named_falsely() ? checks_.false_names_ : checks_.true_names_;
}

bool client_stream::two_engines_serve() const
{
    return !takes_up_ || checks_.settings_.serving(version_) >= min_engines;
}

void client_stream::received(std::string_view version)
{
    check_version(version);
    if (!begun()) {
        first_attempt_ = attempt_;
        auto& known = checks_.first_attempts_[account_];
        known.push_back(attempt_);
        if (known.size() > kept_attempts) {
            known.pop_front();
        }
    }
    if (!std::exchange(on_, true)) {
        go_on();
    }
}

void client_stream::check_version(std::string_view version)
{
    // What engines of two software versions write does not fit together. A
    // client that names another stream of its own account asks for its version.
    const bool asked_for = !on_ && name_ == resumed_name::of_other_stream;
    if (begun() && version != version_ && !mixed_ && !asked_for) {
        mixed_ = true;
        checks_.violations_.add(
            on_               ? "ORDER in one answer"
            : named_falsely() ? "ORDER after a false name"
                              : "ORDER over attempts",
            fmt::format("{}: an event of {} after those of {}", attempt_,
                        version, version_));
    }
    version_ = version;
}

void client_stream::go_on()
{
    if (takes_up_) {
        ++counts().went_on;
    }
    judge_attempt();
    if (std::exchange(counts_, false)) {
        auto& share = takes_up_ ? checks_.taken_up_ : checks_.begun_;
        ++share.streams;
        ++share.on;
    }
}

void client_stream::judge_attempt()
{
    const bool calm =
        checks_.settings_.disturbed_at(gate_) + contact_time <= sent_at_;
    counts_ = counts_ ||
              (calm && !named_falsely() && could_go_on_ && two_engines_serve());
}

void client_stream::ended(outcome how)
{
    if (std::exchange(on_, true)) {
        return;
    }
    if (how == outcome::complete) {
        go_on();
        return;
    }
    if (takes_up_) {
        ++(how == outcome::refused ? counts().refused : counts().unanswered);
    }
    judge_attempt();
}

void client_stream::given_up()
{
    if (std::exchange(counts_, false)) {
        ++(begun() ? checks_.taken_up_ : checks_.begun_).streams;
    }
}

} // namespace bamboogate::tests
