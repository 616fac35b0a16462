#pragma once

#include <memory>

#include "http/internal/message.h"
#include "kernel/kernel.h"

struct ssl_ctx_st;

namespace acaciasail::http {

/// Frees a TLS context.
struct TlsContextDeleter
{
    void operator()(ssl_ctx_st *context) const;
};

using TlsContext = std::unique_ptr<ssl_ctx_st, TlsContextDeleter>;

/// Loads a certificate chain and its key for a listener. Errors: TlsFailed.
kernel::Result<TlsContext> loadServerTls(const TlsFiles &files);

/// Loads a certificate chain and its key for connecting to peers. Errors: TlsFailed.
kernel::Result<TlsContext> loadClientTls(const TlsFiles &files);

} // namespace acaciasail::http
