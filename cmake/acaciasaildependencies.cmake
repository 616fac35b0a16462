# Third-party libraries, each as an imported target that one or two of our libraries link.

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(tomlplusplus REQUIRED)

# Declares an imported library for a package that ships no CMake files.
function(acaciasail_external name library)
    find_library(${name}_LIBRARY NAMES ${library} REQUIRED)
    add_library(external::${name} INTERFACE IMPORTED GLOBAL)
    target_link_libraries(external::${name} INTERFACE ${${name}_LIBRARY})
endfunction()

acaciasail_external(h2o h2o-evloop)
target_compile_definitions(external::h2o INTERFACE H2O_USE_LIBUV=0)
target_link_libraries(external::h2o INTERFACE OpenSSL::SSL OpenSSL::Crypto z)

acaciasail_external(http_parser http_parser)
acaciasail_external(log4cxx log4cxx)
acaciasail_external(popt popt)
acaciasail_external(xxhash xxhash)

if(ACACIASAIL_ROUTER_ONLY)
    return()
endif()

find_package(GTest REQUIRED)
find_package(benchmark REQUIRED)
find_package(Protobuf REQUIRED)

acaciasail_external(nghttp2 nghttp2)

find_library(rapidcheck_LIBRARY NAMES rapidcheck REQUIRED)
add_library(external::rapidcheck INTERFACE IMPORTED GLOBAL)
target_link_libraries(external::rapidcheck INTERFACE ${rapidcheck_LIBRARY})
