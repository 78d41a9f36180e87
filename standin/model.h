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
    decision::endpoint address{"127.0.0.1", 0};
    unsigned slots = 8;
    /// Requests beyond the slots that wait; further ones are refused with 503.
    unsigned waiting = 64;
    /// Length of an answer when the request has no `max_tokens`.
    std::uint64_t tokens = 20;
    base::duration token_time = std::chrono::milliseconds(10);
    /// How far `GET /load` is behind.
    base::duration load_lag{};
    bool checks_fence = true;
};

/// A model engine with batching, resumable streams and orders. The answer is a function of the request body,
/// so that tests can tell whose answer arrived and whether a resumed one is complete. Thread safety: every
/// public method may be called from any thread.
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

    /// How often a request with this body got a slot.
    [[nodiscard]] std::uint32_t runs(const std::string& body) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::map<std::string, std::uint32_t>::const_iterator found = runs_.find(body);
        return found == runs_.end() ? 0 : found->second;
    }
    [[nodiscard]] std::uint32_t cancelled() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return cancel_orders_;
    }
    /// The complete text of the streamed answer to `body`.
    [[nodiscard]] std::string streamed_answer(const std::string& body) const {
        const cxxtools::SerializationInfo parsed = parse_json(body);
        std::string text;
        const std::uint64_t tokens = token_count(parsed);
        for (std::uint64_t i = 0; i <= tokens; ++i) {
            text += event(body, i, tokens);
        }
        return text;
    }

protected:
    std::string handle(call& what) override {
        if (what.path == "/v1/chat/completions" && what.method == "POST") {
            return complete(what);
        }
        if (what.path.rfind(stream_path, 0) == 0 && what.method == "DELETE") {
            return cancel(what.path.substr(stream_path.size()));
        }
        if (what.path == "/load") {
            return load();
        }
        if (what.path == "/orders" && what.method == "POST") {
            return order(what);
        }
        if (what.path == "/runs") {
            return report();
        }
        what.reply.httpReturn(404, "Not Found");
        return "{}";
    }

private:
    static constexpr unsigned spare_threads = 8;
    static constexpr std::size_t load_history = 1024;
    static constexpr std::chrono::milliseconds slot_poll{20};
    inline static const std::string stream_path = "/v1/streams/";

    struct load_sample {
        base::time_point at;
        unsigned running = 0;
        unsigned waiting = 0;
    };

    std::string complete(call& what) {
        const std::optional<std::uint64_t> cut = suffer(what);
        const cxxtools::SerializationInfo parsed = parse_json(what.body);
        const std::uint64_t skip = member<std::uint64_t>(parsed, "resume_from", 0);
        const std::string body = without_resume(what.body);
        const char* const id_field = what.request.getHeader("Stream-Id");
        const std::string id = id_field != nullptr ? id_field : "";
        if (!take_slot(what, body)) {
            what.reply.httpReturn(503, "Service Unavailable");
            return "{}";
        }
        const base::scope_guard slot([this] { free_slot(); });
        const std::uint64_t tokens = token_count(parsed);
        if (member<bool>(parsed, "stream", false)) {
            stream(what, body, tokens, skip, id, cut);
        }
        return whole(what, body, tokens, cut);
    }

    [[noreturn]] void stream(call& what, const std::string& body, std::uint64_t tokens, std::uint64_t skip,
                             const std::string& id, std::optional<std::uint64_t> cut) {
        edge::chunk_writer out(what.socket);
        bool alive = out.head(200, {{"Content-Type", "text/event-stream"}});
        std::uint64_t written = 0;
        for (std::uint64_t i = 0; alive && i <= tokens; ++i) {
            std::string text = event(body, i, tokens);
            const std::uint64_t skipped = std::min<std::uint64_t>(skip, text.size());
            skip -= skipped;
            text.erase(0, skipped);
            if (text.empty()) {
                continue; // tokens that were generated before cost no time
            }
            alive = pause(what, options_.token_time) && !is_cancelled(id);
            if (alive && cut && written + text.size() > *cut) {
                alive = out.write(std::string_view(text).substr(0, *cut - written)) && false;
            }
            alive = alive && out.write(text);
            written += text.size();
        }
        if (alive) {
            out.finish();
            edge::end_sending(what.socket);
            throw connection_closed();
        }
        close_connection(what);
    }

    std::string whole(call& what, const std::string& body, std::uint64_t tokens,
                      std::optional<std::uint64_t> cut) {
        if (!pause(what, options_.token_time * static_cast<std::int64_t>(tokens))) {
            close_connection(what);
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
            edge::chunk_writer out(what.socket);
            out.head(200, {{"Content-Type", "application/json"}});
            out.write(std::string_view(text).substr(0, *cut));
            close_connection(what);
        }
        what.reply.setHeader("Content-Type", "application/json");
        return text;
    }

    static std::string token(const std::string& body, std::uint64_t i) {
        return "w" + std::to_string(base::stable_hash(body, i) % 100000) + ' ';
    }
    static std::string event(const std::string& body, std::uint64_t i, std::uint64_t tokens) {
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

    bool take_slot(const call& what, const std::string& body) {
        std::unique_lock<std::mutex> lock(mutex_);
        if (running_ >= options_.slots && waiting_ >= options_.waiting) {
            return false;
        }
        ++waiting_;
        record_load();
        while (running_ >= options_.slots && !stopping() && !edge::peer_closed(what.socket)) {
            slot_free_.wait_for(lock, slot_poll);
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
        history_.push_back({std::chrono::steady_clock::now(), running_, waiting_});
        if (history_.size() > load_history) {
            history_.pop_front();
        }
    }

    bool is_cancelled(const std::string& id) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return cancelled_.count(id) > 0;
    }
    std::string cancel(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.insert(id);
        ++cancel_orders_;
        return "{}";
    }

    std::string load() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        const base::time_point visible = std::chrono::steady_clock::now() - options_.load_lag;
        load_sample sample;
        for (const load_sample& each : history_) {
            if (each.at <= visible) {
                sample = each;
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

    std::string order(call& what) {
        const cxxtools::SerializationInfo parsed = parse_json(what.body);
        const std::uint64_t fence = member<std::uint64_t>(parsed, "fence", 0);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (options_.checks_fence && fence < highest_fence_) {
            what.reply.httpReturn(409, "Conflict");
            return R"({"error":"stale_fence"})";
        }
        highest_fence_ = std::max(highest_fence_, fence);
        models_.insert(member<std::string>(parsed, "model", ""));
        return "{\"fence\":" + std::to_string(highest_fence_) + '}';
    }

    std::string report() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::uint32_t most = 0;
        std::uint64_t total = 0;
        for (const std::pair<const std::string, std::uint32_t>& each : runs_) {
            most = std::max(most, each.second);
            total += each.second;
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
    std::uint32_t cancel_orders_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::set<std::string> models_;
    std::deque<load_sample> history_;
};

} // namespace bluebell::standin
