# Compiler settings and the two functions that declare every library and program of the project.

add_library(acaciasail_options INTERFACE)
target_compile_options(acaciasail_options INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
target_include_directories(acaciasail_options INTERFACE
    "${CMAKE_SOURCE_DIR}/src/framework"
    "${CMAKE_SOURCE_DIR}/src"
)
if(ACACIASAIL_SANITIZE)
    target_compile_options(acaciasail_options INTERFACE
        # LEAF's results look uninitialized to the compiler under the sanitizers.
        -Wno-maybe-uninitialized
        -O1 -g1 -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(acaciasail_options INTERFACE -fsanitize=address,undefined)
endif()

# acaciasail_library(<name> SOURCES <files> DEPENDS <targets> TESTS <files> TEST_DEPENDS <targets>)
# Adds the static library <name> and, where TESTS is given, its one test program <name>_tests.
function(acaciasail_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC acaciasail_options ${ARG_DEPENDS})
    if(ARG_TESTS AND NOT ACACIASAIL_ROUTER_ONLY)
        add_executable(${name}_tests ${ARG_TESTS})
        target_link_libraries(${name}_tests PRIVATE
            ${name} ${ARG_TEST_DEPENDS} external::rapidcheck GTest::gtest GTest::gtest_main)
        target_compile_definitions(${name}_tests PRIVATE ACACIASAIL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
        add_test(NAME ${name}_tests COMMAND ${name}_tests)
        set_tests_properties(${name}_tests PROPERTIES 
            ENVIRONMENT "RC_PARAMS=seed=1;LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/tools/lsan.supp"
            TIMEOUT 600)
    endif()
endfunction()

# acaciasail_program(<name> SOURCES <files> DEPENDS <targets>)
# Adds the program <name>; all programs are put into the folder bin of the build tree.
function(acaciasail_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE acaciasail_options ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()
