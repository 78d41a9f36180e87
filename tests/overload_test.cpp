#include "dispatch/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace {

using namespace bluebell;
using namespace bluebell::dispatch;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::pool_id model_pool("model");
constexpr std::size_t engine_count = 3;
constexpr std::int64_t engine_slots = 64;
constexpr std::int64_t engine_memory = 466000;
/// Time of one step of an engine: a constant, a part for each request, and the prompt tokens that it reads.
constexpr double step_ms = 2.6;
constexpr double step_ms_per_request = 0.12;
constexpr double prompt_tokens_per_ms = 48;
constexpr std::int64_t step_prompt_tokens = 4096;
/// Prompt tokens that an engine copies from another one in 1 ms, and different shared parts of each kind.
constexpr double copied_tokens_per_ms = 200;
constexpr std::size_t shared_parts = 50;
constexpr milliseconds tick_time(5);

/// A kind of request, with its arrivals per second at each engine.
struct request_kind {
    std::string path;
    milliseconds objective;
    milliseconds timeout;
    /// Prompt tokens that all requests of the kind share, which every engine keeps, and those of each
    /// request.
    std::int64_t shared_tokens;
    std::int64_t prompt_tokens;
    std::int64_t output_tokens;
    /// Standard deviation of the logarithm of the output.
    double output_spread;
    double arrivals_per_s;
};

const std::vector<request_kind> kinds = {
    {"/long/", milliseconds(1200), milliseconds(15000), 5400, 6600, 380, 0.44, 4.7},
    {"/short/", milliseconds(600), milliseconds(12000), 200, 630, 290, 0.69, 8.4},
    {"/note/", milliseconds(800), milliseconds(3000), 570, 1800, 22, 0.5, 7.2},
};

/// What became of one request.
struct outcome {
    std::size_t kind = 0;
    std::int64_t output_tokens = 0;
    bool begun = false;
    bool delivered = false;
};

/// A dispatcher before engines that read prompts in chunks between the tokens of the running streams, while
/// more arrives than they can serve.
class overloaded_engines {
public:
    explicit overloaded_engines(std::uint64_t seed) : random_(seed) {
        dispatcher_settings settings;
        settings.member.self = base::vm_id("r");
        settings.member.incarnation = base::incarnation(1);
        settings.member.address = {"10.0.0.1", 1};
        settings.seed = seed;
        router_ = std::make_unique<dispatcher>(settings, now_);
        std::vector<upstream_entry> listed;
        for (std::size_t i = 0; i < engine_count; ++i) {
            upstream_entry entry;
            entry.id = base::upstream_id("e" + std::to_string(i));
            entry.pool = model_pool;
            entry.slots = base::slot_count(engine_slots);
            listed.push_back(entry);
            engines_[entry.id].step_ends = now_;
        }
        router_->handle(relay_started{}, now_);
        router_->handle(catalogue_read{make_catalogue(), now_}, now_);
        router_->handle(roster_read{listed, false, 1, now_}, now_);
    }

    void run(seconds time) {
        const base::time_point end = now_ + time;
        base::time_point next_confirmation = now_;
        while (now_ < end) {
            now_ += tick_time;
            if (now_ >= next_confirmation) {
                next_confirmation = now_ + milliseconds(500);
                router_->handle(catalogue_read{nullptr, now_}, now_);
            }
            for (std::size_t i = 0; i < kinds.size(); ++i) {
                std::poisson_distribution<int> arrivals(kinds[i].arrivals_per_s * engine_count *
                                                        std::chrono::duration<double>(tick_time).count());
                for (int remaining = arrivals(random_); remaining > 0; --remaining) {
                    arrive(i);
                }
            }
            for (auto& [id, simulated] : engines_) {
                while (simulated.step_ends <= now_) {
                    step(simulated);
                }
            }
            router_->tick(now_);
            collect();
        }
    }

    /// Requests that have ended.
    [[nodiscard]] const std::vector<outcome>& ended() const { return ended_; }

private:
    struct engine_run {
        session_id id;
        std::uint32_t attempt = 0;
        std::int64_t unread_tokens = 0;
        std::int64_t output_left = 0;
    };
    struct engine {
        std::deque<engine_run> waiting;
        std::vector<engine_run> running;
        base::time_point step_ends;
    };

    static catalogue_ptr make_catalogue() {
        std::shared_ptr<catalogue> result = std::make_shared<catalogue>();
        result->version = base::revision(1);
        for (const request_kind& kind : kinds) {
            route added;
            added.id = route_id(kind.path);
            added.host = "h.example";
            added.prefix = kind.path;
            added.kind = route_kind::streaming;
            added.objective = kind.objective;
            added.timeout = kind.timeout;
            added.pools = {{model_pool, 1}};
            result->routes.push_back(added);
        }
        pool model;
        model.id = model_pool;
        model.max_connections = 1000;
        model.engine =
            engine_traits{base::slot_count(engine_slots), token_count(engine_memory), copied_tokens_per_ms};
        result->pools = {{model_pool, model}};
        result->keys["key"] = base::client_account_id("account");
        result->tokens_per_s = prompt_tokens_per_ms * 1000 * engine_count / 2;
        result->index();
        return result;
    }

