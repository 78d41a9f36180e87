#pragma once

#include "base/hash.h"
#include "standin/server.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace bluebell::standin {

struct engine_options {
    /// Port 0 chooses a free one.
    decision::endpoint address{"127.0.0.1", 0};
    /// Requests that run at the same time.
    unsigned slots = 8;
    /// Largest number of requests that wait for a slot; further ones are refused with 503.
    unsigned waiting = 64;
    /// Tokens of an answer to a request without `max_tokens`.
    std::uint64_t tokens = 20;
    /// Time to generate one token.
    base::duration token_time = std::chrono::milliseconds(10);
    /// Age of the load that `GET /load` reports.
    base::duration load_lag{};
    /// Refuses orders whose fencing token is older than the highest one seen.
    bool checks_fence = true;
    /// Stated in each answer; empty for an engine that does not state it. Other versions generate another
    /// text.
    std::string version = "1";
};

/// Stand-in for a model engine with slots, resumable streams and orders. The answer is a function
/// of the request body, so that tests can tell which request an answer belongs to and whether a resumed one
/// is complete.
/// Thread safety: every public method may be called from any thread.
class engine final : public server {
public:
    explicit engine(engine_options options)
        : server(options.address, options.slots + options.waiting + spare_threads),
          options_(std::move(options)) {}
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;
    ~engine() override { stop(); }

    /// Returns how often a request with this body got a slot.
    [[nodiscard]] std::uint32_t runs(const std::string& body) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::map<std::string, std::uint32_t>::const_iterator found = runs_.find(body);
        return found == runs_.end() ? 0 : found->second;
    }
    /// Returns the number of requests to cancel a stream.
    [[nodiscard]] std::uint32_t cancelled() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return cancel_requests_;
    }
    /// Returns the complete text of the streamed answer to `body`.
    [[nodiscard]] std::string streamed_answer(const std::string& body) const {
        const cxxtools::SerializationInfo parsed = parse_json(body);
        std::string text;
        const std::uint64_t tokens = token_count(parsed);
        for (std::uint64_t i = 0; i <= tokens; ++i) {
            text += answer_event(body, i, tokens);
        }
        return text;
    }

protected:
    std::string handle(call& exchange) override {
        if (exchange.path == "/v1/chat/completions" && exchange.method == "POST") {
            return serve_completion(exchange);
        }
        if (exchange.path.rfind(stream_path, 0) == 0 && exchange.method == "DELETE") {
            return cancel_stream(exchange.path.substr(stream_path.size()));
        }
        if (exchange.path == "/load") {
            return load_report();
        }
        if (exchange.path == "/orders" && exchange.method == "POST") {
            return accept_order(exchange);
        }
        if (exchange.path == "/runs") {
            return runs_report();
        }
        exchange.reply.httpReturn(404, "Not Found");
        return "{}";
    }

