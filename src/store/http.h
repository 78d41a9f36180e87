#pragma once

#include "store/store.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <memory>

namespace bluebell::store {

/// Time limits of calls to the platform.
struct call_limits {
    /// Time limit of connection establishment.
    base::duration connect = std::chrono::milliseconds(500);
    /// Longest time without received data, before and within an answer.
    base::duration answer = std::chrono::seconds(2);
};

/// Response to an HTTP request.
struct http_answer {
    unsigned status = 0;
    std::string body;
    /// Version from the `ETag`; zero if the answer has none.
    base::object_version version;
};

/// Persistent connection to an HTTP server, with time limits. The connection is closed after any failure and
/// the next call opens a new one, so a connection that stops answering delays only one call.
/// Thread safety: one instance is used by one thread.
class http_connection {
public:
    http_connection(decision::endpoint server, call_limits limits);

    /// Sends a GET request; sends it again if the server closed the persistent connection meanwhile.
    /// Error: `store_unavailable`.
    base::result<http_answer> fetch(const std::string& path, const std::string& query);
    /// Sends a GET request that the server answers when the version differs from `known_version`, or after
    /// `extra_wait`; an answer without a change may have status 304 and no body. Error: `store_unavailable`.
    base::result<http_answer> wait(const std::string& path, const std::string& query,
                                   base::object_version known_version, base::duration extra_wait);
    /// Sends a request that changes state, at most once. Errors: `store_unavailable` if no connection was
    /// established, so that the request had no effect; `store_answer_lost` otherwise.
    base::result<http_answer> change(cxxtools::http::Request& request);

private:
    /// Closes the connection; the next call opens a new one.
    void reset();
    base::result<http_answer> get(const cxxtools::http::Request& request, base::duration timeout);
    http_answer execute(const cxxtools::http::Request& request, base::duration timeout);

    decision::endpoint server_;
    call_limits limits_;
    cxxtools::http::Client client_;
};

/// Client of the object store's HTTP/1.1 API.
class http_object_store final : public object_store {
public:
    http_object_store(const decision::endpoint& server, call_limits limits);

    base::result<stored_object> read(const base::object_name& name) override;
    base::result<base::object_version> update(const base::object_name& name, const std::string& value,
                                              base::object_version expected) override;
    base::result<stored_object> watch(const base::object_name& name, base::object_version known_version,
                                      base::duration timeout) override;
    base::result<void> remove(const base::object_name& name, base::object_version expected) override;
    base::result<std::vector<base::object_name>> list(const std::string& prefix) override;

private:
    http_connection connection_;
};

/// Client of the VM list's HTTP/1.1 API.
class http_vm_list final : public vm_list {
public:
    http_vm_list(const decision::endpoint& server, call_limits limits);

    base::result<std::vector<decision::vm_entry>> read() override;

private:
    http_connection connection_;
};

/// Encodes the VM list as the JSON document that `GET /vms` returns.
std::string encode_vms(const std::vector<decision::vm_entry>& vms);
/// Parses the JSON document of `encode_vms`. A single malformed entry fails the whole list.
/// Error: `store_malformed`.
base::result<std::vector<decision::vm_entry>> decode_vms(const std::string& json);

} // namespace bluebell::store
