#include "flamingoseam/store/measured_store.hpp"

#include <type_traits>
#include <utility>

namespace flamingoseam {

namespace {

class measured_store final : public shared_store {
public:
    measured_store(std::unique_ptr<shared_store> store, store_observer observer)
        : store_(std::move(store)), observer_(std::move(observer))
    {
    }

    std::optional<shared_record> get(const std::string& key) override
    {
        return measure("get", [&] { return store_->get(key); });
    }

    shared_page list(const std::string& prefix, const std::string& after) override
    {
        return measure("list", [&] { return store_->list(prefix, after); });
    }

    shared_result commit(const shared_transaction& changes, milliseconds timeout) override
    {
        return measure("commit", [&] { return store_->commit(changes, timeout); });
    }

    shared_changes watch(const std::string& prefix, std::uint64_t revision,
                         watch_times times) override
    {
        return store_->watch(prefix, revision, times);
    }

    std::uint64_t grant_lease(milliseconds time_to_live) override
    {
        return measure("grant_lease", [&] { return store_->grant_lease(time_to_live); });
    }

    bool renew_lease(std::uint64_t lease) override
    {
        return measure("renew_lease", [&] { return store_->renew_lease(lease); });
    }

    void end_lease(std::uint64_t lease) override
    {
        measure("end_lease", [&] {
            store_->end_lease(lease);
            return true;
        });
    }

private:
    template <typename Call>
    std::invoke_result_t<Call> measure(const std::string& name, const Call& call)
    {
        const auto started = now();
        const auto report = [&](bool answered) {
            observer_(name, answered, std::chrono::duration_cast<milliseconds>(now() - started));
        };
        try {
            auto result = call();
            report(true);
            return result;
        } catch (...) {
            report(false);
            throw;
        }
    }

    std::unique_ptr<shared_store> store_;
    store_observer observer_;
};

} // namespace

shared_store_factory measure_stores(shared_store_factory factory, store_observer observer)
{
    return [factory = std::move(factory), observer = std::move(observer)] {
        return std::make_unique<measured_store>(factory(), observer);
    };
}

} // namespace flamingoseam
