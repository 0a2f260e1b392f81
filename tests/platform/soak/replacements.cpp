#include "replacements.hpp"

#include <algorithm>
#include <numeric>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration drain_time = 2s; ///< `drainMs` of the bounds
constexpr duration replacement_interval = 400ms;
constexpr duration series_interval = 1500ms;

} // namespace

backend::departure draw_departure(std::mt19937& random)
{
    const bool deregisters_first = random() % 2 == 0;
    return {.deregisters_first = deregisters_first,
            .serving = drain_time + std::chrono::milliseconds(random() % 2500)};
}

replacements::replacements(net::event_loop& loop, violations& problems,
                           unsigned seed, std::vector<backend*> engines,
                           unsigned versions)
    : loop_(loop), violations_(problems), random_(seed),
      engines_(std::move(engines)), versions_(versions), newest_(versions)
{}

std::string replacements::restart_version(const std::string& previous)
{
    if (versions_ == 1 || random_() % 2 == 0) {
        return previous;
    }
    return version_name(1 + static_cast<unsigned>(random_() % newest_));
}

unsigned replacements::runs_left() const
{
    return std::accumulate(engines_.begin(), engines_.end(), 0U,
                           [](unsigned sum, const backend* each) {
                               return sum + each->runs_left();
                           });
}

bool replacements::version_left()
{
    std::set<std::string> running;
    for (const backend* each : engines_) {
        if (each->running()) {
            running.insert(each->version());
        }
    }
    const bool left =
        !std::includes(running.begin(), running.end(),
                       running_versions_.begin(), running_versions_.end());
    running_versions_ = std::move(running);
    return left;
}

void replacements::step()
{
    if (loop_.now() < next_) {
        return;
    }
    if (outgoing_.empty()) {
        begin_series();
    }
    replace_one();
    next_ = loop_.now() +
            (outgoing_.empty() ? series_interval : replacement_interval);
}

void replacements::begin_series()
{
    for (backend* each : engines_) {
        if (each->running() && !each->leaving()) {
            outgoing_.push_back(each);
        }
    }
    std::sort(outgoing_.begin(), outgoing_.end(),
              [](const backend* left, const backend* right) {
                  return left->started_at() < right->started_at();
              });
    // One series in three replaces all engines.
    if (random_() % 3 != 0 && outgoing_.size() > 2) {
        outgoing_.resize(2 + random_() % (outgoing_.size() - 2));
    }
    brings_newer_ = versions_ > 1 && random_() % 3 != 0;
    newest_ += brings_newer_ ? 1 : 0;
}

void replacements::replace_one()
{
    const auto spare =
        std::find_if(engines_.begin(), engines_.end(),
                     [](const backend* each) { return !each->running(); });
    const bool same_id = random_() % 2 == 0;
    const auto departure = draw_departure(random_);
    if (spare == engines_.end() || outgoing_.empty()) {
        return;
    }
    backend& outgoing = *outgoing_.front();
    outgoing_.erase(outgoing_.begin());
    (*spare)->change_version(brings_newer_ ? version_name(newest_)
                                           : outgoing.version());
    (*spare)->start(same_id);
    if (!outgoing.running() || outgoing.leaving()) {
        return;
    }
    violations_.print("replace", fmt::format("{} {} by {} {}", outgoing.id(),
                                             outgoing.version(), (*spare)->id(),
                                             (*spare)->version()));
    outgoing.drain(departure);
    ++replaced_;
}

} // namespace bamboogate::tests
