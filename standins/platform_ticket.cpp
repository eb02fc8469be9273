#include "standins/platform_ticket.hpp"

#include <cstdint>
#include <string_view>

namespace flamingoseam::standin {

namespace {

constexpr char separator = '/';
constexpr unsigned hundred_percent = 100;

/// FNV-1a, whose result is the same in all programs.
std::uint64_t hash_of(std::string_view text)
{
    constexpr std::uint64_t basis = 14'695'981'039'346'656'037U;
    constexpr std::uint64_t prime = 1'099'511'628'211U;
    auto hash = basis;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    return hash;
}

} // namespace

bool is_refused(const std::string& step, const std::string& worker, unsigned percent)
{
    constexpr int low_bits = 16; // They differ little between similar texts.
    return (hash_of(step + separator + worker) >> low_bits) % hundred_percent < percent;
}

std::string write_ticket(const step_ticket& ticket)
{
    return ticket.step + separator + ticket.worker + separator +
           std::to_string(ticket.issued.count());
}

bool permits(const std::string& text, const std::string& task, const std::string& worker,
             wall_time born, wall_time time, milliseconds validity)
{
    const auto step = task.substr(0, task.rfind('.'));
    const auto expected = step + separator + worker + separator;
    if (!text.starts_with(expected) || text.size() == expected.size()) {
        return false;
    }
    const wall_time issued(std::stoll(text.substr(expected.size())));
    return issued >= born && time - issued <= validity;
}

} // namespace flamingoseam::standin
