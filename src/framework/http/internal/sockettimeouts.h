#pragma once

namespace acaciasail::http {

/// Makes the system end a connection whose peer answers nothing for about three seconds, and sends
/// small pieces at once.
void setConnectionTimeouts(int fd);

} // namespace acaciasail::http
