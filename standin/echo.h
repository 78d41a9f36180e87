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
    /// Port 0 chooses a free one.
    decision::endpoint address{"127.0.0.1", 0};
    /// Slots that the load report states.
    unsigned slots = 8;
    /// Time from a request to its answer.
    base::duration delay = std::chrono::milliseconds(10);
};

/// Stand-in for a plain service. Answers with method, path, query and body of the request after a delay.
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

    /// Returns how often a request with this `Idempotency-Key` ran.
    [[nodiscard]] std::uint32_t runs(const std::string& key) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::map<std::string, std::uint32_t>::const_iterator found = runs_.find(key);
        return found == runs_.end() ? 0 : found->second;
    }

protected:
    std::string handle(call& exchange) override {
        if (exchange.path == "/load") {
            return load_report();
        }
        if (exchange.path == "/runs") {
            return runs_report();
        }
        const std::optional<std::uint64_t> cut = apply_fault(exchange);
        const char* const key = exchange.request.getHeader("Idempotency-Key");
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++runs_[key != nullptr ? key : ""];
            ++running_;
        }
        const base::scope_guard end([this] {
            const std::lock_guard<std::mutex> lock(mutex_);
            --running_;
        });
        pause(exchange, options_.delay);
        std::string text = exchange.method + ' ' + exchange.path +
                           (exchange.query.empty() ? "" : "?" + exchange.query) + '\n' + exchange.body;
        if (cut) {
            edge::chunk_writer out(exchange.socket);
            out.head(200, {{"Content-Type", "text/plain"}});
            out.write(std::string_view(text).substr(0, *cut));
            close_connection(exchange);
        }
        if (exchange.path.rfind(status_path, 0) == 0) {
            const int status = std::atoi(exchange.path.c_str() + status_path.size());
            exchange.reply.httpReturn(static_cast<unsigned>(status),
                                      std::string(edge::reason_phrase(status)));
        }
        exchange.reply.setHeader("Content-Type", "text/plain");
        if (exchange.path == "/large-field") {
            edge::chunk_writer out(exchange.socket);
            out.head(200, {{"Large", std::string(large_field_bytes, 'f')}});
            out.write(text);
            out.finish();
            edge::end_sending(exchange.socket);
            throw connection_closed();
        }
        return text;
    }

private:
    static constexpr unsigned spare_threads = 8;
    /// Size of the header field in the answer to `/large-field`.
    static constexpr std::size_t large_field_bytes = 6000;
    /// A request to `/status/N` is answered with status N.
    inline static const std::string status_path = "/status/";

    std::string load_report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return "{\"running\":" + std::to_string(running_) +
               ",\"waiting\":0,\"slots\":" + std::to_string(options_.slots) + ",\"models\":[]}";
    }
    std::string runs_report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::uint32_t most = 0;
        std::uint64_t total = 0;
        for (const std::pair<const std::string, std::uint32_t>& entry : runs_) {
            total += entry.second;
            most = entry.first.empty() ? most : std::max(most, entry.second);
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
