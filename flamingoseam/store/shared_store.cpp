#include "flamingoseam/store/shared_store.hpp"

#include <iterator>

namespace flamingoseam {

std::vector<shared_record> list_all(shared_store& store, const std::string& prefix,
                                    std::uint64_t& revision)
{
    std::vector<shared_record> records;
    auto page = store.list(prefix, "");
    revision = page.revision;
    while (true) {
        records.insert(records.end(), std::make_move_iterator(page.records.begin()),
                       std::make_move_iterator(page.records.end()));
        if (!page.has_more || records.empty()) {
            return records;
        }
        page = store.list(prefix, records.back().key);
    }
}

} // namespace flamingoseam