private:
    static constexpr unsigned spare_threads = 8;
    /// Number of load samples that are kept.
    static constexpr std::size_t max_load_history = 1024;
    static constexpr std::chrono::milliseconds slot_poll_interval{20};
    inline static const std::string stream_path = "/v1/streams/";

    struct load_sample {
        base::time_point time;
        unsigned running = 0;
        unsigned waiting = 0;
    };

    std::string serve_completion(call& exchange) {
        const std::optional<std::uint64_t> cut = apply_fault(exchange);
        const cxxtools::SerializationInfo parsed = parse_json(exchange.body);
        const std::uint64_t skip = member<std::uint64_t>(parsed, "resume_from", 0);
        const std::string body = without_resume(exchange.body);
        const char* const id_field = exchange.request.getHeader("Stream-Id");
        const std::string id = id_field != nullptr ? id_field : "";
        if (!take_slot(exchange, body)) {
            exchange.reply.httpReturn(503, "Service Unavailable");
            return "{}";
        }
        const base::scope_guard slot([this] { free_slot(); });
        const std::uint64_t tokens = token_count(parsed);
        if (member<bool>(parsed, "stream", false)) {
            send_stream(exchange, body, tokens, skip, id, cut);
        }
        return send_whole_answer(exchange, body, tokens, cut);
    }

    [[noreturn]] void send_stream(call& exchange, const std::string& body, std::uint64_t tokens,
                                  std::uint64_t skip, const std::string& id,
                                  std::optional<std::uint64_t> cut) {
        edge::chunk_writer out(exchange.socket);
        bool alive = out.head(200, fields("text/event-stream"));
        std::uint64_t written = 0;
        for (std::uint64_t i = 0; alive && i <= tokens; ++i) {
            std::string text = answer_event(body, i, tokens);
            const std::uint64_t skipped = std::min<std::uint64_t>(skip, text.size());
            skip -= skipped;
            text.erase(0, skipped);
            if (text.empty()) {
                continue; // tokens from before the resume position take no time
            }
            alive = pause(exchange, options_.token_time) && !is_cancelled(id);
            if (alive && cut && written + text.size() > *cut) {
                alive = out.write(std::string_view(text).substr(0, *cut - written)) && false;
            }
            alive = alive && out.write(text);
            written += text.size();
        }
        if (alive) {
            out.finish();
            edge::end_sending(exchange.socket);
            throw connection_closed();
        }
        close_connection(exchange);
    }

    std::string send_whole_answer(call& exchange, const std::string& body, std::uint64_t tokens,
                                  std::optional<std::uint64_t> cut) {
        if (!pause(exchange, options_.token_time * static_cast<std::int64_t>(tokens))) {
            close_connection(exchange);
        }
        std::string content;
        for (std::uint64_t i = 0; i < tokens; ++i) {
            content += token(body, i);
        }
        const std::uint64_t prompt = body.size() / 4;
        std::string text = R"({"choices":[{"message":{"role":"assistant","content":")" + content +
                           R"("}}],"usage":{"prompt_tokens":)" + std::to_string(prompt) +
                           R"(,"completion_tokens":)" + std::to_string(tokens) + R"(,"total_tokens":)" +
                           std::to_string(prompt + tokens) + "}}";
        if (cut) {
            edge::chunk_writer out(exchange.socket);
            out.head(200, fields("application/json"));
            out.write(std::string_view(text).substr(0, *cut));
            close_connection(exchange);
        }
        exchange.reply.setHeader("Content-Type", "application/json");
        return text;
    }

    [[nodiscard]] std::vector<decision::field> fields(const std::string& type) const {
        std::vector<decision::field> result{{"Content-Type", type}};
        if (!options_.version.empty()) {
            result.push_back({"Engine-Version", options_.version});
        }
        return result;
    }
    static std::string token(const std::string& body, std::uint64_t i) {
        return "w" + std::to_string(base::stable_hash(body, i) % 100000) + ' ';
    }
    static std::string answer_event(const std::string& body, std::uint64_t i, std::uint64_t tokens) {
        if (i == tokens) {
            return "data: [DONE]\n\n";
        }
        return R"(data: {"choices":[{"delta":{"content":")" + token(body, i) + "\"}}]}\n\n";
    }
    [[nodiscard]] std::uint64_t token_count(const cxxtools::SerializationInfo& parsed) const {
        return member<std::uint64_t>(parsed, "max_tokens", options_.tokens);
    }
    static std::string without_resume(const std::string& body) {
        const std::size_t start = body.find("\"resume_from\":");
        const std::size_t end = start == std::string::npos ? start : body.find(',', start);
        return end == std::string::npos ? body : body.substr(0, start) + body.substr(end + 1);
    }

    bool take_slot(const call& exchange, const std::string& body) {
        std::unique_lock<std::mutex> lock(mutex_);
        if (running_ >= options_.slots && waiting_ >= options_.waiting) {
            return false;
        }
        ++waiting_;
        record_load();
        while (running_ >= options_.slots && !stopping() && !edge::peer_closed(exchange.socket)) {
            slot_free_.wait_for(lock, slot_poll_interval);
        }
        --waiting_;
        if (running_ >= options_.slots) {
            record_load();
            return false;
        }
        ++running_;
        ++runs_[body];
        record_load();
        return true;
    }
    void free_slot() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            --running_;
            record_load();
        }
        slot_free_.notify_one();
    }
    void record_load() {
        load_history_.push_back({std::chrono::steady_clock::now(), running_, waiting_});
        if (load_history_.size() > max_load_history) {
            load_history_.pop_front();
        }
    }

    bool is_cancelled(const std::string& id) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return cancelled_.count(id) > 0;
    }
    std::string cancel_stream(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.insert(id);
        ++cancel_requests_;
        return "{}";
    }

    std::string load_report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const base::time_point visible_until = std::chrono::steady_clock::now() - options_.load_lag;
        load_sample sample;
        for (const load_sample& entry : load_history_) {
            if (entry.time <= visible_until) {
                sample = entry;
            }
        }
        std::string models;
        for (const std::string& model : models_) {
            models += (models.empty() ? "\"" : ",\"") + model + '"';
        }
        return "{\"running\":" + std::to_string(sample.running) +
               ",\"waiting\":" + std::to_string(sample.waiting) +
               ",\"slots\":" + std::to_string(options_.slots) + ",\"models\":[" + models + "]}";
    }

    std::string accept_order(call& exchange) {
        const cxxtools::SerializationInfo parsed = parse_json(exchange.body);
        const std::uint64_t fence = member<std::uint64_t>(parsed, "fence", 0);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (options_.checks_fence && fence < highest_fence_) {
            exchange.reply.httpReturn(409, "Conflict");
            return R"({"error":"stale_fence"})";
        }
        highest_fence_ = std::max(highest_fence_, fence);
        models_.insert(member<std::string>(parsed, "model", ""));
        return "{\"fence\":" + std::to_string(highest_fence_) + '}';
    }

    std::string runs_report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::uint32_t most = 0;
        std::uint64_t total = 0;
        for (const std::pair<const std::string, std::uint32_t>& entry : runs_) {
            most = std::max(most, entry.second);
            total += entry.second;
        }
        return "{\"bodies\":" + std::to_string(runs_.size()) + ",\"runs\":" + std::to_string(total) +
               ",\"most\":" + std::to_string(most) + '}';
    }

    engine_options options_;
    mutable std::mutex mutex_;
    std::condition_variable slot_free_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::map<std::string, std::uint32_t> runs_;
    std::set<std::string> cancelled_;
    std::uint32_t cancel_requests_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::set<std::string> models_;
    std::deque<load_sample> load_history_;
};

} // namespace bluebell::standin
