#include "externals/internal/httpplatform.h"

#include <utility>

#include "externals/internal/objectwatch.h"
#include "externals/internal/replies.h"

namespace acaciasail::externals {

namespace {

using kernel::Completion;
using kernel::ResultCode;

constexpr int httpOk = 200;

// Sends calls to the platform's one address.
struct Caller
{
    http::Client *client;
    PlatformOptions options;

    http::ClientRequest request(const std::string &method, const std::string &path) const
    {
        http::ClientRequest request;
        request.endpoint = options.endpoint;
        request.method = method;
        request.path = path;
        request.connectTimeout = options.connectTimeout;
        request.idleTimeout = options.callTimeout;
        return request;
    }

    // Sends a request and reads its answer with a parser; `what` names the thing for errors.
    template<class Value>
    void call(CallKind kind, const http::ClientRequest &request, const std::string &what,
              Completion<Value> (*parser)(std::string_view), kernel::Callback<Value> callback) const
    {
        client->fetch(request, [kind, what, parser, callback = std::move(callback)](
                                   const Completion<http::ClientResponse> &response) {
            if (!response.ok())
                callback(transportError(kind, response.error()));
            else if (response.value().head.status != httpOk)
                callback(statusError(kind, response.value().head.status, what));
            else
                callback(parser(response.value().body));
        });
    }
};

std::string objectPath(const std::string &key)
{
    return "/objects/" + http::percentEncode(key, keyCharacters);
}

std::string quoted(const std::string &key)
{
    return "object \"" + key + "\"";
}

// The service says 409 for each failed condition; a failed creation means that the object exists.
kernel::Callback<kernel::Revision> asCreation(kernel::Callback<kernel::Revision> callback,
                                              const std::string &key)
{
    return [callback = std::move(callback), key](const Completion<kernel::Revision> &result) {
        if (!result.ok() && result.error().code == ResultCode::RevisionConflict)
            callback(kernel::Error{ ResultCode::ObjectExists, quoted(key) + " exists" });
        else
            callback(result);
    };
}

void addWrites(ObjectStore &store, const Caller &caller)
{
    store.create = [caller](const std::string &key, const std::string &value,
                            kernel::Callback<kernel::Revision> callback) {
        http::ClientRequest request = caller.request("PUT", objectPath(key));
        request.headers = { { "if-none-match", "*" }, { "content-type", "application/json" } };
        request.body = value;
        caller.call<kernel::Revision>(CallKind::Write, request, quoted(key), parseRevision,
                                      asCreation(std::move(callback), key));
    };
    store.update
        = [caller](const std::string &key, const std::string &value, kernel::Revision expected,
                   kernel::Callback<kernel::Revision> callback) {
              http::ClientRequest request = caller.request("PUT", objectPath(key));
              request.headers = { { "if-match", std::to_string(expected.count()) },
                                  { "content-type", "application/json" } };
              request.body = value;
              caller.call<kernel::Revision>(CallKind::Write, request, quoted(key), parseRevision,
                                            std::move(callback));
          };
    store.remove = [caller](const std::string &key, kernel::Revision expected,
                            kernel::Callback<kernel::Revision> callback) {
        http::ClientRequest request = caller.request("DELETE", objectPath(key));
        request.headers = { { "if-match", std::to_string(expected.count()) } };
        caller.call<kernel::Revision>(CallKind::Write, request, quoted(key), parseRevision,
                                      std::move(callback));
    };
}

ObjectStore makeObjectStore(const Caller &caller, const kernel::Scheduler &scheduler)
{
    ObjectStore store;
    store.read = [caller](const std::string &key, kernel::Callback<StoredObject> callback) {
        caller.call<StoredObject>(CallKind::Read, caller.request("GET", objectPath(key)),
                                  quoted(key), parseObject, std::move(callback));
    };
    store.list = [caller](const std::string &prefix, kernel::Callback<ObjectList> callback) {
        caller.call<ObjectList>(
            CallKind::Read,
            caller.request("GET", "/objects?prefix=" + http::percentEncode(prefix, keyCharacters)),
            "the list of \"" + prefix + "\"", parseObjectList, std::move(callback));
    };
    addWrites(store, caller);
    store.watch = [caller, &scheduler](const std::string &prefix, kernel::Revision after,
                                       WatchHandlers handlers) {
        return startWatch(*caller.client, scheduler, caller.options, prefix, after,
                          std::move(handlers));
    };
    return store;
}

} // namespace

Platform makePlatform(http::Client &client, const kernel::Scheduler &scheduler,
                      const PlatformOptions &options)
{
    const Caller caller{ &client, options };
    Platform platform;
    platform.objects = makeObjectStore(caller, scheduler);
    platform.vms.list = [caller](kernel::Callback<std::vector<VmEntry>> callback) {
        caller.call<std::vector<VmEntry>>(CallKind::Read, caller.request("GET", "/vms"),
                                          "the list of VMs", parseVmList, std::move(callback));
    };
    platform.ratings.fetch
        = [caller](std::int64_t after, kernel::Callback<std::vector<Rating>> callback) {
              caller.call<std::vector<Rating>>(
                  CallKind::Read, caller.request("GET", "/ratings?after=" + std::to_string(after)),
                  "the ratings", parseRatings, std::move(callback));
          };
    platform.weights.reserve
        = [caller](const kernel::VersionId &version, kernel::Callback<kernel::Duration> callback) {
              http::ClientRequest request = caller.request("POST", "/weights/reserve");
              request.headers = { { "content-type", "application/json" } };
              request.body = formatReservation(version);
              caller.call<kernel::Duration>(CallKind::Read, request, "the weight store", parseWait,
                                            std::move(callback));
          };
    return platform;
}

} // namespace acaciasail::externals
