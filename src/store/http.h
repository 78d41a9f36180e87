#pragma once

#include "store/store.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <memory>

namespace bluebell::store {

/// Time limits of calls to the platform.
struct call_limits {
    base::duration connect = std::chrono::milliseconds(500);
    /// Longest silence before and within an answer.
    base::duration answer = std::chrono::seconds(2);
};

struct http_answer {
    unsigned status = 0;
    std::string body;
    /// Version from the `ETag`; zero if the answer has none.
    base::object_version version;
};

/// Connection to an HTTP server with time limits. After any failure the connection is closed and never used
/// again, so a connection that went silent costs one time limit.
/// Thread safety: one instance is used by one thread.
class http_connection {
public:
    http_connection(decision::endpoint server, call_limits limits);

    /// A GET. It may be sent twice when a kept connection turns out to be closed.
    /// Errors: `store_unavailable`.
    base::result<http_answer> fetch(const std::string& path, const std::string& query);
    /// A GET that waits up to `extra_wait` for another version than `known`; the answer may have status 304
    /// and no body if there is none. Errors: `store_unavailable`.
    base::result<http_answer> wait(const std::string& path, const std::string& query,
                                   base::object_version known, base::duration extra_wait);
    /// A call with an effect; it is sent at most once. Errors: `store_unavailable` if no connection came
    /// about, so that no effect is possible; `store_answer_lost` otherwise.
    base::result<http_answer> change(cxxtools::http::Request& request);

private:
    /// Drops the connection; the next call opens a new one.
    void reset();
    base::result<http_answer> get(const cxxtools::http::Request& request, base::duration limit);
    http_answer execute(const cxxtools::http::Request& request, base::duration limit);

    decision::endpoint server_;
    call_limits limits_;
    cxxtools::http::Client client_;
};

/// The object API over HTTP/1.1.
class http_object_store final : public object_store {
public:
    http_object_store(const decision::endpoint& server, call_limits limits);

    base::result<stored_object> read(const base::object_name& name) override;
    base::result<base::object_version> update(const base::object_name& name, const std::string& value,
                                              base::object_version expected) override;
    base::result<stored_object> watch(const base::object_name& name, base::object_version known,
                                      base::duration timeout) override;
    base::result<void> remove(const base::object_name& name, base::object_version expected) override;
    base::result<std::vector<base::object_name>> list(const std::string& prefix) override;

private:
    http_connection connection_;
};

/// The VM list over HTTP/1.1.
class http_vm_list final : public vm_list {
public:
    http_vm_list(const decision::endpoint& server, call_limits limits);

    base::result<std::vector<decision::vm_entry>> read() override;

private:
    http_connection connection_;
};

/// The form of the VM list that `GET /vms` returns.
std::string encode_vms(const std::vector<decision::vm_entry>& vms);
/// Error: `store_malformed`.
base::result<std::vector<decision::vm_entry>> decode_vms(const std::string& json);

} // namespace bluebell::store
