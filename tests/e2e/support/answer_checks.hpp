#ifndef BAMBOOGATE_TESTS_E2E_SUPPORT_ANSWER_CHECKS_HPP
#define BAMBOOGATE_TESTS_E2E_SUPPORT_ANSWER_CHECKS_HPP

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "e2e/support/deployment.hpp"
#include "fakes/token_source.hpp"

namespace bamboogate::tests {

/// The parts of one answer that its caller received over several connections.
class received_answer
{
public:
    explicit received_answer(std::string prompt) : prompt_(std::move(prompt)) {}

    /// @brief Adds what one connection delivered.
    void add(const event_stream& part)
    {
        texts_.insert(texts_.end(), part.texts.begin(), part.texts.end());
        indices_.insert(indices_.end(), part.indices.begin(),
                        part.indices.end());
        whole_ = part.complete;
        finish_ = part.finish;
    }

    /// @brief Checks I1 and I2: every token once, in order, of one generation.
    void check(fakes::token_mode mode = fakes::token_mode::prefix,
               unsigned max_tokens = 4096) const
    {
        CHECK(whole_);
        for (std::size_t i = 0; i < indices_.size(); ++i) {
            REQUIRE(indices_[i] == i);
        }
        CHECK(fakes::is_valid_answer(prompt_, max_tokens, texts_, mode));
        if (finish_.contains("integrity")) {
            CHECK(finish_["integrity"]["tokens"] == texts_.size());
        }
    }

    [[nodiscard]] std::size_t size() const { return texts_.size(); }

private:
    std::string prompt_;
    std::vector<std::string> texts_;
    std::vector<std::uint64_t> indices_;
    bool whole_ = false;
    json finish_;
};

} // namespace bamboogate::tests

#endif
