#include <iostream>

#include "ctl/commands.h"

using namespace acaciasail;

int main(int argc, const char **argv)
{
    const auto options = ctl::readOptions(argc, argv);
    if (!options.ok()) {
        if (!options.error().message.empty())
            std::cerr << options.error().message << "\n";
        return static_cast<int>(ctl::ExitCode::Usage);
    }
    http::EventLoop loop;
    ctl::Session session(loop, options.value(), std::cout, std::cerr);
    return static_cast<int>(ctl::runCommand(session));
}
