#include "http/internal/tls.h"

#include <utility>

#include <openssl/ssl.h>

namespace acaciasail::http {

void TlsContextDeleter::operator()(ssl_ctx_st *context) const
{
    SSL_CTX_free(context);
}

namespace {

kernel::Result<TlsContext> loadTls(const SSL_METHOD *method, const TlsFiles &files)
{
    TlsContext context(SSL_CTX_new(method));
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), files.certificateFile.c_str()) != 1) {
        return kernel::fail(kernel::ResultCode::TlsFailed,
                            "certificate \"" + files.certificateFile + "\" can't be used");
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), files.keyFile.c_str(), SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(context.get()) != 1) {
        return kernel::fail(kernel::ResultCode::TlsFailed,
                            "key \"" + files.keyFile + "\" can't be used with its certificate");
    }
    if (files.authorityFile.empty())
        return context;
    if (SSL_CTX_load_verify_locations(context.get(), files.authorityFile.c_str(), nullptr) != 1) {
        return kernel::fail(kernel::ResultCode::TlsFailed,
                            "authority \"" + files.authorityFile + "\" can't be used");
    }
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    return context;
}

} // namespace

kernel::Result<TlsContext> loadServerTls(const TlsFiles &files)
{
    return loadTls(TLS_server_method(), files);
}

kernel::Result<TlsContext> loadClientTls(const TlsFiles &files)
{
    return loadTls(TLS_client_method(), files);
}

} // namespace acaciasail::http
