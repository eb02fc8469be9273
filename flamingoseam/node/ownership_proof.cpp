#include "flamingoseam/node/ownership_proof.hpp"

namespace flamingoseam::node {

std::string to_string(proof_source source)
{
    switch (source) {
    case proof_source::claim:
        return "claim";
    case proof_source::commit:
        return "commit";
    case proof_source::read:
        return "read";
    }
    return "none";
}

void ownership_proof::record(time_point sent, proof_source source)
{
    const std::lock_guard lock(mutex_);
    if (sent > sent_) {
        sent_ = sent;
        source_ = source;
    }
}

milliseconds ownership_proof::age(time_point time) const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::ceil<milliseconds>(time - sent_);
}

proof_source ownership_proof::source() const
{
    const std::lock_guard lock(mutex_);
    return source_;
}

} // namespace flamingoseam::node
