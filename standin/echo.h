#pragma once

#include "standin/server.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace bluebell::standin {

struct service_options {
    decision::endpoint address{"127.0.0.1", 0};
    unsigned slots = 8;
    base::duration delay = std::chrono::milliseconds(10);
};

/// A plain service: answers with method, path and body of the request after a delay.
/// Thread safety: every public method may be called from any thread.
class service final : public server {
public:
    explicit service(service_options options)
        : server(options.address, options.slots + spare_threads), options_(std::move(options)) {}
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    ~service() override { stop(); }

    /// How often a request with this `Idempotency-Key` ran.
    [[nodiscard]] std::uint32_t runs(const std::string& key) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::map<std::string, std::uint32_t>::const_iterator found = runs_.find(key);
        return found == runs_.end() ? 0 : found->second;
    }

protected:
    std::string handle(call& what) override {
        if (what.path == "/load") {
            return load();
        }
        if (what.path == "/runs") {
            return report();
        }
        const std::optional<std::uint64_t> cut = suffer(what);
        const char* const key = what.request.getHeader("Idempotency-Key");
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++runs_[key != nullptr ? key : ""];
            ++running_;
        }
        const base::scope_guard end([this] {
            const std::lock_guard<std::mutex> lock(mutex_);
            --running_;
        });
        pause(what, options_.delay);
        std::string text =
            what.method + ' ' + what.path + (what.query.empty() ? "" : "?" + what.query) + '\n' + what.body;
        if (cut) {
            edge::chunk_writer out(what.socket);
            out.head(200, {{"Content-Type", "text/plain"}});
            out.write(std::string_view(text).substr(0, *cut));
            close_connection(what);
        }
        if (what.path.rfind(status_path, 0) == 0) {
            const int status = std::atoi(what.path.c_str() + status_path.size());
            what.reply.httpReturn(static_cast<unsigned>(status), std::string(edge::reason_phrase(status)));
        }
        what.reply.setHeader("Content-Type", "text/plain");
        if (what.path == "/large-field") {
            edge::chunk_writer out(what.socket);
            out.head(200, {{"Large", std::string(large_field, 'f')}});
            out.write(text);
            out.finish();
            edge::end_sending(what.socket);
            throw connection_closed();
        }
        return text;
    }

private:
    static constexpr unsigned spare_threads = 8;
    /// Size of the field in the answer to `/large-field`.
    static constexpr std::size_t large_field = 6000;
    /// `/status/N` is answered with status N.
    inline static const std::string status_path = "/status/";

    std::string load() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return "{\"running\":" + std::to_string(running_) +
               ",\"waiting\":0,\"slots\":" + std::to_string(options_.slots) + ",\"models\":[]}";
    }
    std::string report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::uint32_t most = 0;
        std::uint64_t total = 0;
        for (const std::pair<const std::string, std::uint32_t>& each : runs_) {
            total += each.second;
            most = each.first.empty() ? most : std::max(most, each.second);
        }
        return "{\"keys\":" + std::to_string(runs_.size()) + ",\"runs\":" + std::to_string(total) +
               ",\"most\":" + std::to_string(most) + '}';
    }

    service_options options_;
    mutable std::mutex mutex_;
    unsigned running_ = 0;
    std::map<std::string, std::uint32_t> runs_;
};

} // namespace bluebell::standin
