#ifndef BAMBOOGATE_RELAY_BUFFER_BUDGET_HPP
#define BAMBOOGATE_RELAY_BUFFER_BUDGET_HPP

#include <cstddef>
#include <utility>

namespace bamboogate::relay {

/// Limits the bytes that all exchanges of a gate buffer together, so that many
/// upstreams that send bodies without end cannot exhaust its memory. Not thread
/// safe.
class buffer_budget
{
public:
    /// @param limit in bytes
    explicit buffer_budget(std::size_t limit) : limit_(limit) {}

    /// @return false if the limit would be exceeded; nothing is taken then
    [[nodiscard]] bool take(std::size_t bytes)
    {
        if (bytes > limit_ - used_) {
            return false;
        }
        used_ += bytes;
        return true;
    }
    /// @pre `bytes` were taken before
    void give_back(std::size_t bytes) { used_ -= bytes; }

    [[nodiscard]] std::size_t used() const { return used_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// The bytes that one exchange has taken from a budget; returned when it is
/// destroyed. Not thread safe.
class buffer_reservation
{
public:
    /// @param budget must outlive the reservation
    explicit buffer_reservation(buffer_budget& budget) : budget_(budget) {}
    ~buffer_reservation() { release(); }
    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;

    /// @return false if the budget is exhausted
    [[nodiscard]] bool reserve(std::size_t bytes)
    {
        if (!budget_.take(bytes)) {
            return false;
        }
        bytes_ += bytes;
        return true;
    }
    /// @brief Releases its bytes and takes those of another reservation of the
    ///     same budget, which is empty afterwards.
    void take_over(buffer_reservation& other)
    {
        release();
        bytes_ = std::exchange(other.bytes_, 0);
    }
    void release()
    {
        budget_.give_back(bytes_);
        bytes_ = 0;
    }

private:
    buffer_budget& budget_;
    std::size_t bytes_ = 0;
};

} // namespace bamboogate::relay

#endif