    void arrive(std::size_t kind) {
        const request_kind& drawn = kinds[kind];
        const double spread = drawn.output_spread;
        std::lognormal_distribution<double> output(
            std::log(static_cast<double>(drawn.output_tokens)) - spread * spread / 2, spread);
        outcome created;
        created.kind = kind;
        created.output_tokens = std::max<std::int64_t>(1, std::llround(output(random_)));
        request_read read;
        read.id = session_id(++last_id_);
        read.host = "h.example";
        read.path = drawn.path;
        read.key = "key";
        read.caller_timeout = drawn.timeout;
        const std::size_t shared = std::uniform_int_distribution<std::size_t>(0, shared_parts - 1)(random_);
        read.prompt.prompt_tokens = token_count(drawn.shared_tokens + drawn.prompt_tokens);
        read.prompt.max_output_tokens = token_count(drawn.output_tokens * 4);
        read.prompt.output_tokens_hint = token_count(created.output_tokens);
        read.prompt.parts = {
            {part_id(kind * shared_parts + shared), token_count(drawn.shared_tokens)},
            {part_id(kinds.size() * shared_parts + last_id_), token_count(drawn.prompt_tokens)}};
        read.fingerprint = base::fingerprint(last_id_);
        read.arrived = now_;
        requests_[read.id] = created;
        router_->handle(read, now_);
        collect();
    }

    void collect() {
        for (const relay_command& command : router_->take_output().relay) {
            if (const send_request* const order = std::get_if<send_request>(&command)) {
                const outcome& request = requests_.at(order->id);
                engines_.at(order->target.id)
                    .waiting.push_back({order->id, order->attempt, kinds[request.kind].prompt_tokens,
                                        request.output_tokens});
            } else if (const end_request* const end = std::get_if<end_request>(&command)) {
                remove_run(end->id);
                finish(end->id);
            }
        }
    }

    void finish(session_id id) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            ended_.push_back(found->second);
            requests_.erase(found);
        }
    }

    void remove_run(session_id id) {
        const auto same = [id](const engine_run& run) { return run.id == id; };
        for (auto& [upstream, simulated] : engines_) {
            simulated.running.erase(std::remove_if(simulated.running.begin(), simulated.running.end(), same),
                                    simulated.running.end());
            simulated.waiting.erase(std::remove_if(simulated.waiting.begin(), simulated.waiting.end(), same),
                                    simulated.waiting.end());
        }
    }

    /// Reads a chunk of the prompts and makes one token of each stream whose prompt is read.
    void step(engine& simulated) {
        while (!simulated.waiting.empty() && simulated.running.size() < engine_slots) {
            simulated.running.push_back(simulated.waiting.front());
            simulated.waiting.pop_front();
        }
        std::int64_t budget = step_prompt_tokens;
        std::vector<engine_run> begun;
        std::vector<engine_run> done;
        for (engine_run& run : simulated.running) {
            const bool unread = run.unread_tokens > 0;
            const std::int64_t read = std::min(budget, run.unread_tokens);
            run.unread_tokens -= read;
            budget -= read;
            if (run.unread_tokens > 0) {
                continue;
            }
            if (unread) {
                begun.push_back(run);
            }
            if (--run.output_left <= 0) {
                done.push_back(run);
            }
        }
        const double ms = step_ms + step_ms_per_request * static_cast<double>(simulated.running.size()) +
                          static_cast<double>(step_prompt_tokens - budget) / prompt_tokens_per_ms;
        simulated.step_ends += microseconds(static_cast<std::int64_t>(ms * 1000));
        for (const engine_run& run : begun) {
            requests_.at(run.id).begun = true;
            router_->handle(answer_started{run.id, run.attempt}, now_);
        }
        for (const engine_run& run : done) {
            remove_run(run.id);
            attempt_finished finished;
            finished.id = run.id;
            finished.attempt = run.attempt;
            finished.status = 200;
            requests_.at(run.id).delivered = true;
            finish(run.id);
            router_->handle(finished, now_);
        }
    }

    std::mt19937_64 random_;
    base::time_point now_ = base::time_point(std::chrono::hours(1));
    std::unique_ptr<dispatcher> router_;
    std::map<base::upstream_id, engine> engines_;
    std::map<session_id, outcome> requests_;
    std::vector<outcome> ended_;
    std::uint64_t last_id_ = 0;
};

/// Share of the requests that were delivered.
double delivered_share(const std::vector<outcome>& requests) {
    const auto delivered =
        std::count_if(requests.begin(), requests.end(), [](const outcome& one) { return one.delivered; });
    return static_cast<double>(delivered) / static_cast<double>(std::max<std::size_t>(requests.size(), 1));
}

} // namespace

TEST_CASE("of the streams that begin on overloaded engines, 95 in 100 end before their deadline") {
    overloaded_engines play(GENERATE(1, 2, 3));
    play.run(seconds(40));
    std::vector<outcome> begun;
    std::copy_if(play.ended().begin(), play.ended().end(), std::back_inserter(begun),
                 [](const outcome& one) { return one.begun; });
    REQUIRE(begun.size() > 500);
    CHECK(delivered_share(begun) >= 0.95);
}

TEST_CASE("the longest answers of a kind are delivered at least half as often as all of it") {
    overloaded_engines play(GENERATE(1, 2, 3));
    play.run(seconds(40));
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        std::vector<outcome> all;
        std::copy_if(play.ended().begin(), play.ended().end(), std::back_inserter(all),
                     [kind](const outcome& one) { return one.kind == kind; });
        std::sort(all.begin(), all.end(),
                  [](const outcome& a, const outcome& b) { return a.output_tokens > b.output_tokens; });
        const std::vector<outcome> longest(all.begin(),
                                           all.begin() + static_cast<std::ptrdiff_t>(all.size() / 10));
        INFO(kinds[kind].path << ": all " << delivered_share(all));
        CHECK(delivered_share(longest) >= delivered_share(all) / 2);
    }
}
