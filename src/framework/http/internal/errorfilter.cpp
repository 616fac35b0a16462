#include "http/internal/errorfilter.h"

#include <utility>

namespace acaciasail::http {

namespace {

struct ErrorFilter
{
    h2o_filter_t super;
    std::function<std::string(int status)> *body;
    std::string *contentType;
};

struct ErrorStream
{
    h2o_ostream_t super;
    h2o_iovec_t body;
};

// h2o's own errors are plain text; the handler's answers never are with an error status.
bool isOwnError(const h2o_req_t *request)
{
    if (request->res.status < 400)
        return false;
    const ssize_t index = h2o_find_header(&request->res.headers, H2O_TOKEN_CONTENT_TYPE, -1);
    if (index < 0)
        return false;
    const h2o_iovec_t value = request->res.headers.entries[index].value;
    return std::string_view(value.base, value.len).starts_with("text/plain");
}

void sendReplacement(h2o_ostream_t *stream, h2o_req_t *request, h2o_iovec_t *, std::size_t,
                     h2o_send_state_t)
{
    auto *self = reinterpret_cast<ErrorStream *>(stream);
    h2o_ostream_send_next(stream, request, &self->body, 1, H2O_SEND_STATE_FINAL);
}

void setUpStream(h2o_filter_t *filter, h2o_req_t *request, h2o_ostream_t **slot)
{
    const auto *self = reinterpret_cast<ErrorFilter *>(filter);
    if (isOwnError(request)) {
        const std::string body = (*self->body)(request->res.status);
        h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       self->contentType->data(), self->contentType->size(), 1);
        request->res.content_length = body.size();
        auto *stream
            = reinterpret_cast<ErrorStream *>(h2o_add_ostream(request, sizeof(ErrorStream), slot));
        stream->super.do_send = sendReplacement;
        stream->body = h2o_strdup(&request->pool, body.data(), body.size());
        slot = &stream->super.next;
    }
    h2o_setup_next_ostream(request, slot);
}

} // namespace

void addErrorFilter(h2o_pathconf_t *path, std::function<std::string(int status)> body,
                    std::string contentType)
{
    auto *filter = reinterpret_cast<ErrorFilter *>(h2o_create_filter(path, sizeof(ErrorFilter)));
    filter->body = new std::function<std::string(int status)>(std::move(body));
    filter->contentType = new std::string(std::move(contentType));
    filter->super.on_setup_ostream = setUpStream;
    filter->super.dispose = [](h2o_filter_t *self) {
        auto *errorFilter = reinterpret_cast<ErrorFilter *>(self);
        delete errorFilter->body;
        delete errorFilter->contentType;
    };
}

} // namespace acaciasail::http
