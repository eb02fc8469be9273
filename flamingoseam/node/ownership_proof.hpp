#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <mutex>
#include <string>

namespace flamingoseam::node {

/// A call to the store whose answer shows that this process was the owner when it was made.
enum class proof_source : std::uint8_t {
    claim,  ///< The claim by which it became the owner.
    commit, ///< A transaction that is conditional on a head record of the owner.
    read,   ///< A linearizable read of such a head record.
};

/// Returns the name of a source for logs.
std::string to_string(proof_source source);

/// An owner may start runs for this long after it has sent the call that gave its newest proof. A
/// claim that is applied later than that call can't have been applied before the proof.
constexpr milliseconds max_proof_age{1'500};

/// For how long after its claim a new owner has to allow for an earlier one that still has a valid
/// proof, whatever has become of that owner's record: the store may remove it early. Above
/// max_proof_age, since the clocks of two machines advance at different rates.
constexpr milliseconds max_earlier_certainty{1'600};

/// The newest proof of an owner. Its times are those of boot_now(), so that suspensions count.
/// Thread-safe.
class ownership_proof {
public:
    ownership_proof(time_point sent, proof_source source) : sent_(sent), source_(source) {}

    /// Records a proof by a call that was sent at `sent`. An older one than the newest is ignored.
    void record(time_point sent, proof_source source);

    /// Returns how long ago the call was sent that gave the newest proof.
    [[nodiscard]] milliseconds age(time_point time) const;

    /// Checks whether the newest proof is so recent that no later owner acts as if it had ended.
    [[nodiscard]] bool is_recent(time_point time) const { return age(time) < max_proof_age; }

    /// Returns which call has given the newest proof.
    [[nodiscard]] proof_source source() const;

private:
    mutable std::mutex mutex_;
    time_point sent_;
    proof_source source_;
};

} // namespace flamingoseam::node
